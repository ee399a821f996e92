package server

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxUnhandledLines is how many lines a second are logged on answers without a handler.
	maxUnhandledLines = 10
	// statusAt and statusEnd are where the status stands in a status line.
	statusAt, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
)

// The ports at which requests come in.
const (
	callerPort   = "callers"
	deliveryPort = "nodes"
)

// watchedConn is a connection that tells of answers that no handler gives. http.Server gives
// them by itself, such as 400 for a request that it cannot parse.
type watchedConn struct {
	*net.TCPConn
	port string
	// record is called with the status line of such an answer.
	record func(port string, c net.Conn, statusLine string)
	// isHandled is set once a request has reached the handler, and isRefused once one was
	// answered without it, until the connection is idle.
	isHandled, isRefused atomic.Bool
}

// Write implements net.Conn.
func (c *watchedConn) Write(b []byte) (int, error) {
	if !c.isHandled.Load() && !c.isRefused.Swap(true) {
		line, _, _ := bytes.Cut(b, []byte("\r\n"))
		c.record(c.port, c, string(line))
	}
	return c.TCPConn.Write(b)
}

// wait records that the connection is idle.
func (c *watchedConn) wait() {
	c.isHandled.Store(false)
	c.isRefused.Store(false)
}

// watchedListener accepts connections of other nodes.
type watchedListener struct {
	net.Listener
	record func(port string, c net.Conn, statusLine string)
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		return c, err
	}
	return &watchedConn{TCPConn: tcp, port: deliveryPort, record: l.record}, nil
}

// trackDelivery records the state of a connection of another node.
func (n *Node) trackDelivery(nc net.Conn, state http.ConnState) {
	n.connections.record(nc, state)
	if c, ok := nc.(*watchedConn); ok && state == http.StateIdle {
		c.wait()
	}
}

type connKey struct{}

// withConn keeps the connection of a request in its context.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// watched lets the connection of each request know that the request has reached the handler.
func watched(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch c := r.Context().Value(connKey{}).(type) {
		case *callerConn:
			c.isHandled.Store(true)
		case *watchedConn:
			c.isHandled.Store(true)
		}
		handler(w, r)
	})
}

// unhandledLog bounds the lines on answers without a handler. The zero value has logged none.
type unhandledLog struct {
	mu    sync.Mutex
	since time.Time
	lines int
}

// take reports whether one more line may be logged now.
func (l *unhandledLog) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	l.lines++
	return l.lines <= maxUnhandledLines
}

// recordUnhandled counts and logs an answer that no handler has given.
func (n *Node) recordUnhandled(port string, c net.Conn, statusLine string) {
	status := "none"
	if len(statusLine) >= statusEnd {
		status = statusLine[statusAt:statusEnd]
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_unhandled_answers_total{port=%q,status=%q}`, port, status)).Inc()
	if port == callerPort {
		countUnanswered(unansweredUnserved)
	}
	if n.unhandledLog.take() {
		n.Log.Warn("request is answered without a handler", "port", port, "address", c.RemoteAddr().String(), "answer", statusLine, "stopping", n.isStopping())
	}
}
