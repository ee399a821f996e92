package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWholeLimit checks that nodes with the same demand figures together admit no
// more than the team's limit plus the bursts, and at least 80 % of the limit or of
// the offered requests, whichever is less, at any distribution of the demand.
func TestWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		limit := float64(rapid.IntRange(50, 500).Draw(t, "limit"))
		demand, total := make([]float64, nodes), 0.0
		for i := range demand {
			demand[i] = float64(rapid.IntRange(0, 1000).Draw(t, "demand"))
			total += demand[i]
		}
		const seconds, steps = 10, 100
		now := time.Now()
		admitted, offered, burst := 0.0, 0.0, 0.0
		for i := range nodes {
			clock := now
			l := &Limiter{Now: func() time.Time { return clock }}
			share := Share(demand[i], total, nodes)
			l.SetLimits("team", Limits{Requests: limit})
			l.SetShare("team", share)
			burst += burstOf(limit * share)
			due := 0.0
			for range seconds * steps {
				clock = clock.Add(time.Second / steps)
				for due += demand[i] / steps; due >= 1; due-- {
					offered++
					if verdict, _ := l.Admit("team", 1); verdict == Admitted {
						admitted++
					}
				}
			}
		}
		if admitted > limit*seconds+burst+1 {
			t.Fatalf("%v requests were admitted, limit %v", admitted, limit*seconds)
		}
		if wanted := min(offered, limit*seconds) * 0.8; admitted < wanted {
			t.Fatalf("only %v of %v offered requests were admitted, limit %v", admitted, offered, limit*seconds)
		}
	})
}

// TestSettle checks that tokens used beyond the expected ones are charged to the
// team.
func TestSettle(t *testing.T) {
	now := time.Now()
	l := &Limiter{Now: func() time.Time { return now }}
	l.SetLimits("team", Limits{Tokens: 100})
	if v, _ := l.Admit("team", 50); v != Admitted {
		t.Fatal("the first request was refused")
	}
	l.Settle("team", 50, 250)
	now = now.Add(time.Second)
	v, wait := l.Admit("team", 50)
	if v != OverTokens || wait != time.Second {
		t.Errorf("verdict %v, wait %v, wanted OverTokens and 1s", v, wait)
	}
}
