package former

import (
	"slices"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// unevenShare is by how much the shares of two models' replicas that are there
// have to differ for the one to be much better off.
const unevenShare = 0.15

// keptLoads is how many loads are left for replicas that are missing when spares
// load.
const keptLoads = 2

// stageAll has free runners load the weights that are needed next, as far as
// loads may begin: first what a replica that is missing still lacks, then what
// spares should hold.
func (d *decider) stageAll(free []*tracker.Runner) {
	if len(d.in.Engine.Models) == 0 {
		return
	}
	counts, joining := d.counts()
	if d.in.IsEarly && joining > 0 {
		return
	}
	s := &stager{decider: d, free: free, staged: d.closingMembers()}
	for _, x := range free {
		if model, ok := d.in.Loading[x.ID]; ok {
			s.staged[model]++
			continue
		}
		for _, model := range x.Staged {
			s.staged[model]++
		}
	}
	for d.loads > 0 {
		if s.stageMissing(counts) {
			continue
		}
		if !d.in.IsEarly && d.loads <= keptLoads || !s.stageSpare() {
			return
		}
	}
}

// closingMembers counts, by the model they hold, the VMs that will be free once
// the replica they are in has closed.
func (d *decider) closingMembers() map[string]int {
	n := map[string]int{}
	for _, r := range d.out.Assignment.Replicas {
		if r.State != Closing {
			continue
		}
		for _, m := range r.Members {
			x, ok := d.runners[m.ID]
			if ok && x.State == tracker.Ready && x.BootTime == m.BootTime && !d.in.Dead[m.ID] && !needsLoad(x, r.Model) {
				n[r.Model]++
			}
		}
	}
	return n
}

// stager gives loads to free runners.
type stager struct {
	*decider
	free   []*tracker.Runner
	staged map[string]int
	taken  []string
}

// stageMissing starts one load for a replica that should be there: of the model
// that lacks most replicas in all domains, or else lacks the fewest loads here.
func (s *stager) stageMissing(counts map[string]int) bool {
	var best *matcher.Model
	bestMissing := 0
	for i := range s.in.Engine.Models {
		m := &s.in.Engine.Models[i]
		if counts[m.Name] >= s.goal[m.Name] {
			continue
		}
		missing := m.Size - s.staged[m.Name]
		if missing <= 0 || missing > len(s.candidates(m, counts)) {
			continue
		}
		if best == nil || s.comesBefore(m, missing, best, bestMissing) {
			best, bestMissing = m, missing
		}
	}
	if best == nil {
		return false
	}
	s.load(s.candidates(best, counts)[0], best.Name)
	return true
}

func (s *stager) comesBefore(x *matcher.Model, xMissing int, y *matcher.Model, yMissing int) bool {
	if gap := s.in.Filled[x.Name] - s.in.Filled[y.Name]; gap < -unevenShare || gap > unevenShare {
		return gap < 0
	}
	return xMissing < yMissing
}

// candidates returns the runners that could load a model: those that hold
// nothing first, then those whose model has all the replicas it should have or
// is much better off.
func (s *stager) candidates(m *matcher.Model, counts map[string]int) []*tracker.Runner {
	empty, surplus := []*tracker.Runner{}, []*tracker.Runner{}
	for _, x := range s.free {
		_, isLoading := s.in.Loading[x.ID]
		switch {
		case isLoading || slices.Contains(s.taken, x.ID) || !needsLoad(x, m.Name):
		case len(x.Staged) == 0:
			empty = append(empty, x)
		case counts[x.Staged[0]] >= s.goal[x.Staged[0]], s.in.Filled[x.Staged[0]] > s.in.Filled[m.Name]+unevenShare:
			surplus = append(surplus, x)
		}
	}
	return append(empty, surplus...)
}

// stageSpare starts one load on a runner that holds nothing.
func (s *stager) stageSpare() bool {
	for _, x := range s.free {
		_, isLoading := s.in.Loading[x.ID]
		if len(x.Staged) == 0 && !isLoading && !slices.Contains(s.taken, x.ID) {
			s.load(x, s.scarcest())
			return true
		}
	}
	return false
}

// scarcest returns the model of the domain, or the one with the fewest staged
// spares for the VMs that its replicas need.
func (s *stager) scarcest() string {
	if s.out.Assignment.Model != "" {
		return s.out.Assignment.Model
	}
	best, bestRatio := "", 0.0
	for _, m := range s.in.Engine.Models {
		if s.goal[m.Name] == 0 {
			continue
		}
		ratio := float64(s.staged[m.Name]) / float64(m.Size)
		if best == "" || ratio < bestRatio {
			best, bestRatio = m.Name, ratio
		}
	}
	if best == "" {
		return s.in.Engine.Models[0].Name
	}
	return best
}

func (s *stager) load(x *tracker.Runner, model string) {
	s.taken = append(s.taken, x.ID)
	s.staged[model]++
	s.loads--
	s.order(Order{Operation: Stage, Runner: Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime}, Model: model})
}

// warmAll has spares join a group of their own, which never opens. A VM whose
// last group had a model joins a replica of it much sooner than one that only
// holds the weights.
func (d *decider) warmAll(free []*tracker.Runner) {
	if _, joining := d.counts(); d.in.IsEarly && joining > 0 {
		return
	}
	for _, x := range free {
		_, isLoading := d.in.Loading[x.ID]
		if isLoading || len(x.Staged) == 0 || d.in.Last[x.ID] == x.Staged[0] || d.in.Warming[x.ID] {
			continue
		}
		if x.HasMembership && x.Membership.State == tracker.MemberJoining {
			continue
		}
		m := Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime}
		d.order(Order{
			Operation: Join, Runner: m, Replica: warmName(x.ID), Epoch: d.out.Assignment.Epoch, Model: x.Staged[0], Members: []string{x.ID},
		})
	}
}

// warmName is the name of the group in which a spare waits.
func warmName(id string) string { return "spare-" + id }

// isWarming reports whether a runner waits in a group of its own.
func isWarming(x *tracker.Runner) bool {
	return x.HasMembership && x.Membership.Replica == warmName(x.ID)
}
