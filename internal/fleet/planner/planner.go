package planner

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// plan is the state of one call of Plan.
type plan struct {
	Input
	// domains holds the fabric domains by name.
	domains map[string]*domain
	out     Output
}

// domain is one fabric domain and its assignment as planned so far.
type domain struct {
	// name is the name of the assignment object.
	name string
	spec parser.AssignmentSpec
	// changed is true if spec differs from the input.
	changed bool
	// spares holds the spare VMs of each pool.
	spares map[string][]*VM
}

// Plan computes the next assignments of a data centre.
func Plan(in Input) Output {
	in.Timing = in.Timing.withDefaults()
	p := &plan{Input: in, domains: map[string]*domain{}}
	p.out.Changed = map[string]parser.AssignmentSpec{}
	p.copyAssignments()
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

// copyAssignments copies the current assignments, so that the input is not
// modified, and adds an empty one for each domain with listed VMs that has none.
func (p *plan) copyAssignments() {
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

func (p *plan) recordDecision(d *domain, r *parser.ReplicaRef, action Action, reason string) {
	p.out.Decisions = append(p.out.Decisions, Decision{
		Replica: r.ID, Deployment: r.Deployment, Domain: d.spec.Domain, Action: action, Reason: reason,
	})
}

// advance moves drained replicas to releasing, removes released members from
// releasing replicas, and removes replicas that have no members left.
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

// release orders the members of a replica to unload, under a new epoch.
func (p *plan) release(d *domain, r *parser.ReplicaRef, reason string) {
	d.spec.LastEpoch++
	r.Epoch = d.spec.LastEpoch
	r.State = parser.ReplicaReleasing
	d.changed = true
	p.recordDecision(d, r, ActionRelease, reason)
}

// advanceRelease removes the members for which isReleased holds.
func (p *plan) advanceRelease(d *domain, r *parser.ReplicaRef) {
	n := len(r.Members)
	r.Members = slices.DeleteFunc(r.Members, func(m parser.MemberRef) bool { return p.isReleased(r, m) })
	if len(r.Members) < n {
		d.changed = true
	}
}

// isReleased reports whether a member is proved not to serve the replica any more:
// its VM has unloaded the model or reports a new boot identity. A VM that is silent
// or down has confirmed neither. It counts as released only if the platform no
// longer lists it and it has been silent for longer than ForgetAfter.
func (p *plan) isReleased(r *parser.ReplicaRef, m parser.MemberRef) bool {
	v := p.VMs[m.VM]
	if v == nil || !v.Listed && v.SilentFor > p.Timing.ForgetAfter {
		p.out.Decisions = append(p.out.Decisions, Decision{Replica: r.ID, Deployment: r.Deployment, Action: ActionForget, Reason: m.VM})
		return true
	}
	if !v.Observed || v.Down {
		return false
	}
	if v.Identity.BootID != m.BootID {
		return true
	}
	return v.Identity.State == caller.StateIdle && v.Identity.Epoch >= r.Epoch
}

// missing returns the indexes of the members that are missing: the runner is down
// or runs under a new boot identity, or the VM is unknown or has been silent for
// longer than MissingGrace.
func (p *plan) missing(r *parser.ReplicaRef) []int {
	list := []int{}
	for i, m := range r.Members {
		v := p.VMs[m.VM]
		switch {
		case v == nil, v.Down:
			list = append(list, i)
		case v.Observed && v.Identity.BootID != m.BootID:
			list = append(list, i)
		case !v.Observed && v.SilentFor > p.Timing.MissingGrace:
			list = append(list, i)
		}
	}
	return list
}

// isRunnerLost reports whether a member cannot return under its boot identity: its
// VM is unknown, its runner is down or it has a new boot identity. A silent member
// may still return.
func (p *plan) isRunnerLost(m parser.MemberRef) bool {
	v := p.VMs[m.VM]
	return v == nil || v.Down || v.Observed && v.Identity.BootID != m.BootID
}

// findSpares collects, by domain and pool, the spare VMs that are in no replica.
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

// takeSpares removes n VMs from the spares of a pool, which has at least n.
func (d *domain) takeSpares(pool string, n int) []*VM {
	list := d.spares[pool]
	taken := list[:n]
	d.spares[pool] = list[n:]
	return taken
}

func member(v *VM) parser.MemberRef {
	return parser.MemberRef{VM: v.Name, Address: v.Address, BootID: v.Identity.BootID}
}

// IsCurrent reports whether a replica has the size, model and model version of its
// deployment. A replica of a deleted deployment, with a nil spec, is not current.
func IsCurrent(r *parser.ReplicaRef, spec *parser.DeploymentSpec) bool {
	return spec != nil && len(r.Members) == spec.Size() && r.Model == spec.Model && r.ModelVersion == spec.ModelVersion
}

// isServing reports whether all members are observed as ready under the replica's
// epoch.
func (p *plan) isServing(r *parser.ReplicaRef) bool {
	for _, m := range r.Members {
		v := p.VMs[m.VM]
		if v == nil || !v.Observed || v.Down || v.Identity.State != caller.StateReady || v.Identity.Epoch != r.Epoch {
			return false
		}
	}
	return true
}

// replicaInDomain is a replica with the domain that it belongs to.
type replicaInDomain struct {
	domain  *domain
	replica *parser.ReplicaRef
}

// assigned returns the replicas of a deployment in state ReplicaAssigned, ordered
// by domain name and, within a domain, as in its assignment.
func (p *plan) assigned(name string) []replicaInDomain {
	list := []replicaInDomain{}
	for _, d := range p.sortedDomains() {
		for i := range d.spec.Replicas {
			r := &d.spec.Replicas[i]
			if r.Deployment == name && r.State == parser.ReplicaAssigned {
				list = append(list, replicaInDomain{d, r})
			}
		}
	}
	return list
}

// compareBool orders false before true.
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

// form creates replicas from spares. Deployments with a higher weight for group
// downtime come first.
func (p *plan) form() {
	names := slices.SortedFunc(maps.Keys(p.Deployments), func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.Deployments[b].Weights.GroupDowntime, p.Deployments[a].Weights.GroupDowntime),
			strings.Compare(a, b),
		)
	})
	for _, name := range names {
		spec := p.Deployments[name]
		for range p.replicasToForm(name, spec) {
			d := p.bestDomain(spec)
			if d == nil {
				break
			}
			p.formIn(d, name, spec)
		}
	}
}

// replicasToForm returns how many replicas of a deployment to form: as many as are
// lacking, or one more than wanted if prefersSurge holds and an outdated replica
// has to be replaced.
func (p *plan) replicasToForm(name string, spec *parser.DeploymentSpec) int {
	list := p.assigned(name)
	shortfall := spec.Replicas[p.DataCenter] - len(list)
	if shortfall > 0 {
		return shortfall
	}
	hasOutdated := slices.ContainsFunc(list, func(l replicaInDomain) bool { return !IsCurrent(l.replica, spec) })
	if shortfall == 0 && hasOutdated && prefersSurge(spec) && spec.Replicas[p.DataCenter] > 0 {
		return 1
	}
	return 0
}

// bestDomain returns the domain with the fewest spares among those that have enough
// for a replica, so that large groups of spares are not split. It returns nil if no
// domain has enough.
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
	p.recordDecision(d, &d.spec.Replicas[len(d.spec.Replicas)-1], ActionForm, "wanted")
}
