package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxWaiting bounds the requests that wait in one queue of this node. More could not
// be served before they time out.
const maxWaiting = 256

var waitDurations = metrics.NewHistogram(`marjorammoor_place_wait_seconds`)

type queueKey struct{ service, model string }

// String returns the name of the queue in reports.
func (k queueKey) String() string { return k.service + "/" + k.model }

// queue holds the requests that wait for the same targets, in the order in which
// they started to wait.
type queue struct {
	mu      sync.Mutex
	waiting []*waiter
	rates   teamRates
	// arrivals is the rate at which requests arrive, and grants the rate at which
	// waiting requests get slots.
	arrivals, grants eventRate
	// holds is how long requests hold their slots.
	holds holdTime
	// reportInterval is the time between two reports of a node of this data centre.
	reportInterval time.Duration
	// contendedSince is the time since which requests have waited without a break.
	contendedSince time.Time
	// local and remote are this node's shares of the free slots in this data centre
	// and in others.
	local, remote share
}

// HasWaiting reports whether requests for a model are waiting for a slot.
func (b *Balancer) HasWaiting(service, model string) bool {
	q, ok := b.queues.Get(queueKey{service, model})
	if !ok {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

type waiter struct {
	request *Request
	ready   chan *Slot
	// evicted is closed when the request is removed from a full queue in favor of
	// another one.
	evicted chan struct{}
	// cause is why, if the queue is not full.
	cause error
}

func (q *queue) acquire(ctx context.Context, b *Balancer, r *Request) (*Slot, error) {
	now := time.Now()
	q.rates.record(r.Team, now)
	q.mu.Lock()
	if !q.hasPreceding(r) {
		if s := b.tryAcquire(q, r); s != nil {
			q.arrivals.record(now)
			q.mu.Unlock()
			return s, nil
		}
	}
	if err := b.hopeless(r, now); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	q.arrivals.record(now)
	if len(q.waiting) >= maxWaiting && !q.evict(r) {
		err := q.fullError(now)
		q.mu.Unlock()
		return nil, err
	}
	if len(q.waiting) == 0 {
		q.contendedSince = now
	}
	w := &waiter{request: r, ready: make(chan *Slot, 1), evicted: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	b.waiting.Add(1)
	q.mu.Unlock()
	defer b.waiting.Add(-1)
	return q.wait(ctx, b, w)
}

// hasPreceding reports whether a waiting request is to be served before r. q.mu must
// be held.
func (q *queue) hasPreceding(r *Request) bool {
	now := time.Now()
	for _, w := range q.waiting {
		if q.comesBefore(w.request, r, now) {
			return true
		}
	}
	return false
}

// comesBefore defines the order of waiting requests: first those that can still meet
// their objective, then by priority, then those of teams that are not bursting, then
// by arrival.
func (q *queue) comesBefore(x, y *Request, now time.Time) bool {
	xLate, yLate := x.isLate(now), y.isLate(now)
	switch {
	case xLate != yLate:
		return yLate
	case x.Priority != y.Priority:
		return x.Priority < y.Priority
	}
	if x.Team != y.Team {
		if xBursting, yBursting := q.rates.isBursting(x.Team, now), q.rates.isBursting(y.Team, now); xBursting != yBursting {
			return yBursting
		}
	}
	return x.Arrived.Before(y.Arrived)
}

// evict makes room in a full queue for r: it removes the last waiting request of
// another team that is bursting, and reports whether there was one. A request of a
// bursting team evicts none. q.mu must be held.
func (q *queue) evict(r *Request) bool {
	now := time.Now()
	if q.rates.isBursting(r.Team, now) {
		return false
	}
	for i := len(q.waiting) - 1; i >= 0; i-- {
		w := q.waiting[i]
		if w.request.Team != r.Team && q.rates.isBursting(w.request.Team, now) {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			close(w.evicted)
			return true
		}
	}
	return false
}

func (q *queue) wait(ctx context.Context, b *Balancer, w *waiter) (*Slot, error) {
	started := time.Now()
	defer waitDurations.UpdateDuration(started)
	t := time.NewTimer(time.Until(w.request.WaitUntil))
	defer t.Stop()
	select {
	case s := <-w.ready:
		return s, nil
	case <-w.evicted:
		if w.cause != nil {
			return nil, w.cause
		}
		return nil, q.lockedFullError()
	case <-t.C:
	case <-ctx.Done():
	}
	if s := q.remove(w); s != nil {
		if ctx.Err() == nil {
			return s, nil
		}
		s.Release()
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if len(b.View().Targets(w.request.Service, w.request.Model)) == 0 {
		return nil, ErrNoTarget
	}
	return nil, q.lockedFullError()
}

// remove removes a waiter from the queue. If the waiter was granted a slot in the
// meantime, it returns that slot.
func (q *queue) remove(w *waiter) *Slot {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, x := range q.waiting {
		if x == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return nil
		}
	}
	select {
	case s := <-w.ready:
		return s
	case <-w.evicted:
		return nil
	}
}

// reuse offers a slot that a request of this node has left to the waiting requests,
// beyond the queue's share of the free slots.
func (q *queue) reuse(s *Slot) {
	q.mu.Lock()
	q.holds.record(time.Since(s.acquiredAt))
	if len(q.waiting) > 0 {
		if s.isRemote {
			q.remote.slots++
		} else {
			q.local.slots++
		}
	}
	q.mu.Unlock()
	q.dispatch(s.balancer)
}

// dispatch grants free slots to waiting requests in order. If the first request gets
// none, because it excludes targets it has tried or its team is bursting, the first
// unrestricted request is tried, so that a free slot does not stay unused.
func (q *queue) dispatch(b *Balancer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	defer q.shed(time.Now())
	for len(q.waiting) > 0 {
		i := q.first(nil)
		if q.grant(b, i) {
			continue
		}
		if q.isUnrestricted(q.waiting[i].request) || !q.grant(b, q.first(q.isUnrestricted)) {
			return
		}
	}
}

// grant acquires a slot for the i-th waiting request and reports whether one was
// free. A negative i means no request. q.mu must be held.
func (q *queue) grant(b *Balancer, i int) bool {
	if i < 0 {
		return false
	}
	w := q.waiting[i]
	s := b.tryAcquire(q, w.request)
	if s == nil {
		return false
	}
	q.grants.record(time.Now())
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	w.ready <- s
	return true
}

// isUnrestricted reports whether a request may use any free slot.
func (q *queue) isUnrestricted(r *Request) bool {
	return len(r.Tried) == 0 && !q.rates.isBursting(r.Team, time.Now())
}

// first returns the index of the first waiting request in order, among those that
// match accepts if match is set, or -1. q.mu must be held.
func (q *queue) first(match func(r *Request) bool) int {
	now := time.Now()
	first := -1
	for i, w := range q.waiting {
		if match != nil && !match(w.request) {
			continue
		}
		if first < 0 || q.comesBefore(w.request, q.waiting[first].request, now) {
			first = i
		}
	}
	return first
}
