package breaker

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// A node ends many attempts itself: the caller leaves, the time is over, another attempt
// answers. The runner may work on such a request for a moment longer and end under it, so the
// end of the attempt tells nothing of the request. It is kept until the runner has lived on for
// a while.

const (
	// unansweredLifetime is how long after the end of its attempt a request may have ended its
	// runner.
	unansweredLifetime = 5 * time.Second
	// firstCheckDelay is the time from the end of an attempt to the first check whether the
	// runner has ended. Each further one comes after twice the time, up to maxChecks.
	firstCheckDelay = 250 * time.Millisecond
	maxChecks       = 4
	// maxUnansweredRunners bounds the runners of which requests are kept, and
	// maxUnansweredRequests the requests of each.
	maxUnansweredRunners  = 256
	maxUnansweredRequests = 32
	// maxUnansweredKeys bounds the sum of the keys of all, at 8 bytes each. The request with
	// the most makes room.
	maxUnansweredKeys = 64 << 10
	// maxChecksAtOnce bounds the checks that begin with one call of Judge, since they are
	// requests to runners.
	maxChecksAtOnce = 1
)

var (
	attemptsUnanswered = metrics.NewCounter(`marjorammoor_attempts_unanswered_total`)
	unansweredBlamed   = metrics.NewCounter(`marjorammoor_attempts_unanswered_blamed_total`)
	endChecks          = metrics.NewCounter(`marjorammoor_runner_end_checks_total`)
)

// Sign is what a node knows of a start of a runner without asking it.
type Sign int

const (
	// Unknown means that nothing has been heard of the runner.
	Unknown Sign = iota
	// Watched means that the runner has requests of this node, whose connections would break.
	Watched
	// Alive means that the runner has sent something.
	Alive
	// Ended means that the runner has started again.
	Ended
)

// unansweredRunner is a start of a runner that had requests which it has not answered.
type unansweredRunner struct {
	runner   Runner
	requests []unanswered
	// checks is the number of checks since the last request, checkedAt when the runner was
	// last known to live, and checkAt when the next check is due.
	checks             int
	checkedAt, checkAt time.Time
	isBeingChecked     bool
}

// unanswered is a request whose attempt ended before the runner had answered it.
type unanswered struct {
	sentAt, endedAt time.Time
	keys            []Key
	// isBroken is set if the runner itself has ended the attempt.
	isBroken bool
}

// recordUnanswered records that an attempt has ended before the runner answered.
func (b *Breaker) recordUnanswered(r Runner, q unanswered) {
	if len(q.keys) == 0 {
		return
	}
	attemptsUnanswered.Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keepUnanswered(r, q, b.now())
}

// keepUnanswered keeps a request until it is known whether its runner has ended. b.mu must be
// held.
func (b *Breaker) keepUnanswered(r Runner, q unanswered, now time.Time) {
	l := r.life()
	if b.hadEnded(l, q.sentAt) {
		return
	}
	u := b.unanswered[l]
	if u == nil {
		if len(b.unanswered) >= maxUnansweredRunners {
			unansweredDropped.Inc()
			return
		}
		u = &unansweredRunner{runner: r, checkAt: now.Add(firstCheckDelay)}
		if b.unanswered == nil {
			b.unanswered = map[life]*unansweredRunner{}
		}
		b.unanswered[l] = u
	}
	if len(u.requests) >= maxUnansweredRequests {
		unansweredDropped.Inc()
		b.unansweredKeys -= len(u.requests[0].keys)
		u.requests = slices.Delete(u.requests, 0, 1)
	}
	u.requests = append(u.requests, q)
	b.unansweredKeys += len(q.keys)
	for b.unansweredKeys > maxUnansweredKeys {
		b.dropLargest()
	}
	u.checks = 0
	if next := now.Add(firstCheckDelay); next.Before(u.checkAt) {
		u.checkAt = next
	}
	if c := b.localCrashes[l]; c != nil && c.isConfirmed && !q.sentAt.After(c.until) && now.Sub(c.until) < crashMergeTime {
		b.blameUnanswered(l, c.span)
		return
	}
	if end, ok := b.ends[l]; ok && l.bootTime != 0 {
		b.blameUnanswered(l, span{latest(q.sentAt, u.checkedAt), end})
		return
	}
	b.updateAlert()
}

// dropLargest drops the unanswered request with the most keys. b.mu must be held.
func (b *Breaker) dropLargest() {
	largest, at := (*unansweredRunner)(nil), 0
	for _, u := range b.unanswered {
		for i := range u.requests {
			if largest == nil || len(u.requests[i].keys) > len(largest.requests[at].keys) {
				largest, at = u, i
			}
		}
	}
	unansweredDropped.Inc()
	b.unansweredKeys -= len(largest.requests[at].keys)
	largest.requests = slices.Delete(largest.requests, at, at+1)
}

// forgetUnanswered drops all unanswered requests of a start of a runner. b.mu must be held.
func (b *Breaker) forgetUnanswered(l life) {
	for _, q := range b.unanswered[l].requests {
		b.unansweredKeys -= len(q.keys)
	}
	delete(b.unanswered, l)
}

// checkUnanswered looks for ends of runners with requests that they have not answered, and
// forgets the requests that are too old to have ended one.
func (b *Breaker) checkUnanswered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	due := []*unansweredRunner{}
	for l, u := range b.unanswered {
		u.requests = slices.DeleteFunc(u.requests, func(q unanswered) bool {
			isOld := now.Sub(q.endedAt) > unansweredLifetime
			if isOld {
				b.unansweredKeys -= len(q.keys)
			}
			return isOld
		})
		if len(u.requests) == 0 {
			delete(b.unanswered, l)
			continue
		}
		sign := b.sign(u)
		switch sign {
		case Ended:
			b.endLife(u, now)
			continue
		case Alive:
			u.checkedAt = now
		case Unknown, Watched:
		}
		if u.isBeingChecked || u.checks >= maxChecks || now.Before(u.checkAt) {
			continue
		}
		if sign == Unknown {
			due = append(due, u)
			continue
		}
		u.postpone(now)
	}
	b.startChecks(due, now)
	b.updateAlert()
}

// sign returns what is known of a runner. b.mu must be held.
func (b *Breaker) sign(u *unansweredRunner) Sign {
	if b.Sign == nil {
		return Unknown
	}
	return b.Sign(u.runner, latest(u.checkedAt, u.requests[len(u.requests)-1].endedAt))
}

// startChecks has some runners asked, those that wait longest first. b.mu must be held.
func (b *Breaker) startChecks(due []*unansweredRunner, now time.Time) {
	slices.SortFunc(due, func(x, y *unansweredRunner) int { return x.checkAt.Compare(y.checkAt) })
	for _, u := range due[:min(len(due), maxChecksAtOnce)] {
		u.postpone(now)
		u.isBeingChecked = true
		go b.checkEnd(u)
	}
}

// postpone sets the time of the next check.
func (u *unansweredRunner) postpone(now time.Time) {
	u.checkAt = now.Add(firstCheckDelay << u.checks)
	u.checks++
}

// checkEnd asks a runner whether it has ended.
func (b *Breaker) checkEnd(u *unansweredRunner) {
	endChecks.Inc()
	startedAt := b.now()
	hasEnded := b.HasEnded(u.runner)
	b.mu.Lock()
	defer b.mu.Unlock()
	u.isBeingChecked = false
	if hasEnded {
		b.endLife(u, b.now())
		return
	}
	u.checkedAt = startedAt
}

// endLife records that a runner had ended by a time, under what it had not answered. b.mu must be
// held.
func (b *Breaker) endLife(u *unansweredRunner, by time.Time) {
	lived := u.checkedAt
	for _, q := range u.requests {
		lived = latest(lived, q.sentAt)
	}
	l := u.runner.life()
	b.recordEnd(l, by)
	b.blameUnanswered(l, span{lived, by})
}

// blameUnanswered adds the requests that a runner had not answered when it ended to what may
// have caused that. b.mu must be held.
func (b *Breaker) blameUnanswered(l life, at span) {
	u := b.unanswered[l]
	if u == nil {
		return
	}
	b.forgetUnanswered(l)
	strong, weak := []deepKey{}, []deepKey{}
	for _, q := range slices.Backward(u.requests) {
		switch {
		case q.sentAt.After(at.until):
		case q.isBroken:
			strong = append(strong, q.deepKeys()...)
		default:
			weak = append(weak, slices.DeleteFunc(q.deepKeys(), func(k deepKey) bool { return b.hasProvedSound(k.key, q.sentAt) })...)
		}
	}
	if len(strong)+len(weak) == 0 {
		return
	}
	c := b.localCrashes[l]
	if c == nil || !c.isSame(crash{l, at, false}) {
		c = b.addLocalCrash(crash{l, at, false}, at.until)
	}
	if !c.isConfirmed {
		c.isConfirmed = true
		crashesAttributed.Inc()
	}
	unansweredBlamed.Add(len(u.requests))
	b.addEvidence(c.crash, strong)
	b.addEvidence(crash{l, c.span, true}, weak)
	b.Log.Warn("runner has ended under requests", "runner", l.runner, "boot_time", l.bootTime, "requests", len(u.requests), "broken_off_keys", len(strong),
		"other_keys", len(weak), "keys", b.suspectNames(c.crash))
}

// deepKeys returns the keys of a request with their positions.
func (q *unanswered) deepKeys() []deepKey {
	list := make([]deepKey, len(q.keys))
	for i, k := range q.keys {
		list[i] = deepKey{k, i}
	}
	return list
}

// hasProvedSound reports whether a key has proved sound since a time.
func (b *Breaker) hasProvedSound(k Key, since time.Time) bool {
	at, ok := b.sound.get(k)
	return ok && !at.Before(since)
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
