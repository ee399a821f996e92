package balancer

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"marjorammoor/internal/serving/tracker"
)

// TestRates reads testdata/rates.json: which teams count as sending far more than
// usual, after a minute at one rate and three seconds at another.
func TestRates(t *testing.T) {
	b, err := os.ReadFile("testdata/rates.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []struct {
		Name string `json:"name"`
		// Before and After are requests a second.
		Before map[string]int `json:"before"`
		After  map[string]int `json:"after"`
		Over   []string       `json:"over"`
	}{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			r := &rates{}
			now := time.Now()
			send := func(perSecond map[string]int, d time.Duration) {
				const step = 10 * time.Millisecond
				for i := range int(d / step) {
					now = now.Add(step)
					for team, n := range perSecond {
						if i*n/100 != (i+1)*n/100 {
							r.note(team, now)
						}
						for range n/100 - 1 {
							r.note(team, now)
						}
					}
					r.isOver("", now)
				}
			}
			send(x.Before, time.Minute)
			send(x.After, 3*time.Second)
			got := []string{}
			for team := range x.Before {
				if r.isOver(team, now) {
					got = append(got, team)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, x.Over) {
				t.Errorf("%q send far more than usual, wanted %q", got, x.Over)
			}
		})
	}
}

// TestSlots checks that a team that sends far more than usual is still served
// where a target has few places.
func TestSlots(t *testing.T) {
	for all, want := range map[int]int{1: 1, 2: 1, 10: 7, 17: 11} {
		if got := slots(&tracker.Target{Slots: all}, true); got != want {
			t.Errorf("%d of %d places, wanted %d", got, all, want)
		}
		if got := slots(&tracker.Target{Slots: all}, false); got != all {
			t.Errorf("%d of %d places for a team that sends as usual", got, all)
		}
	}
}
