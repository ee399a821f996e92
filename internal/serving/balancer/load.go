package balancer

import (
	"math"
	"sync"
	"time"
)

const (
	// failureDecay is the weight that the failure rate so far keeps after each
	// response.
	failureDecay = 0.85
	// failurePenalty is the number of free slots by which a failure rate of 1
	// reduces the weight of a target.
	failurePenalty = 20
	// failureHalfLife is the time after which a failure rate counts half if the target
	// gets no more requests.
	failureHalfLife = 3 * time.Second
	// failingRate is the failure rate from which a target is reported to other nodes,
	// and peerFailureRate the rate that the report of one node counts for.
	failingRate     = 0.25
	peerFailureRate = 0.3
)

// targetLoad is the state of one target as observed by this node and reported by
// others.
type targetLoad struct {
	mu sync.Mutex
	// localSlots are the slots that requests of this node hold.
	localSlots map[*Slot]struct{}
	// peerCount is the number of requests of the other nodes, from their last reports.
	peerCount int
	// total is the number of requests from all nodes, as reported by another data
	// centre.
	total totalReport
	// lastProgress is when the target last made progress for a request of this node.
	lastProgress time.Time
	// peerProgress is when it last did so for another node, as far as reported, and
	// peerInterval the time between two reports of that node.
	peerProgress time.Time
	peerInterval time.Duration
	// avoidedUntil is until when the target gets no requests after a refusal or a
	// failed connection.
	avoidedUntil time.Time
	// suspectedUntil is until when the target counts as stalled, as observed by this
	// node or reported by another.
	suspectedUntil time.Time
	// locallySuspectedUntil is until when this node suspects the target from its own
	// observation. Only this suspicion is shared with other nodes; otherwise nodes
	// would renew each other's suspicion without end.
	locallySuspectedUntil time.Time
	// failureRate is the moving average of failed responses, between 0 and 1, as of
	// outcomeAt.
	failureRate float64
	outcomeAt   time.Time
	// asked is what the target has asked of its callers.
	asked asked
	// peerFailing is the number of other nodes that report that the target fails.
	peerFailing int
}

// ownFailures returns the failure rate as this node has seen it. l.mu must be held.
func (l *targetLoad) ownFailures(now time.Time) float64 {
	return l.failureRate * math.Exp2(-now.Sub(l.outcomeAt).Seconds()/failureHalfLife.Seconds())
}

// failures returns the failure rate as all nodes have seen it. l.mu must be held.
func (l *targetLoad) failures(now time.Time) float64 {
	return min(max(l.ownFailures(now), float64(l.peerFailing)*peerFailureRate), 1)
}

// totalReport is a reported number of requests in flight.
type totalReport struct {
	count     int
	expiresAt time.Time
}

// count returns the number of requests in flight from all nodes. l.mu must be held.
func (l *targetLoad) count(now time.Time) int {
	n := len(l.localSlots) + l.peerCount
	if now.Before(l.total.expiresAt) {
		n = max(n, l.total.count)
	}
	return n
}

// newestProgress returns when the target last made progress for any node, as far as
// this node knows. l.mu must be held.
func (l *targetLoad) newestProgress() time.Time { return latest(l.lastProgress, l.peerProgress) }

// Slot is the right of one request to be in flight at a target. A nil Slot is that of a
// request which another node has in flight; it records nothing.
type Slot struct {
	Target Target

	load       *targetLoad
	balancer   *Balancer
	queue      *queue
	acquiredAt time.Time
	// onStall is called when the target stalls, and again once it has made progress since.
	// isStalled is set in between.
	onStall   func(error)
	isStalled bool
	released  bool
	// isRemote is set if the target is in another data centre.
	isRemote bool
	// firstEvent is Request.FirstEvent.
	firstEvent time.Duration
	// hasProgress is set once the target has sent something for this request, and
	// progressAt is when it last did.
	hasProgress bool
	progressAt  time.Time
}

// OnStall sets the function that is called when the target stalls, and again when it does
// after it has made progress for the request. It is set only for requests that may be retried
// on another target.
func (s *Slot) OnStall(callback func(error)) {
	s.load.mu.Lock()
	s.onStall = callback
	s.load.mu.Unlock()
}

// IsStalled reports whether the target has made no progress for the request since the function
// of OnStall was last called.
func (s *Slot) IsStalled() bool {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	return s.isStalled
}

// RecordProgress records that the target has sent something for the request, so that it is not
// suspected any longer.
func (s *Slot) RecordProgress() {
	if s == nil {
		return
	}
	now := time.Now()
	s.load.mu.Lock()
	s.load.lastProgress = now
	s.load.suspectedUntil, s.load.locallySuspectedUntil = time.Time{}, time.Time{}
	s.hasProgress, s.progressAt, s.isStalled = true, now, false
	s.load.mu.Unlock()
}

// RecordSuccess records a successful response.
func (s *Slot) RecordSuccess() { s.recordOutcome(0) }

// RecordFailure records a request that failed through the target's fault.
func (s *Slot) RecordFailure() { s.recordOutcome(1) }

func (s *Slot) recordOutcome(v float64) {
	if s == nil {
		return
	}
	now := time.Now()
	s.load.mu.Lock()
	s.load.failureRate = s.load.ownFailures(now)*failureDecay + v*(1-failureDecay)
	s.load.outcomeAt = now
	s.load.mu.Unlock()
}

// Avoid sends no requests to the target for the given time.
func (s *Slot) Avoid(d time.Duration) {
	s.load.mu.Lock()
	if until := time.Now().Add(d); until.After(s.load.avoidedUntil) {
		s.load.avoidedUntil = until
	}
	s.load.mu.Unlock()
}

// Release frees the slot and offers it to waiting requests. Further calls do
// nothing.
func (s *Slot) Release() {
	if s == nil {
		return
	}
	s.load.mu.Lock()
	if s.released {
		s.load.mu.Unlock()
		return
	}
	s.released = true
	delete(s.load.localSlots, s)
	s.load.mu.Unlock()
	s.queue.reuse(s)
}
