package server

import (
	"maps"
	"slices"
	"time"

	"marjorammoor/internal/network/observer"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

const (
	// maxPeerWatchAge is the age up to which the node relies on a watching peer to
	// keep a copy current. When the copy is older, the node reads the store itself.
	maxPeerWatchAge = 1800 * time.Millisecond
	// fallbackStep is the time by which one node after the other reads the store itself
	// when no node keeps the copies current.
	fallbackStep = 200 * time.Millisecond
	// storeFailurePause is how long a node leaves work that needs the store to other
	// nodes after one of its store calls has failed.
	storeFailurePause = 2 * time.Second
	// peerDiscoveryTime is how long a node takes no domains and does not watch the
	// store after its start, because it has not discovered the other nodes yet.
	peerDiscoveryTime = 900 * time.Millisecond
	// storeNodesLifetime is how long a computed list of nodes is reused.
	storeNodesLifetime = 100 * time.Millisecond
	// minRemoteDemand is the least demand that is reported to other data centres.
	minRemoteDemand = 1
	// watcherRankKey is the key by which the nodes of a data centre are ranked to
	// elect the one that watches the store.
	watcherRankKey = "watch"
)

// reachesStore reports whether this node reaches the store: no store call has failed
// within storeFailurePause and its copies are recent and of the newest era.
func (n *Node) reachesStore() bool {
	failed := follower.Now()-time.Duration(n.storeFailedAt.Load()) < storeFailurePause && n.storeFailedAt.Load() > 0
	return !failed && n.catalogs.IsOfNewestEra() && n.runners.IsOfNewestEra() && n.catalogs.Age() < maxStoreAge && n.runners.Age() < maxStoreAge
}

func (n *Node) recordStoreFailure() { n.storeFailedAt.Store(int64(follower.Now())) }

// storeNodes are the names of the live nodes that report that they reach the store.
type storeNodes struct {
	builtAt      time.Time
	byDataCenter map[string][]string
	// all are the nodes of all data centres.
	all []string
	// unreached are the groups of runners that a node has lost its links to, by node.
	unreached map[string][]observer.Group
}

// nodesWithStore returns the nodes that reach the store and are not stopping. This
// node is among them if that holds for it too.
func (n *Node) nodesWithStore() *storeNodes {
	if m := n.storeNodes.Load(); m != nil && time.Since(m.builtAt) < storeNodesLifetime {
		return m
	}
	m := &storeNodes{builtAt: time.Now(), byDataCenter: map[string][]string{}, unreached: map[string][]observer.Group{}}
	add := func(name, dataCenter string, unreached []observer.Group) {
		m.byDataCenter[dataCenter] = append(m.byDataCenter[dataCenter], name)
		m.all = append(m.all, name)
		m.unreached[name] = unreached
	}
	if n.reachesStore() && !n.isStopping() {
		add(n.Settings.Name, n.Settings.DataCenter, n.observer.Groups())
	}
	for _, p := range n.beater.Live() {
		if p.ReachesStore && !p.Leaving {
			add(p.Node, p.DataCenter, p.Unreached)
		}
	}
	n.storeNodes.Store(m)
	return m
}

// owns reports whether this node manages a domain, which needs access to the store.
// Nodes of the domain's data centre are preferred, because they still reach its
// runners when the data centre is cut off from the others. Nodes that have lost their links to
// its runners manage it only if all have.
func (n *Node) owns(domain, dataCenter string) bool {
	if n.isStopping() || !n.reachesStore() || time.Since(n.startedAt) < peerDiscoveryTime {
		return false
	}
	m := n.nodesWithStore()
	for _, names := range [][]string{m.byDataCenter[dataCenter], m.all} {
		reaching := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !n.reachesDataCenter(m.unreached[name], dataCenter) })
		if len(reaching) > 0 {
			return ranker.First(domain, reaching) == n.Settings.Name
		}
	}
	return ranker.First(domain, m.all) == n.Settings.Name
}

// createsAssignments reports whether this node creates the assignments of new
// domains in a data centre.
func (n *Node) createsAssignments(dataCenter string) bool { return n.owns(dataCenter, dataCenter) }

// isWatchedByPeer reports whether another node of this data centre watches the store
// and keeps the copy current, or is to try first. While the store is away, the nodes
// begin to call it one after the other: whoever reaches it confirms the copies of all.
func (n *Node) isWatchedByPeer(f *follower.Follower) bool {
	if time.Since(n.startedAt) < peerDiscoveryTime {
		return f.Age() <= maxPeerWatchAge
	}
	return !n.isWatcher() && f.Age() <= fallbackAge(n.watcherRank())
}

// fallbackAge returns the age of a copy up to which a node leaves the store to other
// nodes of its data centre, if so many rank before it.
func fallbackAge(rank int) time.Duration {
	return maxPeerWatchAge + time.Duration(rank)*fallbackStep
}

// watcherRank returns how many live nodes of this data centre rank before this one as
// the node that watches the store, whether they reach it or not.
func (n *Node) watcherRank() int {
	rank := 0
	own := ranker.Score(watcherRankKey, n.Settings.Name)
	for _, p := range n.beater.Live() {
		if p.DataCenter == n.Settings.DataCenter && !p.Leaving && ranker.Score(watcherRankKey, p.Node) > own {
			rank++
		}
	}
	return rank
}

// isWatcher reports whether this node watches the store for its data centre.
func (n *Node) isWatcher() bool {
	return ranker.First(watcherRankKey, n.nodesWithStore().byDataCenter[n.Settings.DataCenter]) == n.Settings.Name
}

// publish sends changes that this node's watch returned to the other nodes of the data
// centre, so that they need not read the store.
func (n *Node) publish(c follower.Changes) {
	if n.isWatcher() {
		n.beater.Publish(c)
	}
}

// publishList sends a list of a new era that this node has read to the other nodes of the
// data centre, unless one of them seems to have read it before.
func (n *Node) publishList(kind string, objects []follower.Object, at sequencer.Position) {
	for _, p := range n.beater.Live() {
		if p.DataCenter == n.Settings.DataCenter && p.Era == at.Era && p.ReachesStore && !p.Leaving {
			return
		}
	}
	n.beater.PublishList(kind, objects, at)
}

// applyPeerList applies a part of a list that another node has read.
func (n *Node) applyPeerList(p follower.ListPart) {
	switch p.Kind {
	case n.Platform.RunnerKind:
		n.runners.ApplyPeerList(p)
	case n.Platform.CatalogKind:
		n.catalogs.ApplyPeerList(p)
	}
}

// applyPeerChanges applies changes that another node's watch returned.
func (n *Node) applyPeerChanges(c follower.Changes) {
	switch c.Kind {
	case n.Platform.RunnerKind:
		n.runners.ApplyPeerChanges(c)
	case n.Platform.CatalogKind:
		n.catalogs.ApplyPeerChanges(c)
	}
}

// fillHeartbeat sets the content of a heartbeat to the nodes of a data centre. A
// limited heartbeat has only the requests in flight at that data centre's runners.
func (n *Node) fillHeartbeat(b *beater.Heartbeat, dataCenter string, limited bool) {
	b.Leaving = n.isStopping()
	b.ReachesStore = n.reachesStore()
	b.StoreAgeMS = n.runners.Age().Milliseconds()
	b.Era, b.CatalogVersion = n.Platform.Eras.Newest(), n.catalogVersion()
	local := n.balancer.LocalLoad()
	b.InFlight, b.Quiet, b.Demand = local.InFlight, local.Quiet, local.Demand
	b.Suspects, b.Failing, b.Limits = slices.DeleteFunc(local.Suspects, n.isCutOff), slices.DeleteFunc(local.Failing, n.isCutOff), local.Limits
	b.LeavingRunners = n.tracker.Leaving()
	b.Unreached, b.Answering = n.observer.Groups(), n.observer.Answering()
	if limited {
		n.limitInFlight(b, dataCenter)
	}
	b.Unreachable = n.former.Unreachable()
	maps.DeleteFunc(b.Unreachable, func(id, _ string) bool { return n.isCutOff(id) })
	n.peerQuestions.addQuestions(b.Unreachable)
	b.Reachable, b.Refusing = n.indirectProbes.results()
	b.Loads = n.former.PendingLoads()
	b.Breaker = n.breaker.Report()
	if n.isStopping() {
		b.Breaker.Unanswered = n.breaker.ReportUnanswered()
	}
	if dataCenter == n.Settings.DataCenter {
		b.WantsRetries = n.wantedRetries()
	}
	if limited && n.isWatcher() {
		totals := n.balancer.Totals(func(t balancer.Target) bool { return t.DataCenter == n.Settings.DataCenter })
		b.InFlightTotals, b.QuietTotals = totals.InFlight, totals.Quiet
	}
	if dataCenter == n.Settings.DataCenter && n.isWatcher() {
		b.Copies = map[string]follower.Copy{n.Platform.CatalogKind: n.catalogs.Copy(), n.Platform.RunnerKind: n.runners.Copy()}
	}
}

// limitInFlight removes from a heartbeat the requests in flight at runners outside the
// receiving data centre, and small demands.
func (n *Node) limitInFlight(b *beater.Heartbeat, dataCenter string) {
	view := n.tracker.View()
	for id := range b.InFlight {
		if r, ok := view.Runner(id); !ok || r.DataCenter != dataCenter {
			delete(b.InFlight, id)
		}
	}
	b.Quiet = slices.DeleteFunc(b.Quiet, func(id string) bool {
		_, ok := b.InFlight[id]
		return !ok
	})
	maps.DeleteFunc(b.Demand, func(_ string, n float64) bool { return n < minRemoteDemand })
}

// receiveHeartbeat applies the content of another node's heartbeat. Copies are
// confirmed only if the heartbeat echoes a time stamp of this node, because their
// age is counted from that stamp on this node's clock.
func (n *Node) receiveHeartbeat(b *beater.Heartbeat) {
	n.Platform.Eras.Observe(b.Era)
	n.recordCatalogVersion(b)
	n.sights.record(follower.Now() - time.Duration(b.StoreAgeMS)*time.Millisecond)
	n.balancer.SetPeerLoad(b.Node, balancer.PeerReport{
		DataCenter: b.DataCenter, Interval: b.Interval(), InFlight: b.InFlight, Quiet: b.Quiet, Demand: b.Demand, Failing: b.Failing, Limits: b.Limits,
	})
	if len(b.InFlightTotals) > 0 {
		n.balancer.SetRemoteTotals(balancer.TargetTotals{Interval: b.Interval(), InFlight: b.InFlightTotals, Quiet: b.QuietTotals})
	}
	for _, id := range b.Suspects {
		n.addSuspect(id)
		n.balancer.Suspect(id)
	}
	for id, bootTime := range b.LeavingRunners {
		n.tracker.Leave(id, bootTime, false)
	}
	n.breaker.Receive(&b.Breaker)
	n.giveRetries(b)
	n.balancer.Dispatch()
	n.indirectProbes.recordPeerAnswers(b.Reachable)
	n.peerQuestions.record(b.Node, b.Reachable, b.Refusing)
	n.indirectProbes.probeAll(b.Unreachable, n.probeResult)
	if b.Echo == 0 {
		return
	}
	for kind, c := range b.Copies {
		confirmedAt := time.Duration(b.Echo) - time.Duration(c.AgeMS)*time.Millisecond
		switch kind {
		case n.Platform.CatalogKind:
			n.catalogs.ConfirmFromPeer(c, confirmedAt)
		case n.Platform.RunnerKind:
			n.runners.ConfirmFromPeer(c, confirmedAt)
		}
	}
}
