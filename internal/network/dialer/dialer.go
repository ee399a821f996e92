// Package dialer opens the connections from a node to runners, peers and the
// platform. Where a network translates addresses, a map says under which
// address another one is reached from this node.
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
)

// DefaultTimeout bounds opening a connection.
const DefaultTimeout = 500 * time.Millisecond

const idleTimeout = 30 * time.Second

// Dialer opens TCP connections. The zero value translates nothing.
type Dialer struct {
	// Map gives the address to dial in place of another; both as ip:port.
	Map map[string]string
	// Timeout bounds opening a connection; 0 means DefaultTimeout.
	Timeout time.Duration
	// Count, if set, is told of the bytes that each read and write moved.
	Count func(read, written int)
}

// countingConn tells of the bytes that it moves.
type countingConn struct {
	net.Conn
	count func(read, written int)
}

// Read counts what was read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n, 0)
	return n, err
}

// Write counts what was written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(0, n)
	return n, err
}

// DialContext opens a connection to address. Errors are those of net.Dialer.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if to, ok := d.Map[address]; ok {
		address = to
	}
	n := net.Dialer{Timeout: d.Timeout}
	if n.Timeout == 0 {
		n.Timeout = DefaultTimeout
	}
	conn, err := n.DialContext(ctx, network, address)
	if err != nil || d.Count == nil {
		return conn, err
	}
	return &countingConn{Conn: conn, count: d.Count}, nil
}

// HTTPClient returns a client that keeps perHost idle connections to each
// address, none if negative, and follows no redirects, which would repeat a
// request. The caller bounds each call by its context.
func (d *Dialer) HTTPClient(perHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: perHost,
			DisableKeepAlives:   perHost < 0,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
