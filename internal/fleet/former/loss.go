package former

import (
	"slices"
	"time"

	"marjorammoor/internal/serving/tracker"
)

const (
	// formSlack is added to the longest expected time of forming a replica.
	formSlack = 6 * time.Second
	// silentTime is for how long a head has to answer no node before it is taken
	// to be gone. Other nodes need some of it to try.
	silentTime = 1200 * time.Millisecond
	// answerTime is within which some runner of the domain must have answered a
	// probe for the silence of another to count.
	answerTime = time.Second
	// idleTime is for how long a head that takes no connections must have had no
	// request in flight from any node.
	idleTime = time.Second
	// leaveTime is how long a head that is leaving may go on at most, with a margin.
	leaveTime = 11 * time.Second
	// lateOrderTime is within how long an order that got no answer may still be
	// carried out.
	lateOrderTime = 12 * time.Second
	// returnTime is within how long the runners of a domain that was cut off are
	// listed again. Until then one that is missing may still be serving.
	returnTime = 3 * time.Second
)

// loss returns why a replica cannot go on, and whether its requests can finish.
func (d *decider) loss(r *Replica) (reason string, graceful bool) {
	for i, m := range r.Members {
		x, ok := d.runners[m.ID]
		switch {
		case !ok && i > 0 && r.State == Open && d.in.Lapsed[m.ID]:
			// It answers: only its entry is missing.
		case !ok:
			return "member " + m.ID + " is gone", false
		case x.BootTime != m.BootTime:
			return "member " + m.ID + " has started anew", false
		case d.in.Dead[m.ID]:
			return "member " + m.ID + " does not answer", false
		case r.State == Open && !isMember(x, r):
			return "member " + m.ID + " is in another replica", false
		case r.State == Open && x.Membership.State == tracker.MemberBroken:
			return "broken", false
		}
	}
	for _, m := range r.Members {
		if x, ok := d.runners[m.ID]; ok && x.State == tracker.Draining {
			return "member " + m.ID + " is leaving", true
		}
	}
	if r.State == Open && d.isUnwanted(r) && !d.isChanging() {
		return "the domain serves another model", true
	}
	if since, ok := d.in.Since[r.Name]; ok && r.State == Forming && d.in.Now.Sub(since) > d.formTimeout(r.Model) {
		return "not formed in time", false
	}
	return "", false
}

// isUnwanted reports whether a replica's model is no longer the domain's.
func (d *decider) isUnwanted(r *Replica) bool {
	_, ok := d.goal[r.Model]
	return !ok && d.in.Assignment.Model != ""
}

// isChanging reports whether a replica is forming or closing. Replicas of another
// model close one after the other, so that the others serve meanwhile.
func (d *decider) isChanging() bool {
	isChanging := func(r Replica) bool { return r.State != Open }
	return slices.ContainsFunc(d.out.Assignment.Replicas, isChanging) || slices.ContainsFunc(d.in.Assignment.Replicas, isChanging)
}

// mayBeReady reports whether the head of a forming replica may have been ordered
// to open.
func (d *decider) mayBeReady(r *Replica) bool {
	head, ok := d.runners[r.Members[0].ID]
	return !ok || isMember(head, r) && head.Membership.State != tracker.MemberJoining
}

func (d *decider) formTimeout(model string) time.Duration {
	for _, m := range d.in.Engine.Models {
		if m.Name == model {
			return 3*m.LoadTime + formSlack
		}
	}
	return formSlack
}

func isMember(x *tracker.Runner, r *Replica) bool {
	return x.HasMembership && x.Membership.Replica == r.Name && x.Membership.Epoch == r.Epoch
}

// isSurelyGone reports whether the head of a replica can serve nobody any more:
// it is not listed and answers no node, or has been missing for so long that the
// replica has broken. One that refuses connections may be leaving and must have
// no requests left. Other runners of the domain must answer meanwhile, or else
// the domain may be cut off and serve others.
func (d *decider) isSurelyGone(r *Replica, isListed bool) bool {
	since, ok := d.in.Gone[r.Name]
	if !ok || d.in.AnsweredAgo > answerTime {
		return false
	}
	missing := d.in.Now.Sub(since)
	if r.MayOpen && missing <= lateOrderTime {
		return false
	}
	if head := r.Members[0].ID; d.in.Refusing[head] {
		idle, ok := d.in.IdleSince[head]
		return !isListed && (ok && d.in.Now.Sub(idle) > idleTime || missing > leaveTime)
	}
	since, ok = d.in.Silent[r.Members[0].ID]
	if !ok {
		// It answers. Only its entry is missing, and it serves on until it has left.
		return false
	}
	silent := d.in.Now.Sub(since)
	if missing > d.in.StallTime && silent > d.in.StallTime {
		return true
	}
	return !isListed && silent > silentTime && d.in.ReachedFor > returnTime
}
