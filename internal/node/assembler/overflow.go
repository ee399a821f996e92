package assembler

import (
	"math/rand/v2"
	"time"

	"marjorammoor/internal/state/recorder"
)

// summaryLifetime is how recent a summary must be to send requests by it.
const summaryLifetime = 3 * time.Second

// free returns how many requests each deployment could take in this data centre.
func (n *Node) free() map[string]int {
	free := map[string]int{}
	for name := range n.board.Deployments() {
		if p, ok := n.director.Picker(name); ok && p.Room() > 0 {
			free[name] = p.Room()
		}
	}
	return free
}

// freshSummaries returns the recent summaries of the other data centres.
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

// remote returns a node of another data centre that has room for a deployment,
// drawn with the free room as weight.
func (n *Node) remote(deployment string) (string, bool) {
	total := 0
	chosen := recorder.Summary{}
	for _, s := range n.freshSummaries() {
		room := s.Free[deployment]
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
