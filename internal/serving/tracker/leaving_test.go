package tracker

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
)

// leavingCase is one entry of testdata/leaving.json: what is learned of a runner of a plain
// service, in order.
type leavingCase struct {
	Name  string `json:"name"`
	Steps []struct {
		// Entry, List and Restored are the state in a single change, in a list and in the list
		// of a restored store; Boot is the start of the runner there.
		Entry    State `json:"entry"`
		List     State `json:"list"`
		Restored State `json:"restored"`
		Boot     int64 `json:"boot"`
		Removed  bool  `json:"removed"`
		// Leaves is the start of the runner that leaves, by its answer to this node or to
		// another.
		Leaves     int64 `json:"leaves"`
		ToldByPeer bool  `json:"told_by_peer"`
		WaitMS     int64 `json:"wait_ms"`
	} `json:"steps"`
	// Targets is the number of targets in the end, and Reported the number of runners that
	// other nodes are told of, if it is given.
	Targets  int  `json:"targets"`
	Reported *int `json:"reported"`
}

// TestLeaving checks that a runner that has said in an answer that it leaves is not used again
// before it starts anew.
func TestLeaving(t *testing.T) {
	b, err := os.ReadFile("testdata/leaving.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []leavingCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *leavingCase) check(t *testing.T) {
	now := time.Now()
	tr := &Tracker{Now: func() time.Time { return now }}
	tr.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	for _, s := range x.Steps {
		r := &Runner{ID: "r", Service: "s", Slots: 1, BootTime: s.Boot}
		switch {
		case s.Entry != "":
			r.State = s.Entry
			tr.Update([]*Runner{r}, nil, 0)
		case s.List != "":
			r.State = s.List
			tr.Replace([]*Runner{r}, 0)
		case s.Restored != "":
			r.State = s.Restored
			tr.Restore([]*Runner{r}, time.Second)
		case s.Removed:
			tr.Update(nil, []string{"r"}, time.Second)
		case s.Leaves != 0:
			tr.Leave("r", s.Leaves, !s.ToldByPeer)
		}
		now = now.Add(time.Duration(s.WaitMS) * time.Millisecond)
		tr.Expire()
	}
	if n := len(tr.View().Targets("s", "")); n != x.Targets {
		t.Errorf("%d targets, wanted %d", n, x.Targets)
	}
	if n := len(tr.Leaving()); x.Reported != nil && n != *x.Reported {
		t.Errorf("%d runners are reported, wanted %d", n, *x.Reported)
	}
}
