package balancer

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"marjorammoor/internal/serving/tracker"
)

// TestRates checks the cases of testdata/rates.json: which teams are bursting after
// one minute at one rate and three seconds at another.
func TestRates(t *testing.T) {
	b, err := os.ReadFile("testdata/rates.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []struct {
		Name string `json:"name"`
		// Before and After map teams to requests per second.
		Before map[string]int `json:"before"`
		After  map[string]int `json:"after"`
		Over   []string       `json:"over"`
	}{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			r := &teamRates{}
			now := time.Now()
			send := func(perSecond map[string]int, d time.Duration) {
				const step = 10 * time.Millisecond
				for i := range int(d / step) {
					now = now.Add(step)
					for team, n := range perSecond {
						if i*n/100 != (i+1)*n/100 {
							r.record(team, now)
						}
						for range n/100 - 1 {
							r.record(team, now)
						}
					}
					r.isBursting("", now)
				}
			}
			send(x.Before, time.Minute)
			send(x.After, 3*time.Second)
			got := []string{}
			for team := range x.Before {
				if r.isBursting(team, now) {
					got = append(got, team)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, x.Over) {
				t.Errorf("bursting teams %q, wanted %q", got, x.Over)
			}
		})
	}
}

// TestSlots checks that a bursting team still gets at least one slot where a target
// has few.
func TestSlots(t *testing.T) {
	for all, want := range map[int]int{1: 1, 2: 1, 10: 7, 17: 11} {
		if got := slotLimit(&tracker.Target{Slots: all}, true); got != want {
			t.Errorf("limit %d of %d slots for a bursting team, wanted %d", got, all, want)
		}
		if got := slotLimit(&tracker.Target{Slots: all}, false); got != all {
			t.Errorf("limit %d of %d slots for a team that sends at its usual rate", got, all)
		}
	}
}
