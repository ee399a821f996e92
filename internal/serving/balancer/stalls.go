package balancer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// A target is suspected only if it is silent towards everyone. Each node reports the
// targets that have sent it nothing lately, so a node whose own requests wait at a
// target can tell a busy target, which still serves others, from a dark one.

const (
	// stallTimeout is how long a target that has sent part of a response may send
	// nothing before it is suspected. It exceeds the time of an engine pass with the
	// longest prompts.
	stallTimeout = 700 * time.Millisecond
	// firstEventTimeout replaces stallTimeout while all requests at the target still
	// wait for their first event, which a busy target sends later.
	firstEventTimeout = 1300 * time.Millisecond
	// firstEventFactor is the multiple of the expected time until the first event of a
	// full batch of requests after which that event is overdue.
	firstEventFactor = 2
	// maxFirstEventTimeout bounds that time: callers hardly wait longer.
	maxFirstEventTimeout = 1800 * time.Millisecond
	// brokenStreamTimeout is how long one stream may pause while its target sends
	// events to others, before its connection counts as broken.
	brokenStreamTimeout = 1500 * time.Millisecond
	// reportSlack is added to the interval of reports for the time that they take.
	reportSlack = 150 * time.Millisecond
	// suspicionDuration is how long a stalled target gets no requests.
	suspicionDuration = 5 * time.Second
	// maxSuspectShare is the share of a model's targets up to which reports of other
	// nodes are followed. If more seem silent, the network or the nodes are at fault.
	maxSuspectShare = 0.5
	// maxCheckInterval exceeds the usual interval between two stall checks. After a
	// longer one, this node itself was paused.
	maxCheckInterval = 400 * time.Millisecond
)

var (
	suspectedTargets = metrics.NewCounter(`marjorammoor_targets_suspected_total`)
	brokenStreams    = metrics.NewCounter(`marjorammoor_streams_silent_total`)
)

// Suspect handles another node's report that a target is stalled: the target gets no
// new requests and its older requests are notified, unless it has just made progress
// for a request of any node, or too many targets of its model are suspected already.
func (b *Balancer) Suspect(id string) {
	l := b.load(id)
	now := time.Now()
	l.mu.Lock()
	isKnown := now.Before(l.suspectedUntil) || now.Sub(l.newestProgress()) < stallTimeout/2
	l.mu.Unlock()
	if isKnown || b.areManySuspected(id, now) {
		return
	}
	l.mu.Lock()
	l.suspectedUntil = now.Add(suspicionDuration / 2)
	callbacks := l.takeStallCallbacks(now.Add(-stallTimeout / 2))
	l.mu.Unlock()
	notifyStalled(callbacks, ReportedTarget)
}

// areManySuspected reports whether, with one more, over maxSuspectShare of the targets
// of a target's model would be suspected.
func (b *Balancer) areManySuspected(id string, now time.Time) bool {
	t, ok := b.View().Target(id)
	if !ok {
		return false
	}
	alike := b.View().Targets(t.Service, t.Model)
	suspected := 1
	for _, x := range alike {
		l := b.load(x.ID)
		l.mu.Lock()
		if now.Before(l.suspectedUntil) {
			suspected++
		}
		l.mu.Unlock()
	}
	return suspected > 1 && float64(suspected) > maxSuspectShare*float64(len(alike))
}

// ClearSuspicion resets the suspicion, back-off and failure rate of a target that
// has restarted, and what it has asked before that
// has restarted.
func (b *Balancer) ClearSuspicion(id string) {
	l := b.load(id)
	l.mu.Lock()
	l.suspectedUntil, l.locallySuspectedUntil, l.avoidedUntil, l.failureRate = time.Time{}, time.Time{}, time.Time{}, 0
	l.asked = asked{}
	l.mu.Unlock()
}

// CheckStalls suspects the targets that have requests from this node but have sent
// nothing to any node for too long, and notifies those requests. It also notifies
// streams whose connection seems broken, and drops outdated reports of other nodes.
// Targets of services without models are not checked.
func (b *Balancer) CheckStalls() {
	now := time.Now()
	resumed := b.recordCheck(now)
	b.expirePeers(now)
	for _, t := range b.View().All() {
		if t.Model == "" {
			continue
		}
		l, ok := b.loads.Get(t.ID)
		if !ok {
			continue
		}
		callbacks, idle, isSuspected := l.checkStall(now, resumed)
		if !isSuspected {
			notifyStalled(callbacks, SilentStream)
			continue
		}
		suspectedTargets.Inc()
		if b.Suspected != nil {
			b.Suspected(t, idle)
		}
		notifyStalled(callbacks, SilentTarget)
	}
	b.leaveHopeless()
	b.Dispatch()
}

// recordCheck records a stall check and returns when this node last resumed after a
// pause.
func (b *Balancer) recordCheck(now time.Time) time.Time {
	b.checkMu.Lock()
	defer b.checkMu.Unlock()
	if now.Sub(b.checkedAt) > maxCheckInterval {
		b.resumedAt = now
	}
	b.checkedAt = now
	return b.resumedAt
}

// checkStall marks the target as suspected if it has made no progress for any node for
// too long since this node resumed. It returns the stall callbacks of the requests
// that are affected, the time without progress and whether the target is newly
// suspected.
func (l *targetLoad) checkStall(now, resumed time.Time) (callbacks []func(error), idle time.Duration, isSuspected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.localSlots) == 0 {
		return nil, 0, false
	}
	oldest := now
	for s := range l.localSlots {
		if s.acquiredAt.Before(oldest) {
			oldest = s.acquiredAt
		}
	}
	idle = now.Sub(latest(l.newestProgress(), oldest, resumed))
	if idle < l.stallLimit() {
		return l.takeBrokenStreams(now, resumed), idle, false
	}
	l.suspectedUntil = now.Add(suspicionDuration)
	l.locallySuspectedUntil = l.suspectedUntil
	callbacks = l.takeStallCallbacks(now)
	return callbacks, idle, len(callbacks) > 0
}

// stallLimit returns how long the target may make no progress. If other nodes have
// lately reported progress, the next report may be one interval away. l.mu must be
// held.
func (l *targetLoad) stallLimit() time.Duration {
	limit := firstEventTimeout
	for s := range l.localSlots {
		if s.hasProgress {
			limit = stallTimeout
			break
		}
		overdue := firstEventFactor * s.firstEvent * time.Duration(s.Target.Slots)
		limit = max(limit, min(overdue, maxFirstEventTimeout))
	}
	if l.peerProgress.IsZero() {
		return limit
	}
	return max(limit, quietTime+l.peerInterval+reportSlack)
}

// takeBrokenStreams returns the callbacks of the streams that have paused
// for too long although their target sends events to others. l.mu must be held.
func (l *targetLoad) takeBrokenStreams(now, resumed time.Time) []func(error) {
	callbacks := []func(error){}
	for s := range l.localSlots {
		if s.onStall == nil || s.isStalled || !s.hasProgress || now.Sub(latest(s.progressAt, resumed)) < brokenStreamTimeout {
			continue
		}
		brokenStreams.Inc()
		callbacks = append(callbacks, s.onStall)
		s.isStalled = true
	}
	return callbacks
}

// takeStallCallbacks returns the callbacks of the slots that were acquired before the given
// time and did not count as stalled. l.mu must be held.
func (l *targetLoad) takeStallCallbacks(before time.Time) []func(error) {
	callbacks := []func(error){}
	for s := range l.localSlots {
		if s.onStall != nil && !s.isStalled && s.acquiredAt.Before(before) {
			callbacks = append(callbacks, s.onStall)
			s.isStalled = true
		}
	}
	return callbacks
}

func latest(times ...time.Time) time.Time {
	newest := time.Time{}
	for _, t := range times {
		if t.After(newest) {
			newest = t
		}
	}
	return newest
}
