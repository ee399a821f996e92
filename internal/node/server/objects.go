package server

import (
	"time"

	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
)

// replaceRunners applies a full list of runners. After a store outage longer than
// maxTrustedOutage, runners missing from the list are kept for reregisterGrace,
// because their entries may have expired while the runners kept running. A list of a
// store that was restored may have older entries, and none of runners that are new since.
func (n *Node) replaceRunners(objects []follower.Object, l follower.Listing) {
	if n.hasRunnerList.Load() && (l.Restored || l.Outage > maxTrustedOutage) {
		n.expectReregistration(l)
	}
	list := make([]*tracker.Runner, 0, len(objects))
	for _, o := range objects {
		if r := n.decodeRunner(o); r != nil {
			list = append(list, r)
		}
	}
	if l.Restored {
		kept := n.tracker.Restore(list, reregisterGrace)
		n.Log.Info("entries of the restored store are older; those known before are kept for a while", "kept", kept)
	} else {
		n.tracker.Replace(list, n.removalGrace())
	}
	n.hasRunnerList.Store(true)
	n.Log.Info("runner list applied", "runners", len(list), "entries", len(objects), "outage_ms", l.Outage.Milliseconds(), "restored", l.Restored)
}

// expectReregistration keeps runners whose entries are removed now for reregisterGrace,
// because the entries may have expired while the store was away, or been lost when it was
// restored. It does not if other nodes have read the store all the while.
func (n *Node) expectReregistration(l follower.Listing) {
	now := follower.Now()
	if !l.Restored && !n.sights.wasAway(now-l.Outage, now) {
		n.Log.Info("store was away for a part of the nodes only; runners that are not listed have left", "outage_ms", l.Outage.Milliseconds())
		return
	}
	n.Log.Info("store was away; runners that are not listed now are kept for a while", "outage_ms", l.Outage.Milliseconds(), "restored", l.Restored)
	n.reregisterUntil.Store(int64(now + reregisterGrace))
}

// removalGrace returns how long a runner whose entry is removed now stays in use.
func (n *Node) removalGrace() time.Duration {
	return max(time.Duration(n.reregisterUntil.Load())-follower.Now(), 0)
}

// updateRunners applies single changes of the runners' entries.
func (n *Node) updateRunners(changes []follower.Object) {
	updated := []*tracker.Runner{}
	removed := []string{}
	added, changed := 0, 0
	isWatcher := n.isWatcher()
	for _, o := range changes {
		r := n.decodeRunner(o)
		if r == nil {
			removed = append(removed, o.Name)
			if isWatcher {
				n.Log.Info("runner is gone", "runner", o.Name, "revision", o.At.Revision, "deleted", o.Deleted)
			}
			continue
		}
		old, ok := n.tracker.View().Runner(r.ID)
		switch {
		case !ok:
			added++
			if isWatcher {
				n.Log.Info("runner is new", "runner", r.ID, "service", r.Service, "address", r.Address, "domain", r.Domain, "revision", o.At.Revision)
			}
		case hasChanged(old, r):
			changed++
			if isWatcher {
				n.logChange(r, o.At.Revision)
			}
		}
		if ok && old.BootTime != r.BootTime {
			n.forgetEarlierStart(r)
		}
		updated = append(updated, r)
	}
	n.countChanges(isWatcher, added, changed, len(removed))
	n.tracker.Update(updated, removed, n.removalGrace())
}

// hasChanged reports whether a runner's state, membership or start is another one.
func hasChanged(old, r *tracker.Runner) bool {
	return old.State != r.State || old.Membership != r.Membership || old.BootTime != r.BootTime
}

func (n *Node) logChange(r *tracker.Runner, revision int64) {
	n.Log.Info("runner has changed", "runner", r.ID, "state", r.State, "replica", r.Membership.Replica,
		"epoch", r.Membership.Epoch, "member_state", r.Membership.State, "boot_time", r.BootTime, "revision", revision)
}

// countChanges counts changes of runners. A node that does not watch the store itself
// logs a summary instead of each change.
func (n *Node) countChanges(isWatcher bool, added, changed, gone int) {
	runnersAdded.Add(added)
	runnersChanged.Add(changed)
	runnersRemoved.Add(gone)
	if !isWatcher {
		n.runnerSummary.record(n.Log, added, changed, gone)
	}
}

// forgetEarlierStart clears the suspicion against a runner that has restarted and
// closes the connections to it.
func (n *Node) forgetEarlierStart(r *tracker.Runner) {
	n.balancer.ClearSuspicion(r.ID)
	n.Client.CloseIdle(r.Address)
}

// decodeRunner returns nil for an entry that is deleted or cannot be used. Such an entry
// names no runner, and hides what was known under its name.
func (n *Node) decodeRunner(o follower.Object) *tracker.Runner {
	if o.Deleted {
		n.rejections.Forget(o)
		return nil
	}
	r, err := (*tracker.Runner)(nil), o.Problem
	if err == nil {
		r, err = n.Platform.DecodeRunner(o.Name, o.Spec)
	}
	if err != nil {
		n.rejections.Reject(n.Log, o, err)
		return nil
	}
	n.rejections.Accept(n.Log, o)
	return r
}
