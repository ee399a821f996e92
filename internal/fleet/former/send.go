package former

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// resendAfter is how long an order is not sent again, since the runner's entry
// has to show its effect first.
const resendAfter = 1200 * time.Millisecond

// send sends the orders that were not just sent, all at once.
func (c *Controller) send(ctx context.Context, w *worker, d *domain, orders []Order) {
	now := time.Now()
	results := make([]Result, len(orders))
	wg := sync.WaitGroup{}
	for i, o := range orders {
		k := orderKey{o.Operation, o.Runner.ID, o.Epoch, o.Model}
		if at, ok := w.sent[k]; ok && now.Sub(at) < resendAfter {
			results[i] = Begun
			continue
		}
		w.sent[k] = now
		if o.Operation == Join && o.Replica == warmName(o.Runner.ID) {
			w.warming[o.Runner.ID] = now
		}
		if o.Operation == Stage {
			w.loads = append(w.loads, now)
			c.loading.Add(1)
			w.loading[o.Runner.ID] = load{model: o.Model, until: now.Add(c.loadTimeout(d, o.Model))}
		}
		wg.Go(func() {
			call, stop := context.WithTimeout(ctx, orderTimeout)
			defer stop()
			results[i] = c.Send(call, o)
			metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_orders_total{operation=%q}`, string(o.Operation))).Inc()
			c.Log.Info("order sent", "domain", d.name, "operation", o.Operation, "runner", o.Runner.ID, "replica", o.Replica,
				"epoch", o.Epoch, "fence", o.Fence, "model", o.Model, "result", results[i].String())
		})
	}
	wg.Wait()
	for i, o := range orders {
		c.learn(w, o, results[i])
	}
}

// loadTimeout is how long a load may take, with others beside it.
func (c *Controller) loadTimeout(d *domain, model string) time.Duration {
	if m, ok := d.service.Model(model); ok {
		return 2*m.LoadTime + formSlack
	}
	return formSlack
}

func (c *Controller) learn(w *worker, o Order, result Result) {
	switch {
	case result == Fenced:
		w.loaded = false
	case o.Operation == Stage && result != Begun && result != Done && result != NoAnswer:
		delete(w.loading, o.Runner.ID)
		c.loading.Add(-1)
	case o.Operation == Leave && result == Done, o.Operation == Leave && result == Elsewhere:
		w.left[o.Replica] = true
	}
}

// String names the result.
func (r Result) String() string {
	return [...]string{"no_answer", "begun", "done", "unfit", "fenced", "elsewhere", "rejected"}[r]
}
