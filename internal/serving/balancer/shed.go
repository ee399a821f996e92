package balancer

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// A request that is going to leave the queue without a slot is refused at once, so that
// its caller can come back when there is room and need not wait in vain.

const (
	// shedAfter is how long requests must have waited without a break before the rate
	// of grants is relied on.
	shedAfter = time.Second
	// shedSlack is the factor by which the expected wait must exceed the time that a
	// request may still wait.
	shedSlack = 1.5
)

var shedRequests = metrics.NewCounter(`marjorammoor_requests_shed_total`)

// FullError is the ErrFull of a queue with a known rate of grants.
type FullError struct {
	// Drained is when a request that arrives now would get a slot, as far as the
	// rate of grants shows.
	Drained time.Duration
}

// Error describes the failure.
func (e *FullError) Error() string {
	return fmt.Sprintf("%v; the queue is served in %v", ErrFull, e.Drained.Round(time.Millisecond))
}

// Is reports that the error is an ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// shed removes the waiting requests that cannot expect a slot in time, judged by their
// place in the queue and the rate of grants. q.mu must be held.
func (q *queue) shed(now time.Time) {
	rate := q.grantRate(now)
	if rate == 0 || len(q.waiting) == 0 {
		return
	}
	slices.SortStableFunc(q.waiting, func(x, y *waiter) int { return q.order(x.request, y.request, now) })
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		expected := waitFor(len(kept)+1, rate)
		if expected.Seconds() > shedSlack*w.request.WaitUntil.Sub(now).Seconds() {
			shedRequests.Inc()
			close(w.evicted)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// order compares two waiting requests for sorting.
func (q *queue) order(x, y *Request, now time.Time) int {
	switch {
	case q.comesBefore(x, y, now):
		return -1
	case q.comesBefore(y, x, now):
		return 1
	}
	return 0
}

// grantRate returns the waiting requests that get a slot per second, since the queue was
// last empty when one began to wait, or 0 if it is not known yet. q.mu must be held.
func (q *queue) grantRate(now time.Time) float64 {
	if now.Sub(q.contendedSince) < shedAfter {
		return 0
	}
	// The average also covers time without waiting requests.
	coverage := 1 - decay(now.Sub(q.contendedSince), eventRateWindow)
	return max(q.grants.expected(now, time.Second)/coverage, 1/eventRateWindow.Seconds())
}

// waitFor returns how long n grants take at a rate per second.
func waitFor(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// fullError returns the error for a request that gets no slot. q.mu must be held.
func (q *queue) fullError(now time.Time) error {
	rate := q.grantRate(now)
	if rate == 0 {
		return ErrFull
	}
	return &FullError{Drained: waitFor(len(q.waiting)+1, rate)}
}

func (q *queue) lockedFullError() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fullError(time.Now())
}
