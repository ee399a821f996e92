package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"marjorammoor/internal/fleet/planner"
	"marjorammoor/internal/health/prober"
	"marjorammoor/internal/health/verifier"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/timing/repeater"
)

const (
	planInterval = 250 * time.Millisecond
	// warmUp is how long a node observes before it plans.
	warmUp = 3 * time.Second
	// orderValidity is how long a confirmed assignment may be acted on towards
	// runners that do not check fencing.
	orderValidity = time.Second
	// settleTime outlasts every order that an earlier planner could have sent
	// under a confirmation of its own.
	settleTime = orderValidity + caller.DefaultTimeout + 500*time.Millisecond
	// retryOrder is how long an order is given before it is sent again.
	retryOrder = 2 * time.Second
)

var (
	plans          = metrics.NewCounter(`marjorammoor_plans_total`)
	writesDone     = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="stored"}`)
	writesConflict = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="conflict"}`)
	writesUnknown  = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="answer_lost"}`)
	writesFailed   = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="failed"}`)
	ordersSent     = metrics.NewCounter(`marjorammoor_orders_total{outcome="obeyed"}`)
	ordersRefused  = metrics.NewCounter(`marjorammoor_orders_total{outcome="refused"}`)
	ordersFailed   = metrics.NewCounter(`marjorammoor_orders_total{outcome="failed"}`)
	ordersHeld     = metrics.NewCounter(`marjorammoor_orders_held_total{reason="unconfirmed"}`)
	ordersSettling = metrics.NewCounter(`marjorammoor_orders_held_total{reason="settling"}`)
	ordersQueued   = metrics.NewCounter(`marjorammoor_orders_held_total{reason="load_limit"}`)
)

// Controller plans and drives one data centre. Set Board, Platform, Verifier,
// Self and DataCenter before Run.
type Controller struct {
	Board      *recorder.Board
	Platform   *client.Client
	Verifier   *verifier.Verifier
	Self       string
	DataCenter string
	Timing     planner.Timing
	// Order gives an order to a runner; nil means over HTTP.
	Order func(ctx context.Context, address string, o caller.Order) (*caller.Identity, error)
	Log   *slog.Logger

	started   time.Time
	aliveAt   map[string]time.Time
	stateAt   map[string]stateSince
	servingAt map[string]time.Time
	// outdatedAt holds since when replicas are not what is asked for.
	outdatedAt map[string]time.Time
	versionAt  map[string]versionSince
	orderedAt  map[string]time.Time
	told       map[string]planner.Decision
}

type stateSince struct {
	state parser.ReplicaState
	at    time.Time
}

type versionSince struct {
	version int64
	at      time.Time
}

// Run plans and drives until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.start()
	repeater.Every(ctx, planInterval, func() { c.Step(ctx) })
}

func (c *Controller) start() {
	if c.Log == nil {
		c.Log = slog.Default()
	}
	if c.Order == nil {
		c.Order = (&caller.Caller{}).Order
	}
	c.started = time.Now()
	c.aliveAt = map[string]time.Time{}
	c.stateAt = map[string]stateSince{}
	c.servingAt = map[string]time.Time{}
	c.outdatedAt = map[string]time.Time{}
	c.versionAt = map[string]versionSince{}
	c.orderedAt = map[string]time.Time{}
	c.told = map[string]planner.Decision{}
}

// Step observes, and on the planning node plans, writes and drives once.
func (c *Controller) Step(ctx context.Context) {
	in := c.observe()
	if time.Since(c.started) < warmUp || !c.isPlanner() {
		return
	}
	plans.Inc()
	out := planner.Plan(in)
	c.tell(out.Decisions)
	for name, a := range out.Changed {
		if err := c.write(ctx, name, a); err != nil {
			c.Log.Warn("assignment not written", "assignment", name, "error", err)
		}
	}
	c.drive(ctx, in.VMs)
}

// isPlanner reports whether this node plans for its data centre now.
func (c *Controller) isPlanner() bool {
	names := []string{}
	for _, n := range c.Board.LiveNodes(c.DataCenter, prober.DefaultLifetime) {
		names = append(names, n.Name)
	}
	return ranker.Among("plan "+c.DataCenter, c.Self, names, 1)
}

// observe collects a plan's input and remembers since when things are so.
func (c *Controller) observe() planner.Input {
	in := planner.Input{
		DataCenter:  c.DataCenter,
		Assignments: map[string]parser.AssignmentSpec{},
		InStateFor:  map[string]time.Duration{},
		ServingFor:  map[string]time.Duration{},
		OutdatedFor: map[string]time.Duration{},
		VMs:         c.observeVMs(),
		Deployments: c.Board.Deployments(),
		Timing:      c.Timing,
		NewID:       func() string { return uuid.NewString()[:8] },
	}
	now := time.Now()
	for _, a := range c.Board.Assignments(c.DataCenter) {
		in.Assignments[a.Name] = a.AssignmentSpec
		if c.versionAt[a.Name].version != a.Version {
			c.versionAt[a.Name] = versionSince{a.Version, now}
		}
		for _, r := range a.Replicas {
			if c.stateAt[r.ID].state != r.State {
				c.stateAt[r.ID] = stateSince{r.State, now}
			}
			in.InStateFor[r.ID] = now.Sub(c.stateAt[r.ID].at)
			isServing := c.Verifier.Replica(&r).After(now)
			in.ServingFor[r.ID] = heldFor(c.servingAt, r.ID, isServing, now)
			isOutdated := !planner.IsCurrent(&r, in.Deployments[r.Deployment])
			in.OutdatedFor[r.ID] = heldFor(c.outdatedAt, r.ID, isOutdated, now)
		}
	}
	c.forgetOld(in)
	return in
}

// heldFor returns how long something has held for a replica, given when it began
// to hold for each.
func heldFor(since map[string]time.Time, id string, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(since, id)
		return 0
	}
	if _, ok := since[id]; !ok {
		since[id] = now
	}
	return now.Sub(since[id])
}

// forgetOld drops the memory of replicas that no longer exist.
func (c *Controller) forgetOld(in planner.Input) {
	for id := range c.stateAt {
		if _, ok := in.InStateFor[id]; !ok {
			delete(c.stateAt, id)
			delete(c.servingAt, id)
			delete(c.outdatedAt, id)
			delete(c.told, id)
		}
	}
	for vm := range c.aliveAt {
		if in.VMs[vm] == nil {
			delete(c.aliveAt, vm)
			delete(c.orderedAt, vm)
		}
	}
}

func (c *Controller) observeVMs() map[string]*planner.VM {
	vms := map[string]*planner.VM{}
	list, _, _ := c.Board.VMs(client.RoleRunner)
	for _, v := range list {
		vms[v.Name] = &planner.VM{Name: v.Name, Address: v.Address, Domain: v.Domain, Pool: v.Pool, Listed: true}
	}
	for _, a := range c.Board.Assignments(c.DataCenter) {
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				if vms[m.VM] == nil {
					vms[m.VM] = &planner.VM{Name: m.VM, Address: m.Address, Domain: a.Domain}
				}
			}
		}
	}
	now := time.Now()
	for name, v := range vms {
		if s, ok := c.Verifier.Fresh(name); ok {
			v.Observed, v.Down, v.Identity = true, s.Gone, s.Identity
		}
		v.Leaving = c.Board.IsLeaving(name, v.Identity.BootID)
		if _, known := c.aliveAt[name]; !known || v.Observed && !v.Down {
			c.aliveAt[name] = now
		}
		v.SilentFor = now.Sub(c.aliveAt[name])
	}
	return vms
}

// tell logs decisions that differ from the last one about the same replica.
func (c *Controller) tell(decisions []planner.Decision) {
	for _, d := range decisions {
		if c.told[d.Replica] == d {
			continue
		}
		c.told[d.Replica] = d
		metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_fleet_decisions_total{action=%q}`, d.Action)).Inc()
		c.Log.Info("fleet decision", "replica", d.Replica, "deployment", d.Deployment,
			"domain", d.Domain, "action", d.Action, "reason", d.Reason)
	}
}

// write stores an assignment if nobody changed it since it was read.
func (c *Controller) write(ctx context.Context, name string, a parser.AssignmentSpec) error {
	body, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode assignment: %w", err)
	}
	w := client.Write{
		Key:      parser.Key{Kind: parser.KindAssignment, Name: name},
		ChangeID: uuid.NewString(), ChangedBy: "node " + c.Self, Body: body,
	}
	if old, ok := c.Board.Assignment(name); ok {
		w.IfVersion = old.Version
	}
	o, err := c.Platform.Put(ctx, client.ClassAssignment, w)
	switch {
	case err == nil:
		writesDone.Inc()
		c.Board.Learn(*o)
		return nil
	case trace.IsCompareFailed(err):
		writesConflict.Inc()
		return c.readBack(ctx, w.Key)
	case client.IsUnknown(err):
		writesUnknown.Inc()
		return c.readBack(ctx, w.Key)
	default:
		writesFailed.Inc()
		return fmt.Errorf("write assignment: %w", err)
	}
}

// readBack learns what is stored, whoever wrote it.
func (c *Controller) readBack(ctx context.Context, k parser.Key) error {
	o, err := c.Platform.Get(ctx, client.ClassAssignment, k)
	if err != nil {
		return fmt.Errorf("read back: %w", err)
	}
	c.Board.Learn(*o)
	return nil
}
