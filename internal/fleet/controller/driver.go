package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marjorammoor/internal/fleet/planner"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

// order is one order to one member.
type order struct {
	member parser.MemberRef
	pool   string
	caller.Order
}

// drive sends the orders that make the runners' reports match the assignments.
func (c *Controller) drive(ctx context.Context, vms map[string]*planner.VM) {
	loading := c.countLoading(vms)
	for _, a := range c.Board.Assignments(c.DataCenter) {
		orders := c.ordersFor(a, vms, loading)
		if len(orders) > 0 {
			c.send(ctx, a, orders)
		}
	}
}

func (c *Controller) countLoading(vms map[string]*planner.VM) map[string]int {
	loading := map[string]int{}
	for _, v := range vms {
		if v.Observed && v.Identity.State == caller.StateLoading {
			loading[v.Pool]++
		}
	}
	return loading
}

// ordersFor returns the orders that are due in a domain. Whole replicas load
// one after another, so that some serve early when the weight store is slow.
func (c *Controller) ordersFor(a *recorder.Assignment, vms map[string]*planner.VM, loading map[string]int) []order {
	replicas := slices.Clone(a.Replicas)
	slices.SortFunc(replicas, func(x, y parser.ReplicaRef) int { return int(x.Epoch - y.Epoch) })
	list := []order{}
	for i := range replicas {
		r := &replicas[i]
		for _, m := range r.Members {
			v := vms[m.VM]
			if v == nil || !v.Observed || v.Down || v.Identity.BootID != m.BootID || time.Since(c.orderedAt[m.VM]) < retryOrder {
				continue
			}
			o, due := orderFor(r, m, v.Identity)
			if !due || o.Type == caller.OrderLoad && !c.mayLoad(v, r, loading) {
				continue
			}
			list = append(list, order{member: m, pool: v.Pool, Order: o})
		}
	}
	return list
}

// mayLoad keeps the VMs of a pool that load at once within the pool's limit.
// VMs that hold the weights already are not counted.
func (c *Controller) mayLoad(v *planner.VM, r *parser.ReplicaRef, loading map[string]int) bool {
	if v.Identity.Model == r.Model && v.Identity.ModelVersion == r.ModelVersion && v.Identity.State != caller.StateIdle {
		return true
	}
	p, ok := c.Board.Pool(v.Pool)
	if ok && p.MaxLoads > 0 && loading[v.Pool] >= p.MaxLoads {
		ordersQueued.Inc()
		return false
	}
	loading[v.Pool]++
	return true
}

// orderFor returns the order that a member needs, if any.
func orderFor(r *parser.ReplicaRef, m parser.MemberRef, id caller.Identity) (caller.Order, bool) {
	o := caller.Order{Replica: r.ID, Deployment: r.Deployment, Epoch: r.Epoch, BootID: m.BootID}
	switch r.State {
	case parser.ReplicaAssigned:
		o.Type, o.Model, o.ModelVersion = caller.OrderLoad, r.Model, r.ModelVersion
		for _, x := range r.Members {
			o.Members = append(o.Members, x.Address)
		}
		return o, id.Replica != r.ID || id.Epoch != r.Epoch
	case parser.ReplicaReleasing:
		o.Type = caller.OrderUnload
		return o, id.State != caller.StateIdle || id.Epoch < r.Epoch
	default:
		return o, false
	}
}

// send gives the orders of one domain, all at once.
func (c *Controller) send(ctx context.Context, a *recorder.Assignment, orders []order) {
	confirmedAt, err := c.confirm(ctx, a, orders)
	if err != nil {
		ordersHeld.Add(len(orders))
		return
	}
	var wg sync.WaitGroup
	for _, o := range orders {
		c.orderedAt[o.member.VM] = time.Now()
		wg.Go(func() { c.sendOne(ctx, o, confirmedAt) })
	}
	wg.Wait()
}

// confirm asks the platform whether the assignment is still the current one, if
// a runner is concerned that does not check fencing, and returns when the
// question was asked.
func (c *Controller) confirm(ctx context.Context, a *recorder.Assignment, orders []order) (time.Time, error) {
	if !slices.ContainsFunc(orders, func(o order) bool { return !c.checksFencing(o.pool) }) {
		return time.Now(), nil
	}
	if known := c.versionAt[a.Name]; known.version != a.Version || time.Since(known.at) < settleTime {
		ordersSettling.Add(len(orders))
		return time.Time{}, trace.CompareFailed("assignment %s is settling", a.Name)
	}
	asked := time.Now()
	o, err := c.Platform.Get(ctx, client.ClassAssignment, parser.Key{Kind: parser.KindAssignment, Name: a.Name})
	if err != nil {
		return asked, err
	}
	c.Board.Learn(*o)
	if o.Version != a.Version {
		return asked, trace.CompareFailed("assignment %s is at version %d", a.Name, o.Version)
	}
	return asked, nil
}

func (c *Controller) checksFencing(pool string) bool {
	p, ok := c.Board.Pool(pool)
	return ok && p.ChecksFencing
}

// sendOne gives one order. The age of the confirmation is checked last, right
// before the call, because the process may have been paused since.
func (c *Controller) sendOne(ctx context.Context, o order, confirmedAt time.Time) {
	if !c.checksFencing(o.pool) && time.Since(confirmedAt) > orderValidity {
		ordersHeld.Inc()
		return
	}
	id, err := c.Order(ctx, o.member.Address, o.Order)
	switch {
	case err == nil:
		ordersSent.Inc()
		c.Log.Info("order obeyed", "vm", id.VM, "order", o.Type, "replica", o.Replica, "epoch", o.Epoch)
	case trace.IsCompareFailed(err):
		ordersRefused.Inc()
	default:
		ordersFailed.Inc()
	}
}
