package exchanger

import (
	"time"

	"marjorammoor/internal/peer/encoder"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

// ownSighting is this node's sighting of a VM.
type ownSighting struct {
	vm       string
	sighting recorder.Sighting
}

// ownSightings returns this node's sightings. Streams that send heartbeats at about
// the same time share one pass over the board.
func (x *Exchanger) ownSightings() []ownSighting {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.snapshotAt) < snapshotLifetime {
		return x.snapshot
	}
	list := []ownSighting{}
	x.Board.Sightings.Each(func(vm string, all []recorder.Sighting) bool {
		for _, s := range all {
			if s.Watcher == x.Self {
				list = append(list, ownSighting{vm, s})
			}
		}
		return true
	})
	x.snapshot, x.snapshotAt = list, time.Now()
	return list
}

// dropMissing removes the sender's sightings that the first heartbeat of its new
// stream does not repeat.
func (x *Exchanger) dropMissing(sender string, b *encoder.Beat) {
	present := map[string]bool{}
	for _, s := range b.Sightings {
		present[s.Vm] = true
	}
	x.Board.Sightings.Each(func(vm string, list []recorder.Sighting) bool {
		for _, s := range list {
			if s.Watcher == sender && !present[vm] {
				x.Board.DropSighting(vm, s.Watcher)
			}
		}
		return true
	})
}

func (x *Exchanger) applySightings(sender string, b *encoder.Beat) {
	now := time.Now()
	for _, s := range b.Sightings {
		x.Board.SetSighting(s.Vm, fromSighting(sender, now, s))
	}
	for _, vm := range b.Withdrawn {
		x.Board.DropSighting(vm, sender)
	}
	for _, h := range b.Loads {
		x.applyLoad(sender, h, now)
	}
}

func (x *Exchanger) applyLoad(watcher string, h *encoder.HeadLoad, now time.Time) {
	list, _ := x.Board.Sightings.Get(h.Vm)
	for _, s := range list {
		if s.Watcher == watcher {
			s.Identity.Load = fromLoad(h.Load)
			s.ConfirmedAt = now
			x.Board.SetSighting(h.Vm, s)
		}
	}
}

// recordSender records the sender of a heartbeat, which proves that the node runs.
func (x *Exchanger) recordSender(n recorder.Node, b *encoder.Beat) {
	n.Revision = b.Revision
	x.Board.Nodes.Update(n.Name, func(old recorder.Node, _ bool) (recorder.Node, bool) {
		n.HeardAt = time.Now()
		n.Demand = old.Demand
		if b.HasDemand {
			n.Demand = fromDemand(b.Demand)
		}
		return n, true
	})
}

// recordNode records a node that a peer reported. The report does not prove that the
// node runs, so it leaves HeardAt unchanged, and a new node does not count as live.
// It does not replace what the node itself sent within ackTimeout.
func (x *Exchanger) recordNode(n recorder.Node) {
	if n.Name == x.Self || n.Name == "" {
		return
	}
	x.Board.Nodes.Update(n.Name, func(old recorder.Node, ok bool) (recorder.Node, bool) {
		if ok && time.Since(old.HeardAt) < ackTimeout {
			return old, true
		}
		n.HeardAt, n.Demand = old.HeardAt, old.Demand
		if !ok {
			n.HeardAt = time.Now().Add(-ackTimeout)
		}
		return n, true
	})
}

// recordIdentity records the node that answered at a peer address.
func (x *Exchanger) recordIdentity(address string, n recorder.Node) {
	x.mu.Lock()
	x.identities[address] = n
	x.mu.Unlock()
	x.recordNode(n)
}

// ownSummary returns the summary of this data centre for the others.
func (x *Exchanger) ownSummary() *encoder.Summary {
	s := recorder.Summary{DataCenter: x.DataCenter, At: time.Now(), MinRevision: x.Board.Revision()}
	type key struct{ team, deployment string }
	total := map[key]recorder.Demand{}
	for _, n := range x.Board.LiveNodes(x.DataCenter, ackTimeout) {
		if n.Name != x.Self {
			s.MinRevision = min(s.MinRevision, n.Revision)
		}
		for _, d := range n.Demand {
			k := key{d.Team, d.Deployment}
			t := total[k]
			t.Team, t.Deployment = d.Team, d.Deployment
			t.Requests += d.Requests
			t.Tokens += d.Tokens
			total[k] = t
		}
		n.Demand = nil
		s.Nodes = append(s.Nodes, n)
	}
	for _, d := range total {
		s.Demand = append(s.Demand, d)
	}
	if x.Free != nil {
		s.FreeRequests = x.Free()
	}
	return toSummary(s)
}

// applySummary records another data centre's summary if it is newer than the one on
// the board. isDirect is true if a node of that data centre sent it.
func (x *Exchanger) applySummary(s recorder.Summary, isDirect bool) {
	if s.DataCenter == x.DataCenter || s.DataCenter == "" {
		return
	}
	isNewer := false
	x.Board.Summaries.Update(s.DataCenter, func(old recorder.Summary, ok bool) (recorder.Summary, bool) {
		isNewer = !ok || s.At.After(old.At)
		if !isNewer {
			return old, true
		}
		return s, true
	})
	if !isNewer {
		return
	}
	for _, n := range s.Nodes {
		x.recordNode(n)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if isDirect {
		x.directSummaries[s.DataCenter] = s.At
	}
}

// isDirect reports whether a summary was received from a node of its data centre.
func (x *Exchanger) isDirect(dataCenter string, s recorder.Summary) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.directSummaries[dataCenter].Equal(s.At)
}

func fromLoad(l *encoder.Load) caller.Load {
	return caller.Load{InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()), TokenMicros: int(l.GetTokenMicros())}
}
