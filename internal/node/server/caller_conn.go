package server

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/network/acceptor"
	"marjorammoor/internal/serving/matcher"
)

const (
	// idleMargin and headerMargin are added to the limits in force, so that the node does
	// not close a connection while a request arrives that is just in time.
	idleMargin   = time.Second
	headerMargin = 2 * time.Second
	// lastReadTime is how long an expired idle connection is read once more. Bytes that have
	// arrived are returned at once.
	lastReadTime = time.Millisecond
	// tailBytes is the length of the end of a line and an empty line.
	tailBytes = len("\n\r\n")
)

// headerTimeoutResponse answers a request whose header does not arrive in time.
const headerTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// gaveWayResponse answers a request whose header has not arrived whole when its connection gives way.
const gaveWayResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var (
	idleClosed   = metrics.NewCounter(`marjorammoor_caller_connections_closed_total{reason="idle"}`)
	headerClosed = metrics.NewCounter(`marjorammoor_caller_connections_closed_total{reason="header_timeout"}`)
)

// callerPhase is what a connection of a caller is in.
type callerPhase int

const (
	// phaseIdle lasts until the first byte of a request.
	phaseIdle callerPhase = iota
	phaseHeader
	phaseServing
)

// callerConn is a connection of a caller. It bounds the time until a request arrives by the
// limits in force. An http.Server has a single fixed idle timeout instead, and applies its
// header timeout to the wait for the first request as well.
type callerConn struct {
	watchedConn
	limits func() matcher.Limits
	// tooLarge returns the answer to a head that is too large.
	tooLarge func() string

	mu    sync.Mutex
	phase callerPhase
	// since is when the connection became idle, and headerDeadline when the header that has
	// begun must be complete.
	since          time.Time
	headerDeadline time.Time
	// allowed is how long the caller may leave the connection idle, as it was last told.
	allowed time.Duration
	// tail holds the last bytes that the server has got. Only Read uses it.
	tail []byte
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		phase, deadline := c.setDeadline()
		n, err := c.watchedConn.Read(p)
		if phase == phaseIdle && n > 0 && c.isBetweenRequests() {
			if n = skipEmptyLines(p[:n]); n == 0 && err == nil {
				continue
			}
		}
		if n > 0 {
			c.receive(p[:n])
			return n, err
		}
		switch {
		case phase == phaseHeader && errors.Is(err, acceptor.ErrGaveWay):
			_, _ = c.Write([]byte(gaveWayResponse))
		case phase == phaseHeader && errors.Is(err, errHeadTooLarge):
			_, _ = c.Write([]byte(c.tooLarge()))
			c.linger()
		}
		if phase == phaseServing || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if phase == phaseHeader {
			headerClosed.Inc()
			_, _ = c.Write([]byte(headerTimeoutResponse))
			return n, err
		}
		if c.idleDeadline().After(deadline) {
			continue
		}
		return c.readLast(p)
	}
}

// setDeadline sets the deadline of the next read, unless a request is being served, and
// returns it with the phase to which it belongs.
func (c *callerConn) setDeadline() (callerPhase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Time{}
	switch c.phase {
	case phaseIdle:
		deadline = c.lockedIdleDeadline()
	case phaseHeader:
		deadline = c.headerDeadline
	case phaseServing:
		return c.phase, deadline
	}
	_ = c.SetReadDeadline(deadline)
	return c.phase, deadline
}

// idleDeadline returns when the connection has been idle for too long. A limit that was
// lowered does not apply before the caller has been told of it.
func (c *callerConn) idleDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lockedIdleDeadline()
}

func (c *callerConn) lockedIdleDeadline() time.Time {
	return c.since.Add(max(c.allowed, c.limits().IdleTimeout) + idleMargin)
}

// readLast reads what has arrived by the end of the idle time. A read whose deadline has
// passed returns none of it.
func (c *callerConn) readLast(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(lastReadTime))
	n, err := c.watchedConn.Read(p)
	if c.isBetweenRequests() {
		n = skipEmptyLines(p[:n])
	}
	if n > 0 {
		c.receive(p[:n])
		return n, err
	}
	idleClosed.Inc()
	return 0, os.ErrDeadlineExceeded
}

// skipEmptyLines cuts the empty lines in front of a request, which servers should ignore, off
// what was read, and returns the length of the rest.
func skipEmptyLines(b []byte) int { return copy(b, bytes.TrimLeft(b, "\r\n")) }

// isBetweenRequests reports whether the server has surely got no part of the next request: an
// empty line may then be in front of it. Otherwise it may be the end of its header.
func (c *callerConn) isBetweenRequests() bool {
	return len(c.tail) == 0 || bytes.HasSuffix(c.tail, []byte("\n\r\n")) || bytes.HasSuffix(c.tail, []byte("\n\n"))
}

// receive records that bytes have arrived.
func (c *callerConn) receive(b []byte) {
	c.tail = append(c.tail, b[max(0, len(b)-tailBytes):]...)
	c.tail = append(c.tail[:0], c.tail[max(0, len(c.tail)-tailBytes):]...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.phase = phaseHeader
		c.headerDeadline = time.Now().Add(c.limits().HeaderTimeout + headerMargin)
	}
}

// serve records that a request is being served, for which reads have no deadline of the
// connection's own.
func (c *callerConn) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseServing {
		c.phase = phaseServing
		_ = c.SetReadDeadline(time.Time{})
	}
}

// wait records that the connection is idle.
func (c *callerConn) wait() {
	c.watchedConn.wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseIdle
	c.since = time.Now()
}

// isUnserved reports whether a header was read that has neither reached the handler nor been
// answered.
func (c *callerConn) isUnserved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseServing && !c.isHandled.Load() && !c.isRefused.Load()
}

// handle records that a request is handled, and how long the caller may leave the connection
// idle after the response.
func (c *callerConn) handle(idle time.Duration) {
	c.serve()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = idle
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	heads  headBounds
	limits func() matcher.Limits
	// tooLarge returns the answer to a head that is too large.
	tooLarge func() string
	record   func(port string, c net.Conn, statusLine string)
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	c, ok := nc.(*acceptor.Conn)
	if err != nil || !ok {
		return nc, err
	}
	limits := l.limits()
	return &callerConn{
		watchedConn: watchedConn{Conn: c, port: callerPort, head: arrivingHead{bounds: &l.heads}, record: l.record},
		limits:      l.limits, tooLarge: l.tooLarge, since: time.Now(), allowed: limits.IdleTimeout,
	}, nil
}

// trackCaller tells a connection in which state the server has it.
func (n *Node) trackCaller(nc net.Conn, state http.ConnState) {
	n.connections.record(nc, state)
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.serve()
	case http.StateIdle:
		c.wait()
	case http.StateClosed:
		c.head.release()
		if c.isUnserved() {
			countUnanswered(unansweredUnserved)
			n.Log.Warn("connection ends with a request that was not served", "address", nc.RemoteAddr().String(), "stopping", n.isStopping())
		}
	case http.StateNew, http.StateHijacked:
	}
}

// callerConnOf returns the connection of a request, or nil if it is not one of a caller.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}
