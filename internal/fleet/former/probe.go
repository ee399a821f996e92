package former

import (
	"context"
	"sync"
	"time"
)

const (
	probeTimeout  = 350 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	// missesUntilDead is how many probes in a row a runner must miss.
	missesUntilDead = 2
)

// probe asks the members of suspected replicas whether they are there.
func (c *Controller) probe(ctx context.Context, w *worker) {
	if time.Since(w.probed) < probeInterval {
		return
	}
	suspects := c.Suspects()
	members := []Member{}
	for _, r := range w.current.Replicas {
		if r.State == Open && suspects[r.Members[0].ID] {
			members = append(members, r.Members...)
		}
	}
	for id := range w.dead {
		if m, ok := w.member(id); ok {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return
	}
	w.probed = time.Now()
	alive := make([]bool, len(members))
	wg := sync.WaitGroup{}
	for i, m := range members {
		wg.Go(func() {
			call, stop := context.WithTimeout(ctx, probeTimeout)
			defer stop()
			alive[i] = c.Probe(call, m)
		})
	}
	wg.Wait()
	for i, m := range members {
		w.count(c, m, alive[i])
	}
}

func (w *worker) member(id string) (Member, bool) {
	for _, r := range w.current.Replicas {
		for _, m := range r.Members {
			if m.ID == id {
				return m, true
			}
		}
	}
	return Member{}, false
}

func (w *worker) count(c *Controller, m Member, isAlive bool) {
	if isAlive {
		w.misses[m.ID] = 0
		delete(w.dead, m.ID)
		return
	}
	w.misses[m.ID]++
	if w.misses[m.ID] >= missesUntilDead && !w.dead[m.ID] {
		w.dead[m.ID] = true
		c.Log.Warn("runner does not answer", "runner", m.ID, "address", m.Address, "probes", w.misses[m.ID])
	}
}
