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
	// warmUp is how long a node only observes after its start before it plans.
	warmUp = 3 * time.Second
	// confirmationLifetime is how long after the platform confirmed an assignment
	// its orders may be sent to runners that do not check fencing.
	confirmationLifetime = time.Second
	// settleTime is how long a new version of an assignment must have been known
	// before its orders are sent to runners that do not check fencing. Another node
	// may send orders of the previous version until confirmationLifetime after its
	// own confirmation, and each call may then take caller.DefaultTimeout; the rest
	// is a margin.
	settleTime = confirmationLifetime + caller.DefaultTimeout + 500*time.Millisecond
	// orderRetryInterval is the minimum time between two orders to the same VM.
	orderRetryInterval = 2 * time.Second
)

var (
	plans             = metrics.NewCounter(`marjorammoor_plans_total`)
	writesStored      = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="stored"}`)
	writesConflict    = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="conflict"}`)
	writesUnknown     = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="answer_lost"}`)
	writesFailed      = metrics.NewCounter(`marjorammoor_assignment_writes_total{outcome="failed"}`)
	ordersAccepted    = metrics.NewCounter(`marjorammoor_orders_total{outcome="obeyed"}`)
	ordersRefused     = metrics.NewCounter(`marjorammoor_orders_total{outcome="refused"}`)
	ordersFailed      = metrics.NewCounter(`marjorammoor_orders_total{outcome="failed"}`)
	ordersUnconfirmed = metrics.NewCounter(`marjorammoor_orders_held_total{reason="unconfirmed"}`)
	ordersSettling    = metrics.NewCounter(`marjorammoor_orders_held_total{reason="settling"}`)
	ordersLoadLimited = metrics.NewCounter(`marjorammoor_orders_held_total{reason="load_limit"}`)
)

// Controller manages the replicas of one data centre. Set Board, Platform, Verifier,
// Self and DataCenter before Run.
type Controller struct {
	Board    *recorder.Board
	Platform *client.Client
	Verifier *verifier.Verifier
	// Self is the name of this node.
	Self       string
	DataCenter string
	Timing     planner.Timing
	// Order sends an order to the runner at address (host:port) and returns the
	// runner's new state; nil means caller.Caller.Order, which uses HTTP.
	Order func(ctx context.Context, address string, o caller.Order) (*caller.Identity, error)
	Log   *slog.Logger

	started time.Time
	// lastSeenAt holds, by VM, when the runner was last observed as running. VMs
	// start with the time at which they were first listed or assigned.
	lastSeenAt map[string]time.Time
	// stateChanges holds, by replica ID, the last change of the desired state.
	stateChanges map[string]stateChange
	// servingSince holds, by replica ID, since when the replica has been serving.
	servingSince map[string]time.Time
	// outdatedSince holds, by replica ID, since when the replica has differed from
	// the spec of its deployment.
	outdatedSince map[string]time.Time
	// versionChanges holds, by assignment name, the last change of the version.
	versionChanges map[string]versionChange
	// lastOrderAt holds, by VM, when an order was last sent.
	lastOrderAt map[string]time.Time
	// lastDecisions holds, by replica ID, the decision that was logged last.
	lastDecisions map[string]planner.Decision
}

// stateChange is a desired state of a replica and when this node first saw it.
type stateChange struct {
	state parser.ReplicaState
	at    time.Time
}

// versionChange is a version of an assignment and when this node first saw it.
type versionChange struct {
	version int64
	at      time.Time
}

// Run calls Step every planInterval until ctx ends.
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
	c.lastSeenAt = map[string]time.Time{}
	c.stateChanges = map[string]stateChange{}
	c.servingSince = map[string]time.Time{}
	c.outdatedSince = map[string]time.Time{}
	c.versionChanges = map[string]versionChange{}
	c.lastOrderAt = map[string]time.Time{}
	c.lastDecisions = map[string]planner.Decision{}
}

// Step observes the state of the data centre. On the planning node, it also runs the
// planner, writes the changed assignments and sends the orders that are due.
func (c *Controller) Step(ctx context.Context) {
	in := c.observe()
	if time.Since(c.started) < warmUp || !c.isPlanner() {
		return
	}
	plans.Inc()
	out := planner.Plan(in)
	c.logDecisions(out.Decisions)
	for name, a := range out.Changed {
		if err := c.write(ctx, name, a); err != nil {
			c.Log.Warn("assignment write not confirmed; planning again at the next step", "assignment", name, "error", err)
		}
	}
	c.reconcile(ctx, in.VMs)
}

// isPlanner reports whether this node is currently the planning node of its data
// centre, as chosen among the nodes that are live and not leaving.
func (c *Controller) isPlanner() bool {
	names := []string{}
	for _, n := range c.Board.LiveNodes(c.DataCenter, prober.DefaultLifetime) {
		names = append(names, n.Name)
	}
	return ranker.IsAmongFirst("plan "+c.DataCenter, c.Self, names, 1)
}

// observe collects the planner's input. It also records when states, versions and
// conditions last changed, to derive how long they have lasted.
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
		if c.versionChanges[a.Name].version != a.Version {
			c.versionChanges[a.Name] = versionChange{a.Version, now}
		}
		for _, r := range a.Replicas {
			if c.stateChanges[r.ID].state != r.State {
				c.stateChanges[r.ID] = stateChange{r.State, now}
			}
			in.InStateFor[r.ID] = now.Sub(c.stateChanges[r.ID].at)
			isServing := c.Verifier.HealthyUntil(&r).After(now)
			in.ServingFor[r.ID] = conditionDuration(c.servingSince, r.ID, isServing, now)
			isOutdated := !planner.IsCurrent(&r, in.Deployments[r.Deployment])
			in.OutdatedFor[r.ID] = conditionDuration(c.outdatedSince, r.ID, isOutdated, now)
		}
	}
	c.removeStale(in)
	return in
}

// conditionDuration returns how long a condition has held for a replica, or 0 if it
// does not hold now. since records, by replica ID, when the condition began to hold.
func conditionDuration(since map[string]time.Time, id string, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(since, id)
		return 0
	}
	if _, ok := since[id]; !ok {
		since[id] = now
	}
	return now.Sub(since[id])
}

// removeStale deletes the records of replicas and VMs that no longer exist.
func (c *Controller) removeStale(in planner.Input) {
	for id := range c.stateChanges {
		if _, ok := in.InStateFor[id]; !ok {
			delete(c.stateChanges, id)
			delete(c.servingSince, id)
			delete(c.outdatedSince, id)
			delete(c.lastDecisions, id)
		}
	}
	for vm := range c.lastSeenAt {
		if in.VMs[vm] == nil {
			delete(c.lastSeenAt, vm)
			delete(c.lastOrderAt, vm)
		}
	}
}

// observeVMs returns the runner VMs that the platform lists or that are in an
// assignment, by name.
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
		if s, ok := c.Verifier.LatestSighting(name); ok {
			v.Observed, v.Down, v.Identity = true, s.Down, s.Identity
		}
		v.Leaving = c.Board.IsLeaving(name, v.Identity.BootID)
		if _, known := c.lastSeenAt[name]; !known || v.Observed && !v.Down {
			c.lastSeenAt[name] = now
		}
		v.SilentFor = now.Sub(c.lastSeenAt[name])
	}
	return vms
}

// logDecisions logs and counts the decisions that differ from the last one about the
// same replica.
func (c *Controller) logDecisions(decisions []planner.Decision) {
	for _, d := range decisions {
		if c.lastDecisions[d.Replica] == d {
			continue
		}
		c.lastDecisions[d.Replica] = d
		metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_fleet_decisions_total{action=%q}`, d.Action)).Inc()
		c.Log.Info("fleet decision", "replica", d.Replica, "deployment", d.Deployment,
			"domain", d.Domain, "action", d.Action, "reason", d.Reason)
	}
}

// write writes an assignment if the stored version is still the one on the board, or
// if there is none on either. If the condition fails or the response is lost, write
// reads the assignment back.
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
		writesStored.Inc()
		c.Board.ApplyObject(*o)
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

// readBack puts the stored object on the board, whichever node wrote it.
func (c *Controller) readBack(ctx context.Context, k parser.Key) error {
	o, err := c.Platform.Get(ctx, client.ClassAssignment, k)
	if err != nil {
		return fmt.Errorf("read back: %w", err)
	}
	c.Board.ApplyObject(*o)
	return nil
}
