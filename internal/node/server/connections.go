package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"marjorammoor/internal/timing/repeater"
)

// idleCheckInterval is the time between two rounds in which idle connections are ended.
const idleCheckInterval = 20 * time.Millisecond

// openConnections are the open connections of callers and of other nodes. The zero value has
// none.
type openConnections struct {
	mu    sync.Mutex
	count int
	// idle has the connections on which no request has been read since the last response. Its
	// values tell which of them have been ended.
	idle map[net.Conn]bool
}

// record records the state of a connection. It is called before a request is served.
func (o *openConnections) record(c net.Conn, s http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.idle[c] && s == http.StateActive {
		// A request was read just before the connection was ended.
		_ = c.SetReadDeadline(time.Time{})
	}
	delete(o.idle, c)
	switch s {
	case http.StateNew:
		o.count++
	case http.StateIdle:
		if o.idle == nil {
			o.idle = map[net.Conn]bool{}
		}
		o.idle[c] = false
	case http.StateClosed, http.StateHijacked:
		o.count--
	case http.StateActive:
	}
}

// endIdle makes the servers close the idle connections, but those on which they have read a
// request, and returns the number of open connections. http.Server's own ways to close idle
// connections also close those.
func (o *openConnections) endIdle() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.idle {
		o.idle[c] = true
		_ = c.SetReadDeadline(time.Now())
	}
	return o.count
}

// awaitEnd ends idle connections until none is open or ctx ends.
func (o *openConnections) awaitEnd(ctx context.Context) {
	for o.endIdle() > 0 && ctx.Err() == nil {
		repeater.Sleep(ctx, idleCheckInterval)
	}
}

// closeUnused closes the idle connections to runners that have left, and all others that have expired.
// Their descriptors are taken from those of callers.
func (n *Node) closeUnused() {
	n.Client.CloseUnused(n.newUsedAddresses())
	n.deliverer.Client.CloseUnused(func(string) bool { return true })
}

// newUsedAddresses returns a function that reports whether a runner has an address. Before the first
// list of runners any may have one.
func (n *Node) newUsedAddresses() func(address string) bool {
	view := n.tracker.View()
	if view == nil {
		return func(string) bool { return true }
	}
	used := map[string]bool{}
	for _, r := range view.Runners {
		used[r.Address] = true
	}
	return func(address string) bool { return used[address] }
}
