package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"marjorammoor/internal/state/ranker"
)

// A runner may name the number of requests per second that it takes from all nodes
// together. Nodes use fixed parts of that number, without asking the others for each
// request. Most of it goes to the nodes of the runner's data centre, which choose it first.
// A small limit is divided among few nodes; the others do not use the runner.

const (
	// localLimitShare is the share of a limit that the nodes of the target's data centre
	// divide among themselves.
	localLimitShare = 0.8
	// limitBurstTime is the time for which unused requests of a limit are kept, but at
	// least one request.
	limitBurstTime = 250 * time.Millisecond
	// minLimit is what a limit counts for at least, in requests per second of all nodes.
	// Only a response shows that a limit has ended.
	minLimit = 0.05
	// minNodeLimit is the least part of a limit, in requests per second, that a node gets on
	// average. Smaller ones would let many nodes send their next request at the same time.
	minNodeLimit = 0.5
	// shareLifetime is how long a computed part of a limit is used.
	shareLifetime = 500 * time.Millisecond
	// limitLifetime is how long a limit counts that no response to any node has named.
	limitLifetime = time.Minute
	// limitReportTime is how long a node reports a limit after a response that named it.
	limitReportTime = 3 * time.Second
)

// ReportedLimit is a limit as a node tells it to others.
type ReportedLimit struct {
	// AgeMS is the time in milliseconds since the target named or lifted the limit.
	AgeMS int64 `cbor:"1,keyasint"`
	// PerSecond is the limit in requests per second; 0 means that the target has none.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// limit is the rate that a target takes from all nodes together. The zero value is no
// limit.
type limit struct {
	// perSecond is the limit; 0 means none.
	perSecond float64
	// namedAt is when the target last named or lifted it, and ownAt when it last did so
	// in a response to this node.
	namedAt, ownAt time.Time
	// tokens is the number of requests that this node may send, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// share is this node's part of the limit, as of sharedAt.
	share    float64
	sharedAt time.Time
}

// set records what a target named at a time, unless something newer is known. A rate of 0
// lifts the limit.
func (l *limit) set(perSecond float64, at, now time.Time) {
	if at.Before(l.namedAt) {
		return
	}
	if l.perSecond == 0 && perSecond > 0 {
		// Nodes that learn of a limit at the same time must not use it at the same time.
		l.tokens, l.refilledAt, l.sharedAt = rand.Float64(), now, time.Time{}
	}
	l.perSecond, l.namedAt = perSecond, at
}

// allows reports whether this node may send a request now. A target without a limit always
// allows it.
func (l *limit) allows(now time.Time) bool {
	if now.Sub(l.namedAt) > limitLifetime {
		l.perSecond = 0
	}
	if l.perSecond == 0 {
		return true
	}
	rate := l.perSecond * l.share
	most := max(1, rate*limitBurstTime.Seconds())
	l.tokens = min(l.tokens+rate*now.Sub(l.refilledAt).Seconds(), most)
	l.refilledAt = now
	return l.tokens >= 1
}

// use records that this node sends a request.
func (l *limit) use() {
	if l.perSecond > 0 {
		l.tokens--
	}
}

// report returns the limit for other nodes, if this node has lately got a response that
// named or lifted it.
func (l *limit) report(now time.Time) (ReportedLimit, bool) {
	if now.Sub(l.ownAt) > limitReportTime || l.ownAt.Before(l.namedAt) {
		return ReportedLimit{}, false
	}
	return ReportedLimit{AgeMS: now.Sub(l.namedAt).Milliseconds(), PerSecond: l.perSecond}, true
}

// limitShare returns this node's part of a target's limit of so many requests per second.
func (b *Balancer) limitShare(t Target, perSecond float64) float64 {
	if b.Nodes == nil {
		return 1
	}
	users := max(int(perSecond/minNodeLimit), 1)
	all, local := b.Nodes(""), b.Nodes(t.DataCenter)
	if len(local) == 0 || len(local) >= len(all) {
		return b.evenShare(t, all, users)
	}
	if len(local) >= users {
		return b.evenShare(t, local, users)
	}
	if slices.Contains(local, b.Self) {
		return localLimitShare / float64(len(local))
	}
	remote := slices.DeleteFunc(all, func(name string) bool { return slices.Contains(local, name) })
	return (1 - localLimitShare) * b.evenShare(t, remote, users-len(local))
}

// evenShare returns this node's part of what the first so many of the nodes, by rendezvous
// hashing, divide evenly.
func (b *Balancer) evenShare(t Target, nodes []string, users int) float64 {
	if !slices.Contains(nodes, b.Self) || !ranker.IsAmongFirst(t.ID, b.Self, nodes, users) {
		return 0
	}
	return 1 / float64(min(users, len(nodes)))
}

// isWithinLimit reports whether a target's limit leaves this node a request. l.mu must be
// held.
func (b *Balancer) isWithinLimit(t Target, l *targetLoad, now time.Time) bool {
	m := &l.asked.limit
	if m.perSecond > 0 && now.Sub(m.sharedAt) > shareLifetime {
		m.share, m.sharedAt = b.limitShare(t, m.perSecond), now
	}
	return m.allows(now)
}

// RecordLimit records that the target has named a limit in its response, in requests per
// second from all nodes together.
func (s *Slot) RecordLimit(perSecond float64) {
	now := time.Now()
	s.load.mu.Lock()
	l := &s.load.asked.limit
	isNew := l.perSecond == 0
	l.set(max(perSecond, minLimit), now, now)
	l.ownAt = now
	s.load.mu.Unlock()
	if isNew {
		s.balancer.reportLimit(s.Target, perSecond)
	}
}

// RecordNoLimit records that the target has named no limit in its response. That lifts a
// limit which it named before the request was sent.
func (s *Slot) RecordNoLimit() {
	s.load.mu.Lock()
	l := &s.load.asked.limit
	isLifted := l.perSecond > 0 && s.acquiredAt.After(l.namedAt)
	if isLifted {
		l.set(0, s.acquiredAt, time.Now())
		l.ownAt = s.acquiredAt
	}
	s.load.mu.Unlock()
	if isLifted {
		s.balancer.reportLimit(s.Target, 0)
	}
}

func (b *Balancer) reportLimit(t Target, perSecond float64) {
	if b.Limited != nil {
		b.Limited(t, perSecond, b.limitShare(t, perSecond))
	}
}

// setPeerLimits records the limits that another node reports.
func (b *Balancer) setPeerLimits(limits map[string]ReportedLimit, now time.Time) {
	for id, r := range limits {
		l := b.load(id)
		l.mu.Lock()
		at := now.Add(-time.Duration(max(r.AgeMS, 0)) * time.Millisecond)
		if r.PerSecond > 0 || l.asked.limit.perSecond > 0 {
			l.asked.limit.set(max(r.PerSecond, 0), at, now)
		}
		l.mu.Unlock()
	}
}
