package server

import (
	"time"

	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
)

// takeCatalogs puts a newer configuration in force. An older one is never taken.
func (n *Node) takeCatalogs(objects []follower.Object) {
	for _, o := range objects {
		if o.Name != n.Ports.CatalogName || o.Deleted {
			continue
		}
		c, err := n.Ports.DecodeCatalog(o.Spec)
		if err != nil {
			n.Log.Error("a configuration cannot be read", "revision", o.Revision, "error", err)
			continue
		}
		old := n.catalog.Load()
		if old != nil && old.Version >= c.Version {
			continue
		}
		n.catalog.Store(c)
		n.tracker.SetServices(c.Services)
		n.Log.Info("configuration is in force", "version", c.Version, "revision", o.Revision)
	}
}

// replaceRunners takes the full list of runners. After the store has been away,
// runners that are missing may come back, and are kept for a while.
func (n *Node) replaceRunners(objects []follower.Object, outage time.Duration) {
	if n.hasRunners.Load() && outage > trustedOutage {
		n.returnUntil.Store(int64(follower.Now() + returnGrace))
	}
	list := make([]*tracker.Runner, 0, len(objects))
	for _, o := range objects {
		if r := n.decodeRunner(o); r != nil {
			list = append(list, r)
		}
	}
	n.tracker.Replace(list, n.removalGrace())
	n.hasRunners.Store(true)
	n.Log.Info("runners are listed", "runners", len(list), "entries", len(objects), "outage_ms", outage.Milliseconds())
}

// removalGrace returns how long a runner that was removed now may still be used.
func (n *Node) removalGrace() time.Duration {
	return max(time.Duration(n.returnUntil.Load())-follower.Now(), 0)
}

func (n *Node) updateRunners(changes []follower.Object) {
	changed := []*tracker.Runner{}
	removed := []string{}
	for _, o := range changes {
		r := n.decodeRunner(o)
		if r == nil {
			removed = append(removed, o.Name)
			n.Log.Info("runner is gone", "runner", o.Name, "revision", o.Revision, "deleted", o.Deleted)
			continue
		}
		n.logRunner(r, o.Revision)
		changed = append(changed, r)
	}
	n.tracker.Update(changed, removed, n.removalGrace())
}

func (n *Node) logRunner(r *tracker.Runner, revision int64) {
	old, ok := n.tracker.View().Runners[r.ID]
	switch {
	case !ok:
		n.Log.Info("runner is new", "runner", r.ID, "service", r.Service, "address", r.Address, "domain", r.Domain, "revision", revision)
	case old.State != r.State || old.Membership != r.Membership || old.BootTime != r.BootTime:
		n.Log.Info("runner has changed", "runner", r.ID, "state", r.State, "replica", r.Membership.Replica,
			"epoch", r.Membership.Epoch, "member_state", r.Membership.State, "boot_time", r.BootTime, "revision", revision)
	}
	if ok && old.BootTime != r.BootTime {
		n.balancer.Clear(r.ID)
		n.Client.Forget(r.Address)
	}
}

// decodeRunner returns nil for an entry that names no usable runner.
func (n *Node) decodeRunner(o follower.Object) *tracker.Runner {
	if o.Deleted {
		return nil
	}
	r, err := n.Ports.DecodeRunner(o.Name, o.Spec)
	if err != nil {
		n.Log.Warn("a runner's entry cannot be read", "name", o.Name, "revision", o.Revision, "error", err)
		return nil
	}
	return r
}
