package server

import (
	"errors"
	"log/slog"
	"strings"
	"testing"

	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// decodeAddress decodes an entry that holds nothing but the address of a runner.
func decodeAddress(id string, spec []byte) (*tracker.Runner, error) {
	if len(spec) == 0 {
		return nil, errors.New("no address")
	}
	return &tracker.Runner{ID: id, Address: string(spec)}, nil
}

// TestOddEntryHidesItsRunnerOnly guards against an entry that cannot be used and that keeps
// an earlier one in use, costs another runner, or fills the log.
func TestOddEntryHidesItsRunnerOnly(t *testing.T) {
	out := &strings.Builder{}
	n := &Node{
		Settings: &Settings{Name: "n1", DataCenter: "dc"}, Log: slog.New(slog.NewTextHandler(out, nil)),
		Platform: &Platform{Store: &follower.Store{}, Eras: &sequencer.Eras{}, CatalogKind: "config", CatalogName: "main", RunnerKind: "runners", DecodeRunner: decodeAddress},
	}
	n.build()
	entry := func(name, address string, revision int64) follower.Object {
		return follower.Object{Kind: "runners", Name: name, At: sequencer.Position{Revision: revision}, Spec: []byte(address)}
	}
	odd := func(name string, revision int64) follower.Object {
		return follower.Object{Kind: "runners", Name: name, At: sequencer.Position{Revision: revision}, Problem: errors.New("nested too deeply")}
	}
	check := func(step string, want ...string) {
		t.Helper()
		runners := n.tracker.View().Runners
		for _, name := range want {
			if runners[name] == nil {
				t.Errorf("%s: %s is gone", step, name)
			}
		}
		if len(runners) != len(want) {
			t.Errorf("%s: %d runners, want %v", step, len(runners), want)
		}
	}
	n.replaceRunners([]follower.Object{entry("a", "1", 1), entry("b", "2", 2), odd("c", 3)}, follower.Listing{})
	check("list", "a", "b")
	n.updateRunners([]follower.Object{odd("a", 4), entry("d", "4", 5)})
	check("update", "b", "d")
	for range 5 {
		n.replaceRunners([]follower.Object{odd("a", 4), entry("b", "2", 2), odd("c", 3), entry("d", "4", 5)}, follower.Listing{})
	}
	check("lists", "b", "d")
	if lines := strings.Count(out.String(), "cannot be used"); lines != 2 {
		t.Errorf("%d lines on two odd entries", lines)
	}
	n.updateRunners([]follower.Object{entry("a", "1", 6), entry("b", "", 7)})
	check("second update", "a", "d")
	if !strings.Contains(out.String(), "can be used again") {
		t.Error("the end of an odd entry is not logged")
	}
}
