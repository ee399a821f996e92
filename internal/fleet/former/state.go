package former

import (
	"slices"
	"sync/atomic"
	"time"

	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/sequencer"
)

// domainState is what this node has stored and observed about one domain. Maps are
// keyed by runner ID unless noted.
type domainState struct {
	// busy is set while a goroutine works on the domain. Only that goroutine uses
	// the other fields, except wasUnlisted.
	busy atomic.Bool
	// wasUnlisted is set if, at any time since the last decision, no runner of the
	// domain was listed.
	wasUnlisted atomic.Bool
	// hasAssignment is set if assignment and its position in the store are valid. It is
	// cleared when a write fails, a runner refuses an order as fenced, the store was
	// restored, or another node takes over the domain, so that the assignment is read
	// again. The assignment then still tells what this node knew last.
	hasAssignment bool
	at            sequencer.Position
	assignment    Assignment
	// claimTriedAt is when this node last tried to claim the assignment.
	claimTriedAt time.Time
	// firstSeen is when this node first saw a replica in the assignment, by replica
	// name.
	firstSeen map[string]time.Time
	// headMissingSince is the time since which a replica's head has been unlisted or
	// dead, by replica name. It is not set while the whole domain is unreachable.
	headMissingSince map[string]time.Time
	// headLeft is when a replica's head answered a leave order with Done or
	// Misdirected, by replica name.
	headLeft map[string]time.Time
	// memberLostAt is since when a closing replica is known to lack a member that is not its
	// head, by replica name.
	memberLostAt map[string]time.Time
	// sentAt is when each order was last sent.
	sentAt map[orderKey]time.Time
	// missedProbes counts the consecutive probes that a runner missed.
	missedProbes map[string]int
	// dead contains the runners that missed missesUntilDead probes in a row.
	dead map[string]bool
	// silentSince is the time since which a runner has answered neither this node
	// nor another.
	silentSince map[string]time.Time
	// refusing contains the runners whose last probe was refused.
	refusing map[string]bool
	// idleSince is the time since which a refusing runner has had no request in
	// flight.
	idleSince map[string]time.Time
	// lastModel is the model of the last replica or warm-up group in which a runner
	// was ready.
	lastModel map[string]string
	// pendingLoads are the loads that were ordered and are not known to be over.
	pendingLoads map[string]pendingLoad
	// warmingSince is when a spare was last ordered to join its warm-up group.
	warmingSince map[string]time.Time
	// missedAt is when a runner last missed a probe.
	missedAt map[string]time.Time
	// unlistedMisses counts the consecutive probes missed by members that are not
	// listed.
	unlistedMisses map[string]int
	// probedAt is when runners of the domain were last probed.
	probedAt time.Time
	// loadStarts is when the loads of the last loadWindow were ordered.
	loadStarts []time.Time
	// ownedAt is when this node took over the domain; zero if another node owns it.
	ownedAt time.Time
	// decidedAt is when the last decision was made.
	decidedAt time.Time
	// answeredAt is when any runner of the domain last answered a probe.
	answeredAt time.Time
	// reachableSince is the time since which a runner of the domain has been
	// reachable without interruption.
	reachableSince time.Time
	// readAt is when the assignment was read. A view that was confirmed before may
	// lack changes that the assignment's last writer saw, so the two must not be
	// compared.
	readAt time.Duration
	// readTriedAt is when this node last tried to read the assignment.
	readTriedAt time.Time
	// unservedSince is the time since which a wanted model has had no target.
	// reassignCheckedAt is when the domains were last checked for reassignment.
	unservedSince, reassignCheckedAt time.Time
}

// pendingLoad is an order to stage weights. It counts as pending until the runner
// holds the weights or is no longer listed, or until the deadline.
type pendingLoad struct {
	model string
	// until is the deadline after which the load is assumed to be over.
	until time.Time
}

// orderKey identifies an order, to limit how often it is sent again.
type orderKey struct {
	operation Operation
	runner    string
	// bootTime tells the starts of a runner apart: a later one has seen none of the orders before.
	bootTime int64
	epoch    int64
	model    string
}

// updateTimes records when new replicas were first seen. It drops the times of
// replicas that no longer exist and of orders that were sent more than a minute ago.
func (s *domainState) updateTimes(a Assignment) {
	now := time.Now()
	since := map[string]time.Time{}
	for _, r := range a.Replicas {
		key := r.Name
		since[key] = now
		if old, ok := s.firstSeen[key]; ok && (r.State == Forming || old.Before(now)) {
			since[key] = old
		}
	}
	s.firstSeen = since
	for name := range s.headMissingSince {
		if _, ok := since[name]; !ok {
			delete(s.headMissingSince, name)
		}
	}
	for name := range s.memberLostAt {
		if _, ok := since[name]; !ok {
			delete(s.memberLostAt, name)
		}
	}
	for name, at := range s.headLeft {
		if _, ok := since[name]; !ok && now.Sub(at) > time.Minute {
			delete(s.headLeft, name)
		}
	}
	for k, at := range s.sentAt {
		if now.Sub(at) > time.Minute {
			delete(s.sentAt, k)
		}
	}
}

// leftHeads returns the replicas whose head has confirmed that it left.
func (s *domainState) leftHeads() map[string]bool {
	list := make(map[string]bool, len(s.headLeft))
	for name := range s.headLeft {
		list[name] = true
	}
	return list
}

// observeRunners records the last model of each runner and removes the loads that
// are over. It returns how many loads it removed.
func (s *domainState) observeRunners(d *domain, now time.Time) int {
	finished := 0
	listed := map[string]*tracker.Runner{}
	for _, r := range d.runners {
		listed[r.ID] = r
	}
	for id, l := range s.pendingLoads {
		r, ok := listed[id]
		if !ok || !needsLoad(r, l.model) || now.After(l.until) {
			delete(s.pendingLoads, id)
			finished++
		}
	}
	for _, r := range d.runners {
		if isWarming(r) && r.Membership.State == tracker.MemberReady && len(r.Models) == 1 {
			s.lastModel[r.ID] = r.Models[0]
		}
	}
	for _, a := range s.assignment.Replicas {
		for _, m := range a.Members {
			r, ok := listed[m.ID]
			if ok && isMember(r, &a) && r.Membership.State != tracker.MemberJoining {
				s.lastModel[m.ID] = a.Model
			}
		}
	}
	return finished
}

// updateLost records which closing replicas lack a member, by what their members say of
// themselves.
func (s *domainState) updateLost(d *domain, now time.Time) {
	listed := map[string]*tracker.Runner{}
	for _, r := range d.runners {
		listed[r.ID] = r
	}
	for _, r := range s.assignment.Replicas {
		if r.State != Closing {
			continue
		}
		for _, m := range r.Members[1:] {
			if e := (evidence{member: m, entry: listed[m.ID]}); e.hasRestarted() || e.isElsewhere(&r) {
				s.recordLost(r.Name, now)
			}
		}
	}
}

// recordLost records that a replica lacks a member, unless that is known.
func (s *domainState) recordLost(replica string, now time.Time) {
	if _, ok := s.memberLostAt[replica]; !ok {
		s.memberLostAt[replica] = now
	}
}

// isHead reports whether a runner is the head of an assigned replica, or the replica is not
// assigned.
func (s *domainState) isHead(id, replica string) bool {
	i := slices.IndexFunc(s.assignment.Replicas, func(r Replica) bool { return r.Name == replica })
	return i < 0 || s.assignment.Replicas[i].Members[0].ID == id
}

// updateUnlisted tracks the non-head members of open replicas that are not listed.
// It returns those that have not missed enough probes to be considered gone.
func (s *domainState) updateUnlisted(listed map[string]bool) map[string]bool {
	misses := map[string]int{}
	alive := map[string]bool{}
	for _, r := range s.assignment.Replicas {
		for _, m := range r.Members[1:] {
			if r.State != Open || listed[m.ID] {
				continue
			}
			misses[m.ID] = s.unlistedMisses[m.ID]
			alive[m.ID] = misses[m.ID] < missesUntilDead
		}
	}
	s.unlistedMisses = misses
	return alive
}

// isReachable reports whether at least one runner of a domain is listed and not
// dead. If none is, this node assumes that it has lost contact with the domain and
// not that all runners have failed.
func isReachable(runners []*tracker.Runner, dead map[string]bool) bool {
	for _, r := range runners {
		if !dead[r.ID] {
			return true
		}
	}
	return false
}

// resetSilence restarts the time spans after which a head is considered gone.
func (s *domainState) resetSilence() {
	clear(s.silentSince)
	clear(s.idleSince)
}
