package former

import (
	"slices"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// minFillGap is the difference between the fill ratios of two models above which the
// model with the lower ratio is preferred and may take spares of the other.
const minFillGap = 0.15

// reservedLoads is the part of the load budget that is kept for missing replicas and
// not used to load weights onto spares.
const reservedLoads = 2

// stageAll orders free runners to load weights within the load budget: first the
// weights that missing replicas need, then those that spares should hold.
func (d *decider) stageAll(free []*tracker.Runner) {
	if len(d.in.Engine.Models) == 0 {
		return
	}
	counts, joining := d.counts()
	if d.in.IsStartup && joining > 0 {
		return
	}
	s := &stager{decider: d, free: free, stagedCount: d.closingMembers()}
	for _, x := range free {
		if model, ok := d.in.PendingLoads[x.ID]; ok {
			s.stagedCount[model]++
			continue
		}
		for _, model := range x.StagedModels {
			s.stagedCount[model]++
		}
	}
	for d.loadBudget > 0 {
		if s.stageMissing(counts) {
			continue
		}
		if !d.in.IsStartup && d.loadBudget <= reservedLoads || !s.stageSpare() {
			return
		}
	}
}

// closingMembers counts, by model, the VMs that hold the model's weights and become
// free once their replica has closed.
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

// stager assigns loads to free runners.
type stager struct {
	*decider
	free []*tracker.Runner
	// stagedCount is the number of free or soon free VMs that hold or load each
	// model.
	stagedCount map[string]int
	// ordered are the IDs of runners that get a load in this decision.
	ordered []string
}

// stageMissing starts one load for a missing replica and reports whether there was
// one to start. If the fill ratios of two models differ by more than minFillGap, the
// model with the lower ratio comes first, otherwise the model that needs fewer
// further loads in this domain.
func (s *stager) stageMissing(counts map[string]int) bool {
	var best *matcher.Model
	bestMissing := 0
	for i := range s.in.Engine.Models {
		m := &s.in.Engine.Models[i]
		if counts[m.Name] >= s.goal[m.Name] {
			continue
		}
		missing := m.Size - s.stagedCount[m.Name]
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
	s.orderLoad(s.candidates(best, counts)[0], best.Name)
	return true
}

// comesBefore reports whether a missing replica of x, which lacks xMissing loads, is
// loaded before one of y.
func (s *stager) comesBefore(x *matcher.Model, xMissing int, y *matcher.Model, yMissing int) bool {
	if gap := s.in.FillRatio[x.Name] - s.in.FillRatio[y.Name]; gap < -minFillGap || gap > minFillGap {
		return gap < 0
	}
	return xMissing < yMissing
}

// candidates returns the runners that may load a model: first those without weights,
// then those whose model has all its replicas or a fill ratio that is higher by more
// than minFillGap.
func (s *stager) candidates(m *matcher.Model, counts map[string]int) []*tracker.Runner {
	empty, surplus := []*tracker.Runner{}, []*tracker.Runner{}
	for _, x := range s.free {
		_, isLoading := s.in.PendingLoads[x.ID]
		switch {
		case isLoading || slices.Contains(s.ordered, x.ID) || !needsLoad(x, m.Name):
		case len(x.StagedModels) == 0:
			empty = append(empty, x)
		case counts[x.StagedModels[0]] >= s.goal[x.StagedModels[0]], s.in.FillRatio[x.StagedModels[0]] > s.in.FillRatio[m.Name]+minFillGap:
			surplus = append(surplus, x)
		}
	}
	return append(empty, surplus...)
}

// stageSpare starts one load on a runner without weights and reports whether there
// was one.
func (s *stager) stageSpare() bool {
	for _, x := range s.free {
		_, isLoading := s.in.PendingLoads[x.ID]
		if len(x.StagedModels) == 0 && !isLoading && !slices.Contains(s.ordered, x.ID) {
			s.orderLoad(x, s.scarcestModel())
			return true
		}
	}
	return false
}

// scarcestModel returns the domain's model. If the domain serves all models, it
// returns the one with the fewest staged VMs in relation to the size of its
// replicas.
func (s *stager) scarcestModel() string {
	if s.out.Assignment.Model != "" {
		return s.out.Assignment.Model
	}
	best, bestRatio := "", 0.0
	for _, m := range s.in.Engine.Models {
		if s.goal[m.Name] == 0 {
			continue
		}
		ratio := float64(s.stagedCount[m.Name]) / float64(m.Size)
		if best == "" || ratio < bestRatio {
			best, bestRatio = m.Name, ratio
		}
	}
	if best == "" {
		return s.in.Engine.Models[0].Name
	}
	return best
}

// orderLoad orders a runner to stage a model and deducts it from the budget.
func (s *stager) orderLoad(x *tracker.Runner, model string) {
	s.ordered = append(s.ordered, x.ID)
	s.stagedCount[model]++
	s.loadBudget--
	s.order(Order{Operation: Stage, Runner: Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime}, Model: model})
}

// warmAll orders spares to join a warm-up group with themselves as the only member,
// which is never opened. A VM whose last group served a model joins a replica of
// that model much sooner than one that only holds the weights.
func (d *decider) warmAll(free []*tracker.Runner) {
	if _, joining := d.counts(); d.in.IsStartup && joining > 0 {
		return
	}
	for _, x := range free {
		_, isLoading := d.in.PendingLoads[x.ID]
		if isLoading || len(x.StagedModels) == 0 || d.in.LastModel[x.ID] == x.StagedModels[0] || d.in.Warming[x.ID] {
			continue
		}
		if x.HasMembership && x.Membership.State == tracker.MemberJoining {
			continue
		}
		m := Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime}
		d.order(Order{
			Operation: Join, Runner: m, Replica: warmUpGroup(x.ID), Epoch: d.out.Assignment.Epoch, Model: x.StagedModels[0], Members: []string{x.ID},
		})
	}
}

// warmUpGroup returns the name of a spare's warm-up group.
func warmUpGroup(id string) string { return "spare-" + id }

// isWarming reports whether a runner is in its warm-up group.
func isWarming(x *tracker.Runner) bool {
	return x.HasMembership && x.Membership.Replica == warmUpGroup(x.ID)
}
