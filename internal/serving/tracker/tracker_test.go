package tracker

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
)

// viewCase is one entry of testdata/views.json.
type viewCase struct {
	Name  string `json:"name"`
	Plain bool   `json:"plain"`
	// Before is the list of runners that precedes Runners.
	Before  []listedRunner `json:"before"`
	Runners []listedRunner `json:"runners"`
	Targets []string       `json:"targets"`
}

type listedRunner struct {
	ID      string      `json:"id"`
	Epoch   int64       `json:"epoch"`
	Rank    int         `json:"rank"`
	State   MemberState `json:"state"`
	Leaving bool        `json:"leaving"`
	// Apart is set for a runner that belongs to no replica.
	Apart bool `json:"apart"`
}

func services() map[string]*matcher.Service {
	return map[string]*matcher.Service{
		"pool":  {Name: "pool", Engine: &matcher.Engine{Models: []matcher.Model{{Name: "m", Size: 2}}}},
		"plain": {Name: "plain"},
	}
}

func (x *viewCase) runners(listed []listedRunner) []*Runner {
	list := []*Runner{}
	for _, r := range listed {
		out := &Runner{ID: r.ID, Service: "plain", Address: r.ID, State: Ready}
		if !x.Plain {
			out.Service = "pool"
		}
		if !x.Plain && !r.Apart {
			out.Models, out.HasMembership = []string{"m"}, true
			out.Membership = Membership{Replica: "g", Epoch: r.Epoch, Rank: r.Rank, State: r.State}
		}
		if r.Leaving {
			out.State = Draining
		}
		list = append(list, out)
	}
	return list
}

func TestViews(t *testing.T) {
	b, err := os.ReadFile("testdata/views.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []viewCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			tr := &Tracker{}
			tr.SetServices(services())
			tr.Replace(x.runners(x.Before), 0)
			tr.Replace(x.runners(x.Runners), 0)
			service, model := "pool", "m"
			if x.Plain {
				service, model = "plain", ""
			}
			got := []string{}
			for _, target := range tr.View().Targets(service, model) {
				got = append(got, target.ID)
			}
			if !slices.Equal(got, x.Targets) {
				t.Errorf("targets %v, wanted %v", got, x.Targets)
			}
		})
	}
}

// TestRemoval checks that a ready runner that disappears from the list stays a
// target until the grace period ends, that a draining one does not, and that without
// a grace period a removal takes effect at once.
func TestRemoval(t *testing.T) {
	now := time.Now()
	tr := &Tracker{Now: func() time.Time { return now }}
	tr.SetServices(services())
	ready, draining := &Runner{ID: "a", Service: "plain", State: Ready}, &Runner{ID: "b", Service: "plain", State: Draining}
	tr.Replace([]*Runner{ready, draining}, 0)
	tr.Replace(nil, 2*time.Second)
	if n := len(tr.View().Targets("plain", "")); n != 1 {
		t.Fatalf("%d targets within the grace period, wanted 1", n)
	}
	now = now.Add(3 * time.Second)
	tr.Expire()
	if n := len(tr.View().Targets("plain", "")); n != 0 {
		t.Fatalf("%d targets after the grace period, wanted none", n)
	}
	tr.Replace([]*Runner{ready}, 0)
	tr.Update(nil, []string{"a"}, 0)
	if n := len(tr.View().Targets("plain", "")); n != 0 {
		t.Fatalf("%d targets after a removal without a grace period, wanted none", n)
	}
}
