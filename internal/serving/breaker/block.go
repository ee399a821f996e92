package breaker

import (
	"slices"
	"time"
)

const (
	// blockTime is how long a part is blocked for the first time. Each try that fails
	// doubles the time, up to maxBlockTime.
	blockTime    = time.Minute
	maxBlockTime = time.Hour
	// tryRetryAfter is the Retry-After time while another request is being tried.
	tryRetryAfter = time.Second
	// forgetBlockTime is how long after its end a block is kept if no request tries it.
	forgetBlockTime = 10 * time.Minute
	// maxBlocks bounds the blocked parts, so that runners which crash whatever they are
	// given do not lead to all parts being blocked.
	maxBlocks = 32
)

// block is a part's block.
type block struct {
	at     time.Time
	length time.Duration
	// try is the request that tries the part after the block.
	try *Call
}

func (k *block) until() time.Time { return k.at.Add(k.length) }

// block blocks a part. b.mu must be held.
func (b *Breaker) block(part string, k *block) {
	if b.blocks == nil {
		b.blocks = map[string]*block{}
	}
	b.blocks[part] = k
	if s := b.evidence.suspects[part]; s != nil {
		b.evidence.explain(s.crashes)
	}
	b.updateAlert()
	partsBlocked.Inc()
}

// check returns a *BlockedError if a part is blocked. If the block is over and this node
// is to try the part, c becomes the request that does, unless c is nil. b.mu must be held.
func (b *Breaker) check(parts []string, c *Call) error {
	now := b.now()
	tried := []*block{}
	for _, p := range parts {
		k := b.blocks[p]
		switch {
		case k == nil || k.try == c && c != nil:
		case now.Before(k.until()):
			return &BlockedError{Part: p, RetryAfter: k.until().Sub(now)}
		case k.try != nil || b.MayTry != nil && !b.MayTry(p):
			return &BlockedError{Part: p, RetryAfter: tryRetryAfter}
		default:
			tried = append(tried, k)
		}
	}
	if c == nil {
		return nil
	}
	for _, k := range tried {
		k.try = c
	}
	return nil
}

// recordFailedTry blocks the parts that a call has tried again, and returns the errors
// for other calls with them. b.mu must be held.
func (b *Breaker) recordFailedTry(c *Call) []*BlockedError {
	now := b.now()
	failed := []*BlockedError{}
	for _, p := range c.parts {
		k := b.blocks[p]
		if k == nil || k.try != c {
			continue
		}
		length := min(2*k.length, maxBlockTime)
		b.block(p, &block{at: now, length: length})
		b.Log.Warn("prompt part is blocked again", "part", p, "runner", c.runner.ID, "for_ms", length.Milliseconds())
		failed = append(failed, &BlockedError{Part: p, RetryAfter: length})
	}
	return failed
}

// endTry lets another request try the parts that a call has tried. b.mu must be held.
func (b *Breaker) endTry(c *Call) {
	for _, p := range c.parts {
		if k := b.blocks[p]; k != nil && k.try == c {
			k.try = nil
		}
	}
}

// cancelCalls cancels the calls with a part that has been blocked, if no event has been
// received for them yet.
func (b *Breaker) cancelCalls(blocked []*BlockedError) {
	if len(blocked) == 0 {
		return
	}
	b.calls.Each(func(c *Call, _ struct{}) bool {
		for _, err := range blocked {
			if slices.Contains(c.parts, err.Part) && !c.hasEvents() {
				c.cancel(err)
			}
		}
		return true
	})
}
