package former

import (
	"context"
	"time"

	"marjorammoor/internal/serving/matcher"
)

const (
	// lackTime is for how long no replica has to serve a model before its domains
	// are looked at. Replacing a lost replica takes less if weights are staged.
	lackTime = 3 * time.Second
	// reassignInterval is the least time between two looks.
	reassignInterval = 2 * time.Second
)

// reassign gives the domain to a model that no domain serves. That happens when
// data centers choose at the same moment, and when a configuration adds a model.
// Which domain goes over depends only on what is stored, so all owners come to the
// same one, and only its own acts.
func (c *Controller) reassign(ctx context.Context, w *worker, d *domain) {
	if !c.isLacking(w, d) || time.Since(w.lookedAt) < reassignInterval {
		return
	}
	w.lookedAt = time.Now()
	call, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	stored, err := c.list(call)
	if err != nil {
		c.Log.Warn("cannot look at the domains of a model that lacks replicas", "domain", d.name, "error", err)
		c.noteStoreFailed(err)
		return
	}
	list := ofService(stored, d.service.Name)
	name, model := chooseReassigned(d.service.Engine.Models, list, c.wanted(d))
	if name != d.name || model == w.current.Model {
		return
	}
	next := w.current
	next.Model = model
	if !c.store(ctx, w, d, next) {
		return
	}
	c.Log.Info("domain gets another model", "domain", d.name, "from", w.current.Model, "model", model, "domains", len(list))
	w.current = next
}

// isLacking reports whether a model that is wanted has had no target for a while.
func (c *Controller) isLacking(w *worker, d *domain) bool {
	wanted := c.wanted(d)
	for _, m := range d.service.Engine.Models {
		if wanted(m) && len(c.View().Targets(d.service.Name, m.Name)) == 0 {
			if w.lackingAt.IsZero() {
				w.lackingAt = time.Now()
			}
			return time.Since(w.lackingAt) > lackTime
		}
	}
	w.lackingAt = time.Time{}
	return false
}

// wanted returns which models of a service have to be served: those with a share
// from the start, and those for which requests wait.
func (c *Controller) wanted(d *domain) func(m matcher.Model) bool {
	return func(m matcher.Model) bool {
		return m.InitialShare > 0 || c.Waits != nil && c.Waits(d.service.Name, m.Name)
	}
}

func ofService(stored map[string]Assignment, service string) []Assignment {
	list := []Assignment{}
	for _, a := range stored {
		if a.Service == service {
			list = append(list, a)
		}
	}
	return list
}

// chooseReassigned returns the domain that should go to a wanted model that none
// serves, and that model. The domain is one of the model that has most, and keeps
// at least one. Without such a model or domain the names are empty.
func chooseReassigned(models []matcher.Model, list []Assignment, wanted func(m matcher.Model) bool) (domain, model string) {
	domains := map[string]int{}
	for _, a := range list {
		if a.Model == "" {
			// This domain serves all models.
			return "", ""
		}
		domains[a.Model]++
	}
	for _, m := range models {
		if wanted(m) && domains[m.Name] == 0 {
			model = m.Name
			break
		}
	}
	if model == "" {
		return "", ""
	}
	from := Assignment{}
	for _, a := range list {
		n, most := domains[a.Model], domains[from.Model]
		if n > 1 && (n > most || n == most && a.Domain < from.Domain) {
			from = a
		}
	}
	return from.Domain, model
}
