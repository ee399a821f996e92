package exchanger

import (
	"time"

	"marjorammoor/internal/peer/encoder"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

// ownSighting is a sighting by this node.
type ownSighting struct {
	vm       string
	sighting recorder.Sighting
}

// ownSightings returns this node's sightings. All streams that beat at the same
// time share one pass over the board.
func (x *Exchanger) ownSightings() []ownSighting {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Since(x.takenAt) < snapshotReuse {
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
	x.snapshot, x.takenAt = list, time.Now()
	return list
}

// dropMissing removes the sender's sightings that the first beat of its stream
// does not repeat.
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

func (x *Exchanger) takeSightings(sender string, b *encoder.Beat) {
	now := time.Now()
	for _, s := range b.Sightings {
		x.Board.SetSighting(s.Vm, fromSighting(sender, now, s))
	}
	for _, vm := range b.Withdrawn {
		x.Board.DropSighting(vm, sender)
	}
	for _, h := range b.Loads {
		x.takeLoad(sender, h, now)
	}
}

func (x *Exchanger) takeLoad(watcher string, h *encoder.HeadLoad, now time.Time) {
	list, _ := x.Board.Sightings.Get(h.Vm)
	for _, s := range list {
		if s.Watcher == watcher {
			s.Identity.Load = fromLoad(h.Load)
			s.ConfirmedAt = now
			x.Board.SetSighting(h.Vm, s)
		}
	}
}

// learnSender records that a node runs.
func (x *Exchanger) learnSender(n recorder.Node, b *encoder.Beat) {
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

// learnNode records a node that a peer knows. Hearsay does not prove that the
// node runs, and never replaces what the node itself said lately.
func (x *Exchanger) learnNode(n recorder.Node) {
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

// learnAddress records who answers at an address.
func (x *Exchanger) learnAddress(address string, n recorder.Node) {
	x.mu.Lock()
	x.identities[address] = n
	x.mu.Unlock()
	x.learnNode(n)
}

// ownSummary describes this data centre to the others.
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
		s.Free = x.Free()
	}
	return toSummary(s)
}

// takeSummary records another data centre's summary if it is the newest.
func (x *Exchanger) takeSummary(s recorder.Summary, isDirect bool) {
	if s.DataCenter == x.DataCenter || s.DataCenter == "" {
		return
	}
	taken := false
	x.Board.Summaries.Update(s.DataCenter, func(old recorder.Summary, ok bool) (recorder.Summary, bool) {
		taken = !ok || s.At.After(old.At)
		if !taken {
			return old, true
		}
		return s, true
	})
	if !taken {
		return
	}
	for _, n := range s.Nodes {
		x.learnNode(n)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if isDirect {
		x.direct[s.DataCenter] = s.At
	}
}

// isDirect reports whether a summary came from its own data centre.
func (x *Exchanger) isDirect(dataCenter string, s recorder.Summary) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.direct[dataCenter].Equal(s.At)
}

func fromLoad(l *encoder.Load) caller.Load {
	return caller.Load{InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()), TokenMicros: int(l.GetTokenMicros())}
}
