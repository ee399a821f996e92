package acceptor

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is how long a request may arrive no further before its connection gives way
	// before others.
	stallTime = time.Second
	// spareShare is the divisor of Max for the connections that may be open while others end to
	// give way to them.
	spareShare = 8
	// closeTime is how long a new connection waits until others that give way to it are closed.
	closeTime = 50 * time.Millisecond
	// batchShare is the divisor of Max for how many connections give way at once.
	batchShare = 64
)

// Reason is why a connection was closed for the sake of others.
type Reason string

// The reasons for which connections are closed.
const (
	// ReasonStalled is a request that did not arrive any further.
	ReasonStalled Reason = "stalled"
	// ReasonIdle is a connection without a request.
	ReasonIdle Reason = "idle_for_others"
	// ReasonReceiving is a request that still arrived.
	ReasonReceiving Reason = "receiving"
	// ReasonFull is a connection that came while all others served requests.
	ReasonFull Reason = "full"
)

// Listener accepts connections. Set Listener before use.
type Listener struct {
	net.Listener
	// Max returns how many connections may be open; nil means any number.
	Max func() int
	// OnGiveWay, if set, is called for each connection that gives way, or is closed as it comes.
	OnGiveWay func(c *Conn, reason Reason)
	// WriteStallTime is how long the other end may take nothing of what is written; 0 means ten
	// seconds.
	WriteStallTime time.Duration

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// giving is how many of them give way and are still open.
	giving atomic.Int64
	// removed is closed when one is removed; nil means that nothing waits for that.
	removed chan struct{}
}

// Accept implements net.Listener. It returns the next connection that may stay open, which is a
// *Conn if it is one of TCP.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		tcp, ok := nc.(*net.TCPConn)
		if err != nil || !ok {
			return nc, err
		}
		c := &Conn{TCPConn: tcp, host: hostOf(nc), listener: l, progressAt: time.Now()}
		if l.addOrWait(c) {
			return c, nil
		}
		l.report(c, ReasonFull)
		_ = tcp.Close()
	}
}

// addOrWait adds a connection once others have been closed for it, or reports that it may not stay.
func (l *Listener) addOrWait(c *Conn) bool {
	added, removed := l.add(c)
	if added {
		return true
	}
	timeout := time.After(closeTime)
	for !added && l.giving.Load() > 0 {
		select {
		case <-removed:
			added, removed = l.add(c)
		case <-timeout:
			return false
		}
	}
	return added
}

// hostOf returns the IP address of the other end.
func hostOf(nc net.Conn) string {
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return ""
}

// add adds a connection and has others give way to it. If there is no room yet, it returns what is
// closed when the next one is removed.
func (l *Listener) add(c *Conn) (added bool, removed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := math.MaxInt32
	if l.Max != nil {
		limit = l.Max()
	}
	spare := max(limit/spareShare, 1)
	if over := len(l.conns) - int(l.giving.Load()) + 1 - (limit - spare); over > 0 {
		l.makeRoom(over + limit/batchShare)
	}
	if len(l.conns) >= limit {
		if l.removed == nil {
			l.removed = make(chan struct{})
		}
		return false, l.removed
	}
	if l.conns == nil {
		l.conns = map[*Conn]struct{}{}
	}
	l.conns[c] = struct{}{}
	return true, nil
}

// remove removes a connection that was closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.IsGiving() {
		l.giving.Add(-1)
	}
	delete(l.conns, c)
	if l.removed != nil {
		close(l.removed)
		l.removed = nil
	}
}

// Track records the state in which an http.Server has a connection, for servers that leave the
// rest to it.
func Track(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.Serve()
	case http.StateIdle:
		c.Wait()
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// candidate is a connection that may give way.
type candidate struct {
	conn       *Conn
	reason     Reason
	progressAt time.Time
	received   int64
	// crowd is how many idle connections its address has.
	crowd int
}

// makeRoom has so many connections give way, or as many as may. l.mu must be held.
func (l *Listener) makeRoom(count int) {
	list := l.candidates()
	slices.SortFunc(list, compare)
	for _, x := range list {
		if count <= 0 {
			return
		}
		if x.conn.GiveWay() {
			count--
			l.report(x.conn, x.reason)
		}
	}
}

// candidates returns the connections that may give way. l.mu must be held.
func (l *Listener) candidates() []candidate {
	list := []candidate{}
	crowds := map[string]int{}
	for c := range l.conns {
		x, ok := c.candidate()
		if !ok {
			continue
		}
		if x.reason == ReasonIdle {
			crowds[c.host]++
		}
		list = append(list, x)
	}
	for i := range list {
		if list[i].reason == ReasonIdle {
			list[i].crowd = crowds[list[i].conn.host]
		}
	}
	return list
}

// candidate reports whether the connection may give way, and how it stands.
func (c *Conn) candidate() (candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := candidate{conn: c, reason: ReasonReceiving, progressAt: c.progressAt, received: c.received}
	switch {
	case c.isGiving || c.state == serving:
		return x, false
	case c.state == idle:
		x.reason = ReasonIdle
	case time.Since(c.progressAt) >= stallTime:
		x.reason = ReasonStalled
	}
	return x, true
}

// compare orders connections by who gives way first.
func compare(x, y candidate) int {
	rank := map[Reason]int{ReasonStalled: 0, ReasonIdle: 1, ReasonReceiving: 2}
	return cmp.Or(
		cmp.Compare(rank[x.reason], rank[y.reason]),
		cmp.Compare(y.crowd, x.crowd),
		cmp.Compare(y.received, x.received),
		x.progressAt.Compare(y.progressAt),
	)
}

func (l *Listener) report(c *Conn, reason Reason) {
	if l.OnGiveWay != nil {
		l.OnGiveWay(c, reason)
	}
}
