package beater

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// size is a number of nodes and data centres, from testdata/sizes.json.
type size struct {
	Nodes       int `json:"nodes"`
	DataCenters int `json:"data_centers"`
	// MaxPerSecond is the most heartbeats that a node may send in a second.
	MaxPerSecond float64 `json:"max_per_second"`
}

func (s size) destinations() []destination {
	list := []destination{}
	for i := 1; i < s.Nodes; i++ {
		list = append(list, destination{dataCenter: fmt.Sprint("dc", i%s.DataCenters), turn: uint64(i)})
	}
	return list
}

// lossShare is the share of the datagrams that are lost.
const lossShare = 0.03

// TestSchedule checks for each size that a node sends no more heartbeats than it
// should, that each other node gets one in each interval that the heartbeat states,
// and that it seems live all the time though some heartbeats are lost.
func TestSchedule(t *testing.T) {
	b, err := os.ReadFile("testdata/sizes.json")
	if err != nil {
		t.Fatal(err)
	}
	sizes := []size{}
	if err := json.Unmarshal(b, &sizes); err != nil {
		t.Fatal(err)
	}
	for _, s := range sizes {
		t.Run(fmt.Sprintf("%d nodes in %d", s.Nodes, s.DataCenters), func(t *testing.T) { checkSchedule(t, s) })
	}
}

func checkSchedule(t *testing.T, s size) {
	const ticks = 4000 // ten minutes
	random := rand.New(rand.NewPCG(1, uint64(s.Nodes)))
	destinations := s.destinations()
	plan := newSchedule(destinations, "dc0")
	received := make([]time.Duration, len(destinations))
	sent := 0
	for tick := range ticks {
		now := time.Duration(tick) * DefaultInterval
		for i := range destinations {
			d := &destinations[i]
			interval := plan.interval(d, DefaultInterval)
			if !plan.isDue(d, uint64(tick)) {
				continue
			}
			sent++
			if random.Float64() < lossShare {
				continue
			}
			if silent := now - received[i]; silent >= liveTimeout(interval) {
				t.Fatalf("a node of %s that sends every %v seems dead after %v", d.dataCenter, interval, silent)
			}
			received[i] = now
		}
	}
	for i, at := range received {
		if silent := ticks*DefaultInterval - at; silent >= liveTimeout(plan.interval(&destinations[i], DefaultInterval)) {
			t.Fatalf("node %d got no heartbeat for %v", i, silent)
		}
	}
	perSecond := float64(sent) / (ticks * DefaultInterval).Seconds()
	t.Logf("%.0f heartbeats a second, to other data centres every %v", perSecond, time.Duration(plan.remotePeriod)*DefaultInterval)
	if perSecond > s.MaxPerSecond {
		t.Errorf("%.1f heartbeats a second, want at most %.1f", perSecond, s.MaxPerSecond)
	}
}

// TestIdleHeartbeats checks that heartbeats that hold nothing are sent less often, that
// one with content is sent at the next turn, and that none comes later than the one
// before it has stated.
func TestIdleHeartbeats(t *testing.T) {
	const period = 4
	random := rand.New(rand.NewPCG(1, 2))
	l := idleLog{}
	expected, sent, busy, isEmpty := time.Duration(math.MaxInt64), 0, 0, true
	for sequence := uint64(0); sequence < 4000; sequence += period {
		if random.IntN(10) == 0 {
			isEmpty = !isEmpty
		}
		now := time.Duration(sequence) * DefaultInterval
		interval, isDue := l.next("x", sequence, period, isEmpty, DefaultInterval)
		if !isEmpty {
			busy++
		}
		switch {
		case isDue && now > expected:
			t.Fatalf("heartbeat at %v, want it by %v", now, expected)
		case isDue:
			sent++
			expected = now + interval
		case !isEmpty:
			t.Fatalf("no heartbeat at %v though it has content", now)
		}
	}
	if all := 4000 / period; sent > busy+(all-busy)/2 {
		t.Errorf("%d of %d heartbeats sent, %d of them with content", sent, all, busy)
	}
}

// TestStatedIntervalIsKeptAsNodesAreFound guards against a node that seems dead because it found
// more nodes since its last heartbeat without content.
func TestStatedIntervalIsKeptAsNodesAreFound(t *testing.T) {
	const period = 4
	l := idleLog{}
	interval, _ := l.next("x", period-1, 1, true, DefaultInterval)
	expected := (period-1)*DefaultInterval + interval
	for sequence := uint64(period); ; sequence += period {
		if _, isDue := l.next("x", sequence, period, true, DefaultInterval); !isDue {
			continue
		}
		if at := time.Duration(sequence) * DefaultInterval; at > expected {
			t.Errorf("heartbeat at %v, want it by %v", at, expected)
		}
		return
	}
}
