package former

import (
	"fmt"
	"slices"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// decider holds the working state of one decision.
type decider struct {
	in      *Input
	out     Decision
	runners map[string]*tracker.Runner
	loads   int
	// goal is how many replicas of each model there should be.
	goal map[string]int
}

// Decide returns the next steps of a domain.
func Decide(in *Input) Decision {
	d := &decider{in: in, runners: map[string]*tracker.Runner{}, loads: in.Loads}
	for _, r := range in.Runners {
		d.runners[r.ID] = r
	}
	d.out.Assignment = in.Assignment
	if in.IsCutOff {
		return d.out
	}
	d.out.Assignment.Replicas = nil
	d.goal = in.Assignment.goal(in.Engine.Models, d.available())
	for _, r := range in.Assignment.Replicas {
		if d.advance(&r) {
			d.out.Assignment.Replicas = append(d.out.Assignment.Replicas, r)
		} else {
			d.out.Changed = true
		}
	}
	free := d.free()
	free = d.form(free)
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

// advance takes a replica a step further and reports whether it still exists.
func (d *decider) advance(r *Replica) bool {
	if r.State != Closing {
		if reason, graceful := d.loss(r); reason != "" {
			d.note("replica %s of %s closes: %s", r.Name, r.Model, reason)
			r.MayOpen = r.State == Forming && d.mayBeReady(r)
			r.State, r.Graceful = Closing, graceful
			// With a higher fence than the orders that formed the replica, leaving is
			// not undone by one of them that another node still sends.
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

func (d *decider) advanceForming(r *Replica) {
	ready := 0
	for _, m := range r.Members {
		x := d.runners[m.ID]
		switch {
		case !isMember(x, r):
			d.order(Order{Operation: Join, Runner: m, Replica: r.Name, Epoch: r.Epoch, Model: r.Model, Members: ids(r.Members)})
		case x.Membership.State == tracker.MemberReady || x.Membership.State == tracker.MemberOpen:
			ready++
		}
	}
	head := d.runners[r.Members[0].ID]
	switch {
	case ready < len(r.Members):
	case head.Membership.State == tracker.MemberOpen:
		r.State = Open
		d.out.Changed = true
		d.note("replica %s of %s is open", r.Name, r.Model)
	default:
		d.order(Order{Operation: Start, Runner: r.Members[0], Replica: r.Name, Epoch: r.Epoch})
	}
}

// advanceClosing reports whether the members are free.
func (d *decider) advanceClosing(r *Replica) bool {
	head := r.Members[0]
	x, ok := d.runners[head.ID]
	if !ok || d.in.Dead[head.ID] {
		if d.in.Left[r.Name] || d.isSurelyGone(r, ok) {
			d.note("replica %s is dissolved: its head is gone", r.Name)
			return true
		}
		d.order(Order{Operation: Leave, Runner: head, Replica: r.Name, Epoch: r.Epoch})
		return false
	}
	if x.BootTime != head.BootTime || !isMember(x, r) {
		d.note("replica %s is dissolved", r.Name)
		return true
	}
	isWorking := x.Membership.State == tracker.MemberOpen || x.Membership.State == tracker.MemberClosing
	if r.Graceful && isWorking {
		if x.Membership.State == tracker.MemberOpen {
			d.order(Order{Operation: Close, Runner: head, Replica: r.Name, Epoch: r.Epoch, Graceful: true})
		}
		return false
	}
	d.order(Order{Operation: Leave, Runner: head, Replica: r.Name, Epoch: r.Epoch})
	return false
}

// free returns the runners that no replica holds.
func (d *decider) free() []*tracker.Runner {
	held := map[string]bool{}
	for _, r := range d.out.Assignment.Replicas {
		for _, m := range r.Members {
			held[m.ID] = true
		}
	}
	list := []*tracker.Runner{}
	for _, x := range d.in.Runners {
		if held[x.ID] || x.State != tracker.Ready || d.in.Dead[x.ID] {
			continue
		}
		if x.HasMembership && x.Membership.Rank == 0 && (x.Membership.State == tracker.MemberOpen || x.Membership.State == tracker.MemberClosing) {
			d.order(Order{
				Operation: Leave, Runner: Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime},
				Replica: x.Membership.Replica, Epoch: x.Membership.Epoch,
			})
			continue
		}
		list = append(list, x)
	}
	return list
}

// counts returns the replicas of each model that are not closing, and how many
// of them have members that are still joining.
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

// hasJoined reports whether all members of a replica are ready in it.
func (d *decider) hasJoined(r *Replica) bool {
	for _, m := range r.Members {
		x, ok := d.runners[m.ID]
		if !ok || !isMember(x, r) || x.Membership.State == tracker.MemberJoining {
			return false
		}
	}
	return true
}

// available returns how many runners could be members.
func (d *decider) available() int {
	n := 0
	for _, x := range d.in.Runners {
		if x.State == tracker.Ready && !d.in.Dead[x.ID] {
			n++
		}
	}
	return n
}

// form starts new replicas and returns the runners that are still free.
func (d *decider) form(free []*tracker.Runner) []*tracker.Runner {
	for {
		counts, joining := d.counts()
		if d.in.IsEarly && joining > 0 {
			return free
		}
		model, members := d.next(counts, free)
		if model == nil {
			return free
		}
		free = remove(free, members)
		d.begin(model, members)
	}
}

// next chooses the model that lacks most and the runners that have it ready soonest.
//
// Once callers have come, a replica forms only of VMs that hold the weights:
// members that wait for another one to load would be idle for as long.
func (d *decider) next(counts map[string]int, free []*tracker.Runner) (*matcher.Model, []*tracker.Runner) {
	var best *matcher.Model
	var bestMembers []*tracker.Runner
	bestLoads, bestFilled := 0, 0.0
	for i := range d.in.Engine.Models {
		m := &d.in.Engine.Models[i]
		if counts[m.Name] >= d.goal[m.Name] || len(free) < m.Size {
			continue
		}
		members := d.soonest(free, m)
		loads := loadsFor(members, m)
		if loads > 0 && !d.in.IsEarly {
			continue
		}
		filled := float64(counts[m.Name]) / float64(d.goal[m.Name])
		if best == nil || filled < bestFilled || filled == bestFilled && loads < bestLoads {
			best, bestMembers, bestLoads, bestFilled = m, members, loads, filled
		}
	}
	return best, bestMembers
}

func (d *decider) begin(m *matcher.Model, members []*tracker.Runner) {
	a := &d.out.Assignment
	a.Epoch++
	r := Replica{Name: fmt.Sprintf("%s-%d", a.Domain, a.Epoch), Model: m.Name, Epoch: a.Epoch, State: Forming}
	for _, x := range members {
		r.Members = append(r.Members, Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime})
	}
	a.Replicas = append(a.Replicas, r)
	d.out.Changed = true
	d.note("replica %s of %s forms from %v", r.Name, r.Model, ids(r.Members))
	for _, x := range r.Members {
		d.order(Order{Operation: Join, Runner: x, Replica: r.Name, Epoch: r.Epoch, Model: r.Model, Members: ids(r.Members)})
	}
}

// cost ranks how soon a runner can serve a model.
func (d *decider) cost(x *tracker.Runner, m *matcher.Model) int {
	switch {
	case slices.Contains(x.Staged, m.Name) && d.in.Last[x.ID] == m.Name:
		return 0
	case slices.Contains(x.Staged, m.Name):
		return 1
	case len(x.Staged) == 0:
		return 2
	default:
		return 3
	}
}

// needsLoad reports whether a runner lacks the weights of a model.
func needsLoad(x *tracker.Runner, model string) bool { return !slices.Contains(x.Staged, model) }

func (d *decider) soonest(free []*tracker.Runner, m *matcher.Model) []*tracker.Runner {
	list := slices.Clone(free)
	slices.SortStableFunc(list, func(x, y *tracker.Runner) int { return d.cost(x, m) - d.cost(y, m) })
	return list[:m.Size]
}

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
