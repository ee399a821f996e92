package server

import (
	"log/slog"
	"testing"
	"time"

	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// TestRunnerThatLeftDuringAPartialOutageIsNotUsed guards against requests to a runner that
// left while the store refused this node only.
func TestRunnerThatLeftDuringAPartialOutageIsNotUsed(t *testing.T) {
	const outage = 2600 * time.Millisecond
	for name, x := range map[string]struct {
		// peerAges are the ages of another node's copy in its heartbeats.
		peerAges []time.Duration
		isKept   bool
	}{
		"no node reads the store":                  {isKept: true},
		"the other node has not read it either":    {peerAges: []time.Duration{outage}, isKept: true},
		"the other node has read it all the while": {peerAges: []time.Duration{2 * time.Second, time.Second, 100 * time.Millisecond}},
		"the other node has just read it again":    {peerAges: []time.Duration{outage, 100 * time.Millisecond}, isKept: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{
				Settings: &Settings{Name: "n1", DataCenter: "dc"}, Log: slog.New(slog.DiscardHandler),
				Platform: &Platform{
					Store: &follower.Store{}, Eras: &sequencer.Eras{}, RunnerKind: "runners",
					DecodeRunner: func(id string, _ []byte) (*tracker.Runner, error) {
						return &tracker.Runner{ID: id, State: tracker.Ready}, nil
					},
				},
			}
			n.build()
			n.replaceRunners([]follower.Object{{Name: "stays"}, {Name: "leaves"}}, follower.Listing{Outage: 24 * time.Hour})
			n.sights.record(follower.Now() - outage)
			for _, age := range x.peerAges {
				n.receiveHeartbeat(&beater.Heartbeat{Node: "n2", StoreAgeMS: age.Milliseconds()})
			}
			n.replaceRunners([]follower.Object{{Name: "stays"}}, follower.Listing{Outage: outage})
			if _, isKept := n.tracker.View().Runner("leaves"); isKept != x.isKept {
				t.Errorf("runner without an entry is used: %v, want %v", isKept, x.isKept)
			}
		})
	}
}
