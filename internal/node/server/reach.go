package server

import (
	"context"
	"maps"
	"slices"
	"time"

	"marjorammoor/internal/fleet/former"
	"marjorammoor/internal/network/observer"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/tracker"
)

// A node may lose its own links to runners while callers, the store and the other nodes
// still reach it. What it then sees of the runners says nothing about them: it hands
// requests over to nodes that reach them, leaves their domains to others, and reports no
// runner that it lost together with others.

const (
	// doubtDelay is the time from a failed connection to a check, so that several that fail
	// together are judged together.
	doubtDelay = 10 * time.Millisecond
	// reachProbeTimeout bounds a probe on a new connection.
	reachProbeTimeout = 350 * time.Millisecond
	// maxPeerReachAge is the greatest age of a heartbeat that shows what its node reaches,
	// beyond the interval between two.
	maxPeerReachAge = 400 * time.Millisecond
	// minPeerAge is the time after its start in which a node has tried too few runners for its
	// heartbeats to show what it reaches.
	minPeerAge = 2 * time.Second
)

// reachTarget is a runner that gets requests.
type reachTarget = observer.Target

// watchTargets checks at an interval for stalled targets and, also soon after a connection has
// failed, which ones are in reach, until ctx ends.
func (n *Node) watchTargets(ctx context.Context) {
	t := time.NewTicker(stallInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.doubts:
			time.Sleep(doubtDelay)
		case <-t.C:
			n.balancer.CheckStalls()
		}
		n.watchReach()
	}
}

// newObserver returns an observer that has watchTargets check soon after a connection has
// failed.
func (n *Node) newObserver() *observer.Observer {
	n.doubts = make(chan struct{}, 1)
	return &observer.Observer{Doubted: func() {
		select {
		case n.doubts <- struct{}{}:
		default:
		}
	}}
}

// watchReach checks which runners this node reaches, and probes some.
func (n *Node) watchReach() {
	targets := n.reachTargets.of(n.tracker.View())
	for _, t := range n.observer.Step(targets) {
		if !n.balancer.IsPaused(t.ID) {
			go n.probeReach(t)
		}
	}
	n.applyReach(targets)
}

// targetList is the list of a view's targets for the observer. The zero value is empty.
type targetList struct {
	view    *tracker.View
	targets []reachTarget
}

// of returns the targets of a view.
func (l *targetList) of(v *tracker.View) []reachTarget {
	if l.view == v {
		return l.targets
	}
	l.view, l.targets = v, nil
	for _, t := range v.All() {
		l.targets = append(l.targets, reachTarget{ID: t.ID, Address: t.Address, Service: t.Service, DataCenter: t.DataCenter})
	}
	return l.targets
}

// probeReach probes a runner on a new connection.
func (n *Node) probeReach(t reachTarget) {
	started := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), reachProbeTimeout)
	defer stop()
	n.observer.RecordProbe(t.Address, started, n.Platform.ProbeAnew(ctx, former.Member{ID: t.ID, Address: t.Address}))
}

// applyReach closes connections to runners that are newly out of reach, since they are
// silent or broken, and has requests leave them.
func (n *Node) applyReach(targets []reachTarget) {
	unreached := map[string]bool{}
	for _, t := range targets {
		if n.observer.State(t.Address) != observer.Lost {
			continue
		}
		unreached[t.ID] = true
		if !n.unreached[t.ID] {
			n.Client.CloseIdle(t.Address)
		}
	}
	n.logReach(unreached, len(targets))
	hasChanged := !maps.Equal(unreached, n.unreached)
	n.unreached = unreached
	if len(unreached) > 0 {
		n.balancer.LeaveLost(func(t balancer.Target) bool { return unreached[t.ID] })
	}
	if hasChanged {
		n.balancer.Dispatch()
	}
}

// logReach logs when groups of runners come out of reach or back, and single runners.
func (n *Node) logReach(unreached map[string]bool, targets int) {
	groups := n.observer.Groups()
	names := make([]string, 0, len(groups))
	for _, g := range groups {
		names = append(names, g.Service+"/"+g.DataCenter)
	}
	slices.Sort(names)
	if slices.Equal(names, n.unreachedGroups) && maps.Equal(unreached, n.unreached) {
		return
	}
	n.unreachedGroups = names
	n.Log.Warn("runners in reach have changed", "out_of_reach", len(unreached), "of", targets, "groups_out_of_reach", names,
		"newly_out", newIn(unreached, n.unreached), "newly_in", newIn(n.unreached, unreached))
}

// maxNamedRunners bounds the runners that a log line names.
const maxNamedRunners = 8

// newIn returns the first IDs that are in one set and not in the other.
func newIn(set, other map[string]bool) []string {
	list := []string{}
	for _, id := range slices.Sorted(maps.Keys(set)) {
		if !other[id] && len(list) < maxNamedRunners {
			list = append(list, id)
		}
	}
	return list
}

// reach tells whether this node reaches a target, and since when it does not. One that answers
// on open connections only is in reach while there is an idle one.
func (n *Node) reach(t balancer.Target) (r balancer.Reach, since time.Time) {
	state := n.observer.State(t.Address)
	switch {
	case state == observer.Reached, state == observer.Closed && n.Client.HasIdle(t.Address):
		return balancer.InReach, time.Time{}
	case n.observer.IsGroupLost(t.Address):
		return balancer.CutOff, n.observer.FailedSince(t.Address)
	}
	return balancer.OutOfReach, n.observer.FailedSince(t.Address)
}

// isCutOff reports whether a runner is out of reach because this node has lost its links.
func (n *Node) isCutOff(id string) bool {
	r, ok := n.tracker.View().Runner(id)
	return ok && n.observer.IsGroupLost(r.Address)
}

// reachesDataCenter reports whether a node that has lost the given groups reaches the
// runners with models of a data centre.
func (n *Node) reachesDataCenter(lost []observer.Group, dataCenter string) bool {
	services := n.services()
	return !slices.ContainsFunc(lost, func(g observer.Group) bool {
		s, ok := services[g.Service]
		return ok && s.Engine != nil && (g.DataCenter == dataCenter || g.DataCenter == "")
	})
}

// deliveryPeers returns the nodes that reach runners which can serve a model and are out of
// reach of this node, as far as their heartbeats show.
func (n *Node) deliveryPeers(service, model string) []deliverer.Peer {
	lost := n.unreachedDataCenters(service, model)
	list := []deliverer.Peer{}
	now := time.Now()
	for _, p := range n.beater.Live() {
		evidence, ok := reachEvidence(&p, service, lost, now)
		if !ok {
			continue
		}
		address, ok := n.beater.Address(p.Node)
		if !ok {
			continue
		}
		list = append(list, deliverer.Peer{
			Name: p.Node, Address: address, DataCenter: p.DataCenter, IsRemote: p.DataCenter != n.Settings.DataCenter, Evidence: evidence, Load: inFlight(&p.Heartbeat),
			Age: p.Age(), HeartbeatAge: now.Sub(p.SeenAt),
		})
	}
	return list
}

// reachEvidence returns what speaks for a node reaching runners of a service in one of some data
// centres, and false if nothing does. That a node which has just started misses none proves
// nothing: it has tried few.
func reachEvidence(p *beater.Peer, service string, dataCenters []string, now time.Time) (deliverer.Evidence, bool) {
	missesAll := !slices.ContainsFunc(dataCenters, func(dataCenter string) bool {
		return !slices.Contains(p.Unreached, observer.Group{Service: service, DataCenter: dataCenter})
	})
	switch {
	case p.Leaving, missesAll, p.Age() < minPeerAge, now.Sub(p.SeenAt) > p.Interval()+maxPeerReachAge:
		return 0, false
	case !p.HasHeard():
		return deliverer.Unheard, true
	case slices.Contains(p.Answering, service):
		return deliverer.Answered, true
	}
	return deliverer.NotMissed, true
}

// unreachedDataCenters returns the data centres in which runners that can serve a model are
// out of reach of this node.
func (n *Node) unreachedDataCenters(service, model string) []string {
	list := []string{}
	for _, t := range n.tracker.View().Targets(service, model) {
		if r, _ := n.reach(t); r != balancer.InReach && !slices.Contains(list, t.DataCenter) {
			list = append(list, t.DataCenter)
		}
	}
	return list
}

// inFlight returns the number of requests that a heartbeat reports.
func inFlight(b *beater.Heartbeat) int {
	sum := 0
	for _, n := range b.InFlight {
		sum += n
	}
	return sum
}
