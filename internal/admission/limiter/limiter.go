// Package limiter bounds each team's requests and tokens per second.
//
// A team's limit holds for the whole system. Each node grants its own part,
// which follows the demand that callers offer there: nodes tell each other
// their demand, and every node computes its part from the same figures, so no
// node hands out shares. A small part is divided equally, so that a node that
// had no demand can serve its first requests.
//
// # Usage
//
//	l := &limiter.Limiter{}
//	l.SetLimits("north", limiter.Limits{Requests: 100, Tokens: 20_000})
//	l.SetShare("north", limiter.Share(own, total, nodes))
//	wait, ok := l.Admit("north", tokens)
package limiter

import (
	"sync"
	"time"

	"marjorammoor/internal/state/sharder"
)

// equalPart is the part of a limit that is divided equally among nodes.
const equalPart = 0.1

// burstTime is how much of its rate a team may use at once.
const burstTime = time.Second

// Limits are a team's limits in the whole system, per second; 0 is unlimited.
type Limits struct {
	Requests float64
	Tokens   float64
}

// Share returns a node's part of a limit, from its own demand, the demand of
// all nodes including its own, and the number of nodes.
func Share(own, total float64, nodes int) float64 {
	equal := 1 / float64(max(nodes, 1))
	if total <= 0 {
		return equal
	}
	return (1-equalPart)*min(own/total, 1) + equalPart*equal
}

// Limiter holds the buckets of all teams. The zero value is unlimited.
type Limiter struct {
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	teams sharder.Map[string, *team]
}

type team struct {
	mu       sync.Mutex
	limits   Limits
	share    float64
	requests bucket
	tokens   bucket
}

// bucket may fall below zero when a request turns out larger than expected.
type bucket struct {
	level   float64
	updated time.Time
}

func (b *bucket) refill(rate float64, now time.Time) {
	burst := burstOf(rate)
	if b.updated.IsZero() {
		b.level = burst
	} else {
		b.level = min(b.level+rate*now.Sub(b.updated).Seconds(), burst)
	}
	b.updated = now
}

func burstOf(rate float64) float64 { return max(rate*burstTime.Seconds(), 1) }

// Verdict says which limit refused a request.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota
	OverRequests
	OverTokens
)

// SetLimits sets a team's limits.
func (l *Limiter) SetLimits(name string, limits Limits) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
}

// SetShare sets this node's part of a team's limits, from 0 to 1.
func (l *Limiter) SetShare(name string, share float64) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = share
}

// Admit charges a request and its expected tokens to the team, or says which
// limit it exceeds and after what time to try again.
func (l *Limiter) Admit(name string, tokens float64) (Verdict, time.Duration) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := l.now()
	requestRate, tokenRate := t.limits.Requests*t.share, t.limits.Tokens*t.share
	t.requests.refill(requestRate, now)
	t.tokens.refill(tokenRate, now)
	if t.limits.Requests > 0 && t.requests.level < 1 {
		return OverRequests, until(1-t.requests.level, requestRate)
	}
	if t.limits.Tokens > 0 {
		if needed := min(tokens, burstOf(tokenRate)); t.tokens.level < needed {
			return OverTokens, until(needed-t.tokens.level, tokenRate)
		}
	}
	t.requests.level--
	t.tokens.level -= tokens
	return Admitted, 0
}

// Settle corrects a team's tokens when a request has used fewer or more than
// were expected.
func (l *Limiter) Settle(name string, expected, used float64) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens.level += expected - used
}

const maxRetryAfter = time.Minute

func until(lack, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(lack/rate*float64(time.Second)), maxRetryAfter)
}

func (l *Limiter) team(name string) *team {
	return l.teams.GetOrCreate(name, func() *team { return &team{share: 1} })
}

func (l *Limiter) now() time.Time {
	if l.Now == nil {
		return time.Now()
	}
	return l.Now()
}
