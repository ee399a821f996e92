// Package detector tells whether the other side of a TCP connection has ended it, or whether it
// broke off.
//
// A socket keeps one pending error, such as a reset, and gives it to the first call that asks. If
// that is a write, the next read finds no error but the end of the connection, just as after a FIN.
// The body of an HTTP response without a length ends in the same way. So Read returns io.EOF only
// if the other side has sent a FIN, and the error of the connection otherwise.
//
// # Usage
//
//	nc, err := net.Dial("tcp4", address)
//	c := detector.New(nc)
//	b, err := io.ReadAll(c) // err is nil only if the other side has ended the connection.
package detector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrBroken is returned by Read if the connection has ended without a FIN of the other side. The
// error that another call has got is wrapped beside it.
var ErrBroken = errors.New("the connection broke off")

// tcpCloseWait is the state in unix.TCPInfo of a connection whose other side has sent a FIN, and this
// side none, as in Linux's tcp_states.h.
const tcpCloseWait = 8

// Conn is a connection whose Read returns io.EOF only after a FIN.
type Conn struct {
	net.Conn
	// raw is nil if the connection has no socket.
	raw syscall.RawConn
	// writing is held during a write.
	writing sync.Mutex

	mu sync.Mutex
	// failure is the first error that a call has got from the socket.
	failure error
}

// New returns a connection that tells how the other side has ended nc. Of one without a socket, such
// as a net.Pipe, it passes on each end as it is.
func New(nc net.Conn) *Conn {
	c := &Conn{Conn: nc}
	if s, ok := nc.(syscall.Conn); ok {
		// If that fails, nc is closed already, and so are all reads of it.
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.raw != nil {
		return n, c.endError()
	}
	c.record(err)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// WriteBuffers writes several buffers, at once if the system can.
func (c *Conn) WriteBuffers(v net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := v.WriteTo(c.Conn)
	c.record(err)
	return n, err
}

// Raw returns the socket, or nil if there is none.
func (c *Conn) Raw() syscall.RawConn { return c.raw }

// record keeps the first error of the socket. A deadline or a Close of this process is none.
func (c *Conn) record(err error) {
	errno := syscall.Errno(0)
	if !errors.As(err, &errno) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// endError returns io.EOF if the connection has ended by a FIN, or else the error that it has ended
// with.
func (c *Conn) endError() error {
	if c.isHalfClosed() {
		return io.EOF
	}
	// The connection has ended in both directions, so that a write that is under way ends at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Had no call got the error of the connection, the read would have, unless a FIN came before. A
	// reset after a FIN is EPIPE.
	if c.failure == nil || errors.Is(c.failure, unix.EPIPE) {
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, c.failure)
}

// isHalfClosed reports whether the other side has sent a FIN and this side none. It is false once the
// connection was reset, or closed by this process.
func (c *Conn) isHalfClosed() bool {
	isHalfClosed := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isHalfClosed = err == nil && info.State == tcpCloseWait
	})
	return err == nil && isHalfClosed
}
