package verifier

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

// sighting is one node's observation of a VM in a scenario.
type sighting struct {
	VM      string       `json:"vm"`
	Watcher string       `json:"watcher"`
	AgoMS   int          `json:"ago_ms"`
	Gone    bool         `json:"gone"`
	BootID  string       `json:"boot_id"`
	Replica string       `json:"replica"`
	Epoch   int64        `json:"epoch"`
	State   caller.State `json:"state"`
}

// scenario is one entry of testdata/proofs.json: the sightings of a replica's
// members, and how long the replica is known to be healthy. The assignment has
// replica "r" at epoch 5 with the members "a" and "b", both with boot identity "1".
type scenario struct {
	Name      string     `json:"name"`
	Sightings []sighting `json:"sightings"`
	// RemainingMS is the expected time until the proof expires; 0 means no proof.
	RemainingMS int64 `json:"left_ms"`
}

func TestReplica(t *testing.T) {
	b, err := os.ReadFile("testdata/proofs.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []scenario{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, s := range list {
		t.Run(s.Name, s.check)
	}
}

func (s scenario) check(t *testing.T) {
	now := time.Now()
	board := &recorder.Board{}
	for _, x := range s.Sightings {
		at := now.Add(-time.Duration(x.AgoMS) * time.Millisecond)
		board.SetSighting(x.VM, recorder.Sighting{Watcher: x.Watcher, ConfirmedAt: at, Down: x.Gone, Identity: caller.Identity{
			VM: x.VM, BootID: x.BootID, Replica: x.Replica, Epoch: x.Epoch, State: x.State,
		}})
		if x.Watcher != "self" {
			board.Watchers.Set(x.Watcher, at)
		}
	}
	v := &Verifier{Board: board, Self: "self", Lifetime: time.Second, Now: func() time.Time { return now }}
	until := v.HealthyUntil(&parser.ReplicaRef{ID: "r", Epoch: 5, Members: []parser.MemberRef{{VM: "a", BootID: "1"}, {VM: "b", BootID: "1"}}})
	remaining := int64(0)
	if !until.IsZero() {
		remaining = until.Sub(now).Milliseconds()
	}
	if remaining != s.RemainingMS {
		t.Errorf("the replica is known to be healthy for %d ms, wanted %d", remaining, s.RemainingMS)
	}
}
