package former

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

const (
	// claimDelay is the time after a new era was seen before assignments are claimed in it.
	// Runners need it to write again what the store has lost.
	claimDelay = 2200 * time.Millisecond
	// epochsPerEra is the difference between the first epochs of two eras. An epoch of an
	// earlier era that only a runner or an order on its way knows is thus never used again.
	epochsPerEra = 1_000_000_000
	// unknownHeadPrefix begins the ID that stands for a head of which only its members are known.
	unknownHeadPrefix = "unknown head of "
)

// era returns the newest known era of the store.
func (c *Controller) era() int64 {
	if c.Eras == nil {
		return 0
	}
	return c.Eras.Newest()
}

// claim takes over an assignment of an earlier era of the store, which may have lost
// changes. It asks the runners of the domain which replicas there are, raises the epoch
// above all that were used, and stores the result. It reports whether that is done; until
// then, nothing is decided for the domain.
func (c *Controller) claim(ctx context.Context, s *domainState, d *domain) bool {
	if c.era() > 0 && c.Eras.Age() < claimDelay || time.Since(s.claimTriedAt) < createInterval {
		return false
	}
	s.claimTriedAt = time.Now()
	runners, answers := c.askRunners(ctx, d)
	if answers == 0 {
		c.Log.Warn("no runner of the domain answers; its assignment cannot be claimed yet", "domain", d.name, "runners", len(d.runners))
		return false
	}
	next := s.assignment.claimed(s.at.Era, runners, d.service.Engine.Models)
	if !c.storeAssignment(ctx, s, d, next) {
		return false
	}
	c.Log.Warn("assignment claimed in a new era of the store", "domain", d.name, "era", next.Era, "epoch", next.Epoch,
		"before_epoch", s.assignment.Epoch, "replicas", replicaNames(next.Replicas), "before_replicas", replicaNames(s.assignment.Replicas),
		"runners", len(runners), "answers", answers)
	s.assignment = next
	s.updateTimes(next)
	return true
}

func replicaNames(list []Replica) []string {
	names := []string{}
	for _, r := range list {
		names = append(names, r.Name+" "+string(r.State))
	}
	return names
}

// askRunners returns the runners of a domain as they report themselves, or as their
// entries do if they do not answer, and how many have answered.
func (c *Controller) askRunners(ctx context.Context, d *domain) (runners []*tracker.Runner, answers int) {
	reports := make([]*Report, len(d.runners))
	wg := sync.WaitGroup{}
	for i, x := range d.runners {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if r, ok := c.Ask(callCtx, Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime}); ok {
				reports[i] = &r
			}
		})
	}
	wg.Wait()
	for i, x := range d.runners {
		known := *x
		if r := reports[i]; r != nil {
			known.BootTime, known.Models = r.BootTime, r.Models
			known.Membership, known.HasMembership = r.Membership, r.HasMembership
			answers++
		}
		runners = append(runners, &known)
	}
	return runners, answers
}

// claimed returns the assignment as claimed in an era. Its epoch is above all that the
// assignment or a runner has, or that were used in earlier eras. It keeps the replicas
// of the assignment and adds those that only the runners know. Those of runners that are listed
// later follow then: see adoptUnassigned. A replica that is not open is closed, even if it is complete:
// a lost assignment may have ended it and ordered its members to join others, and such an order may
// still be carried out.
func (a Assignment) claimed(era int64, runners []*tracker.Runner, models []matcher.Model) Assignment {
	next := a
	next.Era = era
	next.Epoch = max(a.Epoch, era*epochsPerEra)
	for _, x := range runners {
		if x.HasMembership {
			next.Epoch = max(next.Epoch, x.Membership.Epoch)
		}
	}
	next.Epoch++
	next.ClaimedEpoch, next.Lost, next.Ended = next.Epoch, nil, nil
	groups := groupRunners(runners)
	next.Replicas = nil
	for _, r := range a.Replicas {
		k := r.key()
		if r.State == Forming {
			r.State, r.MayOpen = Closing, true
		}
		next.Replicas = append(next.Replicas, r)
		delete(groups, k)
	}
	next.adopt(groups, models)
	slices.SortStableFunc(next.Replicas, func(x, y Replica) int { return cmp.Compare(x.Epoch, y.Epoch) })
	return next
}

// adopt adds the replicas of the groups that are not free, and returns them ordered by epoch. One
// whose name is used already is left out: entries of other writers may name anything.
func (a *Assignment) adopt(groups map[ReplicaKey][]*tracker.Runner, models []matcher.Model) []Replica {
	used := map[string]bool{}
	for _, r := range a.Replicas {
		used[r.Name] = true
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(x, y ReplicaKey) int {
		return cmp.Or(cmp.Compare(x.Epoch, y.Epoch), cmp.Compare(x.Name, y.Name))
	})
	adopted := []Replica{}
	for _, k := range keys {
		r, ok := adoptedReplica(k, groups[k], models)
		if !ok || used[r.Name] {
			continue
		}
		used[r.Name] = true
		adopted = append(adopted, r)
	}
	a.Replicas = append(slices.Clone(a.Replicas), adopted...)
	return adopted
}

// groupRunners returns the runners by their replica, ordered by rank. Warm-up groups are
// left out.
func groupRunners(runners []*tracker.Runner) map[ReplicaKey][]*tracker.Runner {
	groups := map[ReplicaKey][]*tracker.Runner{}
	for _, x := range runners {
		if !x.HasMembership || isWarming(x) {
			continue
		}
		k := keyOf(x)
		groups[k] = append(groups[k], x)
	}
	for _, members := range groups {
		slices.SortFunc(members, func(x, y *tracker.Runner) int { return cmp.Compare(x.Membership.Rank, y.Membership.Rank) })
	}
	return groups
}

// headlessReplica returns a replica whose head is not among the runners. It may serve all the
// same, cut off from the nodes, so its members are not free before it must have broken without them.
func headlessReplica(k ReplicaKey, members []*tracker.Runner) Replica {
	r := Replica{Name: k.Name, Epoch: k.Epoch, State: Closing, MayOpen: true, Members: []Member{{ID: unknownHeadPrefix + k.Name}}}
	for _, x := range members {
		r.Members = append(r.Members, Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime})
	}
	return r
}

// hasUnknownHead reports whether only the members of a replica are known.
func (r *Replica) hasUnknownHead() bool { return strings.HasPrefix(r.Members[0].ID, unknownHeadPrefix) }

// adoptedReplica returns a replica that the store has lost, from the runners that belong
// to it. It returns false if the runners are free: not all members are there, and the head neither
// serves nor is ready, so that no order to open it may be on its way.
func adoptedReplica(k ReplicaKey, members []*tracker.Runner, models []matcher.Model) (Replica, bool) {
	head := members[0]
	if head.Membership.Rank != 0 {
		return headlessReplica(k, members), true
	}
	if len(head.Models) == 0 {
		return Replica{}, false
	}
	r := Replica{Name: k.Name, Epoch: k.Epoch, Model: head.Models[0], State: Closing}
	for _, x := range members {
		r.Members = append(r.Members, Member{ID: x.ID, Address: x.Address, BootTime: x.BootTime})
	}
	i := slices.IndexFunc(models, func(m matcher.Model) bool { return m.Name == r.Model })
	isComplete := i >= 0 && len(members) == models[i].Size
	isServing := head.Membership.State == tracker.MemberOpen || head.Membership.State == tracker.MemberClosing
	switch {
	case isComplete && head.Membership.State == tracker.MemberOpen:
		r.State = Open
	case isServing:
		r.Graceful = isComplete
	default:
		r.MayOpen = true
	}
	return r, isComplete || isServing || head.Membership.State == tracker.MemberReady
}
