package exchanger

import (
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/peer/encoder"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

func toNode(n recorder.Node) *encoder.Node {
	return &encoder.Node{
		Name: n.Name, Incarnation: n.Incarnation, DataCenter: n.DataCenter, PeerAddress: n.PeerAddress,
		CallerAddress: n.CallerAddress, Leaving: n.Leaving, Watching: n.Watching, Revision: n.Revision,
	}
}

func fromNode(n *encoder.Node) recorder.Node {
	return recorder.Node{
		Name: n.GetName(), Incarnation: n.GetIncarnation(), DataCenter: n.GetDataCenter(), PeerAddress: n.GetPeerAddress(),
		CallerAddress: n.GetCallerAddress(), Leaving: n.GetLeaving(), Watching: n.GetWatching(), Revision: n.GetRevision(),
	}
}

func toConfig(u recorder.ConfigUpdate) *encoder.ConfigUpdate {
	c := &encoder.ConfigUpdate{From: u.From, To: u.To, Full: u.Full}
	for _, o := range u.Objects {
		c.Objects = append(c.Objects, &encoder.Object{
			Kind: string(o.Kind), Name: o.Name, Incarnation: o.Incarnation, Version: o.Version,
			ChangeId: o.ChangeID, ChangedBy: o.ChangedBy, Body: o.Body, Deleted: o.Deleted,
		})
	}
	return c
}

func fromConfig(c *encoder.ConfigUpdate) recorder.ConfigUpdate {
	u := recorder.ConfigUpdate{From: c.From, To: c.To, Full: c.Full}
	for _, o := range c.Objects {
		u.Objects = append(u.Objects, parser.Object{
			Kind: parser.Kind(o.Kind), Name: o.Name, Incarnation: o.Incarnation, Version: o.Version,
			ChangeID: o.ChangeId, ChangedBy: o.ChangedBy, Body: o.Body, Deleted: o.Deleted,
		})
	}
	return u
}

func toSighting(vm string, s recorder.Sighting) *encoder.Sighting {
	id := s.Identity
	return &encoder.Sighting{
		Vm: vm, Address: s.Address, Gone: s.Down, BootId: id.BootID, State: string(id.State), Replica: id.Replica,
		Deployment: id.Deployment, Model: id.Model, ModelVersion: id.ModelVersion, Epoch: id.Epoch,
		Head: id.Head, Leaving: id.Leaving, Load: toLoad(id.Load),
	}
}

func fromSighting(watcher string, at time.Time, s *encoder.Sighting) recorder.Sighting {
	return recorder.Sighting{
		Watcher: watcher, Address: s.Address, ConfirmedAt: at, Down: s.Gone,
		Identity: caller.Identity{
			VM: s.Vm, BootID: s.BootId, State: caller.State(s.State), Replica: s.Replica, Deployment: s.Deployment,
			Model: s.Model, ModelVersion: s.ModelVersion, Epoch: s.Epoch, Head: s.Head, Leaving: s.Leaving, Load: fromLoad(s.Load),
		},
	}
}

func toLoad(l caller.Load) *encoder.Load {
	return &encoder.Load{InFlight: int32(l.InFlight), Queued: int32(l.Queued), TokenMicros: int32(l.TokenMicros)}
}

func toDemand(list []recorder.Demand) []*encoder.Demand {
	to := make([]*encoder.Demand, 0, len(list))
	for _, d := range list {
		to = append(to, &encoder.Demand{Team: d.Team, Deployment: d.Deployment, Requests: float32(d.Requests), Tokens: float32(d.Tokens)})
	}
	return to
}

func fromDemand(list []*encoder.Demand) []recorder.Demand {
	to := make([]recorder.Demand, 0, len(list))
	for _, d := range list {
		to = append(to, recorder.Demand{Team: d.Team, Deployment: d.Deployment, Requests: float64(d.Requests), Tokens: float64(d.Tokens)})
	}
	return to
}

func toSummary(s recorder.Summary) *encoder.Summary {
	to := &encoder.Summary{
		DataCenter: s.DataCenter, MinRevision: s.MinRevision, Demand: toDemand(s.Demand), AgeMs: time.Since(s.At).Milliseconds(),
	}
	for _, n := range s.Nodes {
		to.Nodes = append(to.Nodes, toNode(n))
	}
	for name, n := range s.FreeRequests {
		to.Free = append(to.Free, &encoder.Free{Deployment: name, Requests: int32(n)})
	}
	return to
}

func fromSummary(s *encoder.Summary) recorder.Summary {
	to := recorder.Summary{
		DataCenter: s.DataCenter, MinRevision: s.MinRevision, Demand: fromDemand(s.Demand),
		At: time.Now().Add(-time.Duration(s.AgeMs) * time.Millisecond), FreeRequests: map[string]int{},
	}
	for _, n := range s.Nodes {
		to.Nodes = append(to.Nodes, fromNode(n))
	}
	for _, f := range s.Free {
		to.FreeRequests[f.Deployment] = int(f.Requests)
	}
	return to
}
