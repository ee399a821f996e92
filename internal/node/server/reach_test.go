package server

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"marjorammoor/internal/network/observer"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/peer/deliverer"
)

// reachEvidenceCase is one entry of testdata/reach_evidence.json: the last heartbeat of a node at one that
// does not reach the runners of the service "s" in the data centres "a" and "b".
type reachEvidenceCase struct {
	Name      string   `json:"name"`
	AgeMS     int64    `json:"age_ms"`
	SilentMS  int64    `json:"silent_ms"`
	Heard     bool     `json:"heard"`
	Leaving   bool     `json:"leaving"`
	Answering []string `json:"answering"`
	Unreached []string `json:"unreached"`
	// Want is the evidence, or -1 if the node gets no requests.
	Want deliverer.Evidence `json:"want"`
}

// TestNodeThatHasTriedNothingTakesNoRequests guards against requests that are handed over to nodes
// of which nothing shows that they can serve them.
func TestNodeThatHasTriedNothingTakesNoRequests(t *testing.T) {
	b, err := os.ReadFile("testdata/reach_evidence.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []reachEvidenceCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		now := time.Now()
		p := &beater.Peer{SeenAt: now.Add(-time.Duration(x.SilentMS) * time.Millisecond), Heartbeat: beater.Heartbeat{
			Sequence: uint64(x.AgeMS / beater.DefaultInterval.Milliseconds()), IntervalMS: beater.DefaultInterval.Milliseconds(), Leaving: x.Leaving, Answering: x.Answering,
		}}
		if x.Heard {
			p.Echo = 1
		}
		for _, dataCenter := range x.Unreached {
			p.Unreached = append(p.Unreached, observer.Group{Service: "s", DataCenter: dataCenter})
		}
		got, ok := reachEvidence(p, "s", []string{"a", "b"}, now)
		if !ok {
			got = -1
		}
		if got != x.Want {
			t.Errorf("%s: evidence %d, want %d", x.Name, got, x.Want)
		}
	}
}
