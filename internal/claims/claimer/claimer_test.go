package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/standin/storer"
)

// attempt is one attempt's view of who holds a key.
type attempt struct {
	key, name, holder string
}

// TestRacingClaimers has several nodes claim the same keys at the same time,
// without knowing of each other, while the platform is slow, refuses, loses
// answers or is out: all that learn a holder of a key learn the same one. The keys
// fill several archives.
func TestRacingClaimers(t *testing.T) {
	platform := &storer.Server{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	const nodes, keys = 4, 4000
	claimers := make([]*Claimer, nodes)
	for i := range claimers {
		claimers[i] = &Claimer{Platform: &client.Client{BaseURL: server.URL, Timeout: time.Second}, Self: fmt.Sprint("node-", i)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go disturb(platform, ended)
	results := make(chan attempt, nodes*keys)
	var all sync.WaitGroup
	for i, c := range claimers {
		for worker := range 50 {
			all.Go(func() {
				for k := worker; k < keys; k += 50 {
					claimOne(ctx, c, fmt.Sprintf("%08x", k*7919), fmt.Sprintf("%d/%d", i, k), results)
				}
			})
		}
	}
	all.Wait()
	close(ended)
	close(results)
	compareHolders(t, results, nodes*keys)
}

// claimOne claims a key, and once more for the same attempt if that failed.
func claimOne(ctx context.Context, c *Claimer, key, name string, results chan<- attempt) {
	for range 2 {
		x := Claim{Key: key, Fingerprint: "f", Node: c.Self, Attempt: name, At: time.Now().Unix()}
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		holder, err := c.Claim(short, x)
		cancel()
		if err == nil {
			results <- attempt{key, name, holder.Attempt}
			return
		}
	}
}

// disturb switches the platform's faults until ended is closed.
func disturb(p *storer.Server, ended <-chan struct{}) {
	faults := []storer.Faults{{}, {LoseWriteAnswers: true}, {SlowMS: 20}, {Outage: true}, {Refuse: true}, {}}
	for {
		select {
		case <-ended:
			return
		case <-time.After(60 * time.Millisecond):
			p.SetFaults(faults[rand.IntN(len(faults))])
		}
	}
}

func compareHolders(t *testing.T, results <-chan attempt, most int) {
	t.Helper()
	holders, learned := map[string]string{}, 0
	for r := range results {
		learned++
		if h, ok := holders[r.key]; ok && h != r.holder {
			t.Errorf("key %s is held by %s and by %s", r.key, h, r.holder)
		}
		holders[r.key] = r.holder
	}
	if learned < most/4 {
		t.Errorf("only %d of %d attempts learned a holder", learned, most)
	}
}

// TestTakeover has a node read a log that others have written, with archives.
func TestTakeover(t *testing.T) {
	platform := &storer.Server{ReadsPerSecond: 1e6, WritesPerSecond: 1e6}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	ctx := context.Background()
	first := &Claimer{Platform: &client.Client{BaseURL: server.URL}, Self: "first"}
	var all sync.WaitGroup
	for k := range 3 * shardCount * headClaims {
		all.Go(func() {
			if _, err := first.Claim(ctx, Claim{Key: fmt.Sprint(k), Attempt: "first", At: time.Now().Unix()}); err != nil {
				t.Error(err)
			}
		})
		if k%500 == 0 {
			all.Wait()
		}
	}
	all.Wait()
	second := &Claimer{Platform: &client.Client{BaseURL: server.URL}, Self: "second"}
	for k := range 3 * shardCount * headClaims {
		holder, err := second.Claim(ctx, Claim{Key: fmt.Sprint(k), Attempt: "second"})
		if err != nil || holder.Attempt != "first" {
			t.Fatalf("key %d is held by %q, %v", k, holder.Attempt, err)
		}
	}
}
