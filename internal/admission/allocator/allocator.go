// Package allocator computes this node's share of the capacity that all nodes use:
// the request slots of each deployment's replicas, and each team's rate limits. It
// reads the demand of all nodes from the board. Every node computes its own share
// from the same figures.
//
// # Usage
//
//	a := &allocator.Allocator{Board: board, Director: d, Self: "node-1", DataCenter: "vake"}
//	go a.Run(ctx)
//	err := a.Gate("drafting").Acquire(ctx, a.Request("north", 200))
package allocator

import (
	"context"
	"math"
	"time"

	"marjorammoor/internal/admission/limiter"
	"marjorammoor/internal/admission/meter"
	"marjorammoor/internal/admission/scheduler"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/routing/director"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/state/sharder"
	"marjorammoor/internal/timing/repeater"
)

const (
	measureInterval = time.Second
	// demandLifetime is how long a node's last known demand counts after the node
	// was last heard, because a node that is cut off continues to use its share.
	demandLifetime = 10 * time.Second
)

// Allocator holds the gates and limits of one node. Set Board, Director, Self
// and DataCenter before use.
type Allocator struct {
	Board    *recorder.Board
	Director *director.Director
	// Self is the name of this node.
	Self       string
	DataCenter string
	Meter      meter.Meter
	Limiter    limiter.Limiter

	// gates holds the gate of each deployment.
	gates sharder.Map[string, *scheduler.Gate]
	own   sharder.Map[string, recorder.Demand]
}

// Run measures this node's demand and updates the teams' limits every
// measureInterval until ctx ends. The slots are updated by UpdateSlots.
func (a *Allocator) Run(ctx context.Context) {
	repeater.Every(ctx, measureInterval, a.Measure)
}

// Gate returns the gate of a deployment, after creating it if there is none.
func (a *Allocator) Gate(deployment string) *scheduler.Gate {
	return a.gates.GetOrCreate(deployment, func() *scheduler.Gate { return &scheduler.Gate{} })
}

// Request returns a team's request for a slot, with the weight and queue limits from
// the team's policy. tokens is the expected work.
func (a *Allocator) Request(team string, tokens int) scheduler.Request {
	r := scheduler.Request{Team: team, Cost: float64(tokens), MaxQueued: parser.DefaultMaxQueued}
	spec, ok := a.Board.Team(team)
	if !ok {
		spec = &parser.TeamSpec{}
	}
	r.Weight = spec.Weight
	if spec.MaxQueued > 0 {
		r.MaxQueued = spec.MaxQueued
	}
	r.QueueTimeout = spec.QueueTimeout()
	return r
}

// Measure stores this node's demand on the board, as moving averages over the last
// seconds, and updates the teams' limits and this node's shares of them.
func (a *Allocator) Measure() {
	demand := a.Meter.Tick()
	a.Board.Nodes.Update(a.Self, func(n recorder.Node, ok bool) (recorder.Node, bool) {
		n.Demand = demand
		return n, ok
	})
	nodes := a.demandByNode()
	for name, spec := range a.Board.Teams() {
		a.Limiter.SetLimits(name, limiter.Limits{Requests: spec.RequestsPerSecond, Tokens: spec.TokensPerSecond})
		own, total := sumTokens(nodes, a.Self, func(d recorder.Demand) bool { return d.Team == name })
		a.Limiter.SetShare(name, limiter.Share(own, total, len(nodes)))
	}
}

// demandByNode returns the demand of every node of this data centre that was heard
// within demandLifetime. Nodes of the other data centres are listed without demand;
// the demand of a whole data centre, from its summary, has an entry of its own.
func (a *Allocator) demandByNode() map[string][]recorder.Demand {
	nodes := map[string][]recorder.Demand{a.Self: nil}
	a.Board.Nodes.Each(func(name string, n recorder.Node) bool {
		if n.DataCenter == a.DataCenter && (name == a.Self || time.Since(n.HeardAt) < demandLifetime) {
			nodes[name] = n.Demand
		}
		return true
	})
	a.Board.Summaries.Each(func(_ string, s recorder.Summary) bool {
		for _, n := range s.Nodes {
			nodes[n.Name] = nil
		}
		nodes["data centre "+s.DataCenter] = s.Demand
		return true
	})
	return nodes
}

// sumTokens sums the matching demand, in tokens per second: own is the sum for the
// node self, total the sum for all nodes.
func sumTokens(nodes map[string][]recorder.Demand, self string, matches func(recorder.Demand) bool) (own, total float64) {
	for name, list := range nodes {
		for _, d := range list {
			if !matches(d) {
				continue
			}
			total += d.Tokens
			if name == self {
				own += d.Tokens
			}
		}
	}
	return own, total
}

// UpdateSlots updates this node's slots for every deployment. Free room on the
// replicas is divided equally among the nodes at once; capacity in contention is
// divided by demand. UpdateSlots runs after each refresh of the pickers, as
// director.Director.AfterRefresh.
func (a *Allocator) UpdateSlots() {
	local := map[string][]recorder.Demand{a.Self: nil}
	a.Board.Nodes.Each(func(name string, n recorder.Node) bool {
		isLive := name == a.Self || time.Since(n.HeardAt) < demandLifetime && !n.Leaving
		if n.DataCenter == a.DataCenter && isLive {
			local[name] = n.Demand
		}
		return true
	})
	for name, spec := range a.Board.Deployments() {
		p, ok := a.Director.Picker(name)
		gate := a.Gate(name)
		if !ok || p.HealthyCount() == 0 {
			gate.SetLimit(0)
			continue
		}
		capacity := float64(p.HealthyCount() * spec.InFlightLimit())
		own, total := sumTokens(local, a.Self, func(d recorder.Demand) bool { return d.Deployment == name })
		share := limiter.Share(own, total, len(local))
		p.SetGuaranteedShare(share)
		slots := int(math.Ceil(capacity * share))
		if room := p.FreeSlots(); room > 0 {
			// A node keeps slots beyond its share only while the replicas have room;
			// otherwise the other nodes' requests would wait for slots in vain.
			slots = max(slots, p.InFlight()+room/len(local))
		}
		gate.SetLimit(max(slots, 1))
	}
}
