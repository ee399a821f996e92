package requester

import (
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"marjorammoor/internal/state/sharder"
)

// lastTime is after the expiry of all connections.
var lastTime = time.Unix(1<<40, 0)

// pool holds idle connections by address and returns the most recently used one first.
type pool struct {
	lists sharder.Map[string, *idleList]
}

type idleList struct {
	mu    sync.Mutex
	conns []*conn
}

// get returns an idle connection to an address, or nil if none can be reused. On one that has just
// had a request of the same echo, a copy of its response could not be told from the next one.
func (p *pool) get(address, echo string) *conn {
	l, ok := p.lists.Get(address)
	if !ok {
		return nil
	}
	for {
		c := l.pop()
		if c == nil {
			return nil
		}
		if time.Now().Before(c.expires) && isReusable(c) && (echo == "" || c.lastEcho != echo) {
			c.written, c.isNew = false, false
			return c
		}
		c.abort()
	}
}

// put adds an idle connection and closes the expired ones to the same address.
func (p *pool) put(c *conn) {
	l := p.lists.GetOrCreate(c.address, func() *idleList { return &idleList{} })
	l.closeExpired(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

func (l *idleList) pop() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	if n == 0 {
		return nil
	}
	c := l.conns[n-1]
	l.conns = l.conns[:n-1]
	return c
}

// HasIdle reports whether there is an idle connection to an address that has not
// expired.
func (c *Client) HasIdle(address string) bool {
	l, ok := c.pool.lists.Get(address)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) > 0 && time.Now().Before(l.conns[len(l.conns)-1].expires)
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	l, ok := c.pool.lists.Get(address)
	if !ok {
		return
	}
	for {
		cn := l.pop()
		if cn == nil {
			return
		}
		cn.abort()
	}
}

// CloseUnused closes the idle connections that have expired, and all to addresses that are not used any
// more. Nothing else looks at an address to which no request is sent.
func (c *Client) CloseUnused(isUsed func(address string) bool) {
	c.pool.lists.Each(func(address string, l *idleList) bool {
		now := time.Now()
		if !isUsed(address) {
			now = lastTime
		}
		l.closeExpired(now)
		return true
	})
}

// closeExpired closes the connections that will have expired at a time.
func (l *idleList) closeExpired(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = slices.DeleteFunc(l.conns, func(c *conn) bool {
		isExpired := at.After(c.expires)
		if isExpired {
			c.abort()
		}
		return isExpired
	})
}

// isReusable reports whether an idle connection is open and has no unread bytes. Such
// bytes would be taken for the response to the next request.
func isReusable(c *conn) bool {
	raw := c.Raw()
	if raw == nil {
		return true
	}
	var peekErr error
	buffer := [1]byte{}
	err := raw.Read(func(fd uintptr) bool {
		n, _, e := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		peekErr = e
		if e == nil && n == 0 {
			peekErr = io.EOF
		}
		return true
	})
	return err == nil && peekErr == unix.EAGAIN
}

// keepAliveTimeout returns the timeout of a Keep-Alive header in seconds.
func keepAliveTimeout(v string) (int, bool) {
	for part := range strings.SplitSeq(v, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(key, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		return seconds, err == nil
	}
	return 0, false
}

// setUserTimeout sets TCP_USER_TIMEOUT, the time after which a connection with
// unacknowledged sent bytes is closed.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
