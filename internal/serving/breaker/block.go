package breaker

import (
	"slices"
	"time"
)

const (
	// blockTime is how long a key is blocked for the first time. Each try that fails
	// doubles the time, up to maxBlockTime.
	blockTime    = time.Minute
	maxBlockTime = time.Hour
	// tryRetryAfter is the Retry-After time while another request is being tried.
	tryRetryAfter = time.Second
	// forgetBlockTime is how long after its end a block is kept if no request tries it.
	forgetBlockTime = 10 * time.Minute
	// maxBlocks bounds the blocked keys, so that runners which crash whatever they are
	// given do not lead to all keys being blocked.
	maxBlocks = 32
)

// block is a key's block.
type block struct {
	at     time.Time
	length time.Duration
	// try is the request that tries the key after the block. While the runner of one that has
	// ended without an answer may still end, until triedUntil, no other one does.
	try        *Call
	triedUntil time.Time
}

func (k *block) until() time.Time { return k.at.Add(k.length) }

// block blocks a key. b.mu must be held.
func (b *Breaker) block(key Key, k *block) {
	if b.blocks == nil {
		b.blocks = map[Key]*block{}
	}
	b.blocks[key] = k
	b.evidence.explain(b.evidence.under(key))
	b.updateAlert()
	if key.isRequest() {
		requestsBlocked.Inc()
		return
	}
	partsBlocked.Inc()
}

// check returns a *BlockedError if a key is blocked. If the block is over and this node
// is to try the key, c becomes the request that does, unless c is nil. b.mu must be held.
func (b *Breaker) check(keys []Key, c *Call) error {
	now := b.now()
	tried := []*block{}
	for _, p := range keys {
		k := b.blocks[p]
		switch {
		case k == nil || k.try == c && c != nil:
		case now.Before(k.until()):
			return &BlockedError{Key: p, RetryAfter: k.until().Sub(now)}
		case k.try != nil, now.Before(k.triedUntil), b.MayTry != nil && !b.MayTry(p.String()):
			return &BlockedError{Key: p, RetryAfter: tryRetryAfter}
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

// recordFailedTry blocks the keys that a call has tried again, and returns the errors
// for other calls with them. b.mu must be held.
func (b *Breaker) recordFailedTry(c *Call) []*BlockedError {
	failed := []*BlockedError{}
	for p, k := range b.blocks {
		if k.try == c {
			failed = append(failed, b.blockAgain(p, k, c.runner.ID))
		}
	}
	return failed
}

// blockAgain blocks a key whose block was over when a runner ended under it. b.mu must be held.
func (b *Breaker) blockAgain(key Key, k *block, runner string) *BlockedError {
	length := min(2*k.length, maxBlockTime)
	b.block(key, &block{at: b.now(), length: length})
	b.Log.Warn("key of requests that crash runners is blocked again", "key", key.String(), "runner", runner, "for_ms", length.Milliseconds())
	return &BlockedError{Key: key, RetryAfter: length}
}

// endTry lets another request try the keys that a call has tried, at once or after a pause. b.mu
// must be held.
func (b *Breaker) endTry(c *Call, pause time.Duration) {
	for _, k := range b.blocks {
		if k.try == c {
			k.try, k.triedUntil = nil, b.now().Add(pause)
		}
	}
}

// cancelCalls cancels the calls with a key that has been blocked, unless their runners have
// begun the response: most would end their runners, but one that is answered may be sound, and
// then lifts the block.
func (b *Breaker) cancelCalls(blocked []*BlockedError) {
	if len(blocked) == 0 {
		return
	}
	b.calls.Each(func(c *Call, _ struct{}) bool {
		keys := c.keys()
		for _, err := range blocked {
			if slices.Contains(keys, err.Key) && !c.isBeingAnswered() {
				c.cancel(err)
			}
		}
		return true
	})
}
