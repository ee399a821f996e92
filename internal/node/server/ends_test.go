package server

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/fleet/former"
	"marjorammoor/internal/network/observer"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// endCase is one entry of testdata/ends.json: a runner has broken off a request of the first
// node and refuses its connections.
type endCase struct {
	Name    string `json:"name"`
	Nodes   int    `json:"nodes"`
	Runners int    `json:"runners"`
	// Ended are the runners that have ended, and Cut the nodes that have lost their links to
	// all runners.
	Ended []int `json:"ended"`
	Cut   []int `json:"cut"`
	// Crashed is the runner that broke off the request, and Want whether it has ended.
	Crashed int  `json:"crashed"`
	Want    bool `json:"want"`
}

// TestEndOfRunnerIsSeenWhileOthersAreMissing guards against crashes that do not count because
// the other runners have crashed too.
func TestEndOfRunnerIsSeenWhileOthersAreMissing(t *testing.T) {
	b, err := os.ReadFile("testdata/ends.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []*endCase{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { x.run(t) })
		})
	}
}

func (x *endCase) run(t *testing.T) {
	nodes := []*Node{}
	for i := range x.Nodes {
		nodes = append(nodes, x.newNode(i))
	}
	connect(nodes)
	for range 10 {
		x.observe(nodes)
		time.Sleep(doubtDelay)
	}
	done := make(chan bool, 1)
	go func() {
		done <- nodes[0].hasEnded(breaker.Runner{ID: runnerName(x.Crashed), Address: runnerName(x.Crashed)})
	}()
	for {
		exchangeHeartbeats(nodes)
		time.Sleep(beater.DefaultInterval)
		select {
		case got := <-done:
			if got != x.Want {
				t.Errorf("the runner has ended: %v, want %v", got, x.Want)
			}
			return
		default:
		}
	}
}

func runnerName(i int) string { return fmt.Sprint("r", i) }

// newNode returns a node that reaches the runners that live unless it is cut.
func (x *endCase) newNode(i int) *Node {
	n := &Node{
		Settings: &Settings{Name: fmt.Sprint("n", i), DataCenter: "dc"}, Log: slog.New(slog.DiscardHandler),
		Platform: &Platform{Store: &follower.Store{}, Eras: &sequencer.Eras{}, RunnerKind: "runners"},
	}
	n.Platform.Probe = func(_ context.Context, m former.Member) former.ProbeResult {
		if x.reaches(i, m.ID) {
			return former.Reachable
		}
		return former.Refused
	}
	n.build()
	return n
}

func (x *endCase) reaches(node int, runner string) bool {
	return !slices.Contains(x.Cut, node) && !slices.ContainsFunc(x.Ended, func(i int) bool { return runnerName(i) == runner })
}

// observe has each node's observer see which runners it reaches, as its connections show it.
func (x *endCase) observe(nodes []*Node) {
	targets := []observer.Target{}
	for i := range x.Runners {
		targets = append(targets, observer.Target{ID: runnerName(i), Address: runnerName(i), Service: "desk", DataCenter: fmt.Sprint("dc", i%3)})
	}
	for i, n := range nodes {
		for _, t := range append(n.observer.Step(targets), targets[x.Crashed]) {
			n.observer.RecordProbe(t.Address, time.Now(), x.reaches(i, t.ID))
		}
	}
}

// connect has the nodes know each other.
func connect(nodes []*Node) {
	for _, n := range nodes {
		for i, p := range nodes {
			n.beater.AddPeer(p.Settings.Name, fmt.Sprintf("127.0.0.1:%d", 7000+i))
		}
	}
}

// exchangeHeartbeats delivers a heartbeat of each node to all others.
func exchangeHeartbeats(nodes []*Node) {
	for _, n := range nodes {
		b := &beater.Heartbeat{Node: n.Settings.Name, DataCenter: n.Settings.DataCenter}
		n.fillHeartbeat(b, n.Settings.DataCenter, false)
		for _, p := range nodes {
			if p != n {
				p.receiveHeartbeat(b)
			}
		}
	}
}

// TestNodeWithoutEntriesTakesOverRequests guards against a node that ends because a node that stops
// leaves it requests before it has the entries of any runner.
func TestNodeWithoutEntriesTakesOverRequests(t *testing.T) {
	x := &endCase{Runners: 1}
	n := x.newNode(0)
	n.breaker.MayTry = nil
	n.receiveHeartbeat(&beater.Heartbeat{Node: "n2", DataCenter: "dc", Breaker: breaker.Report{
		Unanswered: []breaker.ReportedUnanswered{{Runner: "r", Address: "127.0.0.1:1", BootTime: 7, Keys: make([]byte, 12)}},
	}})
	n.breaker.Judge()
	if len(n.breaker.ReportUnanswered()) != 1 {
		t.Error("the request is not kept")
	}
}

// TestStoppingNodeLeavesUnansweredRequests guards against requests that end runners unseen because
// the node that had sent them has stopped.
func TestStoppingNodeLeavesUnansweredRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, other := (&endCase{Runners: 1}).newNode(0), (&endCase{Runners: 1}).newNode(1)
		other.breaker.MayTry = nil
		call, err := n.breaker.Admit(breaker.Request{Fingerprint: func() string { return "ab" }}, func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		if err := call.Start(breaker.Runner{ID: "r0", Address: "r0", BootTime: 7}); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		n.leaveUnanswered(started.Add(time.Minute))
		if waited := time.Since(started); waited > 0 {
			t.Errorf("waited %v for nothing", waited)
		}
		call.Done()
		n.stopTimes.Store(newStopTimes(started, time.Minute))
		n.leaveUnanswered(started.Add(time.Minute))
		if waited := time.Since(started); waited < 2*beater.DefaultInterval {
			t.Errorf("ended after %v, before heartbeats were sent", waited)
		}
		b := &beater.Heartbeat{Node: "n0", DataCenter: "dc"}
		n.fillHeartbeat(b, "dc", false)
		other.receiveHeartbeat(b)
		if len(other.breaker.ReportUnanswered()) != 1 {
			t.Error("the other node has not got the request")
		}
	})
}
