// Package scheduler shares the places of a deployment's replicas among teams.
//
// A Gate lets a bounded number of requests through at once. When all places are
// taken, requests queue per team, and a place that becomes free goes to the team
// that has received least in relation to its weight (start-time fair queueing
// over the requests' expected tokens). A team that sends ten times its share
// waits in its own queue; the others' requests pass it. Requests whose time in
// queue has run out are dropped before they take a place.
//
// While several teams are active, a team that holds more than its share leaves an
// eighth of the places free, so that the others' next requests need not wait for
// one of its own to end.
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
	// ErrQueueFull says that the team has too many requests in queue.
	ErrQueueFull = trace.LimitExceeded("team's queue is full")
	// ErrQueueTimeout says that no place became free in time.
	ErrQueueTimeout = trace.LimitExceeded("time in queue has run out")
	// ErrClosed says that the gate has no places and takes no queue.
	ErrClosed = trace.NotFound("no places")
)

// Request is a request for a place.
type Request struct {
	Team string
	// Weight is the team's share in relation to others; 0 means 1.
	Weight float64
	// Cost is the expected work, in tokens; 0 means 1.
	Cost float64
	// MaxQueued bounds the team's queue; 0 means no queue.
	MaxQueued int
	// QueueTimeout bounds the time in queue; 0 means only ctx does.
	QueueTimeout time.Duration
}

const (
	// reservedPart is the part of the places, as a divisor, that teams over their
	// share leave free for the others.
	reservedPart = 8
	// activeTime is how long a team counts as active after its last request.
	activeTime = 10 * time.Second
	// shareInterval is how often the teams' shares are computed.
	shareInterval = 100 * time.Millisecond
)

// Gate bounds and orders requests. The zero value has no places.
type Gate struct {
	mu      sync.Mutex
	limit   int
	inUse   int
	queued  int
	virtual float64
	teams   map[string]*queue
	// activeWeight and activeTeams sum up the teams that were active lately.
	activeWeight float64
	activeTeams  int
	sharedAt     time.Time
}

// queue is one team's requests in order of arrival.
type queue struct {
	waiting []*waiter
	// finish is the virtual time at which the team's last request would end.
	finish float64
	inUse  int
	weight float64
	seenAt time.Time
}

type waiter struct {
	team    *queue
	start   float64
	granted chan struct{}
	gone    bool
}

// SetLimit changes the number of places. Requests that hold one keep it.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = n
	g.dispatch()
}

// Limit returns the number of places.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// InUse returns the number of places taken.
func (g *Gate) InUse() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}

// Queued returns the number of requests in queue.
func (g *Gate) Queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queued
}

// Acquire waits for a place, which the caller gives back by Release. Errors:
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
		return g.leave(w, ErrQueueTimeout)
	case <-ctx.Done():
		return g.leave(w, ctx.Err())
	}
}

// enter takes a free place and returns nil, or queues the request.
func (g *Gate) enter(r Request) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit == 0 {
		return nil, ErrClosed
	}
	now := time.Now()
	q := g.team(r.Team)
	q.weight, q.seenAt = weight(r), now
	g.share(now)
	start := max(g.virtual, q.finish)
	finish := start + max(r.Cost, 1)/q.weight
	if g.mayTake(q) {
		g.virtual = start
		q.finish = finish
		g.take(q)
		return nil, nil
	}
	if len(q.waiting) >= r.MaxQueued {
		return nil, ErrQueueFull
	}
	w := &waiter{team: q, start: start, granted: make(chan struct{})}
	q.finish = finish
	q.waiting = append(q.waiting, w)
	g.queued++
	return w, nil
}

func (g *Gate) take(q *queue) {
	g.inUse++
	q.inUse++
}

// mayTake reports whether there is a place for a team's next request.
func (g *Gate) mayTake(q *queue) bool {
	places := g.limit
	if g.activeTeams > 1 && g.isOverShare(q) {
		places -= (g.limit + reservedPart - 1) / reservedPart
	}
	return g.inUse < places
}

// isOverShare reports whether a team holds at least its share of the places.
func (g *Gate) isOverShare(q *queue) bool {
	return float64(q.inUse)*g.activeWeight >= float64(g.limit)*q.weight
}

// share sums up the active teams, and forgets those that have long been idle.
func (g *Gate) share(now time.Time) {
	if now.Sub(g.sharedAt) < shareInterval {
		return
	}
	g.sharedAt = now
	g.activeWeight, g.activeTeams = 0, 0
	for name, q := range g.teams {
		if now.Sub(q.seenAt) < activeTime || q.inUse > 0 || len(q.waiting) > 0 {
			g.activeWeight += q.weight
			g.activeTeams++
		} else if q.finish <= g.virtual {
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

func (g *Gate) team(name string) *queue {
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

// leave takes a request out of the queue. A place that was granted meanwhile is
// given back.
func (g *Gate) leave(w *waiter, reason error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.granted:
		g.inUse--
		w.team.inUse--
		g.dispatch()
	default:
		w.gone = true
		g.queued--
	}
	return reason
}

// Release gives a team's place back.
func (g *Gate) Release(team string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	if q := g.teams[team]; q != nil {
		q.inUse--
	}
	g.dispatch()
}

// dispatch grants free places; the caller holds the lock.
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
		g.virtual = max(g.virtual, w.start)
		close(w.granted)
	}
}

// next returns the queue whose first request starts earliest in virtual time, of
// those that may take a place, after dropping requests that have gone.
func (g *Gate) next() *queue {
	var best *queue
	for _, q := range g.teams {
		for len(q.waiting) > 0 && q.waiting[0].gone {
			q.waiting = q.waiting[1:]
		}
		if len(q.waiting) == 0 || !g.mayTake(q) {
			continue
		}
		if best == nil || q.waiting[0].start < best.waiting[0].start {
			best = q
		}
	}
	return best
}
