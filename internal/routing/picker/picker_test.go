package picker

import (
	"fmt"
	"testing"
	"time"
)

func replicas(n int, healthy bool) []*Replica {
	list := make([]*Replica, n)
	for i := range list {
		list[i] = &Replica{ID: fmt.Sprintf("r%d", i), MaxInFlight: 32}
		if healthy {
			list[i].SetHealthyUntil(time.Now().Add(time.Hour))
		}
	}
	return list
}

// BenchmarkPick measures one choice at the current number of replicas and at the
// numbers expected in two years.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{60, 600, 1900} {
		for _, kind := range []string{"prefix", "plain"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				p := &Picker{}
				p.Replace(replicas(n, true))
				b.ReportAllocs()
				i := uint64(0)
				for b.Loop() {
					i++
					r, err := p.Pick(Request{PrefixHash: i * 0x9e3779b97f4a7c15, HasPrefix: kind == "prefix"})
					if err != nil {
						b.Fatal(err)
					}
					r.Release()
				}
			})
		}
	}
}

// TestPick checks which replicas are never chosen: those with no health proof or an
// expired one, full, already tried, or closed.
func TestPick(t *testing.T) {
	p := &Picker{}
	if _, err := p.Pick(Request{}); err != ErrNoReplica {
		t.Error("empty picker:", err)
	}
	list := replicas(3, false)
	p.Replace(list)
	if _, err := p.Pick(Request{}); err != ErrNoReplica {
		t.Error("no health proof:", err)
	}
	list[1].SetHealthyUntil(time.Now().Add(time.Hour))
	for range list[1].MaxInFlight {
		if r, err := p.Pick(Request{HasPrefix: true, PrefixHash: 5}); err != nil || r != list[1] {
			t.Fatal("one healthy replica:", r, err)
		}
	}
	if _, err := p.Pick(Request{}); err != ErrFull {
		t.Error("full:", err)
	}
	list[2].SetHealthyUntil(time.Now().Add(20 * time.Millisecond))
	time.Sleep(30 * time.Millisecond)
	if _, err := p.Pick(Request{}); err != ErrFull {
		t.Error("expired health proof:", err)
	}
	list[0].SetHealthyUntil(time.Now().Add(time.Hour))
	q := Request{}
	q.MarkTried(list[0])
	if r, err := p.Pick(q); err == nil {
		t.Error("a replica that was already tried was chosen again:", r.ID)
	}
	list[0].Close()
	if _, err := p.Pick(Request{}); err != ErrFull {
		t.Error("closed replica:", err)
	}
}

// TestLoadReport checks that Load includes the requests that this node has started
// or ended since a report, which lags.
func TestLoadReport(t *testing.T) {
	r := replicas(1, true)[0]
	at := time.Now()
	r.inFlight.Store(4)
	r.Report(at, 10, 0)
	if n := r.Load(); n != 10 {
		t.Error("load after the report, wanted 10:", n)
	}
	r.inFlight.Store(9)
	r.Report(at, 10, 0)
	if n := r.Load(); n != 15 {
		t.Error("load after five more requests, wanted 15:", n)
	}
	r.inFlight.Store(0)
	if n := r.Load(); n != 6 {
		t.Error("load after all own requests ended, wanted 6:", n)
	}
}
