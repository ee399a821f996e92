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

// TestStalePlanner checks that a controller whose assignment has been replaced by
// another node sends no order to runners that do not check fencing: neither while its
// board still holds the old version, nor, after it has received the new one, while
// orders of the old version may still be in transit.
func TestStalePlanner(t *testing.T) {
	platform := &storer.Server{}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	old := store(t, &platform.Store, 0, assignment("old", 1))
	c, orders := newController(server.URL, old)
	c.versionChanges["vake--a"] = versionChange{version: old.Version, at: time.Now().Add(-time.Hour)}
	next := store(t, &platform.Store, old.Version, assignment("new", 2))
	vms := map[string]*planner.VM{"vm": {Name: "vm", Pool: "press", Observed: true, Identity: caller.Identity{BootID: "b", State: caller.StateIdle}}}
	c.reconcile(context.Background(), vms)
	if n := orders.Load(); n != 0 {
		t.Errorf("got %d orders for a replaced assignment, expected none", n)
	}
	c.Board.ApplyObject(next)
	c.reconcile(context.Background(), vms)
	if n := orders.Load(); n != 0 {
		t.Errorf("got %d orders while the assignment was settling, expected none", n)
	}
	c.versionChanges["vake--a"] = versionChange{version: next.Version, at: time.Now().Add(-settleTime)}
	c.reconcile(context.Background(), vms)
	if n := orders.Load(); n != 1 {
		t.Errorf("got %d orders after the assignment had settled, expected 1", n)
	}
}

// TestPausedBetweenCheckAndOrder checks that no order is sent if the process is
// paused between the confirmation and the order for longer than the confirmation is
// valid.
func TestPausedBetweenCheckAndOrder(t *testing.T) {
	platform := &storer.Server{}
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	c, orders := newController(server.URL, store(t, &platform.Store, 0, assignment("old", 1)))
	o := memberOrder{member: parser.MemberRef{VM: "vm", Address: "x"}, pool: "press", Order: caller.Order{Type: caller.OrderLoad}}
	c.sendOrder(context.Background(), o, time.Now().Add(-confirmationLifetime-time.Millisecond))
	if n := orders.Load(); n != 0 {
		t.Error("order was sent with an expired confirmation")
	}
	c.sendOrder(context.Background(), o, time.Now())
	if n := orders.Load(); n != 1 {
		t.Error("order was not sent with a valid confirmation")
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

// newController returns a started controller whose board holds o, and the number of
// orders that it sends.
func newController(url string, o parser.Object) (*Controller, *atomic.Int64) {
	orders := &atomic.Int64{}
	board := &recorder.Board{}
	board.ApplyObject(o)
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
