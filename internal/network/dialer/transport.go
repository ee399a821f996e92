package dialer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"marjorammoor/internal/network/validator"
)

// errEarlyHead is returned for a response whose head arrived before the request was sent.
var errEarlyHead = errors.New("the head of the response was there before the request")

// transport returns only responses whose heads a validator.Head has checked. An http.Transport
// checks less, and what it leaves out of a head cannot be checked afterwards.
type transport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	conn := (*headConn)(nil)
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		// All connections are those of dialChecked.
		conn = i.Conn.(*headConn)
		conn.expect()
	}}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := conn.checked(); err != nil {
		_ = response.Body.Close()
		_ = conn.Close()
		return nil, fmt.Errorf("check head: %w", err)
	}
	return response, nil
}

// CloseIdleConnections is called by http.Client.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// headConn is a connection that checks the heads of responses as they are read.
type headConn struct {
	net.Conn

	mu sync.Mutex
	// head is that of the response to the current request, and line the part of its next line that has
	// arrived. What is read behind the head is body.
	head validator.Head
	line []byte
	err  error
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.check(p[:n])
	return n, err
}

// check checks the next bytes if they belong to a head.
func (c *headConn) check(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for part := range bytes.Lines(b) {
		if c.err != nil || c.head.IsComplete() {
			return
		}
		c.line = append(c.line, part...)
		if part[len(part)-1] != '\n' {
			return
		}
		c.err = c.head.Add(c.line)
		c.line = c.line[:0]
		if c.head.IsInterim() {
			c.head = validator.Head{}
		}
	}
}

// expect records that a request is about to be sent, so that the next bytes are a head.
func (c *headConn) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.line, c.err = validator.Head{}, nil, nil
}

// checked returns nil if the head that was read last is sound.
func (c *headConn) checked() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && !c.head.IsComplete() {
		return errEarlyHead
	}
	return c.err
}

// dialChecked opens a connection that checks the heads of responses.
func (d *Dialer) dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn}, nil
}
