// Package limiter bounds each team's requests and tokens per second.
//
// A team's limit holds for the whole system. Each node enforces its own share of
// the limit, in proportion to the demand that callers offer on the node. Nodes
// exchange their demand and every node computes its share from the same figures,
// so no coordinator assigns shares. A small fraction is divided equally, so that a
// node without demand so far can serve its first requests.
//
// # Usage
//
//	l := &limiter.Limiter{}
//	l.SetLimits("north", limiter.Limits{Requests: 100, Tokens: 20_000})
//	l.SetShare("north", limiter.Share(own, total, nodes))
//	verdict, wait := l.Admit("north", tokens)
package limiter

import (
	"sync"
	"time"

	"marjorammoor/internal/state/sharder"
)

// equalFraction is the fraction of a limit that is divided equally among nodes.
const equalFraction = 0.1

// burstWindow is the time for which a bucket can accumulate its rate.
const burstWindow = time.Second

// Limits are a team's limits in the whole system, per second; 0 means unlimited.
type Limits struct {
	Requests float64
	Tokens   float64
}

// Share returns a node's share of a limit, from 0 to 1. own is the node's demand,
// total the demand of all nodes including this one, and nodes their number.
func Share(own, total float64, nodes int) float64 {
	equal := 1 / float64(max(nodes, 1))
	if total <= 0 {
		return equal
	}
	return (1-equalFraction)*min(own/total, 1) + equalFraction*equal
}

// Limiter holds the token buckets of all teams. The zero value has no limits.
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

// bucket is a token bucket. Its level falls below zero when a request uses more
// than was expected.
type bucket struct {
	// level is the number of requests or tokens that can be used now.
	level   float64
	updated time.Time
}

// refill adds what accumulated since the last refill, at rate per second and up to
// the burst. A new bucket starts full.
func (b *bucket) refill(rate float64, now time.Time) {
	burst := burstOf(rate)
	if b.updated.IsZero() {
		b.level = burst
	} else {
		b.level = min(b.level+rate*now.Sub(b.updated).Seconds(), burst)
	}
	b.updated = now
}

// burstOf returns the capacity of a bucket, at least 1 so that a low rate still
// admits requests.
func burstOf(rate float64) float64 { return max(rate*burstWindow.Seconds(), 1) }

// Verdict is the result of Admit: whether the request is admitted, and otherwise
// which limit it exceeds.
type Verdict int

// The results of Admit.
const (
	Admitted Verdict = iota
	OverRequests
	OverTokens
)

// SetLimits sets a team's limits in the whole system.
func (l *Limiter) SetLimits(name string, limits Limits) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = limits
}

// SetShare sets this node's share of a team's limits, from 0 to 1.
func (l *Limiter) SetShare(name string, share float64) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = share
}

// Admit charges a request and its expected tokens to the team. If the request
// exceeds a limit, nothing is charged, and Admit returns the limit and the time
// after which to retry.
func (l *Limiter) Admit(name string, tokens float64) (Verdict, time.Duration) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := l.now()
	requestRate, tokenRate := t.limits.Requests*t.share, t.limits.Tokens*t.share
	t.requests.refill(requestRate, now)
	t.tokens.refill(tokenRate, now)
	if t.limits.Requests > 0 && t.requests.level < 1 {
		return OverRequests, retryAfter(1-t.requests.level, requestRate)
	}
	if t.limits.Tokens > 0 {
		if needed := min(tokens, burstOf(tokenRate)); t.tokens.level < needed {
			return OverTokens, retryAfter(needed-t.tokens.level, tokenRate)
		}
	}
	t.requests.level--
	t.tokens.level -= tokens
	return Admitted, 0
}

// Settle corrects a team's charge after a request has used fewer or more tokens
// than expected.
func (l *Limiter) Settle(name string, expected, used float64) {
	t := l.team(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens.level += expected - used
}

// maxRetryAfter bounds the time that Admit returns.
const maxRetryAfter = time.Minute

// retryAfter returns how long a bucket needs to gain the missing amount, at rate
// per second.
func retryAfter(missing, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration(missing/rate*float64(time.Second)), maxRetryAfter)
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
