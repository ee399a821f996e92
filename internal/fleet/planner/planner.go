package planner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// plan is the state of one planning run.
type plan struct {
	Input
	domains map[string]*domain
	out     Output
}

type domain struct {
	name    string
	spec    parser.AssignmentSpec
	changed bool
	spares  map[string][]*VM
}

// Plan decides the next assignments of a data centre.
func Plan(in Input) Output {
	in.Timing = in.Timing.withDefaults()
	p := &plan{Input: in, domains: map[string]*domain{}}
	p.out.Changed = map[string]parser.AssignmentSpec{}
	p.open()
	p.advance()
	p.findSpares()
	p.repair()
	p.drainUnwanted()
	p.form()
	for _, d := range p.domains {
		if d.changed {
			p.out.Changed[d.name] = d.spec
		}
	}
	return p.out
}

// open copies the assignments and adds empty ones for new domains.
func (p *plan) open() {
	for name, a := range p.Assignments {
		a.Replicas = slices.Clone(a.Replicas)
		for i := range a.Replicas {
			a.Replicas[i].Members = slices.Clone(a.Replicas[i].Members)
		}
		p.domains[a.Domain] = &domain{name: name, spec: a}
	}
	for _, v := range p.VMs {
		if v.Listed && p.domains[v.Domain] == nil {
			p.domains[v.Domain] = &domain{
				name: AssignmentName(p.DataCenter, v.Domain),
				spec: parser.AssignmentSpec{DataCenter: p.DataCenter, Domain: v.Domain},
			}
		}
	}
}

func (p *plan) sortedDomains() []*domain {
	names := slices.Sorted(maps.Keys(p.domains))
	list := make([]*domain, 0, len(names))
	for _, n := range names {
		list = append(list, p.domains[n])
	}
	return list
}

func (p *plan) decide(d *domain, r *parser.ReplicaRef, action Action, reason string) {
	p.out.Decisions = append(p.out.Decisions, Decision{
		Replica: r.ID, Deployment: r.Deployment, Domain: d.spec.Domain, Action: action, Reason: reason,
	})
}

// advance moves draining replicas to releasing and lets confirmed VMs go.
func (p *plan) advance() {
	for _, d := range p.sortedDomains() {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			switch r.State {
			case parser.ReplicaDraining:
				p.advanceDrain(d, r)
			case parser.ReplicaReleasing:
				p.advanceRelease(d, r)
			}
		}
		kept := slices.DeleteFunc(d.spec.Replicas, func(r parser.ReplicaRef) bool { return len(r.Members) == 0 })
		d.changed = d.changed || len(kept) != len(d.spec.Replicas)
		d.spec.Replicas = kept
	}
}

func (p *plan) advanceDrain(d *domain, r *parser.ReplicaRef) {
	limit := time.Duration(parser.DefaultDrainTimeoutMS) * time.Millisecond
	if spec, ok := p.Deployments[r.Deployment]; ok {
		limit = spec.DrainTimeout()
	}
	waited := p.Since[r.ID]
	switch {
	case len(p.missing(r)) > 0:
		p.release(d, r, "member missing")
	case waited >= limit:
		p.release(d, r, "drain timeout")
	case waited >= p.Timing.MinDrain && p.isDrained(r):
		p.release(d, r, "drained")
	}
}

// isDrained reports whether the head has no request in progress.
func (p *plan) isDrained(r *parser.ReplicaRef) bool {
	v := p.VMs[r.Members[0].VM]
	return v != nil && v.Fresh && v.Identity.Load.InFlight == 0 && v.Identity.Load.Queued == 0
}

func (p *plan) release(d *domain, r *parser.ReplicaRef, reason string) {
	d.spec.LastEpoch++
	r.Epoch = d.spec.LastEpoch
	r.State = parser.ReplicaReleasing
	d.changed = true
	p.decide(d, r, ActionRelease, reason)
}

// advanceRelease lets each member go that is proved not to serve any more.
func (p *plan) advanceRelease(d *domain, r *parser.ReplicaRef) {
	n := len(r.Members)
	r.Members = slices.DeleteFunc(r.Members, func(m parser.MemberRef) bool { return p.hasLeft(r, m) })
	if len(r.Members) < n {
		d.changed = true
	}
}

func (p *plan) hasLeft(r *parser.ReplicaRef, m parser.MemberRef) bool {
	v := p.VMs[m.VM]
	if v == nil || !v.Listed && v.SilentFor > p.Timing.ForgetAfter {
		p.out.Decisions = append(p.out.Decisions, Decision{Replica: r.ID, Deployment: r.Deployment, Action: ActionForget, Reason: m.VM})
		return true
	}
	if !v.Fresh || v.Gone {
		return false
	}
	if v.Identity.BootID != m.BootID {
		return true
	}
	return v.Identity.State == caller.StateIdle && v.Identity.Epoch >= r.Epoch
}

// missing returns the positions of members that cannot serve any more.
func (p *plan) missing(r *parser.ReplicaRef) []int {
	list := []int{}
	for i, m := range r.Members {
		v := p.VMs[m.VM]
		switch {
		case v == nil, v.Gone:
			list = append(list, i)
		case v.Fresh && v.Identity.BootID != m.BootID:
			list = append(list, i)
		case !v.Fresh && v.SilentFor > p.Timing.MissingGrace:
			list = append(list, i)
		}
	}
	return list
}

// isProvedMissing reports whether the member will not come back under its boot
// identity.
func (p *plan) isProvedMissing(m parser.MemberRef) bool {
	v := p.VMs[m.VM]
	return v == nil || v.Gone || v.Fresh && v.Identity.BootID != m.BootID
}

// findSpares collects the VMs of each domain and pool that no replica names.
func (p *plan) findSpares() {
	taken := map[string]bool{}
	for _, d := range p.domains {
		d.spares = map[string][]*VM{}
		for _, r := range d.spec.Replicas {
			for _, m := range r.Members {
				taken[m.VM] = true
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.VMs)) {
		v := p.VMs[name]
		if v.IsSpare() && !taken[name] {
			d := p.domains[v.Domain]
			d.spares[v.Pool] = append(d.spares[v.Pool], v)
		}
	}
}

func (d *domain) takeSpares(pool string, n int) []*VM {
	list := d.spares[pool]
	taken := list[:n]
	d.spares[pool] = list[n:]
	return taken
}

func member(v *VM) parser.MemberRef {
	return parser.MemberRef{VM: v.Name, Address: v.Address, BootID: v.Identity.BootID}
}

// IsCurrent reports whether a replica is what its deployment asks for.
func IsCurrent(r *parser.ReplicaRef, spec *parser.DeploymentSpec) bool {
	return spec != nil && len(r.Members) == spec.Size() && r.Model == spec.Model && r.ModelVersion == spec.ModelVersion
}

// drainUnwanted starts to drain replicas that are not wanted: of deleted or
// changed deployments, beyond the wanted number, or with a VM that leaves.
func (p *plan) drainUnwanted() {
	for _, d := range p.sortedDomains() {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			if r.State != parser.ReplicaAssigned {
				continue
			}
			if reason := p.unwanted(r); reason != "" {
				p.drain(d, r, reason)
			}
		}
	}
	for name, spec := range p.Deployments {
		p.drainSurplus(name, spec)
	}
}

func (p *plan) unwanted(r *parser.ReplicaRef) string {
	spec := p.Deployments[r.Deployment]
	if spec == nil {
		return "deployment deleted"
	}
	for _, m := range r.Members {
		if v := p.VMs[m.VM]; v != nil && v.Leaving {
			return "VM leaving"
		}
	}
	if !IsCurrent(r, spec) && p.mayReplaceOld(r.Deployment, spec) {
		return "deployment changed"
	}
	return ""
}

// mayReplaceOld limits a change of a deployment to one replica at a time: not
// while another one drains, or has not been whole for long enough. A
// deployment that weighs group downtime more first forms the new replica if
// there are spares for it.
func (p *plan) mayReplaceOld(name string, spec *parser.DeploymentSpec) bool {
	old, current, unsettled := 0, 0, 0
	waited := time.Duration(0)
	for _, d := range p.domains {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			switch {
			case r.Deployment != name:
			case r.State != parser.ReplicaAssigned:
				unsettled++
			case !IsCurrent(r, spec):
				old++
				waited = max(waited, p.OutdatedFor[r.ID])
			case p.isServing(r) && p.ServingFor[r.ID] >= DefaultSettle:
				current++
			default:
				unsettled++
			}
		}
	}
	if unsettled > 0 {
		return false
	}
	if prefersSurge(spec) && (p.bestDomain(spec) != nil || waited < DefaultSurgePatience) {
		return old+current > spec.Replicas[p.DataCenter]
	}
	return true
}

// prefersSurge reports whether one replica's downtime costs more than a whole
// stranded replica, so that the new one is formed before the old one is drained.
func prefersSurge(spec *parser.DeploymentSpec) bool {
	return spec.Weights.GroupDowntime > spec.Weights.StrandedAccelerators*float64(spec.Size())
}

// isServing reports whether all members are ready under the replica's epoch.
func (p *plan) isServing(r *parser.ReplicaRef) bool {
	for _, m := range r.Members {
		v := p.VMs[m.VM]
		if v == nil || !v.Fresh || v.Gone || v.Identity.State != caller.StateReady || v.Identity.Epoch != r.Epoch {
			return false
		}
	}
	return true
}

func (p *plan) drain(d *domain, r *parser.ReplicaRef, reason string) {
	r.State = parser.ReplicaDraining
	d.changed = true
	p.decide(d, r, ActionDrain, reason)
}

type located struct {
	domain  *domain
	replica *parser.ReplicaRef
}

// assigned returns the assigned replicas of a deployment, oldest epoch first
// within each domain.
func (p *plan) assigned(name string) []located {
	list := []located{}
	for _, d := range p.sortedDomains() {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			if r.Deployment == name && r.State == parser.ReplicaAssigned {
				list = append(list, located{d, r})
			}
		}
	}
	return list
}

// drainSurplus drains replicas beyond the wanted number: old ones first, then
// those that do not serve, then the youngest.
func (p *plan) drainSurplus(name string, spec *parser.DeploymentSpec) {
	list := p.assigned(name)
	surplus := len(list) - spec.Replicas[p.DataCenter]
	if surplus <= 0 {
		return
	}
	slices.SortFunc(list, func(a, b located) int {
		return cmp.Or(
			compareBool(IsCurrent(a.replica, spec), IsCurrent(b.replica, spec)),
			compareBool(p.isServing(a.replica), p.isServing(b.replica)),
			cmp.Compare(b.replica.Epoch, a.replica.Epoch),
			strings.Compare(a.replica.ID, b.replica.ID),
		)
	})
	for _, l := range list[:surplus] {
		if !IsCurrent(l.replica, spec) && !p.mayReplaceOld(name, spec) {
			return
		}
		p.drain(l.domain, l.replica, "not wanted")
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// form makes new replicas out of spares, the most expensive downtime first.
func (p *plan) form() {
	names := slices.SortedFunc(maps.Keys(p.Deployments), func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.Deployments[b].Weights.GroupDowntime, p.Deployments[a].Weights.GroupDowntime),
			strings.Compare(a, b),
		)
	})
	for _, name := range names {
		spec := p.Deployments[name]
		for range p.wantedMore(name, spec) {
			d := p.bestDomain(spec)
			if d == nil {
				break
			}
			p.formIn(d, name, spec)
		}
	}
}

// wantedMore returns how many replicas to form: those that are lacking, and one
// beyond them while a change of the deployment replaces old ones.
func (p *plan) wantedMore(name string, spec *parser.DeploymentSpec) int {
	list := p.assigned(name)
	lacking := spec.Replicas[p.DataCenter] - len(list)
	if lacking > 0 {
		return lacking
	}
	old := slices.ContainsFunc(list, func(l located) bool { return !IsCurrent(l.replica, spec) })
	if lacking == 0 && old && prefersSurge(spec) && spec.Replicas[p.DataCenter] > 0 {
		return 1
	}
	return 0
}

// bestDomain returns the domain that has enough spares and keeps the fewest, so
// that large groups of spares stay together; nil if none has enough.
func (p *plan) bestDomain(spec *parser.DeploymentSpec) *domain {
	var best *domain
	for _, d := range p.sortedDomains() {
		n := len(d.spares[spec.Pool])
		if n >= spec.Size() && (best == nil || n < len(best.spares[spec.Pool])) {
			best = d
		}
	}
	return best
}

func (p *plan) formIn(d *domain, name string, spec *parser.DeploymentSpec) {
	d.spec.LastEpoch++
	r := parser.ReplicaRef{
		ID: p.NewID(), Deployment: name, Model: spec.Model, ModelVersion: spec.ModelVersion,
		State: parser.ReplicaAssigned, Epoch: d.spec.LastEpoch,
	}
	for _, v := range d.takeSpares(spec.Pool, spec.Size()) {
		r.Members = append(r.Members, member(v))
	}
	d.spec.Replicas = append(d.spec.Replicas, r)
	d.changed = true
	p.decide(d, &d.spec.Replicas[len(d.spec.Replicas)-1], ActionForm, "wanted")
}
