package server

import (
	"time"

	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/store/follower"
)

const (
	// fedAge is up to which age a copy that another node keeps current is
	// trusted to stay so. Above it the node asks the store itself.
	fedAge = 1800 * time.Millisecond
	// storeFailedFor is how long a node whose call to the store failed leaves
	// work that needs the store to others.
	storeFailedFor = 2 * time.Second
	// acquaintTime is for how long after its start a node does not take domains
	// over, because it does not know the other nodes yet.
	acquaintTime = 900 * time.Millisecond
	// membershipLifetime is how long a list of the nodes is used.
	membershipLifetime = 100 * time.Millisecond
	// watchKey is what nodes are ranked by to name the one that watches.
	watchKey = "watch"
)

// hasStore reports whether this node reaches the store, as far as it knows.
func (n *Node) hasStore() bool {
	failed := follower.Now()-time.Duration(n.storeFailed.Load()) < storeFailedFor && n.storeFailed.Load() > 0
	return !failed && n.catalogs.Age() < storeAge && n.runners.Age() < storeAge
}

func (n *Node) noteStoreFailed() { n.storeFailed.Store(int64(follower.Now())) }

// membership is which nodes reach the store, as far as this node knows.
type membership struct {
	at time.Time
	// near are the nodes by data center, all those of all data centers.
	near map[string][]string
	all  []string
}

// members returns the nodes that reach the store, this one among them if it does.
func (n *Node) members() *membership {
	if m := n.membership.Load(); m != nil && time.Since(m.at) < membershipLifetime {
		return m
	}
	m := &membership{at: time.Now(), near: map[string][]string{}}
	add := func(name, dataCenter string) {
		m.near[dataCenter] = append(m.near[dataCenter], name)
		m.all = append(m.all, name)
	}
	if n.hasStore() && !n.stopping.Load() {
		add(n.Settings.Name, n.Settings.DataCenter)
	}
	for _, p := range n.beater.Live() {
		if p.HasStore && !p.Leaving {
			add(p.Node, p.DataCenter)
		}
	}
	n.membership.Store(m)
	return m
}

// owns reports whether this node works on a domain. Nodes that do not reach
// the store cannot; those of the domain's data center come first, because they
// reach its runners while the data center is cut off from the others.
func (n *Node) owns(domain, dataCenter string) bool {
	if n.stopping.Load() || !n.hasStore() || time.Since(n.startedAt) < acquaintTime {
		return false
	}
	m := n.members()
	names := m.near[dataCenter]
	if len(names) == 0 {
		names = m.all
	}
	return ranker.First(domain, names) == n.Settings.Name
}

// creates reports whether this node creates the assignments of new domains of a
// data center.
func (n *Node) creates(dataCenter string) bool { return n.owns(dataCenter, dataCenter) }

// isFed reports whether another node of this data center watches the store for
// this one. A copy that grows old nevertheless is kept by this node itself.
func (n *Node) isFed(f *follower.Follower) bool {
	if f.Age() > fedAge {
		return false
	}
	return !n.isWatcher()
}

// isWatcher reports whether this node watches the store for its data center.
func (n *Node) isWatcher() bool {
	return ranker.First(watchKey, n.members().near[n.Settings.DataCenter]) == n.Settings.Name
}

// publish passes on what a watch has found. Configurations are left out: they
// are large and rare, and a beat tells that there is a new one.
func (n *Node) publish(c follower.Changes) {
	if c.Kind == n.Ports.RunnerKind && n.isWatcher() {
		n.beater.Publish(c)
	}
}

func (n *Node) takeChanges(c follower.Changes) {
	if c.Kind == n.Ports.RunnerKind {
		n.runners.Offer(c)
	}
}

// fillBeat sets what the others are told.
func (n *Node) fillBeat(b *beater.Beat, dataCenter string, limited bool) {
	b.Leaving = n.stopping.Load()
	b.HasStore = n.hasStore()
	b.InFlight, b.Suspects = n.balancer.Counts()
	if limited {
		n.limit(b, dataCenter)
	}
	b.Doubts = n.former.Doubts()
	b.Alive = n.doubted.answering()
	b.Loads = n.former.Loading()
	if limited && n.isWatcher() {
		b.Totals = n.totals()
	}
	if dataCenter == n.Settings.DataCenter && n.isWatcher() {
		b.Copies = map[string]follower.Copy{n.Ports.CatalogKind: n.catalogs.Copy(), n.Ports.RunnerKind: n.runners.Copy()}
	}
}

// limit leaves out the requests in flight at runners of other data centers.
func (n *Node) limit(b *beater.Beat, dataCenter string) {
	view := n.tracker.View()
	for id := range b.InFlight {
		if r, ok := view.Runners[id]; !ok || r.DataCenter != dataCenter {
			delete(b.InFlight, id)
		}
	}
}

// totals returns the requests in flight from all nodes at the targets of this
// data center.
func (n *Node) totals() map[string]int {
	totals := map[string]int{}
	for _, t := range n.tracker.View().All() {
		if t.DataCenter == n.Settings.DataCenter {
			totals[t.ID] = n.balancer.InFlight(t.ID)
		}
	}
	return totals
}

func (n *Node) receiveBeat(b *beater.Beat) {
	n.balancer.SetPeer(b.Node, b.InFlight)
	n.balancer.SetTotals(b.Totals)
	for _, id := range b.Suspects {
		n.keepSuspect(id)
		n.balancer.Suspect(id)
	}
	n.balancer.Changed()
	n.doubted.note(b.Alive)
	n.doubted.try(b.Doubts, n.probe)
	if b.Echo == 0 {
		return
	}
	for kind, c := range b.Copies {
		when := time.Duration(b.Echo) - time.Duration(c.AgeMS)*time.Millisecond
		switch kind {
		case n.Ports.CatalogKind:
			n.catalogs.Confirm(c, when)
		case n.Ports.RunnerKind:
			n.runners.Confirm(c, when)
		}
	}
}
