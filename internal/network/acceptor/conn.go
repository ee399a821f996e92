package acceptor

import (
	"cmp"
	"io"
	"net"
	"sync"
	"time"
)

const (
	defaultWriteStallTime = 10 * time.Second
	// writePieceBytes is how much is written at once.
	writePieceBytes = 32 << 10
)

// gaveWayError is the error of a connection that gives way. It counts as a timeout, so that
// http.Server closes the connection without an answer of its own.
type gaveWayError struct{}

func (gaveWayError) Error() string   { return "the connection gives way to others" }
func (gaveWayError) Timeout() bool   { return true }
func (gaveWayError) Temporary() bool { return false }

// ErrGaveWay is returned by reads from a connection that gives way.
var ErrGaveWay net.Error = gaveWayError{}

// state is what a connection is in.
type state int

const (
	// idle lasts until the first byte of a request.
	idle state = iota
	receiving
	serving
)

// Conn is an accepted connection.
type Conn struct {
	*net.TCPConn
	// host is the IP address of the other end.
	host     string
	listener *Listener

	mu    sync.Mutex
	state state
	// progressAt is when the connection became idle, or last received a part of a request.
	progressAt time.Time
	// received is the size of the request so far.
	received  int64
	isGiving  bool
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.progressAt = time.Now()
		c.received += int64(n)
		if c.state == idle {
			c.state = receiving
		}
		return n, err
	}
	if c.isGiving && err != nil {
		return 0, ErrGaveWay
	}
	return n, err
}

// Write implements net.Conn. It fails if the other end takes nothing for the listener's
// WriteStallTime. A slow one that goes on reading gets all, since each piece has that time.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+writePieceBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(cmp.Or(c.listener.WriteStallTime, defaultWriteStallTime)))
		n, err := c.TCPConn.Write(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom, so that what is copied to the connection is written by Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// SetReadDeadline implements net.Conn. The deadline of a connection that gives way has passed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isGiving {
		t = time.Unix(1, 0)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Host returns the IP address of the other end.
func (c *Conn) Host() string { return c.host }

// Receive records that the rest of a request is read: its body.
func (c *Conn) Receive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = receiving
	c.progressAt = time.Now()
}

// Serve records that a request has arrived whole. It reports false if the connection gives way:
// the request must be refused then.
func (c *Conn) Serve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isGiving {
		c.state = serving
	}
	return !c.isGiving
}

// Wait records that the connection is idle.
func (c *Conn) Wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = idle
	c.received = 0
	c.progressAt = time.Now()
}

// IsGiving reports whether the connection gives way.
func (c *Conn) IsGiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isGiving
}

// GiveWay has the connection give way, unless it serves a request. It reports whether it does so
// since now.
func (c *Conn) GiveWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == serving || c.isGiving {
		return false
	}
	c.isGiving = true
	c.listener.giving.Add(1)
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.closeOnce.Do(func() { c.listener.remove(c) })
	return err
}
