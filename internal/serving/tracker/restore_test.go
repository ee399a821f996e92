package tracker

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"
)

// restoreCase is one entry of testdata/restores.json: what is known of a runner, what the
// store has of it after it was restored, and what is used.
type restoreCase struct {
	Name string `json:"name"`
	// Known is the entry used before, or null if there was none. WasGone is set if the
	// entry was removed after that.
	Known   *restoredEntry `json:"known"`
	WasGone bool           `json:"was_gone"`
	// Listed is the entry in the restored store, or null. Written is what the runner writes
	// after that, or null.
	Listed  *restoredEntry `json:"listed"`
	Written *restoredEntry `json:"written"`
	// AtOnce is used right after the list, and Later after the grace period; null means
	// that the runner is not used.
	AtOnce *restoredEntry `json:"at_once"`
	Later  *restoredEntry `json:"later"`
}

type restoredEntry struct {
	BootTime int64       `json:"boot_time"`
	Orders   int64       `json:"orders"`
	State    State       `json:"state"`
	Member   MemberState `json:"member"`
}

func (e *restoredEntry) runners() []*Runner {
	if e == nil {
		return nil
	}
	return []*Runner{{
		ID: "r", Service: "pool", BootTime: e.BootTime, Orders: e.Orders, State: e.State,
		HasMembership: true, Membership: Membership{Replica: "g", Epoch: 1, State: e.Member},
	}}
}

// TestRestore checks which entry of a runner is used after the store was restored from an
// older copy.
func TestRestore(t *testing.T) {
	b, err := os.ReadFile("testdata/restores.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []restoreCase{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	const grace = 2 * time.Second
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			now := time.Now()
			tr := &Tracker{Now: func() time.Time { return now }}
			tr.SetServices(services())
			tr.Replace(x.Known.runners(), 0)
			if x.WasGone {
				tr.Update(nil, []string{"r"}, 0)
			}
			tr.Restore(x.Listed.runners(), grace)
			checkEntry(t, tr, "at once", x.AtOnce)
			if x.Written != nil {
				tr.Update(x.Written.runners(), nil, grace)
			}
			now = now.Add(grace + goneGrace)
			tr.Expire()
			checkEntry(t, tr, "later", x.Later)
		})
	}
}

func checkEntry(t *testing.T, tr *Tracker, when string, want *restoredEntry) {
	t.Helper()
	got := []restoredEntry{}
	for _, r := range tr.View().ServiceRunners("pool") {
		got = append(got, restoredEntry{BootTime: r.BootTime, Orders: r.Orders, State: r.State, Member: r.Membership.State})
	}
	list := []restoredEntry{}
	if want != nil {
		list = append(list, *want)
	}
	if !slices.Equal(got, list) {
		t.Errorf("%s: %+v is used, want %+v", when, got, list)
	}
}
