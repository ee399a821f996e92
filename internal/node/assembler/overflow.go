package assembler

import (
	"math/rand/v2"
	"time"

	"marjorammoor/internal/state/recorder"
)

// summaryLifetime is the age up to which a summary of another data centre is used.
const summaryLifetime = 3 * time.Second

// freeCapacity returns how many more requests this data centre can take, by
// deployment.
func (n *Node) freeCapacity() map[string]int {
	free := map[string]int{}
	for name := range n.board.Deployments() {
		if p, ok := n.director.Picker(name); ok && p.FreeSlots() > 0 {
			free[name] = p.FreeSlots()
		}
	}
	return free
}

// freshSummaries returns the summaries of other data centres that are not older than
// summaryLifetime.
func (n *Node) freshSummaries() []recorder.Summary {
	list := []recorder.Summary{}
	n.board.Summaries.Each(func(_ string, s recorder.Summary) bool {
		if time.Since(s.At) <= summaryLifetime {
			list = append(list, s)
		}
		return true
	})
	return list
}

// pickRemoteNode returns the caller address of a node in another data centre that
// has free capacity for a deployment. The data centre is drawn at random, weighted
// by its free capacity.
func (n *Node) pickRemoteNode(deployment string) (string, bool) {
	total := 0
	chosen := recorder.Summary{}
	for _, s := range n.freshSummaries() {
		room := s.FreeRequests[deployment]
		if room <= 0 || len(s.Nodes) == 0 {
			continue
		}
		total += room
		if rand.IntN(total) < room {
			chosen = s
		}
	}
	if len(chosen.Nodes) == 0 {
		return "", false
	}
	return chosen.Nodes[rand.IntN(len(chosen.Nodes))].CallerAddress, true
}
