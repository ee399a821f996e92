package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// TestOddNodeIsNotFound guards against an entry of a node that costs the others, that names
// no address to send to, or that fills the log.
func TestOddNodeIsNotFound(t *testing.T) {
	b, err := os.ReadFile("testdata/odd_nodes.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Name    string          `json:"name"`
		Spec    json.RawMessage `json:"spec"`
		Problem string          `json:"problem"`
		Found   bool            `json:"found"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	objects := []follower.Object{{Kind: Kind, Problem: errors.New("no name")}}
	want, odd := map[string]string{}, 1
	for i, x := range cases {
		o := follower.Object{Kind: Kind, Name: x.Name, Spec: x.Spec, At: sequencer.Position{Revision: int64(i + 1)}}
		if x.Problem != "" {
			o.Problem = errors.New(x.Problem)
		}
		objects = append(objects, o)
		if x.Found {
			want[x.Name] = "127.0.0.9:7340"
		} else {
			odd++
		}
	}
	found, out := map[string]string{}, &strings.Builder{}
	a := &Announcer{
		Store: &follower.Store{List: func(context.Context, string, bool) ([]follower.Object, sequencer.Position, error) {
			return objects, sequencer.Position{Revision: 99}, nil
		}},
		Found: func(name, address string) { found[name] = address },
		Log:   slog.New(slog.NewTextHandler(out, nil)),
	}
	for range 3 {
		if err := a.list(t.Context(), true); err != nil {
			t.Fatal(err)
		}
	}
	if !maps.Equal(found, want) {
		t.Errorf("found %v, want %v", slices.Sorted(maps.Keys(found)), slices.Sorted(maps.Keys(want)))
	}
	if lines := strings.Count(out.String(), "\n"); lines != odd {
		t.Errorf("%d lines on %d odd entries in three lists", lines, odd)
	}
}

// TestOddNodeDoesNotEndTheProcess guards against an entry whose address is missing and at
// which sending heartbeats panics.
func TestOddNodeDoesNotEndTheProcess(t *testing.T) {
	sent := make(chan struct{}, 10)
	b := &beater.Beater{Self: "self", Fill: func(*beater.Heartbeat, string, bool) {
		select {
		case sent <- struct{}{}:
		default:
		}
	}, Log: slog.New(slog.DiscardHandler)}
	b.AddPeer("odd", "")
	b.AddPeer("port", ":7340")
	b.AddPeer("good", "127.0.0.1:9")
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- b.Run(ctx, "127.0.0.1:0") }()
	<-sent
	stop()
	if err := <-done; err != nil || b.PeerCount() != 1 {
		t.Errorf("%d peers, error %v", b.PeerCount(), err)
	}
}
