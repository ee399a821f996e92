package former

import (
	"fmt"
	"slices"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// decider holds the working state of one call of Decide.
type decider struct {
	in      *Input
	out     Decision
	runners map[string]*tracker.Runner
	// loadBudget is how many more loads may begin.
	loadBudget int
	// goal is the number of replicas that the domain should have, by model.
	goal map[string]int
}

// Decide returns the next changes of a domain's assignment and the orders to send.
// It has no side effects.
func Decide(in *Input) Decision {
	d := &decider{in: in, runners: map[string]*tracker.Runner{}, loadBudget: in.LoadBudget}
	for _, r := range in.Runners {
		d.runners[r.ID] = r
	}
	d.out.Assignment = in.Assignment
	if in.IsUnreachable {
		return d.out
	}
	d.out.Assignment.Replicas = nil
	d.goal = in.Assignment.goal(in.Engine.Models, d.available())
	for _, r := range in.Assignment.Replicas {
		if d.advance(&r) {
			d.out.Assignment.Replicas = append(d.out.Assignment.Replicas, r)
		} else {
			d.out.Assignment.Ended = d.out.Assignment.withEnded(r.key())
			d.out.Changed = true
		}
	}
	d.adoptUnassigned()
	free := d.free()
	free = d.formAll(free)
	d.stageAll(free)
	d.warmAll(free)
	return d.out
}

func (d *decider) note(format string, args ...any) {
	d.out.Notes = append(d.out.Notes, fmt.Sprintf(format, args...))
}

func (d *decider) order(o Order) {
	o.Fence = d.out.Assignment.Epoch
	d.out.Orders = append(d.out.Orders, o)
}

// advance moves a replica to its next state and reports whether it still exists.
func (d *decider) advance(r *Replica) bool {
	if r.State != Closing {
		if reason, graceful := d.closeReason(r); reason != "" {
			d.note("closing replica %s of %s: %s", r.Name, r.Model, reason)
			r.MayOpen = r.State == Forming && d.mayOpen(r)
			r.State, r.Graceful = Closing, graceful
			// Orders that formed the replica and are still being sent by another
			// node carry a lower fence, so they cannot undo the leave order.
			d.out.Assignment.Epoch++
			d.out.Changed = true
		}
	}
	switch r.State {
	case Forming:
		d.advanceForming(r)
	case Closing:
		return !d.advanceClosing(r)
	}
	return true
}

// advanceForming orders missing members to join, then the head to open.
func (d *decider) advanceForming(r *Replica) {
	ready := 0
	for _, m := range r.Members {
		e := d.evidenceOf(m)
		switch {
		case e.isElsewhere(r):
			d.order(Order{Operation: Join, Runner: m, Replica: r.Name, Epoch: r.Epoch, Model: r.Model, Members: ids(r.Members)})
		case e.is(r, tracker.MemberReady) || e.is(r, tracker.MemberOpen):
			ready++
		}
	}
	switch {
	case ready < len(r.Members):
	case d.evidenceOf(r.Members[0]).is(r, tracker.MemberOpen):
		r.State = Open
		d.out.Changed = true
		d.note("replica %s of %s is open", r.Name, r.Model)
	default:
		d.order(Order{Operation: Start, Runner: r.Members[0], Replica: r.Name, Epoch: r.Epoch})
	}
}

// advanceClosing orders the head to stop and reports whether the replica has ended
// and its members are free for other replicas.
func (d *decider) advanceClosing(r *Replica) bool {
	if proof := d.end(r); proof != "" {
		d.note("replica %s is removed: %s", r.Name, proof)
		return true
	}
	if d.isLost(r) {
		d.note("replica %s is given up: nobody has seen its members for %v", r.Name, lostTime)
		d.out.Assignment.Lost = d.out.Assignment.withLost(r.key())
		return true
	}
	head := d.evidenceOf(r.Members[0])
	isOut := head.isMissing() || head.isSilent
	if d.isOutOfReach(r) {
		d.breakReplica(r)
		if _, ok := d.in.MemberLostAt[r.Name]; ok {
			return false
		}
	}
	if r.Graceful && !isOut && !head.hasRestarted() && !head.isOfAnotherStart() {
		switch {
		case head.is(r, tracker.MemberOpen):
			d.order(Order{Operation: Close, Runner: head.member, Replica: r.Name, Epoch: r.Epoch, Graceful: true})
			return false
		case !head.isIn(r), head.is(r, tracker.MemberClosing):
			return false
		}
	}
	if !r.hasUnknownHead() {
		d.order(Order{Operation: Leave, Runner: head.runner(), Replica: r.Name, Epoch: r.Epoch})
	}
	return false
}

// free returns the ready and live runners that belong to no replica. A runner that
// still serves as the head of a replica that is not assigned is ordered to leave. Neither
// it nor the members that it serves with are returned, unless it has confirmed that it
// left and only its entry does not show it yet.
func (d *decider) free() []*tracker.Runner {
	held := d.out.Assignment.memberIDs()
	serving := d.servingUnassigned(held)
	list := []*tracker.Runner{}
	for _, x := range d.in.Runners {
		if held[x.ID] || x.State != tracker.Ready || d.in.Dead[x.ID] || x.IsKept {
			continue
		}
		if !x.HasMembership || !serving[keyOf(x)] {
			list = append(list, x)
			continue
		}
		if x.Membership.Rank == 0 {
			d.order(Order{
				Operation: Leave, Runner: Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime},
				Replica: x.Membership.Replica, Epoch: x.Membership.Epoch,
			})
		}
	}
	return list
}

// servingUnassigned returns the replicas that are not assigned and whose head still
// serves, and the assigned ones, of which a claim need not have seen all members: their head may
// serve. held are the runners that are known to belong to an assigned replica.
func (d *decider) servingUnassigned(held map[string]bool) map[ReplicaKey]bool {
	list := map[ReplicaKey]bool{}
	for _, r := range d.out.Assignment.Replicas {
		if !d.in.HeadLeft[r.Name] {
			list[r.key()] = true
		}
	}
	for _, x := range d.in.Runners {
		if held[x.ID] || !x.HasMembership || x.Membership.Rank != 0 || d.in.HeadLeft[x.Membership.Replica] {
			continue
		}
		if x.Membership.State == tracker.MemberOpen || x.Membership.State == tracker.MemberClosing {
			list[keyOf(x)] = true
		}
	}
	return list
}

// counts returns how many replicas of each model are forming or open, and how many
// forming replicas still have members that have not joined.
func (d *decider) counts() (counts map[string]int, joining int) {
	counts = map[string]int{}
	for _, r := range d.out.Assignment.Replicas {
		if r.State != Closing {
			counts[r.Model]++
		}
		if r.State == Forming && !d.hasJoined(&r) {
			joining++
		}
	}
	return counts, joining
}

// hasJoined reports whether all members of a replica have finished joining it.
func (d *decider) hasJoined(r *Replica) bool {
	for _, m := range r.Members {
		x, ok := d.runners[m.ID]
		if !ok || !isMember(x, r) || x.Membership.State == tracker.MemberJoining {
			return false
		}
	}
	return true
}

// available returns how many runners could be members of replicas.
func (d *decider) available() int {
	n := 0
	for _, x := range d.in.Runners {
		if x.State == tracker.Ready && !d.in.Dead[x.ID] {
			n++
		}
	}
	return n
}

// formAll forms the missing replicas and returns the runners that remain free.
func (d *decider) formAll(free []*tracker.Runner) []*tracker.Runner {
	for {
		counts, joining := d.counts()
		if d.in.IsStartup && joining > 0 {
			return free
		}
		model, members := d.nextReplica(counts, free)
		if model == nil {
			return free
		}
		free = remove(free, members)
		d.formReplica(model, members)
	}
}

// nextReplica chooses the model with the lowest ratio of existing to desired
// replicas, and the free runners that can serve it soonest.
//
// After startup, a replica is formed only of VMs that already hold the weights.
// Otherwise its members would be idle until the last of them has loaded.
func (d *decider) nextReplica(counts map[string]int, free []*tracker.Runner) (*matcher.Model, []*tracker.Runner) {
	var best *matcher.Model
	var bestMembers []*tracker.Runner
	bestLoads, bestFillRatio := 0, 0.0
	for i := range d.in.Engine.Models {
		m := &d.in.Engine.Models[i]
		if counts[m.Name] >= d.goal[m.Name] || len(free) < m.Size {
			continue
		}
		members := d.cheapest(free, m)
		loads := loadsFor(members, m)
		if loads > 0 && !d.in.IsStartup {
			continue
		}
		fillRatio := float64(counts[m.Name]) / float64(d.goal[m.Name])
		if best == nil || fillRatio < bestFillRatio || fillRatio == bestFillRatio && loads < bestLoads {
			best, bestMembers, bestLoads, bestFillRatio = m, members, loads, fillRatio
		}
	}
	return best, bestMembers
}

// formReplica adds a replica to the assignment and orders its members to join.
func (d *decider) formReplica(m *matcher.Model, members []*tracker.Runner) {
	a := &d.out.Assignment
	a.Epoch++
	r := Replica{Name: fmt.Sprintf("%s-%d", a.Domain, a.Epoch), Model: m.Name, Epoch: a.Epoch, State: Forming}
	for _, x := range members {
		r.Members = append(r.Members, Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime})
	}
	a.Replicas = append(a.Replicas, r)
	d.out.Changed = true
	d.note("forming replica %s of %s from %v", r.Name, r.Model, ids(r.Members))
	for _, x := range r.Members {
		d.order(Order{Operation: Join, Runner: x, Replica: r.Name, Epoch: r.Epoch, Model: r.Model, Members: ids(r.Members)})
	}
}

// cost ranks how soon a runner can serve a model; 0 is soonest.
func (d *decider) cost(x *tracker.Runner, m *matcher.Model) int {
	switch {
	case slices.Contains(x.StagedModels, m.Name) && d.in.LastModel[x.ID] == m.Name:
		return 0
	case slices.Contains(x.StagedModels, m.Name):
		return 1
	case len(x.StagedModels) == 0:
		return 2
	default:
		return 3
	}
}

// needsLoad reports whether a runner's VM does not hold the weights of a model.
func needsLoad(x *tracker.Runner, model string) bool { return !slices.Contains(x.StagedModels, model) }

// cheapest returns the runners with the lowest cost for one replica of a model.
func (d *decider) cheapest(free []*tracker.Runner, m *matcher.Model) []*tracker.Runner {
	list := slices.Clone(free)
	slices.SortStableFunc(list, func(x, y *tracker.Runner) int { return d.cost(x, m) - d.cost(y, m) })
	return list[:m.Size]
}

// loadsFor returns how many of the members would have to load the weights first.
func loadsFor(members []*tracker.Runner, m *matcher.Model) int {
	n := 0
	for _, x := range members {
		if needsLoad(x, m.Name) {
			n++
		}
	}
	return n
}

func remove(free, members []*tracker.Runner) []*tracker.Runner {
	return slices.DeleteFunc(slices.Clone(free), func(x *tracker.Runner) bool { return slices.Contains(members, x) })
}

func ids(members []Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}
