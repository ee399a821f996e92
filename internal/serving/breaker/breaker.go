package breaker

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/state/sharder"
)

const (
	// JudgeInterval is the time between two calls of Judge.
	JudgeInterval = 100 * time.Millisecond
	// soundEvents is the number of events after which a response counts as sound. The
	// first ones may leave a runner that is about to crash.
	soundEvents = 4
	// soundLifetime is how long it is remembered that a part has proved sound.
	soundLifetime = time.Minute
	// confirmDelay is the time before each of confirmTries checks whether a runner has
	// ended after it broke off a request.
	confirmDelay = 50 * time.Millisecond
	confirmTries = 3
)

// ErrBlocked reports that a part of a request's prompt is blocked.
var ErrBlocked = errors.New("a part of the prompt crashes runners")

var (
	crashesAttributed = metrics.NewCounter(`marjorammoor_crashes_attributed_total`)
	partsBlocked      = metrics.NewCounter(`marjorammoor_parts_blocked_total`)
	partsCleared      = metrics.NewCounter(`marjorammoor_parts_unblocked_total`)
)

// BlockedError is returned for a request that has a blocked part.
type BlockedError struct {
	Part string
	// RetryAfter is the time until a request with the part is tried again.
	RetryAfter time.Duration
}

// Error describes the failure.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("%v: part %s is blocked for %v", ErrBlocked, e.Part, e.RetryAfter.Round(time.Millisecond))
}

// Is reports that the error is an ErrBlocked.
func (e *BlockedError) Is(target error) bool { return target == ErrBlocked }

// Runner identifies a runner.
type Runner struct{ ID, Address string }

// Breaker tells which parts of prompts are blocked. Set HasEnded and Log before use.
type Breaker struct {
	// HasEnded reports whether a runner accepts no connections any more.
	HasEnded func(r Runner) bool
	// MayTry reports whether this node is the one that tries a part again when its block
	// is over; nil means that it is.
	MayTry func(part string) bool
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger

	calls sharder.Map[*Call, struct{}]
	// sound holds when a part last proved sound here or, as far as reported, elsewhere.
	sound sharder.Map[string, time.Time]
	// isAlert is set while there is evidence or a block.
	isAlert atomic.Bool

	mu       sync.Mutex
	evidence evidence
	blocks   map[string]*block
	// localCrashes are the last crashes that this node itself has seen, by runner.
	localCrashes map[string]*localCrash
	// announced holds until when reports name a part that has proved sound.
	announced map[string]time.Time
	expiredAt time.Time
}

func (b *Breaker) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// localCrash is the crash of a runner as this node has seen it.
type localCrash struct {
	at time.Time
	// parts are the shared parts of the requests that may have caused it, with their
	// greatest depth in a prompt.
	parts       map[string]int
	isConfirmed bool
}

// recordBreak records that a runner broke off a request before it was sound. Whether the
// runner has ended is checked in the background.
func (b *Breaker) recordBreak(r Runner, parts []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	c := b.localCrashes[r.ID]
	isNew := c == nil || now.Sub(c.at) > crashMergeTime
	if isNew {
		c = &localCrash{at: now, parts: map[string]int{}}
		if b.localCrashes == nil {
			b.localCrashes = map[string]*localCrash{}
		}
		b.localCrashes[r.ID] = c
	}
	for depth, p := range parts {
		c.parts[p] = max(c.parts[p], depth)
	}
	if isNew {
		go b.confirm(r, c)
	} else if c.isConfirmed {
		b.addCrash(r.ID, c.at, c.parts)
	}
}

// confirm adds a crash to the evidence if the runner has ended. A connection may also
// break for other reasons.
func (b *Breaker) confirm(r Runner, c *localCrash) {
	for range confirmTries {
		time.Sleep(confirmDelay)
		if !b.HasEnded(r) {
			continue
		}
		b.mu.Lock()
		c.isConfirmed = true
		b.addCrash(r.ID, c.at, c.parts)
		b.Log.Warn("runner has ended under requests", "runner", r.ID, "parts", names(c.parts))
		b.mu.Unlock()
		crashesAttributed.Inc()
		return
	}
}

// addCrash adds a crash to the evidence against parts that have not proved sound since.
// One that a blocked part explains does not count. b.mu must be held.
func (b *Breaker) addCrash(runner string, at time.Time, parts map[string]int) {
	c := crash{runner, at}
	if b.evidence.explained.contains(c) {
		return
	}
	for p := range parts {
		if b.blocks[p] != nil {
			b.evidence.explain(crashList{c})
			return
		}
	}
	now := b.now()
	for p, depth := range parts {
		soundAt, ok := b.sound.Get(p)
		if ok && now.Sub(at) < announceTime {
			b.announce(p, now)
		}
		if soundAt.Before(at) {
			b.evidence.add(p, depth, c, now)
		}
	}
	b.updateAlert()
}

// updateAlert sets isAlert. b.mu must be held.
func (b *Breaker) updateAlert() {
	b.isAlert.Store(len(b.evidence.suspects)+len(b.blocks) > 0)
}

// proveSound records that a request has shown that its parts do no harm.
func (b *Breaker) proveSound(parts []string) {
	now := b.now()
	for _, p := range parts {
		b.sound.Set(p, now)
	}
	if !b.isAlert.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		if b.clear(p, now) {
			b.announce(p, now)
		}
	}
	b.updateAlert()
}

// clear drops what speaks against a part that proved sound at a time, and reports whether
// there was anything. b.mu must be held.
func (b *Breaker) clear(part string, soundAt time.Time) bool {
	hadEvidence := b.evidence.clear(part, soundAt)
	k := b.blocks[part]
	if k == nil || k.at.After(soundAt) {
		return hadEvidence
	}
	delete(b.blocks, part)
	partsCleared.Inc()
	b.Log.Info("prompt part is no longer blocked", "part", part, "reason", "proved sound")
	return true
}

// MayRepeat reports whether a request whose runner broke it off may be sent to another
// one: no runner has ended under one of its parts since the part last proved sound.
func (b *Breaker) MayRepeat(parts []string) bool {
	if len(parts) == 0 || !b.isAlert.Load() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range parts {
		if b.evidence.suspects[p] != nil {
			return false
		}
	}
	return true
}

// Judge blocks the parts against which there is enough evidence, and forgets what is old.
func (b *Breaker) Judge() {
	now := b.now()
	b.mu.Lock()
	blocked := []*BlockedError{}
	for {
		part, crashes := b.evidence.verdict(now, b.soundSince(now))
		if part == "" || len(b.blocks) >= maxBlocks {
			break
		}
		b.block(part, &block{at: now, length: blockTime})
		b.Log.Warn("prompt part is blocked", "part", part, "crashed", crashes, "for_ms", blockTime.Milliseconds())
		blocked = append(blocked, &BlockedError{Part: part, RetryAfter: blockTime})
	}
	b.expire(now)
	b.mu.Unlock()
	b.cancelCalls(blocked)
}

// soundSince returns a function that reports whether a part has proved sound within
// soundLifetime.
func (b *Breaker) soundSince(now time.Time) func(part string) bool {
	return func(part string) bool {
		at, ok := b.sound.Get(part)
		return ok && now.Sub(at) < soundLifetime
	}
}

// expireInterval is the time between two searches for what can be forgotten.
const expireInterval = 5 * time.Second

// expire forgets what no longer matters. b.mu must be held.
func (b *Breaker) expire(now time.Time) {
	if now.Sub(b.expiredAt) < expireInterval {
		return
	}
	b.expiredAt = now
	b.evidence.expire(now)
	for p, k := range b.blocks {
		if now.Sub(k.until()) > forgetBlockTime {
			delete(b.blocks, p)
		}
	}
	for id, c := range b.localCrashes {
		if now.Sub(c.at) > reportTime {
			delete(b.localCrashes, id)
		}
	}
	b.sound.Each(func(p string, at time.Time) bool {
		if now.Sub(at) > soundLifetime {
			b.sound.Delete(p)
		}
		return true
	})
	b.updateAlert()
}
