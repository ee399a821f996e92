package former

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// resendInterval is the shortest time before the same order is sent again. The
// effect of an order must first show in the runner's entry.
const resendInterval = 1200 * time.Millisecond

// send sends all orders concurrently, except those that were sent within
// resendInterval, and applies their results.
func (c *Controller) send(ctx context.Context, s *domainState, d *domain, orders []Order) {
	now := time.Now()
	results, answeredAt := make([]Result, len(orders)), make([]time.Time, len(orders))
	wg := sync.WaitGroup{}
	for i, o := range orders {
		k := orderKey{o.Operation, o.Runner.ID, o.Runner.BootTime, o.Epoch, o.Model}
		if at, ok := s.sentAt[k]; ok && now.Sub(at) < resendInterval {
			results[i] = Accepted
			continue
		}
		s.sentAt[k] = now
		if o.Operation == Join && o.Replica == warmUpGroup(o.Runner.ID) {
			s.warmingSince[o.Runner.ID] = now
		}
		if o.Operation == Stage {
			s.loadStarts = append(s.loadStarts, now)
			c.pendingLoads.Add(1)
			s.pendingLoads[o.Runner.ID] = pendingLoad{model: o.Model, until: now.Add(c.loadTimeout(d, o.Model))}
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			results[i] = c.Send(callCtx, o)
			answeredAt[i] = time.Now()
			metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_orders_total{operation=%q}`, string(o.Operation))).Inc()
			c.Log.Info("order sent", "domain", d.name, "operation", o.Operation, "runner", o.Runner.ID, "replica", o.Replica,
				"epoch", o.Epoch, "fence", o.Fence, "model", o.Model, "result", results[i].String())
		})
	}
	wg.Wait()
	for i, o := range orders {
		c.applyResult(s, o, results[i], answeredAt[i])
	}
}

// loadTimeout returns how long a load may take while other loads are in progress.
func (c *Controller) loadTimeout(d *domain, model string) time.Duration {
	if m, ok := d.service.Model(model); ok {
		return 2*m.LoadTime + formSlack
	}
	return formSlack
}

// applyResult updates the domain's state from the result of an order, which came at a time.
func (c *Controller) applyResult(s *domainState, o Order, result Result, at time.Time) {
	switch {
	case result == Fenced:
		s.hasAssignment = false
	case o.Operation == Stage && result != Accepted && result != Done && result != NoAnswer:
		delete(s.pendingLoads, o.Runner.ID)
		c.pendingLoads.Add(-1)
	case o.Operation != Leave || result != Done && result != Misdirected:
	case s.isHead(o.Runner.ID, o.Replica):
		s.headLeft[o.Replica] = at
	default:
		s.recordLost(o.Replica, at)
	}
}

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"no_answer", "begun", "done", "unfit", "fenced", "elsewhere", "rejected"}[r]
}
