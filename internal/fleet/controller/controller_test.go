package controller

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"marjorammoor/internal/fleet/planner"
	"marjorammoor/internal/health/verifier"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/standin/storer"
	"marjorammoor/internal/state/recorder"
)

// TestStalePlanner gives a controller an assignment that another node has
// replaced meanwhile. Towards runners that do not check fencing it must send no
// order, neither before it learns of that nor while orders of the old assignment
// may still be on their way.
func TestStalePlanner(t *testing.T) {
	platform := &storer.Server{}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	old := store(t, &platform.Store, 0, assignment("old", 1))
	c, orders := newController(server.URL, old)
	c.versionAt["vake--a"] = versionSince{version: old.Version, at: time.Now().Add(-time.Hour)}
	next := store(t, &platform.Store, old.Version, assignment("new", 2))
	vms := map[string]*planner.VM{"vm": {Name: "vm", Pool: "press", Observed: true, Identity: caller.Identity{BootID: "b", State: caller.StateIdle}}}
	c.drive(context.Background(), vms)
	if n := orders.Load(); n != 0 {
		t.Errorf("%d orders of a replaced assignment were sent", n)
	}
	c.Board.Learn(next)
	c.drive(context.Background(), vms)
	if n := orders.Load(); n != 0 {
		t.Errorf("%d orders were sent while the assignment was settling", n)
	}
	c.versionAt["vake--a"] = versionSince{version: next.Version, at: time.Now().Add(-settleTime)}
	c.drive(context.Background(), vms)
	if n := orders.Load(); n != 1 {
		t.Errorf("%d orders were sent after the assignment had settled, not 1", n)
	}
}

// TestPausedBetweenCheckAndOrder pauses a controller for longer than a
// confirmation is valid, between the confirmation and the order.
func TestPausedBetweenCheckAndOrder(t *testing.T) {
	platform := &storer.Server{}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	c, orders := newController(server.URL, store(t, &platform.Store, 0, assignment("old", 1)))
	o := order{member: parser.MemberRef{VM: "vm", Address: "x"}, pool: "press", Order: caller.Order{Type: caller.OrderLoad}}
	c.sendOne(context.Background(), o, time.Now().Add(-orderValidity-time.Millisecond))
	if n := orders.Load(); n != 0 {
		t.Error("an order was sent on an old confirmation")
	}
	c.sendOne(context.Background(), o, time.Now())
	if n := orders.Load(); n != 1 {
		t.Error("an order was not sent on a fresh confirmation")
	}
}

func assignment(replica string, epoch int64) parser.AssignmentSpec {
	return parser.AssignmentSpec{DataCenter: "vake", Domain: "a", LastEpoch: epoch, Replicas: []parser.ReplicaRef{{
		ID: replica, Deployment: "mat", State: parser.ReplicaAssigned, Epoch: epoch,
		Members: []parser.MemberRef{{VM: "vm", Address: "127.0.0.1:1", BootID: "b"}},
	}}}
}

func store(t *testing.T, s *storer.Store, ifVersion int64, a parser.AssignmentSpec) parser.Object {
	t.Helper()
	b, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	o, err := s.Put(parser.Object{Kind: parser.KindAssignment, Name: "vake--a", Body: b}, ifVersion)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func newController(url string, o parser.Object) (*Controller, *atomic.Int64) {
	orders := &atomic.Int64{}
	board := &recorder.Board{}
	board.Learn(o)
	c := &Controller{
		Board: board, Platform: &client.Client{BaseURL: url}, Verifier: &verifier.Verifier{Board: board}, Self: "n", DataCenter: "vake",
		Order: func(context.Context, string, caller.Order) (*caller.Identity, error) {
			orders.Add(1)
			return &caller.Identity{}, nil
		},
	}
	c.start()
	return c, orders
}
