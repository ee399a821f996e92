package breaker

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
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
	// confirmDelay is the time before each of confirmTries checks whether a runner has
	// ended after it broke off a request.
	confirmDelay = 50 * time.Millisecond
	confirmTries = 3
)

// ErrBlocked reports that a request, or a part of its prompt, is blocked.
var ErrBlocked = errors.New("the request crashes runners")

var (
	crashesAttributed = metrics.NewCounter(`marjorammoor_crashes_attributed_total`)
	partsBlocked      = metrics.NewCounter(`marjorammoor_parts_blocked_total`)
	requestsBlocked   = metrics.NewCounter(`marjorammoor_requests_blocked_total`)
	keysCleared       = metrics.NewCounter(`marjorammoor_parts_unblocked_total`)
)

// BlockedError is returned for a request that is blocked or has a blocked part.
type BlockedError struct {
	// Key is that of the part, or of the request.
	Key Key
	// RetryAfter is the time until a request with the key is tried again.
	RetryAfter time.Duration
}

// IsRequest reports whether the request itself is blocked, and not a part of its prompt.
func (e *BlockedError) IsRequest() bool { return e.Key.isRequest() }

// Error describes the failure.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("%v: %s is blocked for %v", ErrBlocked, e.Key, e.RetryAfter.Round(time.Millisecond))
}

// Is reports that the error is an ErrBlocked.
func (e *BlockedError) Is(target error) bool { return target == ErrBlocked }

// Runner identifies a runner.
type Runner struct {
	ID, Address string
	// BootTime is when it started, in Unix milliseconds, or 0 if that is not known.
	BootTime int64
}

func (r Runner) life() life { return life{r.ID, r.BootTime} }

// Breaker tells which requests and parts of prompts are blocked. Set HasEnded and Log before use.
type Breaker struct {
	// HasEnded reports whether a runner accepts no connections any more. It asks the runner.
	HasEnded func(r Runner) bool
	// Sign returns what this node has learned of a runner since a time without asking it; nil
	// means nothing.
	Sign func(r Runner, since time.Time) Sign
	// MayTry reports whether this node, among all, is the one that does something which is left
	// to a single one, such as trying a key again whose block is over; nil means that it is.
	MayTry func(name string) bool
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger

	calls sharder.Map[*Call, struct{}]
	// sound holds when a key last proved sound here or, as far as reported, elsewhere.
	sound soundTimes
	// isAlert is set while there is evidence or a block, or may be evidence soon.
	isAlert atomic.Bool

	mu       sync.Mutex
	evidence evidence
	blocks   map[Key]*block
	// localCrashes are the last crashes that this node itself has seen, by start of a runner.
	localCrashes map[life]*localCrash
	// unanswered are the runners that may still end under requests whose attempts are over.
	unanswered map[life]*unansweredRunner
	// unansweredKeys is the sum of their keys.
	unansweredKeys int
	// ends are the first known times at which runners had ended.
	ends map[life]time.Time
	// announced holds until when reports name a key that has proved sound.
	announced map[Key]time.Time
	expiredAt time.Time
	// droppedAt is when it was last logged that bounds were reached, and dropped what had been
	// dropped by then.
	droppedAt time.Time
	dropped   dropCounts
}

func (b *Breaker) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// life is one start of a runner.
type life struct {
	runner   string
	bootTime int64
}

// localCrash is the crash of a runner as this node has seen it.
type localCrash struct {
	crash
	// firstSent is when the first of its requests was sent.
	firstSent   time.Time
	isConfirmed bool
}

// recordBreak records that a runner broke off a request before it was sound. Whether the
// runner has ended is checked in the background. A request that was sent to a runner that
// had ended before is not to blame.
func (b *Breaker) recordBreak(r Runner, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hadEnded(r.life(), sentAt) {
		return
	}
	now := b.now()
	c := b.localCrashes[r.life()]
	if c == nil || now.Sub(c.until) > crashMergeTime {
		c = b.addLocalCrash(crash{r.life(), span{now, now}, false}, sentAt)
		go b.confirm(r, c)
	}
	if sentAt.Before(c.firstSent) {
		c.firstSent = sentAt
	}
}

// addLocalCrash records a crash that this node has seen or suspects. b.mu must be held.
func (b *Breaker) addLocalCrash(c crash, firstSent time.Time) *localCrash {
	if b.localCrashes == nil {
		b.localCrashes = map[life]*localCrash{}
	}
	l := &localCrash{crash: c, firstSent: firstSent}
	b.localCrashes[c.life] = l
	return l
}

// hadEnded reports whether a runner is known to have ended before a time. b.mu must be
// held.
func (b *Breaker) hadEnded(l life, at time.Time) bool {
	end, ok := b.ends[l]
	return ok && l.bootTime != 0 && at.After(end)
}

// recordEnd records that a runner had ended at a time. b.mu must be held.
func (b *Breaker) recordEnd(l life, at time.Time) {
	if end, ok := b.ends[l]; ok && !at.Before(end) {
		return
	}
	if b.ends == nil {
		b.ends = map[life]time.Time{}
	}
	b.ends[l] = at
}

// confirm adds a crash to the evidence if the runner has ended. A connection may also
// break for other reasons.
func (b *Breaker) confirm(r Runner, c *localCrash) {
	for range confirmTries {
		time.Sleep(confirmDelay)
		if b.HasEnded(r) {
			b.confirmCrash(c)
			return
		}
	}
}

// confirmCrash records that a runner has ended after it broke off requests, unless another node
// has reported meanwhile that it had ended before.
func (b *Breaker) confirmCrash(c *localCrash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hadEnded(c.life, c.firstSent) {
		return
	}
	b.recordEnd(c.life, c.until)
	b.blameUnanswered(c.life, c.span)
}

// addEvidence adds a crash to the evidence against keys that have not proved sound since. One
// that a blocked key explains does not count. b.mu must be held.
func (b *Breaker) addEvidence(c crash, keys []deepKey) {
	if b.evidence.explained.contains(c) {
		return
	}
	for _, k := range keys {
		if blocked := b.blocks[k.key]; blocked != nil {
			if c.from.After(blocked.until()) {
				b.blockAgain(k.key, blocked, c.runner)
			}
			b.evidence.explain(crashList{c})
			return
		}
	}
	now := b.now()
	kept := (*keyedCrash)(nil)
	for _, k := range keys {
		soundAt, ok := b.sound.get(k.key)
		if ok && now.Sub(c.until) < announceTime {
			b.announce(k.key, now)
		}
		if !soundAt.Before(c.from) {
			continue
		}
		if kept == nil {
			kept = b.evidence.keep(c)
		}
		b.evidence.add(kept, k.key, keyEvidence{depth: k.depth, isWeak: c.isWeak, knownAt: now})
	}
	b.updateAlert()
}

// deepKey is a key with its position among those of a request.
type deepKey struct {
	key   Key
	depth int
}

// maxNamedKeys bounds the keys that a log line names.
const maxNamedKeys = 16

// suspectNames returns the names of the first keys that a crash speaks against. b.mu must be held.
func (b *Breaker) suspectNames(c crash) []string {
	names := []string{}
	kept := b.evidence.find(c)
	if kept == nil {
		return names
	}
	for _, k := range slices.Sorted(maps.Keys(kept.keys)) {
		if len(names) >= maxNamedKeys {
			break
		}
		names = append(names, k.String())
	}
	return names
}

// updateAlert sets isAlert. b.mu must be held.
func (b *Breaker) updateAlert() {
	b.isAlert.Store(len(b.evidence.suspects)+len(b.blocks)+len(b.unanswered) > 0)
}

// proveSound records that a request has shown that it and its parts do no harm. Of the
// request itself this is recorded only while anything is suspected.
func (b *Breaker) proveSound(c *Call) {
	now := b.now()
	if !b.isAlert.Load() {
		b.setSound(c.request.partKeys(), now)
		return
	}
	keys := c.keys()
	b.setSound(keys, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range keys {
		if b.clear(p, now) {
			b.announce(p, now)
		}
	}
	b.updateAlert()
}

func (b *Breaker) setSound(keys []Key, now time.Time) {
	for _, k := range keys {
		b.sound.set(k, now)
	}
}

// clear drops what speaks against a key that proved sound at a time, and reports whether
// there was anything. b.mu must be held.
func (b *Breaker) clear(key Key, soundAt time.Time) bool {
	hadEvidence := b.evidence.clear(key, soundAt)
	k := b.blocks[key]
	if k == nil || k.at.After(soundAt) {
		return hadEvidence
	}
	delete(b.blocks, key)
	keysCleared.Inc()
	b.Log.Info("key of requests that crash runners is no longer blocked", "key", key.String(), "reason", "proved sound")
	return true
}

// Judge looks for runners that have ended, blocks the keys against which there is enough evidence,
// and forgets what is old.
func (b *Breaker) Judge() {
	b.checkUnanswered()
	now := b.now()
	b.mu.Lock()
	blocked := []*BlockedError{}
	for b.isVerdictDue(now) {
		c := b.evidence.verdict(now, b.soundSince(now))
		if c == nil || len(b.blocks) >= maxBlocks {
			break
		}
		b.block(c.key, &block{at: now, length: blockTime})
		b.Log.Warn("key of requests that crash runners is blocked", "key", c.key.String(), "crashed", c.crashes.runners(), "for_ms", blockTime.Milliseconds())
		blocked = append(blocked, &BlockedError{Key: c.key, RetryAfter: blockTime})
	}
	b.expire(now)
	b.mu.Unlock()
	b.cancelCalls(blocked)
}

// recheckTime is how long after the last evidence its age may still change the verdict.
const recheckTime = verdictDelay + 2*JudgeInterval

// isVerdictDue reports whether there may be another verdict than before. Without new evidence that
// is so only when proofs expire, which is looked at with what is forgotten. b.mu must be held.
func (b *Breaker) isVerdictDue(now time.Time) bool {
	return now.Sub(b.evidence.changedAt) < recheckTime || now.Sub(b.expiredAt) >= expireInterval
}

// soundSince returns a function that reports whether a key has proved sound within
// soundLifetime.
func (b *Breaker) soundSince(now time.Time) func(key Key) bool {
	return func(key Key) bool {
		at, ok := b.sound.get(key)
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
	maps.DeleteFunc(b.localCrashes, func(_ life, c *localCrash) bool { return now.Sub(c.until) > reportTime })
	maps.DeleteFunc(b.ends, func(_ life, at time.Time) bool { return now.Sub(at) > evidenceLifetime })
	b.sound.expire(now)
	b.updateAlert()
	b.logDropped(now)
}
