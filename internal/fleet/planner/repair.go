package planner

import (
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// repairCosts holds the expected cost of each way to repair a replica, in the unit
// of the deployment's weights, or notPossible for a way that is not available.
type repairCosts struct {
	replace float64
	merge   float64
	wait    float64
}

const notPossible = -1

// repair handles each assigned replica that has missing members or is broken.
func (p *plan) repair() {
	for _, d := range p.sortedDomains() {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			if r.State != parser.ReplicaAssigned {
				continue
			}
			if missing := p.missing(r); len(missing) > 0 {
				p.repairReplica(d, r, missing)
			} else if p.isBroken(r) {
				p.restart(d, r)
			}
		}
	}
}

// isBroken reports whether a member is in StateBroken under the replica's epoch. It
// stays in this state after the member whose failure broke the replica is back.
func (p *plan) isBroken(r *parser.ReplicaRef) bool {
	for _, m := range r.Members {
		v := p.VMs[m.VM]
		if v != nil && v.Observed && v.Identity.State == caller.StateBroken && v.Identity.Epoch == r.Epoch {
			return true
		}
	}
	return false
}

// restart gives the replica a new epoch, so that the same members are ordered to
// load again.
func (p *plan) restart(d *domain, r *parser.ReplicaRef) {
	d.spec.LastEpoch++
	r.Epoch = d.spec.LastEpoch
	d.changed = true
	p.recordDecision(d, r, ActionRestart, "all members are back")
}

// hasReturned reports whether a member's VM is a spare under a new boot identity,
// so that the same VM can be used again.
func (p *plan) hasReturned(m parser.MemberRef) bool {
	v := p.VMs[m.VM]
	return v != nil && v.IsSpare() && v.Identity.BootID != m.BootID
}

// sparesNeeded returns how many other VMs are needed to replace the missing members
// of a replica. VMs that have returned replace themselves.
func (p *plan) sparesNeeded(r *parser.ReplicaRef, missing []int) int {
	n := 0
	for _, i := range missing {
		if !p.hasReturned(r.Members[i]) {
			n++
		}
	}
	return n
}

// repairReplica chooses how to repair a replica that has missing members. A replica
// that is not current is released instead.
func (p *plan) repairReplica(d *domain, r *parser.ReplicaRef, missing []int) {
	spec := p.Deployments[r.Deployment]
	if !IsCurrent(r, spec) {
		p.release(d, r, "broken and outdated")
		return
	}
	need := p.sparesNeeded(r, missing)
	if need == 0 {
		p.replace(d, r, spec.Pool, missing, "VM returned")
		return
	}
	if p.Baseline {
		p.repairBaseline(d, r, spec, missing)
		return
	}
	donor := p.findDonor(d, r, need)
	switch cheapest(p.estimateCosts(d, r, spec, missing, donor)) {
	case ActionReplace:
		p.replace(d, r, spec.Pool, missing, "spare is cheaper than waiting")
	case ActionMerge:
		p.release(d, donor, "its VMs are needed to repair "+r.ID)
		p.recordDecision(d, r, ActionMerge, "its VMs come from "+donor.ID)
	default:
		p.recordDecision(d, r, ActionWait, "waiting is cheapest")
	}
}

// repairBaseline uses spares if there are enough and waits otherwise.
func (p *plan) repairBaseline(d *domain, r *parser.ReplicaRef, spec *parser.DeploymentSpec, missing []int) {
	if len(d.spares[spec.Pool]) >= p.sparesNeeded(r, missing) {
		p.replace(d, r, spec.Pool, missing, "spare")
		return
	}
	p.recordDecision(d, r, ActionWait, "not enough spares")
}

// estimateCosts returns the expected cost of each way to repair a replica. donor is
// the replica that a merge would release, or nil.
func (p *plan) estimateCosts(d *domain, r *parser.ReplicaRef, spec *parser.DeploymentSpec, missing []int, donor *parser.ReplicaRef) repairCosts {
	w := spec.Weights
	size, lost := float64(len(r.Members)), float64(len(missing))
	loadTime := p.Timing.LoadTime.Seconds()
	untilReturn, needsReload := p.expectedReturn(r, missing)
	waitTime := untilReturn
	if needsReload {
		waitTime += loadTime
	}
	// The members that are not missing are stranded until the replica serves again.
	perSecond := w.GroupDowntime + w.StrandedAccelerators*(size-lost)
	c := repairCosts{replace: notPossible, merge: notPossible, wait: perSecond * waitTime}
	if len(d.spares[spec.Pool]) >= p.sparesNeeded(r, missing) {
		// The downtime lasts for one load. The missing VMs do not count, because they
		// become spares when they return.
		c.replace = (w.GroupDowntime + w.StrandedAccelerators*size) * loadTime
	}
	if donor != nil {
		// After a merge, the VMs of both replicas load again, and the donor does not
		// return by itself. The donor's downtime until its own missing members would
		// be back counts for waiting and for merging, but a merge leaves fewer of its
		// VMs stranded. The donor is assumed to miss as many members as the replica.
		donorTime := p.donorReturn(donor)
		donorHealthy := float64(len(donor.Members)) - lost
		c.merge = (w.GroupDowntime+w.StrandedAccelerators*size)*loadTime + (w.GroupDowntime+w.StrandedAccelerators*donorHealthy)*loadTime
		c.wait += (w.GroupDowntime + w.StrandedAccelerators*donorHealthy) * donorTime
		c.merge += (w.GroupDowntime + w.StrandedAccelerators*max(donorHealthy-lost, 0)) * donorTime
	}
	return c
}

// cheapest returns the action with the lowest cost. At equal cost, it prefers
// replacing to waiting and waiting to merging. It merges only if replacing is not
// possible.
func cheapest(c repairCosts) Action {
	switch {
	case c.replace != notPossible && (c.replace <= c.wait) && (c.merge == notPossible || c.replace <= c.merge):
		return ActionReplace
	case c.replace == notPossible && c.merge != notPossible && c.merge < c.wait:
		return ActionMerge
	default:
		return ActionWait
	}
}

// expectedReturn returns the expected time until all missing members are back, and
// whether the replica has to load the model again then. A VM that has been silent
// for longer than SilentReturn is expected to stay silent for as long again as it
// has been so far.
func (p *plan) expectedReturn(r *parser.ReplicaRef, missing []int) (seconds float64, needsReload bool) {
	longest := time.Duration(0)
	for _, i := range missing {
		m := r.Members[i]
		v := p.VMs[m.VM]
		var d time.Duration
		switch {
		case v != nil && v.Observed && !v.Down:
			needsReload = true // The VM is back under a new boot identity.
		case p.isRunnerLost(m):
			needsReload = true
			d = p.Timing.ReplacementTime
		case v.SilentFor > p.Timing.SilentReturn:
			d = v.SilentFor
		default:
			d = p.Timing.SilentReturn - v.SilentFor
		}
		longest = max(longest, d)
	}
	return longest.Seconds(), needsReload
}

// donorReturn returns the expected time in seconds until the donor's missing
// members are back.
func (p *plan) donorReturn(donor *parser.ReplicaRef) float64 {
	untilReturn, _ := p.expectedReturn(donor, p.missing(donor))
	return untilReturn
}

// findDonor returns another broken replica of the same deployment and domain whose
// remaining members are enough to repair r, or nil. A donor must have a larger epoch
// than r, so that two broken replicas are never released for each other.
func (p *plan) findDonor(d *domain, r *parser.ReplicaRef, need int) *parser.ReplicaRef {
	for i := range d.spec.Replicas {
		candidate := &d.spec.Replicas[i]
		if candidate.Deployment != r.Deployment || candidate.State != parser.ReplicaAssigned || candidate.Epoch <= r.Epoch {
			continue
		}
		lost := len(p.missing(candidate))
		if lost > 0 && len(candidate.Members)-lost >= need {
			return candidate
		}
	}
	return nil
}

// replace replaces the missing members by spares, or by the same VMs if they have
// returned, and gives the replica a new epoch. The replaced VMs may still serve, so
// they are moved to a separate replica in state ReplicaReleasing, which keeps them
// assigned until isReleased holds.
func (p *plan) replace(d *domain, r *parser.ReplicaRef, pool string, missing []int, reason string) {
	d.spec.LastEpoch++
	replaced := parser.ReplicaRef{
		ID: r.ID + "-left-" + p.NewID(), Deployment: r.Deployment, Model: r.Model, ModelVersion: r.ModelVersion,
		State: parser.ReplicaReleasing, Epoch: d.spec.LastEpoch,
	}
	spares := d.takeSpares(pool, p.sparesNeeded(r, missing))
	for _, i := range missing {
		if p.hasReturned(r.Members[i]) {
			r.Members[i] = member(p.VMs[r.Members[i].VM])
			continue
		}
		replaced.Members = append(replaced.Members, r.Members[i])
		r.Members[i] = member(spares[0])
		spares = spares[1:]
	}
	d.spec.LastEpoch++
	r.Epoch = d.spec.LastEpoch
	d.changed = true
	p.recordDecision(d, r, ActionReplace, reason)
	if len(replaced.Members) > 0 {
		d.spec.Replicas = append(d.spec.Replicas, replaced)
	}
}
