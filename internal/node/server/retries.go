package server

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/state/ranker"
)

// The nodes share the retry budget of a service. Each holds an equal share of the burst
// and earns retries with its own requests. A node that has spent its share says so in
// its heartbeats, and one other node of its data centre gives what it can spare. Retries
// change hands in one datagram that counts once: if it is lost, so are they.

// retryBudgetShare is the fraction of the shared retry budget that the nodes divide. The
// rest covers nodes that have not discovered each other yet.
const retryBudgetShare = 0.8

var (
	retriesGiven    = metrics.NewFloatCounter(`marjorammoor_retries_moved_total{direction="given"}`)
	retriesReceived = metrics.NewFloatCounter(`marjorammoor_retries_moved_total{direction="received"}`)
)

// budget returns this node's retry budget for a service. The nodes divide the burst
// evenly among all known nodes, including unreachable ones.
func (n *Node) budget(service string) *retrier.SharedBudget {
	bounds := n.bounds()
	ratio := bounds.RetryRatio * retryBudgetShare
	burst := max(bounds.RetryBurst*retryBudgetShare/float64(n.beater.PeerCount()+1), 1)
	b := n.budgets.GetOrCreate(service, func() *retrier.SharedBudget {
		return &retrier.SharedBudget{Ratio: ratio, Burst: burst, Window: bounds.RetryWindow, StartsEmpty: !n.Settings.IsFirstStart}
	})
	b.Resize(ratio, burst)
	return b
}

// wantedRetries returns the services for which this node has spent its retries.
func (n *Node) wantedRetries() []string {
	list := []string{}
	n.budgets.Each(func(service string, b *retrier.SharedBudget) bool {
		if b.IsWanting() {
			list = append(list, service)
		}
		return true
	})
	return list
}

// giveRetries gives retries to the sender of a heartbeat that wants some, if this node
// is the one to answer that heartbeat.
func (n *Node) giveRetries(b *beater.Heartbeat) {
	if len(b.WantsRetries) == 0 || !n.answersWant(b) {
		return
	}
	for _, service := range b.WantsRetries {
		retries := n.budget(service).Give()
		if retries > 0 && n.beater.SendGrant(b.Node, service, retries) {
			retriesGiven.Add(retries)
		}
	}
}

// answersWant reports whether this node is the one of the sender's data centre that
// answers a heartbeat. The nodes take turns, so that not all of them answer.
func (n *Node) answersWant(b *beater.Heartbeat) bool {
	if b.DataCenter != n.Settings.DataCenter {
		return false
	}
	names := []string{n.Settings.Name}
	for _, p := range n.beater.Live() {
		if p.DataCenter == b.DataCenter && p.Node != b.Node {
			names = append(names, p.Node)
		}
	}
	return ranker.First(fmt.Sprint(b.Node, " ", b.Sequence), names) == n.Settings.Name
}

// receiveGrant adds the retries that another node has given.
func (n *Node) receiveGrant(g beater.Grant) {
	n.budget(g.Service).Receive(g.Retries)
	retriesReceived.Add(g.Retries)
}
