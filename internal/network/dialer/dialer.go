// Package dialer opens connections from a node to runners, peers and the platform.
// If the network translates addresses, an address map gives the address under which
// this node reaches another address. A Dialer can also count the bytes that its
// connections transfer.
//
// # Usage
//
//	d := &dialer.Dialer{Map: map[string]string{"10.1.0.5:9000": "172.20.0.5:9000"}}
//	transport := &http.Transport{DialContext: d.DialContext}
package dialer

import (
	"context"
	"net"
	"net/http"
	"time"

	"marjorammoor/internal/network/detector"
)

// DefaultTimeout is the maximum time to open a connection.
const DefaultTimeout = 500 * time.Millisecond

// idleTimeout is how long an HTTP client keeps an idle connection.
const idleTimeout = 30 * time.Second

// Dialer opens connections. The zero value translates no addresses.
type Dialer struct {
	// Map holds the address to dial by the address that the caller asks for, both as
	// ip:port. An address that is not in it is dialed as it is.
	Map map[string]string
	// Timeout is the maximum time to open a connection; 0 means DefaultTimeout.
	Timeout time.Duration
	// Count, if set, is called after each read or write with the number of bytes read
	// and written.
	Count func(read, written int)
}

// countingConn reports the bytes that it transfers.
type countingConn struct {
	net.Conn
	count func(read, written int)
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n, 0)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(0, n)
	return n, err
}

// DialContext opens a connection to address or, if Map has it, to the mapped address.
// Errors are those of net.Dialer.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if mapped, ok := d.Map[address]; ok {
		address = mapped
	}
	n := net.Dialer{Timeout: d.Timeout}
	if n.Timeout == 0 {
		n.Timeout = DefaultTimeout
	}
	nc, err := n.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := detector.New(nc)
	if d.Count == nil {
		return conn, nil
	}
	return &countingConn{Conn: conn, count: d.Count}, nil
}

// HTTPClient returns a client that keeps up to perHost idle connections to each
// address, or none if perHost is negative. It follows no redirects, because that would
// send a request a second time. It returns no response whose head is malformed, with
// validator.ErrMalformed. It sets no timeout for a call; the caller's context must limit it.
func (d *Dialer) HTTPClient(perHost int) *http.Client {
	return &http.Client{
		Transport: &transport{&http.Transport{
			DialContext:         d.dialChecked,
			MaxIdleConnsPerHost: perHost,
			DisableKeepAlives:   perHost < 0,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
