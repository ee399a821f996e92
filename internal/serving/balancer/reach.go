package balancer

import (
	"time"
)

// A node may have lost its own links to targets that serve the requests of others. Such
// targets are not chosen. A request that gets no slot then leaves the queue at once, so that
// another node can take it; it waits only if no other node can, and some target is in reach.

// Reach tells whether this node reaches a target.
type Reach int

// The values of Reach.
const (
	InReach Reach = iota
	// OutOfReach targets may have ended.
	OutOfReach
	// CutOff targets are out of reach together with many others, so that this node's own
	// links are at fault.
	CutOff
)

func (b *Balancer) reach(t Target) (r Reach, since time.Time) {
	if b.Reach == nil {
		return InReach, time.Time{}
	}
	return b.Reach(t)
}

func (b *Balancer) isInReach(t Target) bool {
	r, _ := b.reach(t)
	return r == InReach
}

// countReach returns the numbers of targets that this node reaches, and of those that it does
// not although others probably do: the node has lost them together with many, or they have made
// progress for another node since.
func (b *Balancer) countReach(r *Request) (reached, lost int) {
	if b.Reach == nil {
		return 1, 0
	}
	for _, t := range b.View().Targets(r.Service, r.Model) {
		if r.hasTried(t.ID) {
			continue
		}
		reach, since := b.reach(t)
		switch reach {
		case InReach:
			reached++
		case CutOff:
			lost++
		case OutOfReach:
			l := b.load(t.ID)
			l.mu.Lock()
			if l.peerProgress.After(since) {
				lost++
			}
			l.mu.Unlock()
		}
	}
	return reached, lost
}

// mustLeave reports whether a request that gets no slot leaves the queue, because targets are
// out of reach.
func (b *Balancer) mustLeave(r *Request) bool {
	reached, lost := b.countReach(r)
	return lost > 0 && (reached == 0 || r.MayLeave != nil && r.MayLeave())
}

// LeaveLost notifies the requests that wait at silent targets out of reach, and has those leave
// the queues that wait for targets out of reach.
func (b *Balancer) LeaveLost(isSilent func(t Target) bool) {
	now := time.Now()
	for _, t := range b.View().All() {
		l, ok := b.loads.Get(t.ID)
		if !ok || !isSilent(t) {
			continue
		}
		l.mu.Lock()
		callbacks := l.takeStallCallbacks(now)
		l.mu.Unlock()
		notifyStalled(callbacks, LostTarget)
	}
	b.leaveHopeless()
}
