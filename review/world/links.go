package main

import (
	"net"
	"sync"
)

// link is what the entry VMs reach a runner by. While it is cut, no byte passes in either
// direction, and new connections get no answer. The connections that were open during a cut
// are reset when it ends, and the bytes that were on their way are lost.
type link struct {
	net.Listener

	mu     sync.Mutex
	healed chan struct{}
	conns  map[*linkConn]struct{}
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link *link
	once sync.Once
	// closed is closed with the connection.
	closed chan struct{}
}

// Accept waits for the next connection.
func (l *link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &linkConn{Conn: c, link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]struct{}{}
	}
	l.conns[x] = struct{}{}
	return x, nil
}

// cut silences the link until heal is called.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

// heal ends a cut and resets the connections that were open.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		return
	}
	for x := range l.conns {
		if t, ok := x.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		x.shut()
	}
	clear(l.conns)
	close(l.healed)
	l.healed = nil
}

// wait returns when the link passes bytes, or the connection is closed.
func (x *linkConn) wait() {
	x.link.mu.Lock()
	healed := x.link.healed
	x.link.mu.Unlock()
	if healed == nil {
		return
	}
	select {
	case <-healed:
	case <-x.closed:
	}
}

// Read reads bytes that have passed the link.
func (x *linkConn) Read(p []byte) (int, error) {
	x.wait()
	n, err := x.Conn.Read(p)
	x.wait()
	if x.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends bytes when the link passes them.
func (x *linkConn) Write(p []byte) (int, error) {
	x.wait()
	return x.Conn.Write(p)
}

func (x *linkConn) isClosed() bool {
	select {
	case <-x.closed:
		return true
	default:
		return false
	}
}

func (x *linkConn) shut() {
	x.once.Do(func() {
		close(x.closed)
		_ = x.Conn.Close()
	})
}

// Close closes the connection.
func (x *linkConn) Close() error {
	x.link.mu.Lock()
	delete(x.link.conns, x)
	x.link.mu.Unlock()
	x.shut()
	return nil
}
