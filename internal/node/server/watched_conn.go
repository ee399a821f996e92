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

	"marjorammoor/internal/network/acceptor"
)

const (
	// maxBoundedLines is how many lines of one kind are logged in a second.
	maxBoundedLines = 10
	// statusAt and statusEnd are where the status stands in a status line.
	statusAt, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
)

// The ports at which requests come in.
const (
	callerPort    = "callers"
	deliveryPort  = "nodes"
	readinessPort = "readiness"
	metricsPort   = "metrics"
)

// watchedConn is a connection that tells of answers that no handler gives. http.Server gives
// them by itself, such as 400 for a request that it cannot parse.
type watchedConn struct {
	*acceptor.Conn
	port string
	// record is called with the status line of such an answer.
	record func(port string, c net.Conn, statusLine string)
	// isHandled is set once a request has reached the handler, and isRefused once one was
	// answered without it, until the connection is idle.
	isHandled, isRefused atomic.Bool
	// head is that of the request that arrives.
	head arrivingHead
}

// Read implements net.Conn. It fails if the head that arrives is too large or has to give way.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.isHandled.Load() {
		return n, err
	}
	if headErr := c.head.add(n, c); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// handleHead records that the head has reached the handler.
func (c *watchedConn) handleHead() {
	c.isHandled.Store(true)
	c.head.settle()
}

// Write implements net.Conn.
func (c *watchedConn) Write(b []byte) (int, error) {
	if !c.isHandled.Load() && !c.isRefused.Swap(true) {
		line, _, _ := bytes.Cut(b, []byte("\r\n"))
		c.record(c.port, c, string(line))
	}
	return c.Conn.Write(b)
}

// wait records that the connection is idle.
func (c *watchedConn) wait() {
	c.head.release()
	c.isHandled.Store(false)
	c.isRefused.Store(false)
	c.Wait()
}

// watchedListener accepts connections of other nodes.
type watchedListener struct {
	net.Listener
	heads  headBounds
	record func(port string, c net.Conn, statusLine string)
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	c, ok := nc.(*acceptor.Conn)
	if err != nil || !ok {
		return nc, err
	}
	return &watchedConn{Conn: c, port: deliveryPort, head: arrivingHead{bounds: &l.heads}, record: l.record}, nil
}

// trackDelivery records the state of a connection of another node.
func (n *Node) trackDelivery(nc net.Conn, state http.ConnState) {
	n.connections.record(nc, state)
	c, ok := nc.(*watchedConn)
	switch {
	case !ok:
	case state == http.StateIdle:
		c.wait()
	case state == http.StateClosed:
		c.head.release()
	}
}

type connKey struct{}

// acceptedConn returns the connection of a request, or nil if it is not one that a port of the node
// has accepted.
func acceptedConn(ctx context.Context) *acceptor.Conn {
	switch c := ctx.Value(connKey{}).(type) {
	case *callerConn:
		return c.Conn
	case *watchedConn:
		return c.Conn
	}
	return nil
}

// withConn keeps the connection of a request in its context.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// watched lets the connection of each request know that the request has reached the handler.
func watched(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch c := r.Context().Value(connKey{}).(type) {
		case *callerConn:
			c.handleHead()
		case *watchedConn:
			c.handleHead()
		}
		handler(w, r)
	})
}

// boundedLog bounds the lines of one kind. The zero value has logged none.
type boundedLog struct {
	mu    sync.Mutex
	since time.Time
	lines int
}

// take reports whether one more line may be logged now.
func (l *boundedLog) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	l.lines++
	return l.lines <= maxBoundedLines
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
