package planner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marjorammoor/internal/objects/parser"
)

// advanceDrain releases a draining replica when a member is missing, when its
// requests have finished, or at the deployment's drain timeout.
func (p *plan) advanceDrain(d *domain, r *parser.ReplicaRef) {
	limit := time.Duration(parser.DefaultDrainTimeoutMS) * time.Millisecond
	if spec, ok := p.Deployments[r.Deployment]; ok {
		limit = spec.DrainTimeout()
	}
	drainingFor := p.InStateFor[r.ID]
	switch {
	case len(p.missing(r)) > 0:
		p.release(d, r, "member missing")
	case drainingFor >= limit:
		p.release(d, r, "drain timeout")
	case drainingFor >= p.Timing.MinDrain && p.isDrained(r):
		p.release(d, r, "drained")
	}
}

// isDrained reports whether the replica's head, which takes all its requests,
// reports no request that is in progress or queued.
func (p *plan) isDrained(r *parser.ReplicaRef) bool {
	v := p.VMs[r.Members[0].VM]
	return v != nil && v.Observed && v.Identity.Load.InFlight == 0 && v.Identity.Load.Queued == 0
}

// drainUnwanted starts to drain the replicas of deleted or changed deployments,
// those with a VM that is leaving, and those beyond the wanted number.
func (p *plan) drainUnwanted() {
	for _, d := range p.sortedDomains() {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			if r.State != parser.ReplicaAssigned {
				continue
			}
			if reason := p.drainReason(r); reason != "" {
				p.drain(d, r, reason)
			}
		}
	}
	for name, spec := range p.Deployments {
		p.drainSurplus(name, spec)
	}
}

// drainReason returns why a replica has to be drained, or "" if it does not.
func (p *plan) drainReason(r *parser.ReplicaRef) string {
	spec := p.Deployments[r.Deployment]
	if spec == nil {
		return "deployment deleted"
	}
	for _, m := range r.Members {
		if v := p.VMs[m.VM]; v != nil && v.Leaving {
			return "VM leaving"
		}
	}
	if !IsCurrent(r, spec) && p.mayDrainOutdated(r.Deployment, spec) {
		return "deployment changed"
	}
	return ""
}

// mayDrainOutdated reports whether an outdated replica of a deployment may be
// drained now. Replicas are replaced one at a time: none is drained while another
// one is stopping or has not been ready for MinReadyTime. If prefersSurge holds,
// the new replica is formed first, unless there are too few spares and a replica
// has been outdated for SurgeTimeout.
func (p *plan) mayDrainOutdated(name string, spec *parser.DeploymentSpec) bool {
	outdated, current, inTransition := 0, 0, 0
	outdatedFor := time.Duration(0)
	for _, d := range p.domains {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			switch {
			case r.Deployment != name:
			case r.State != parser.ReplicaAssigned:
				inTransition++
			case !IsCurrent(r, spec):
				outdated++
				outdatedFor = max(outdatedFor, p.OutdatedFor[r.ID])
			case p.isServing(r) && p.ServingFor[r.ID] >= MinReadyTime:
				current++
			default:
				inTransition++
			}
		}
	}
	if inTransition > 0 {
		return false
	}
	if prefersSurge(spec) && (p.bestDomain(spec) != nil || outdatedFor < SurgeTimeout) {
		return outdated+current > spec.Replicas[p.DataCenter]
	}
	return true
}

// prefersSurge reports whether a new replica is formed before the outdated one is
// drained. This is the case if the downtime of one replica costs more per second
// than all VMs of a replica being stranded.
func prefersSurge(spec *parser.DeploymentSpec) bool {
	return spec.Weights.GroupDowntime > spec.Weights.StrandedAccelerators*float64(spec.Size())
}

func (p *plan) drain(d *domain, r *parser.ReplicaRef, reason string) {
	r.State = parser.ReplicaDraining
	d.changed = true
	p.recordDecision(d, r, ActionDrain, reason)
}

// drainSurplus drains the replicas beyond the wanted number: outdated ones first,
// then those that do not serve, then those with the largest epoch.
func (p *plan) drainSurplus(name string, spec *parser.DeploymentSpec) {
	list := p.assigned(name)
	surplus := len(list) - spec.Replicas[p.DataCenter]
	if surplus <= 0 {
		return
	}
	slices.SortFunc(list, func(a, b replicaInDomain) int {
		return cmp.Or(
			compareBool(IsCurrent(a.replica, spec), IsCurrent(b.replica, spec)),
			compareBool(p.isServing(a.replica), p.isServing(b.replica)),
			cmp.Compare(b.replica.Epoch, a.replica.Epoch),
			strings.Compare(a.replica.ID, b.replica.ID),
		)
	})
	for _, l := range list[:surplus] {
		if !IsCurrent(l.replica, spec) && !p.mayDrainOutdated(name, spec) {
			return
		}
		p.drain(l.domain, l.replica, "not wanted")
	}
}
