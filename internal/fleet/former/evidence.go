package former

import (
	"time"

	"marjorammoor/internal/serving/tracker"
)

// stallMargin is added to the stall time, for the clocks and the checks of runners.
const stallMargin = 500 * time.Millisecond

// evidence is what is known of one member of a replica: what the runner says of itself and
// how current that is, and whether it answers probes.
type evidence struct {
	member Member
	// entry is the runner's entry, or nil if there is none.
	entry *tracker.Runner
	// isSilent is set if the runner has answered none of the last probes of any node.
	isSilent bool
}

// evidenceOf returns what is known of a member.
func (d *decider) evidenceOf(m Member) evidence {
	return evidence{member: m, entry: d.runners[m.ID], isSilent: d.in.Dead[m.ID]}
}

// isMissing reports whether the store lists no entry of the runner and none is kept.
func (e evidence) isMissing() bool { return e.entry == nil }

// isListed reports whether the store lists the runner, which thus renews its entry. A kept
// entry has lapsed since, and one of an earlier start is older than what is known: neither
// tells what the runner does now.
func (e evidence) isListed() bool {
	return e.entry != nil && !e.entry.IsKept && e.entry.BootTime >= e.member.BootTime
}

// hasRestarted reports whether the member's start has ended. A later start proves that
// for good, so that a kept entry of one counts too.
func (e evidence) hasRestarted() bool {
	return e.entry != nil && e.entry.BootTime > e.member.BootTime
}

// isOfAnotherStart reports whether the store lists an entry of another start than the member's. One
// that seems earlier may be that of a later start whose clock is behind.
func (e evidence) isOfAnotherStart() bool {
	return e.entry != nil && !e.entry.IsKept && e.entry.BootTime != e.member.BootTime
}

// isIn reports whether the runner says that it is a member of a replica now.
func (e evidence) isIn(r *Replica) bool { return e.isListed() && isMember(e.entry, r) }

// isElsewhere reports whether the member's start says that it isn't a member of a replica.
func (e evidence) isElsewhere(r *Replica) bool {
	return e.isListed() && !e.hasRestarted() && !isMember(e.entry, r)
}

// runner returns where orders to the member go: to its later start if there is one, which has
// seen no fence yet and obeys late orders to the one before.
func (e evidence) runner() Member {
	if !e.hasRestarted() {
		return e.member
	}
	return Member{ID: e.member.ID, Address: e.entry.Address, BootTime: e.entry.BootTime}
}

// is reports whether the runner says that it is a member of a replica, in a state.
func (e evidence) is(r *Replica, state tracker.MemberState) bool {
	return e.isIn(r) && e.entry.Membership.State == state
}

// isMember reports whether an entry names its runner as a member of a replica.
func isMember(x *tracker.Runner, r *Replica) bool {
	return x.HasMembership && x.Membership.Replica == r.Name && x.Membership.Epoch == r.Epoch
}

// end returns what proves that a closing replica serves no more, or "" if nothing does.
// That its head is silent or refuses connections is no proof. Nor is a later start of the head: it may
// carry out a late join and a late open of this replica until it has confirmed an order to leave, whose
// fence ends those.
func (d *decider) end(r *Replica) string {
	head := d.evidenceOf(r.Members[0])
	switch {
	case d.in.HeadLeft[r.Name]:
		return "its head has left"
	case head.isElsewhere(r):
		return "its head is not in it"
	case head.is(r, tracker.MemberBroken):
		return "it has broken"
	case d.hasStalled(r):
		return "it has stalled without a member"
	}
	return ""
}

// hasStalled reports whether the head must have broken because it has lacked a member for
// longer than the stall time. One that is opened by a late order stalls from then on.
func (d *decider) hasStalled(r *Replica) bool {
	lost, ok := d.in.MemberLostAt[r.Name]
	if !ok {
		return false
	}
	wait := d.in.StallTime + stallMargin
	if !r.MayOpen && !d.evidenceOf(r.Members[0]).hasRestarted() {
		return d.in.Now.Sub(lost) > wait
	}
	seen, ok := d.in.FirstSeen[r.Name]
	return ok && d.in.Now.Sub(lost) > wait && d.in.Now.Sub(seen) > maxOrderDelay+wait
}

// isOutOfReach reports whether a head has no entry and answers no node, while others of the domain
// do. It may serve all the same, cut off from both: a connection that is refused shows as little
// of the replica as one that is silent. A head that refuses connections may also be leaving, and has
// time to finish its requests.
func (d *decider) isOutOfReach(r *Replica) bool {
	head := r.Members[0].ID
	if !d.evidenceOf(r.Members[0]).isMissing() || d.in.AnsweredAgo > maxAnswerAge || d.in.ReachableFor <= relistTime {
		return false
	}
	if d.in.Refusing[head] {
		return d.hasFinished(r)
	}
	since, ok := d.in.SilentSince[head]
	return ok && d.in.Now.Sub(since) > silenceTimeout
}

// breakReplica orders the other members of a replica to leave it, so that its head, if it
// serves out of reach, stalls and breaks.
func (d *decider) breakReplica(r *Replica) {
	for _, m := range r.Members[1:] {
		if e := d.evidenceOf(m); e.isIn(r) && !e.isSilent {
			d.order(Order{Operation: Leave, Runner: e.runner(), Replica: r.Name, Epoch: r.Epoch})
		}
	}
}
