package balancer

import (
	"errors"
	"fmt"
	"time"
)

// asked is what a target has asked of its callers in its responses. The zero value is nothing.
type asked struct {
	// limit is the rate of requests that the target takes from all nodes.
	limit limit
	// pausedUntil is until when the target wants no requests from this node.
	pausedUntil time.Time
}

// ErrPaused reports that no target wants requests from this node now.
var ErrPaused = errors.New("all targets want no requests now")

// PausedError is an ErrPaused with the time until the first target wants requests again.
type PausedError struct{ Remaining time.Duration }

// Error describes the failure.
func (e *PausedError) Error() string {
	return fmt.Sprintf("%v, for %v", ErrPaused, e.Remaining.Round(time.Millisecond))
}

// Is reports that the error is an ErrPaused.
func (e *PausedError) Is(target error) bool { return target == ErrPaused }

// Pause sends no requests to the target for a time that it has asked for. A later response
// may make it longer, but none makes it shorter.
func (s *Slot) Pause(d time.Duration) {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	if until := time.Now().Add(d); until.After(s.load.asked.pausedUntil) {
		s.load.asked.pausedUntil = until
	}
}

// IsPaused reports whether a target wants no requests from this node now.
func (b *Balancer) IsPaused(id string) bool {
	l, ok := b.loads.Get(id)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.asked.pausedUntil)
}

// allPaused returns a *PausedError if all targets that this node reaches want no requests.
func (b *Balancer) allPaused(r *Request, now time.Time) error {
	first := time.Time{}
	for _, t := range b.View().Targets(r.Service, r.Model) {
		if r.hasTried(t.ID) || !b.isInReach(t) {
			continue
		}
		l := b.load(t.ID)
		l.mu.Lock()
		until := l.asked.pausedUntil
		l.mu.Unlock()
		if !now.Before(until) {
			return nil
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return nil
	}
	return &PausedError{Remaining: first.Sub(now)}
}

// hopeless returns why a request that gets no slot does not wait for one, or nil.
func (b *Balancer) hopeless(r *Request, now time.Time) error {
	if b.mustLeave(r) {
		return ErrUnreachable
	}
	return b.allPaused(r, now)
}

// leaveHopeless removes the requests from the queues that wait in vain.
func (b *Balancer) leaveHopeless() {
	if b.waiting.Load() == 0 {
		return
	}
	now := time.Now()
	b.queues.Each(func(_ queueKey, q *queue) bool {
		q.leaveHopeless(b, now)
		return true
	})
}

func (q *queue) leaveHopeless(b *Balancer, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if w.cause = b.hopeless(w.request, now); w.cause != nil {
			close(w.evicted)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}
