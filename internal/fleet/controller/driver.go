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

// memberOrder is an order to one member of a replica.
type memberOrder struct {
	member parser.MemberRef
	// pool is the pool of the member's VM.
	pool string
	caller.Order
}

// reconcile sends the orders that are needed to bring the runners into the states
// that the assignments demand.
func (c *Controller) reconcile(ctx context.Context, vms map[string]*planner.VM) {
	loading := c.countLoading(vms)
	for _, a := range c.Board.Assignments(c.DataCenter) {
		orders := c.ordersFor(a, vms, loading)
		if len(orders) > 0 {
			c.sendOrders(ctx, a, orders)
		}
	}
}

// countLoading returns the number of VMs that are loading a model, by pool.
func (c *Controller) countLoading(vms map[string]*planner.VM) map[string]int {
	loading := map[string]int{}
	for _, v := range vms {
		if v.Observed && v.Identity.State == caller.StateLoading {
			loading[v.Pool]++
		}
	}
	return loading
}

// ordersFor returns the orders that are due in a domain, replica by replica in the
// order of their epochs. If the pool limits the number of loads, whole replicas thus
// load one after another, and the first ones serve early even if the weight store is
// slow.
func (c *Controller) ordersFor(a *recorder.Assignment, vms map[string]*planner.VM, loading map[string]int) []memberOrder {
	replicas := slices.Clone(a.Replicas)
	slices.SortFunc(replicas, func(x, y parser.ReplicaRef) int { return int(x.Epoch - y.Epoch) })
	list := []memberOrder{}
	for i := range replicas {
		r := &replicas[i]
		for _, m := range r.Members {
			v := vms[m.VM]
			if v == nil || !v.Observed || v.Down || v.Identity.BootID != m.BootID || time.Since(c.lastOrderAt[m.VM]) < orderRetryInterval {
				continue
			}
			o, due := orderFor(r, m, v.Identity)
			if !due || o.Type == caller.OrderLoad && !c.reserveLoad(v, r, loading) {
				continue
			}
			list = append(list, memberOrder{member: m, pool: v.Pool, Order: o})
		}
	}
	return list
}

// reserveLoad reports whether a VM may load now, and if so counts it in loading. It
// keeps the number of VMs of a pool that load at the same time within the pool's
// limit. VMs that already hold the weights always may, and are not counted.
func (c *Controller) reserveLoad(v *planner.VM, r *parser.ReplicaRef, loading map[string]int) bool {
	if v.Identity.Model == r.Model && v.Identity.ModelVersion == r.ModelVersion && v.Identity.State != caller.StateIdle {
		return true
	}
	p, ok := c.Board.Pool(v.Pool)
	if ok && p.MaxLoads > 0 && loading[v.Pool] >= p.MaxLoads {
		ordersLoadLimited.Inc()
		return false
	}
	loading[v.Pool]++
	return true
}

// orderFor returns the order that brings a member into the state that its replica
// demands, and false if the member needs no order.
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

// sendOrders sends the orders of one domain in parallel and waits for the responses.
// It sends none if the assignment cannot be confirmed.
func (c *Controller) sendOrders(ctx context.Context, a *recorder.Assignment, orders []memberOrder) {
	confirmedAt, err := c.confirmCurrent(ctx, a, orders)
	if err != nil {
		ordersUnconfirmed.Add(len(orders))
		return
	}
	var wg sync.WaitGroup
	for _, o := range orders {
		c.lastOrderAt[o.member.VM] = time.Now()
		wg.Go(func() { c.sendOrder(ctx, o, confirmedAt) })
	}
	wg.Wait()
}

// confirmCurrent checks with the platform that an assignment is still the current
// version, and returns when the request was sent. The check is skipped if all
// orders go to runners that check fencing. Errors: trace.CompareFailed if there is
// a newer version or if this version has been known for less than settleTime.
func (c *Controller) confirmCurrent(ctx context.Context, a *recorder.Assignment, orders []memberOrder) (time.Time, error) {
	if !slices.ContainsFunc(orders, func(o memberOrder) bool { return !c.checksFencing(o.pool) }) {
		return time.Now(), nil
	}
	if change := c.versionChanges[a.Name]; change.version != a.Version || time.Since(change.at) < settleTime {
		ordersSettling.Add(len(orders))
		return time.Time{}, trace.CompareFailed("assignment %s is settling", a.Name)
	}
	requestedAt := time.Now()
	o, err := c.Platform.Get(ctx, client.ClassAssignment, parser.Key{Kind: parser.KindAssignment, Name: a.Name})
	if err != nil {
		return requestedAt, err
	}
	c.Board.ApplyObject(*o)
	if o.Version != a.Version {
		return requestedAt, trace.CompareFailed("assignment %s is at version %d", a.Name, o.Version)
	}
	return requestedAt, nil
}

func (c *Controller) checksFencing(pool string) bool {
	p, ok := c.Board.Pool(pool)
	return ok && p.ChecksFencing
}

// sendOrder sends one order. It checks the age of the confirmation right before the
// call, because the process may have been paused since the confirmation.
func (c *Controller) sendOrder(ctx context.Context, o memberOrder, confirmedAt time.Time) {
	if !c.checksFencing(o.pool) && time.Since(confirmedAt) > confirmationLifetime {
		ordersUnconfirmed.Inc()
		return
	}
	id, err := c.Order(ctx, o.member.Address, o.Order)
	switch {
	case err == nil:
		ordersAccepted.Inc()
		c.Log.Info("runner accepted order", "vm", id.VM, "order", o.Type, "replica", o.Replica, "epoch", o.Epoch)
	case trace.IsCompareFailed(err):
		ordersRefused.Inc()
	default:
		ordersFailed.Inc()
	}
}
