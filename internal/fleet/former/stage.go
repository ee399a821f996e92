package former

import (
	"slices"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

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
	s := &stager{decider: d, free: free, staged: map[string]int{}}
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
		if !s.stageMissing(counts) && !s.stageSpare() {
			return
		}
	}
}

// stager gives loads to free runners.
type stager struct {
	*decider
	free   []*tracker.Runner
	staged map[string]int
	taken  []string
}

// stageMissing starts one load for the model that lacks the least to form a
// replica it should have.
func (s *stager) stageMissing(counts map[string]int) bool {
	var best *matcher.Model
	bestMissing := 0
	for i := range s.in.Engine.Models {
		m := &s.in.Engine.Models[i]
		if counts[m.Name] >= s.goal[m.Name] {
			continue
		}
		missing := m.Size - s.staged[m.Name]
		if missing > 0 && missing <= s.idle(m, counts) && (best == nil || missing < bestMissing) {
			best, bestMissing = m, missing
		}
	}
	if best == nil {
		return false
	}
	for _, x := range s.candidates(best, counts) {
		s.load(x, best.Name)
		return true
	}
	return false
}

// idle counts the runners that could load a model.
func (s *stager) idle(m *matcher.Model, counts map[string]int) int {
	return len(s.candidates(m, counts))
}

// candidates returns the runners that could load a model: those that hold
// nothing first, then those whose model has all the replicas it should have.
func (s *stager) candidates(m *matcher.Model, counts map[string]int) []*tracker.Runner {
	empty, surplus := []*tracker.Runner{}, []*tracker.Runner{}
	for _, x := range s.free {
		_, isLoading := s.in.Loading[x.ID]
		switch {
		case isLoading || slices.Contains(s.taken, x.ID) || !needsLoad(x, m.Name):
		case len(x.Staged) == 0:
			empty = append(empty, x)
		case counts[x.Staged[0]] >= s.goal[x.Staged[0]]:
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

// scarcest returns the model with the fewest staged spares for the VMs that its
// replicas need.
func (s *stager) scarcest() string {
	best, bestRatio := "", 0.0
	for _, m := range s.in.Engine.Models {
		ratio := float64(s.staged[m.Name]) / float64(m.Size)
		if best == "" || ratio < bestRatio {
			best, bestRatio = m.Name, ratio
		}
	}
	return best
}

func (s *stager) load(x *tracker.Runner, model string) {
	s.taken = append(s.taken, x.ID)
	s.staged[model]++
	s.loads--
	s.order(Order{Operation: Stage, Runner: Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime}, Model: model})
}
