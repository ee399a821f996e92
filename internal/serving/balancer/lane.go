package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxWaiting bounds the requests of a lane that wait at one node. More could
// not be served before they give up.
const maxWaiting = 256

var queueTimes = metrics.NewHistogram(`marjorammoor_place_wait_seconds`)

type laneKey struct{ service, model string }

// lane holds the requests that wait for the same targets.
type lane struct {
	mu      sync.Mutex
	waiting []*waiter
	rates   rates
}

// Waits reports whether requests for a model wait for a place.
func (b *Balancer) Waits(service, model string) bool {
	l, ok := b.lanes.Get(laneKey{service, model})
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

type waiter struct {
	request *Request
	ready   chan *Place
	// evicted is closed when the request has to give up its turn.
	evicted chan struct{}
}

func (l *lane) acquire(ctx context.Context, b *Balancer, r *Request) (*Place, error) {
	l.rates.note(r.Team, time.Now())
	l.mu.Lock()
	if !l.hasEarlier(r) {
		if p := b.take(l, r); p != nil {
			l.mu.Unlock()
			return p, nil
		}
	}
	if len(l.waiting) >= maxWaiting && !l.evict(r) {
		l.mu.Unlock()
		return nil, ErrFull
	}
	w := &waiter{request: r, ready: make(chan *Place, 1), evicted: make(chan struct{})}
	l.waiting = append(l.waiting, w)
	b.waiting.Add(1)
	l.mu.Unlock()
	defer b.waiting.Add(-1)
	return l.wait(ctx, b, w)
}

// hasEarlier reports whether a waiting request of the same or a higher rank
// comes before r.
func (l *lane) hasEarlier(r *Request) bool {
	now := time.Now()
	for _, w := range l.waiting {
		if l.comesBefore(w.request, r, now) {
			return true
		}
	}
	return false
}

// comesBefore orders waiting requests: those that can meet their objective
// first, then by priority, then those of teams that do not send much more than
// usual, then by arrival.
func (l *lane) comesBefore(x, y *Request, now time.Time) bool {
	xLate, yLate := now.After(x.Objective), now.After(y.Objective)
	switch {
	case xLate != yLate:
		return yLate
	case x.Priority != y.Priority:
		return x.Priority < y.Priority
	}
	if x.Team != y.Team {
		if xOver, yOver := l.rates.isOver(x.Team, now), l.rates.isOver(y.Team, now); xOver != yOver {
			return yOver
		}
	}
	return x.Arrived.Before(y.Arrived)
}

// evict takes the last request of a team that sends much more than usual out of a
// full queue, for one of another team. l.mu is held.
func (l *lane) evict(r *Request) bool {
	now := time.Now()
	if l.rates.isOver(r.Team, now) {
		return false
	}
	for i := len(l.waiting) - 1; i >= 0; i-- {
		w := l.waiting[i]
		if w.request.Team != r.Team && l.rates.isOver(w.request.Team, now) {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			close(w.evicted)
			return true
		}
	}
	return false
}

func (l *lane) wait(ctx context.Context, b *Balancer, w *waiter) (*Place, error) {
	started := time.Now()
	defer queueTimes.UpdateDuration(started)
	t := time.NewTimer(time.Until(w.request.GiveUp))
	defer t.Stop()
	select {
	case p := <-w.ready:
		return p, nil
	case <-w.evicted:
		return nil, ErrFull
	case <-t.C:
	case <-ctx.Done():
	}
	if p := l.leave(w); p != nil {
		if ctx.Err() == nil {
			return p, nil
		}
		p.Release()
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	if len(b.View().Targets(w.request.Service, w.request.Model)) == 0 {
		return nil, ErrNoTarget
	}
	return nil, ErrFull
}

// leave removes a waiter, or returns the place that it was given meanwhile.
func (l *lane) leave(w *waiter) *Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.waiting {
		if x == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return nil
		}
	}
	select {
	case p := <-w.ready:
		return p
	case <-w.evicted:
		return nil
	}
}

// dispatch gives free places to waiting requests in order. If the first one may
// not have any of them, the first that may have every place is tried.
func (l *lane) dispatch(b *Balancer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		i := l.first(nil)
		if l.give(b, i) {
			continue
		}
		if l.isUnbound(l.waiting[i].request) || !l.give(b, l.first(l.isUnbound)) {
			return
		}
	}
}

// give takes a place for the i-th waiting request and reports whether there was
// one. l.mu is held.
func (l *lane) give(b *Balancer, i int) bool {
	if i < 0 {
		return false
	}
	w := l.waiting[i]
	p := b.take(l, w.request)
	if p == nil {
		return false
	}
	l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
	w.ready <- p
	return true
}

// isUnbound reports whether a request may have every place.
func (l *lane) isUnbound(r *Request) bool {
	return len(r.Tried) == 0 && !l.rates.isOver(r.Team, time.Now())
}

// first returns the index of the first waiting request in order, of those that
// match if match is set, or -1. l.mu is held.
func (l *lane) first(match func(r *Request) bool) int {
	now := time.Now()
	first := -1
	for i, w := range l.waiting {
		if match != nil && !match(w.request) {
			continue
		}
		if first < 0 || l.comesBefore(w.request, l.waiting[first].request, now) {
			first = i
		}
	}
	return first
}
