package breaker

import "sync"

// Call is a request with shared parts, over all its attempts.
type Call struct {
	breaker *Breaker
	parts   []string
	cancel  func(cause error)

	mu sync.Mutex
	// runner is the runner of the current attempt, and events the number of events that
	// it has sent.
	runner Runner
	events int
}

// Admit registers a request until Done is called. It returns a *BlockedError if one of
// the parts is blocked. cancel is called with such an error if a part is blocked before
// an event was received.
func (b *Breaker) Admit(parts []string, cancel func(cause error)) (*Call, error) {
	c := &Call{breaker: b, parts: parts, cancel: cancel}
	if len(parts) == 0 {
		return c, nil
	}
	b.calls.Set(c, struct{}{})
	if err := b.checkIfAlert(parts, nil); err != nil {
		b.calls.Delete(c)
		return nil, err
	}
	return c, nil
}

func (b *Breaker) checkIfAlert(parts []string, c *Call) error {
	if !b.isAlert.Load() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.check(parts, c)
}

// Start records that the request is about to be sent to a runner. It returns a
// *BlockedError if one of the parts is blocked meanwhile; the request must not be sent.
func (c *Call) Start(r Runner) error {
	c.mu.Lock()
	c.runner, c.events = r, 0
	c.mu.Unlock()
	if len(c.parts) == 0 {
		return nil
	}
	return c.breaker.checkIfAlert(c.parts, c)
}

// RecordEvents records that the runner has sent events.
func (c *Call) RecordEvents(n int) {
	c.mu.Lock()
	before := c.events
	c.events += n
	isSound := before < soundEvents && c.events >= soundEvents
	c.mu.Unlock()
	if isSound && len(c.parts) > 0 {
		c.breaker.proveSound(c.parts)
	}
}

// Complete records that the runner has sent its whole response.
func (c *Call) Complete() { c.RecordEvents(soundEvents) }

// Break records that the runner closed the connection before the end of its response.
func (c *Call) Break() {
	c.mu.Lock()
	r, isSound := c.runner, c.events >= soundEvents
	c.mu.Unlock()
	if isSound || len(c.parts) == 0 {
		return
	}
	b := c.breaker
	if b.isAlert.Load() {
		b.mu.Lock()
		failed := b.recordFailedTry(c)
		b.mu.Unlock()
		b.cancelCalls(failed)
	}
	b.recordBreak(r, c.parts)
}

// Done removes the request.
func (c *Call) Done() {
	if len(c.parts) == 0 {
		return
	}
	b := c.breaker
	b.calls.Delete(c)
	if b.isAlert.Load() {
		b.mu.Lock()
		b.endTry(c)
		b.mu.Unlock()
	}
}

func (c *Call) hasEvents() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events > 0
}
