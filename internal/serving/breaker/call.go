package breaker

import (
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Request is what may crash runners: shared parts of a prompt, or the request itself.
type Request struct {
	// Parts are the IDs of the shared parts of the prompt, in order; nil means that there are none.
	Parts iter.Seq[string]
	// Fingerprint returns the same value for each repeat of the request, at any node. It is
	// called only while something is suspected. If nil, only the parts are.
	Fingerprint func() string
}

const (
	// maxRequestParts bounds the parts of a prompt that are kept.
	maxRequestParts = 8 << 10
	// maxHeldKeys is the number of keys up to which they are kept for the time of the call.
	maxHeldKeys = 64
)

// Call is a request over all its attempts.
type Call struct {
	breaker *Breaker
	request Request
	cancel  func(cause error)
	// held are the keys once they are known, unless there are many.
	held atomic.Pointer[[]Key]

	mu sync.Mutex
	// runner is the runner of the current attempt, sentAt when it was sent, isAnswered whether
	// the runner has begun its response, and events the number of events that it has sent.
	runner     Runner
	sentAt     time.Time
	isAnswered bool
	events     int
	// isPending is set while the runner may work on the request.
	isPending bool
	// isBroken is set if the runner has broken off the current attempt.
	isBroken bool
	// mayEndRunner is set if the last attempt ended before the runner had answered.
	mayEndRunner bool
}

// Admit registers a request until Done is called. It returns a *BlockedError if the
// request or one of its parts is blocked. cancel is called with such an error if it is
// blocked before a runner has begun its response.
func (b *Breaker) Admit(q Request, cancel func(cause error)) (*Call, error) {
	c := &Call{breaker: b, request: q, cancel: cancel}
	b.calls.Set(c, struct{}{})
	if err := b.checkIfAlert(c, false); err != nil {
		b.calls.Delete(c)
		return nil, err
	}
	return c, nil
}

// keys returns what may be to blame for a crash: the parts in order and the request itself, which
// fewer sound requests have than any part.
func (c *Call) keys() []Key {
	if held := c.held.Load(); held != nil {
		return *held
	}
	keys := c.request.partKeys()
	if c.request.Fingerprint != nil {
		keys = append(keys, requestKey(c.request.Fingerprint()))
	}
	if len(keys) <= maxHeldKeys {
		c.held.Store(&keys)
	}
	return keys
}

// partKeys returns the keys of the parts in order.
func (q *Request) partKeys() []Key {
	keys := []Key{}
	if q.Parts == nil {
		return keys
	}
	for id := range q.Parts {
		if len(keys) == maxRequestParts {
			partsDropped.Inc()
			break
		}
		keys = append(keys, PartKey(id))
	}
	return keys
}

// checkIfAlert checks a call while anything is suspected. If tries is set, the call may
// become the one that tries a key again.
func (b *Breaker) checkIfAlert(c *Call, tries bool) error {
	if !b.isAlert.Load() {
		return nil
	}
	keys := c.keys()
	b.mu.Lock()
	defer b.mu.Unlock()
	if tries {
		return b.check(keys, c)
	}
	return b.check(keys, nil)
}

// Start records that the request is about to be sent to a runner. It returns a
// *BlockedError if it is blocked meanwhile; the request must not be sent.
func (c *Call) Start(r Runner) error {
	c.End()
	if err := c.breaker.checkIfAlert(c, true); err != nil {
		return err
	}
	c.mu.Lock()
	c.runner, c.sentAt, c.isAnswered, c.events, c.isPending, c.isBroken = r, c.breaker.now(), false, 0, true, false
	c.mu.Unlock()
	return nil
}

// Settle records that the runner does not work on the request: it has not got it, has refused it
// or has sent its whole response, which need not prove anything.
func (c *Call) Settle() {
	c.mu.Lock()
	c.isPending = false
	c.mu.Unlock()
}

// End records that the attempt is over, whoever has ended it. A runner that has not answered may
// still end under the request.
func (c *Call) End() {
	c.mu.Lock()
	r, isUnanswered := c.runner, c.isPending && c.events < soundEvents
	q := unanswered{sentAt: c.sentAt, endedAt: c.breaker.now(), isBroken: c.isBroken}
	c.mayEndRunner = c.mayEndRunner && !c.isPending || isUnanswered
	c.isPending = false
	c.mu.Unlock()
	if isUnanswered {
		q.keys = c.keys()
		c.breaker.recordUnanswered(r, q)
	}
}

// RecordResponse records that the runner has begun its response. The request is not cancelled
// any more: it may be sound.
func (c *Call) RecordResponse() {
	c.mu.Lock()
	c.isAnswered = true
	c.mu.Unlock()
}

// RecordEvents records that the runner has sent events.
func (c *Call) RecordEvents(n int) {
	c.mu.Lock()
	before := c.events
	c.events += n
	c.isAnswered = true
	isSound := before < soundEvents && c.events >= soundEvents
	c.mu.Unlock()
	if isSound {
		c.breaker.proveSound(c)
	}
}

// Complete records that the runner has sent its whole response, and that it was no error: one
// that gives up on a request may not have come to what crashes it.
func (c *Call) Complete() { c.RecordEvents(soundEvents) }

// Break records that the runner closed the connection before the end of its response. End must
// follow.
func (c *Call) Break() {
	c.mu.Lock()
	r, sentAt, isSound := c.runner, c.sentAt, c.events >= soundEvents
	c.isBroken = true
	c.mu.Unlock()
	if isSound {
		return
	}
	b := c.breaker
	if b.isAlert.Load() {
		b.mu.Lock()
		failed := b.recordFailedTry(c)
		b.mu.Unlock()
		b.cancelCalls(failed)
	}
	b.recordBreak(r, sentAt)
}

// MayRepeat reports whether the request may be sent to another runner after one broke it
// off: no runner has ended under it or one of its parts since that last proved sound.
func (c *Call) MayRepeat() bool {
	b := c.breaker
	if !b.isAlert.Load() {
		return true
	}
	keys := c.keys()
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.ContainsFunc(keys, b.evidence.isSuspect)
}

// Done removes the request.
func (c *Call) Done() {
	c.End()
	b := c.breaker
	b.calls.Delete(c)
	if !b.isAlert.Load() {
		return
	}
	c.mu.Lock()
	pause := time.Duration(0)
	if c.mayEndRunner {
		pause = unansweredLifetime
	}
	c.mu.Unlock()
	b.mu.Lock()
	b.endTry(c, pause)
	b.mu.Unlock()
}

func (c *Call) isBeingAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isAnswered
}
