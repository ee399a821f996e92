package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// minWeight is the least weight, so that a target with failures still gets a few
	// requests and can recover.
	minWeight = 0.25
	// connectedFactor is the factor on the weight of a target to which there is an idle
	// connection, since opening one takes time and a slot at the runner.
	connectedFactor = 2
	// spillShare is the share of the mean number of free slots of the targets of other
	// data centres below which that of this one makes requests go there.
	spillShare = 0.8
)

// choice collects the free targets of one data centre, or of all others, and draws one
// of them.
type choice struct {
	target Target
	load   *targetLoad
	key    float64
	// targets is the number of targets that may be used, and free that of their free
	// slots.
	targets, free int
}

// add offers a target. Each one with free slots gets an exponentially distributed key
// divided by its weight; the smallest key wins, so the chance of a target is
// proportional to its weight.
func (c *choice) add(t Target, l *targetLoad, free int, failureRate, factor float64) {
	c.targets++
	if free <= 0 {
		return
	}
	c.free += free
	key := rand.ExpFloat64() / (factor * weight(free, failureRate))
	if c.target == nil || key < c.key {
		c.target, c.load, c.key = t, l, key
	}
}

// meanFree returns the mean number of free slots of a target.
func (c *choice) meanFree() float64 { return float64(c.free) / float64(max(c.targets, 1)) }

// spillsTo reports whether a request goes to another data centre although this one has
// a free slot. The chance rises with the difference in free slots, so that the loads of
// the data centres approach each other and do not swing.
func (c *choice) spillsTo(remote *choice) bool {
	if c.target == nil {
		return true
	}
	if remote.target == nil {
		return false
	}
	return rand.Float64() < 1-c.meanFree()/(spillShare*remote.meanFree())
}

// weight returns the relative probability with which a target is drawn, based on its
// free slots. The draw is random because all nodes have nearly the same figures, up
// to one peer heartbeat old, and would otherwise all choose the target with the most
// free slots.
func weight(free int, failureRate float64) float64 {
	return max(float64(free)-failureRate*failurePenalty, minWeight)
}

// tryAcquire draws a target with a free slot and takes the slot, or returns nil.
// Targets of this data centre come first: their loads are known best, and no traffic
// crosses to another one. Others are used when they have clearly more free slots. q.mu
// must be held.
func (b *Balancer) tryAcquire(q *queue, r *Request) *Slot {
	now := time.Now()
	isShared := r.Model != ""
	if isShared && q.local.isSpent(now) && q.remote.isSpent(now) {
		return nil
	}
	local, remote := b.choices(q, r, now)
	c, isRemote := &local, false
	if local.spillsTo(&remote) {
		c, isRemote = &remote, true
	}
	if c.target == nil {
		return nil
	}
	if isShared && !q.takeShare(b, queueKey{r.Service, r.Model}, isRemote, c.free, now) {
		return nil
	}
	s := &Slot{Target: c.target, load: c.load, balancer: b, queue: q, acquiredAt: now, isRemote: isRemote, firstEvent: r.FirstEvent}
	c.load.mu.Lock()
	c.load.localSlots[s] = struct{}{}
	c.load.asked.limit.use()
	c.load.mu.Unlock()
	return s
}

// choices returns the free targets for a request in this data centre and in others. The
// targets of data centres from which no report arrives, which may be cut off, count
// only if there is no other.
func (b *Balancer) choices(q *queue, r *Request, now time.Time) (local, remote choice) {
	unheard := choice{}
	isBursting := q.rates.isBursting(r.Team, now)
	heard := b.peers.heardFrom(now)
	for _, t := range b.View().Targets(r.Service, r.Model) {
		if r.hasTried(t.ID) {
			continue
		}
		l := b.load(t.ID)
		l.mu.Lock()
		free := slotLimit(t, isBursting) - l.count(now)
		if r.Model != "" && !isBursting && !q.isContended(now) {
			free += q.holds.backlog(t.Slots, reportInterval(q.reportInterval))
		}
		isAvoided := !b.isInReach(t) || now.Before(l.suspectedUntil) || now.Before(l.avoidedUntil) || now.Before(l.asked.pausedUntil) || !b.isWithinLimit(t, l, now)
		failureRate := l.failures(now)
		l.mu.Unlock()
		factor := 1.0
		if b.IsConnected != nil && b.IsConnected(t) {
			factor = connectedFactor
		}
		switch {
		case isAvoided:
		case t.DataCenter == b.DataCenter:
			local.add(t, l, free, failureRate, factor)
		case heard[t.DataCenter]:
			remote.add(t, l, free, failureRate, factor)
		default:
			unheard.add(t, l, free, failureRate, factor)
		}
	}
	if local.target == nil && remote.target == nil {
		remote = unheard
	}
	return local, remote
}

// slotLimit returns the number of requests in flight from which a target counts as
// full.
func slotLimit(t Target, isBursting bool) int {
	if isBursting {
		return max(int(float64(t.Slots)*burstSlotShare), 1)
	}
	return t.Slots
}
