package scheduler

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShares queues 200 requests of a noisy team with weight 1 and then 20 requests
// of a quiet team with a random weight, and checks that the noisy team gets no more
// than its share of the slots while both have queues.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		cost := float64(rapid.IntRange(1, 50).Draw(t, "cost"))
		g := &Gate{}
		g.SetLimit(1)
		if err := g.Acquire(context.Background(), Request{Team: "first"}); err != nil {
			t.Fatal(err)
		}
		order := make(chan string, 600)
		var all sync.WaitGroup
		queue := func(team string, w, c float64, n int) {
			for range n {
				before := g.Queued()
				all.Go(func() {
					if g.Acquire(context.Background(), Request{Team: team, Weight: w, Cost: c, MaxQueued: 1000}) == nil {
						order <- team
						g.Release(team)
					}
				})
				for g.Queued() == before {
					time.Sleep(time.Microsecond)
				}
			}
		}
		queue("noisy", 1, cost, 200)
		queue("quiet", weight, cost, 20)
		g.Release("first")
		all.Wait()
		close(order)
		noisyBefore, quiet := 0, 0
		for team := range order {
			if team == "quiet" {
				quiet++
			} else if quiet < 20 {
				noisyBefore++
			}
		}
		// While the quiet team has a queue, the noisy team gets at most its share of
		// the slots, plus one request at each end.
		if most := 20/weight + 2; float64(noisyBefore) > most {
			t.Fatalf("the noisy team got %d slots before the quiet team's 20, wanted at most %v", noisyBefore, most)
		}
	})
}

// TestGivenUp checks that a request whose queue timeout has expired holds no slot,
// and that a slot granted at the moment of the timeout is not lost.
func TestGivenUp(t *testing.T) {
	g := &Gate{}
	g.SetLimit(2)
	var all sync.WaitGroup
	for i := range 2000 {
		all.Go(func() {
			team := string(rune('a' + i%5))
			r := Request{Team: team, MaxQueued: 1000, QueueTimeout: time.Duration(i%7) * 100 * time.Microsecond}
			if r.QueueTimeout == 0 {
				r.QueueTimeout = time.Second
			}
			err := g.Acquire(context.Background(), r)
			switch {
			case err == nil:
				time.Sleep(10 * time.Microsecond)
				g.Release(team)
			case !errors.Is(err, ErrQueueTimeout) && !errors.Is(err, ErrQueueFull):
				t.Error(err)
			}
		})
	}
	all.Wait()
	if g.InUse() != 0 || g.Queued() != 0 {
		t.Errorf("%d slots in use and %d requests queued after all ended, wanted none", g.InUse(), g.Queued())
	}
}

func BenchmarkGate(b *testing.B) {
	g := &Gate{}
	g.SetLimit(1000)
	r := Request{Team: "team", Cost: 100, MaxQueued: 10}
	b.ReportAllocs()
	for b.Loop() {
		if err := g.Acquire(context.Background(), r); err != nil {
			b.Fatal(err)
		}
		g.Release("team")
	}
}
