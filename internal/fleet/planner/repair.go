package planner

import (
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// prices are the expected prices of the ways to repair a replica. A negative
// price means that the way is not open.
type prices struct {
	replace float64
	merge   float64
	wait    float64
}

const notOpen = -1

// repair decides for each broken replica of a wanted deployment.
func (p *plan) repair() {
	for _, d := range p.sortedDomains() {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			if r.State != parser.ReplicaAssigned {
				continue
			}
			if missing := p.missing(r); len(missing) > 0 {
				p.repairOne(d, r, missing)
			} else if p.isBroken(r) {
				p.restart(d, r)
			}
		}
	}
}

// isBroken reports whether a member says that its replica has broken although
// no member is missing any more.
func (p *plan) isBroken(r *parser.ReplicaRef) bool {
	for _, m := range r.Members {
		v := p.VMs[m.VM]
		if v != nil && v.Fresh && v.Identity.State == caller.StateBroken && v.Identity.Epoch == r.Epoch {
			return true
		}
	}
	return false
}

// restart forms the same members anew under a new epoch.
func (p *plan) restart(d *domain, r *parser.ReplicaRef) {
	d.spec.LastEpoch++
	r.Epoch = d.spec.LastEpoch
	d.changed = true
	p.decide(d, r, ActionRestart, "all members are back")
}

// hasReturned reports whether a member's VM is back under a new boot identity
// and can be taken again.
func (p *plan) hasReturned(m parser.MemberRef) bool {
	v := p.VMs[m.VM]
	return v != nil && v.IsSpare() && v.Identity.BootID != m.BootID
}

// needed returns how many spares it takes to repair a replica.
func (p *plan) needed(r *parser.ReplicaRef, missing []int) int {
	n := 0
	for _, i := range missing {
		if !p.hasReturned(r.Members[i]) {
			n++
		}
	}
	return n
}

func (p *plan) repairOne(d *domain, r *parser.ReplicaRef, missing []int) {
	spec := p.Deployments[r.Deployment]
	if !IsCurrent(r, spec) {
		p.release(d, r, "broken and not wanted")
		return
	}
	need := p.needed(r, missing)
	if need == 0 {
		p.replace(d, r, spec.Pool, missing, "VM returned")
		return
	}
	if p.Plain {
		p.repairPlain(d, r, spec, missing)
		return
	}
	donor := p.donor(d, r, need)
	switch best(p.price(d, r, spec, missing, donor)) {
	case ActionReplace:
		p.replace(d, r, spec.Pool, missing, "spare is cheaper than waiting")
	case ActionMerge:
		p.release(d, donor, "its VMs repair "+r.ID)
		p.decide(d, r, ActionMerge, "donor "+donor.ID)
	default:
		p.decide(d, r, ActionWait, "waiting is cheapest")
	}
}

// repairPlain takes a spare if there is one and waits otherwise.
func (p *plan) repairPlain(d *domain, r *parser.ReplicaRef, spec *parser.DeploymentSpec, missing []int) {
	if len(d.spares[spec.Pool]) >= p.needed(r, missing) {
		p.replace(d, r, spec.Pool, missing, "spare")
		return
	}
	p.decide(d, r, ActionWait, "no spare")
}

// price returns the expected prices of the ways to repair a replica.
func (p *plan) price(d *domain, r *parser.ReplicaRef, spec *parser.DeploymentSpec, missing []int, donor *parser.ReplicaRef) prices {
	w := spec.Weights
	size, lost := float64(len(r.Members)), float64(len(missing))
	reload := p.Timing.Reload.Seconds()
	remaining, needsReload := p.expectedReturn(r, missing)
	waitTime := remaining
	if needsReload {
		waitTime += reload
	}
	// While the replica is down its remaining VMs are stranded too.
	perSecond := w.GroupDowntime + w.StrandedAccelerators*(size-lost)
	c := prices{replace: notOpen, merge: notOpen, wait: perSecond * waitTime}
	if len(d.spares[spec.Pool]) >= p.needed(r, missing) {
		// The missing VMs become spares when they return.
		c.replace = (w.GroupDowntime + w.StrandedAccelerators*size) * reload
	}
	if donor != nil {
		// The donor's VMs unload and load again, and its own return is given up.
		donorTime := p.donorReturn(donor)
		rest := float64(len(donor.Members)) - lost
		c.merge = (w.GroupDowntime+w.StrandedAccelerators*size)*reload + (w.GroupDowntime+w.StrandedAccelerators*rest)*reload
		c.wait += (w.GroupDowntime + w.StrandedAccelerators*rest) * donorTime
		c.merge += (w.GroupDowntime + w.StrandedAccelerators*max(rest-lost, 0)) * donorTime
	}
	return c
}

func best(c prices) Action {
	switch {
	case c.replace != notOpen && (c.replace <= c.wait) && (c.merge == notOpen || c.replace <= c.merge):
		return ActionReplace
	case c.replace == notOpen && c.merge != notOpen && c.merge < c.wait:
		return ActionMerge
	default:
		return ActionWait
	}
}

// expectedReturn returns how long it will take until all missing members are
// back, and whether the replica has to load again then. A VM that has been
// silent for as long as silent VMs usually take is expected to be as long again.
func (p *plan) expectedReturn(r *parser.ReplicaRef, missing []int) (seconds float64, needsReload bool) {
	longest := time.Duration(0)
	for _, i := range missing {
		m := r.Members[i]
		v := p.VMs[m.VM]
		var d time.Duration
		switch {
		case v != nil && v.Fresh && !v.Gone:
			needsReload = true // It is back under a new boot identity.
		case p.isProvedMissing(m):
			needsReload = true
			d = p.Timing.GoneReturn
		case v.SilentFor > p.Timing.SilentReturn:
			d = v.SilentFor
		default:
			d = p.Timing.SilentReturn - v.SilentFor
		}
		longest = max(longest, d)
	}
	return longest.Seconds(), needsReload
}

func (p *plan) donorReturn(donor *parser.ReplicaRef) float64 {
	remaining, _ := p.expectedReturn(donor, p.missing(donor))
	return remaining
}

// donor returns another broken replica of the same deployment and domain whose
// healthy VMs would complete r, or nil. Of two broken replicas only the one with
// the larger epoch gives, so that they never give to each other.
func (p *plan) donor(d *domain, r *parser.ReplicaRef, need int) *parser.ReplicaRef {
	for i := range d.spec.Replicas {
		c := &d.spec.Replicas[i]
		if c.Deployment != r.Deployment || c.State != parser.ReplicaAssigned || c.Epoch <= r.Epoch {
			continue
		}
		lost := len(p.missing(c))
		if lost > 0 && len(c.Members)-lost >= need {
			return c
		}
	}
	return nil
}

// replace puts spares in the places of missing members, under a new epoch. The
// missing VMs stay bound until they have confirmed that they left: they form a
// releasing replica of their own.
func (p *plan) replace(d *domain, r *parser.ReplicaRef, pool string, missing []int, reason string) {
	d.spec.LastEpoch++
	leftover := parser.ReplicaRef{
		ID: r.ID + "-left-" + p.NewID(), Deployment: r.Deployment, Model: r.Model, ModelVersion: r.ModelVersion,
		State: parser.ReplicaReleasing, Epoch: d.spec.LastEpoch,
	}
	spares := d.takeSpares(pool, p.needed(r, missing))
	for _, i := range missing {
		if p.hasReturned(r.Members[i]) {
			r.Members[i] = member(p.VMs[r.Members[i].VM])
			continue
		}
		leftover.Members = append(leftover.Members, r.Members[i])
		r.Members[i] = member(spares[0])
		spares = spares[1:]
	}
	d.spec.LastEpoch++
	r.Epoch = d.spec.LastEpoch
	d.changed = true
	p.decide(d, r, ActionReplace, reason)
	if len(leftover.Members) > 0 {
		d.spec.Replicas = append(d.spec.Replicas, leftover)
	}
}
