package former

import (
	"slices"

	"marjorammoor/internal/serving/tracker"
)

// maxLost is how many replicas without a proof of their end an assignment remembers. It bounds
// the size of the object where VMs are lost for good for years.
const maxLost = 64

// ReplicaKey identifies a replica of a domain.
type ReplicaKey struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
}

// keyOf returns the replica that a runner belongs to.
func keyOf(x *tracker.Runner) ReplicaKey {
	return ReplicaKey{x.Membership.Replica, x.Membership.Epoch}
}

// key returns the replica's key.
func (r *Replica) key() ReplicaKey { return ReplicaKey{r.Name, r.Epoch} }

// mayServe reports whether a replica that is not assigned may serve all the same: it was given up, or
// it is from before the last claim, which may not have seen it. All others were removed with a proof
// of their end.
func (a *Assignment) mayServe(k ReplicaKey) bool {
	return slices.Contains(a.Lost, k) || k.Epoch <= a.ClaimedEpoch && !slices.Contains(a.Ended, k)
}

// withEnded returns the ended replicas and one more, if that is from before the last claim. The list
// is not changed.
func (a *Assignment) withEnded(k ReplicaKey) []ReplicaKey {
	if k.Epoch > a.ClaimedEpoch || slices.Contains(a.Lost, k) || slices.Contains(a.Ended, k) {
		return a.Ended
	}
	return append(slices.Clone(a.Ended), k)
}

// withLost returns the lost replicas and one more, without the oldest of more than maxLost. The
// list is not changed.
func (a *Assignment) withLost(k ReplicaKey) []ReplicaKey {
	list := append(slices.Clone(a.Lost), k)
	return list[max(len(list)-maxLost, 0):]
}

// adoptUnassigned takes over the replicas that listed runners name, that are not assigned and
// that may serve all the same. Their members are then free only after a proof of the end, like those
// of any other replica.
func (d *decider) adoptUnassigned() {
	a := &d.out.Assignment
	held := a.memberIDs()
	assigned := map[ReplicaKey]bool{}
	for _, r := range a.Replicas {
		assigned[r.key()] = true
	}
	named := []*tracker.Runner{}
	for _, x := range d.in.Runners {
		if x.HasMembership && !x.IsKept && !held[x.ID] && !assigned[keyOf(x)] && a.mayServe(keyOf(x)) {
			named = append(named, x)
		}
	}
	for _, r := range a.adopt(groupRunners(named), d.in.Engine.Models) {
		// Orders of other nodes that are on their way carry a lower fence.
		a.Epoch++
		a.Lost = slices.DeleteFunc(slices.Clone(a.Lost), func(k ReplicaKey) bool { return k == r.key() })
		d.out.Changed = true
		d.note("replica %s of %v is taken over as %s: it may serve", r.Name, ids(r.Members), r.State)
	}
}

// memberIDs returns the IDs of the members of all replicas.
func (a *Assignment) memberIDs() map[string]bool {
	list := map[string]bool{}
	for _, r := range a.Replicas {
		for _, m := range r.Members {
			list[m.ID] = true
		}
	}
	return list
}
