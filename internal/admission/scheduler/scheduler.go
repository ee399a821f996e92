// Package scheduler shares the request slots of a deployment's replicas among
// teams.
//
// A Gate bounds the number of requests in progress. When all slots are taken,
// requests queue per team, and a slot that becomes free goes to the team that has
// received the least in relation to its weight (start-time fair queueing over the
// requests' expected tokens). If a team sends ten times its share, its requests
// wait in its own queue and do not delay the other teams. A request whose queue
// timeout has expired is dropped before it takes a slot.
//
// While several teams are active, a team that holds at least its share can only
// take a slot if more than an eighth of the slots are free, so that the other
// teams' next requests need not wait until one of its requests ends.
//
// # Usage
//
//	g := &scheduler.Gate{}
//	g.SetLimit(64)
//	if err := g.Acquire(ctx, scheduler.Request{Team: "north", Weight: 1, Cost: 200}); err == nil {
//		defer g.Release("north")
//	}
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Errors of Acquire.
var (
	// ErrQueueFull means that the team has MaxQueued requests in its queue.
	ErrQueueFull = trace.LimitExceeded("the team's queue is full")
	// ErrQueueTimeout means that no slot became free within QueueTimeout.
	ErrQueueTimeout = trace.LimitExceeded("no slot became free within the queue timeout")
	// ErrClosed means that the gate has no slots, and therefore queues no requests.
	ErrClosed = trace.NotFound("the gate has no slots")
)

// Request is a request for a slot.
type Request struct {
	Team string
	// Weight is the team's share relative to the other teams' weights; 0 means 1.
	Weight float64
	// Cost is the expected work in tokens; 0 means 1.
	Cost float64
	// MaxQueued is the limit of requests in the team's queue; 0 means no queue.
	MaxQueued int
	// QueueTimeout bounds the time in the queue; 0 means that only ctx bounds it.
	QueueTimeout time.Duration
}

const (
	// reservedDivisor sets the slots that a team at or over its share must leave
	// free for other teams: one in reservedDivisor, rounded up.
	reservedDivisor = 8
	// activeWindow is how long a team counts as active after its last request.
	activeWindow = 10 * time.Second
	// recountInterval is the shortest time between two counts of the active teams.
	recountInterval = 100 * time.Millisecond
)

// Gate bounds the requests in progress and orders those that wait. The zero value
// has no slots.
type Gate struct {
	mu    sync.Mutex
	limit int
	// inUse is the number of slots that requests hold.
	inUse int
	// queued is the number of requests in all queues, abandoned ones excluded.
	queued int
	// virtualTime is the latest virtual start of the requests that got a slot.
	virtualTime float64
	teams       map[string]*queue
	// activeWeight and activeTeams are the sum of the weights and the number of the
	// active teams at recountedAt.
	activeWeight float64
	activeTeams  int
	recountedAt  time.Time
}

// queue is one team's waiting requests in order of arrival, with what the team
// has received so far.
type queue struct {
	waiting []*waiter
	// virtualFinish is the virtual time at which the team's last request would end;
	// its next request starts no earlier.
	virtualFinish float64
	inUse         int
	weight        float64
	lastRequestAt time.Time
}

// waiter is a request in a queue.
type waiter struct {
	queue        *queue
	virtualStart float64
	// granted is closed when the request gets a slot.
	granted chan struct{}
	// abandoned means that the request no longer waits; next drops it.
	abandoned bool
}

// SetLimit changes the number of slots. Requests that hold a slot keep it.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = n
	g.dispatch()
}

// Limit returns the number of slots.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// InUse returns the number of slots that requests hold.
func (g *Gate) InUse() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}

// Queued returns the number of requests in all queues.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queued
}

// Acquire waits for a slot, which the caller returns by Release. Errors:
// ErrQueueFull, ErrQueueTimeout, ErrClosed, or the context's error.
func (g *Gate) Acquire(ctx context.Context, r Request) error {
	w, err := g.enter(r)
	if w == nil || err != nil {
		return err
	}
	var expired <-chan time.Time
	if r.QueueTimeout > 0 {
		t := time.NewTimer(r.QueueTimeout)
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-w.granted:
		return nil
	case <-expired:
		return g.abandon(w, ErrQueueTimeout)
	case <-ctx.Done():
		return g.abandon(w, ctx.Err())
	}
}

// enter takes a free slot and returns nil, or queues the request and returns its
// waiter.
func (g *Gate) enter(r Request) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit == 0 {
		return nil, ErrClosed
	}
	now := time.Now()
	q := g.queueOf(r.Team)
	q.weight, q.lastRequestAt = weight(r), now
	g.recountActive(now)
	start := max(g.virtualTime, q.virtualFinish)
	finish := start + max(r.Cost, 1)/q.weight
	if g.mayTake(q) {
		g.virtualTime = start
		q.virtualFinish = finish
		g.take(q)
		return nil, nil
	}
	if len(q.waiting) >= r.MaxQueued {
		return nil, ErrQueueFull
	}
	w := &waiter{queue: q, virtualStart: start, granted: make(chan struct{})}
	q.virtualFinish = finish
	q.waiting = append(q.waiting, w)
	g.queued++
	return w, nil
}

func (g *Gate) take(q *queue) {
	g.inUse++
	q.inUse++
}

// mayTake reports whether a team's next request can take a slot. With several
// active teams, a team at or over its share must leave some slots free.
func (g *Gate) mayTake(q *queue) bool {
	slots := g.limit
	if g.activeTeams > 1 && g.isOverShare(q) {
		slots -= (g.limit + reservedDivisor - 1) / reservedDivisor
	}
	return g.inUse < slots
}

// isOverShare reports whether a team holds at least its share of the slots.
func (g *Gate) isOverShare(q *queue) bool {
	return float64(q.inUse)*g.activeWeight >= float64(g.limit)*q.weight
}

// recountActive counts the active teams and their weights. It deletes an idle team
// once virtual time has reached the team's virtual finish; until then the queue
// records work that is already charged to the team.
func (g *Gate) recountActive(now time.Time) {
	if now.Sub(g.recountedAt) < recountInterval {
		return
	}
	g.recountedAt = now
	g.activeWeight, g.activeTeams = 0, 0
	for name, q := range g.teams {
		if now.Sub(q.lastRequestAt) < activeWindow || q.inUse > 0 || len(q.waiting) > 0 {
			g.activeWeight += q.weight
			g.activeTeams++
		} else if q.virtualFinish <= g.virtualTime {
			delete(g.teams, name)
		}
	}
}

func weight(r Request) float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Weight
}

// queueOf returns a team's queue, after creating it if there is none.
func (g *Gate) queueOf(name string) *queue {
	if g.teams == nil {
		g.teams = map[string]*queue{}
	}
	q := g.teams[name]
	if q == nil {
		q = &queue{}
		g.teams[name] = q
	}
	return q
}

// abandon ends a request's wait and returns the reason. A slot that was granted in
// the meantime is returned.
func (g *Gate) abandon(w *waiter, reason error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.granted:
		g.inUse--
		w.queue.inUse--
		g.dispatch()
	default:
		w.abandoned = true
		g.queued--
	}
	return reason
}

// Release returns a slot that a team's request holds.
func (g *Gate) Release(team string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	if q := g.teams[team]; q != nil {
		q.inUse--
	}
	g.dispatch()
}

// dispatch grants free slots to queued requests; the caller holds the lock.
func (g *Gate) dispatch() {
	for g.queued > 0 {
		q := g.next()
		if q == nil {
			return
		}
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		g.queued--
		g.take(q)
		g.virtualTime = max(g.virtualTime, w.virtualStart)
		close(w.granted)
	}
}

// next returns the queue whose first request has the earliest virtual start, among
// the teams that may take a slot, or nil. It drops abandoned requests from the head
// of each queue.
func (g *Gate) next() *queue {
	var best *queue
	for _, q := range g.teams {
		for len(q.waiting) > 0 && q.waiting[0].abandoned {
			q.waiting = q.waiting[1:]
		}
		if len(q.waiting) == 0 || !g.mayTake(q) {
			continue
		}
		if best == nil || q.waiting[0].virtualStart < best.waiting[0].virtualStart {
			best = q
		}
	}
	return best
}
