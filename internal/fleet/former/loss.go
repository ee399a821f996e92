package former

import (
	"slices"
	"time"

	"marjorammoor/internal/serving/tracker"
)

const (
	// formSlack is added to the expected load times to get the timeouts for forming
	// a replica and for staging weights.
	formSlack = 6 * time.Second
	// silenceTimeout is how long a head must have answered no node before it counts as
	// silent. Part of it is needed for other nodes to probe the head.
	silenceTimeout = 1200 * time.Millisecond
	// maxAnswerAge is the longest time since an answer from any runner of the domain
	// for which the silence of another runner counts.
	maxAnswerAge = time.Second
	// minIdleTime is how long a head that refuses connections must have had no
	// request in flight from any node before its members are ordered to leave.
	minIdleTime = time.Second
	// maxLeaveTime is the longest time for which a leaving head still serves
	// requests, with a margin.
	maxLeaveTime = 11 * time.Second
	// maxOrderDelay is the longest time after which an order without an answer may
	// still be carried out.
	maxOrderDelay = 12 * time.Second
	// relistTime is how long it takes until the runners of a domain are listed again
	// after a loss of contact. A runner that is not listed before then may still
	// serve.
	relistTime = 3 * time.Second
	// lostTime is how long a head must have been missing, with no entry of any other member, before
	// its replica is given up.
	lostTime = 30 * time.Second
)

// closeReason returns why a replica must close, or "" if it need not, and whether it
// may finish its requests.
func (d *decider) closeReason(r *Replica) (reason string, graceful bool) {
	headIsSilent := d.in.Dead[r.Members[0].ID]
	for i, m := range r.Members {
		e := d.evidenceOf(m)
		switch {
		case e.hasRestarted(), e.isOfAnotherStart():
			return "member " + m.ID + " has started anew", false
		case e.isMissing() && i > 0 && r.State == Open && d.in.UnlistedAlive[m.ID]:
			// The member still answers probes; only its entry in the list is missing.
		case e.isMissing():
			return "member " + m.ID + " is gone", false
		case r.State == Open && e.isElsewhere(r):
			return "member " + m.ID + " is in another replica", false
		case r.State == Open && e.is(r, tracker.MemberBroken):
			return "broken", false
		case e.isSilent && (r.State == Forming || !headIsSilent):
			return "member " + m.ID + " does not answer", false
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
	if since, ok := d.in.FirstSeen[r.Name]; ok && r.State == Forming && d.in.Now.Sub(since) > d.formTimeout(r.Model) {
		return "forming timed out", false
	}
	return "", false
}

// isUnwanted reports whether the domain is assigned to a model other than the
// replica's.
func (d *decider) isUnwanted(r *Replica) bool {
	_, ok := d.goal[r.Model]
	return !ok && d.in.Assignment.Model != ""
}

// isChanging reports whether any replica is forming or closing. Replicas of another
// model close one at a time, so that the remaining ones keep serving.
func (d *decider) isChanging() bool {
	isChanging := func(r Replica) bool { return r.State != Open }
	return slices.ContainsFunc(d.out.Assignment.Replicas, isChanging) || slices.ContainsFunc(d.in.Assignment.Replicas, isChanging)
}

// mayOpen reports whether the head of a forming replica may have been ordered to
// open.
func (d *decider) mayOpen(r *Replica) bool {
	head := d.evidenceOf(r.Members[0])
	return !head.isListed() || head.hasRestarted() || head.isIn(r) && !head.is(r, tracker.MemberJoining)
}

// formTimeout returns how long a replica of a model may take to form.
func (d *decider) formTimeout(model string) time.Duration {
	for _, m := range d.in.Engine.Models {
		if m.Name == model {
			return 3*m.LoadTime + formSlack
		}
	}
	return formSlack
}

// isLost reports whether no member of a replica has had an entry for a long time. Nothing proves that
// such a replica has ended, but there is nobody to order and nobody to free either.
func (d *decider) isLost(r *Replica) bool {
	since, ok := d.in.HeadMissingSince[r.Name]
	return ok && d.in.Now.Sub(since) > lostTime &&
		!slices.ContainsFunc(r.Members, func(m Member) bool { return !d.evidenceOf(m).isMissing() })
}

// hasFinished reports whether a head that refuses connections has no request in flight from any
// node, or must have left by now if it is leaving.
func (d *decider) hasFinished(r *Replica) bool {
	if idle, ok := d.in.IdleSince[r.Members[0].ID]; ok && d.in.Now.Sub(idle) > minIdleTime {
		return true
	}
	since, ok := d.in.HeadMissingSince[r.Name]
	return ok && d.in.Now.Sub(since) > maxLeaveTime
}
