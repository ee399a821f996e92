package former

import (
	"context"
	"time"

	"marjorammoor/internal/serving/matcher"
)

const (
	// unservedTime is how long a model must be without an open replica before its
	// service's domains are checked. Replacing a lost replica takes less time if the
	// weights are staged.
	unservedTime = 3 * time.Second
	// reassignInterval is the shortest time between two checks.
	reassignInterval = 2 * time.Second
)

// reassign assigns the domain to a model that no domain serves. Such a model exists
// if data centres chose their models at the same time, or if a new configuration
// added it. The choice depends only on the stored assignments, so the owners of all
// domains choose the same domain, and only the owner of that domain acts.
func (c *Controller) reassign(ctx context.Context, s *domainState, d *domain) {
	if !c.hasUnservedModel(s, d) || time.Since(s.reassignCheckedAt) < reassignInterval {
		return
	}
	s.reassignCheckedAt = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, _, err := c.listAssignments(callCtx)
	if err != nil {
		c.Log.Warn("failed to list assignments for an unserved model; retrying", "domain", d.name, "error", err)
		c.reportStoreFailure(err)
		return
	}
	list := filterByService(stored, d.service.Name)
	name, model := chooseReassigned(d.service.Engine.Models, list, c.wanted(d))
	if name != d.name || model == s.assignment.Model {
		return
	}
	next := s.assignment
	next.Model = model
	if !c.storeAssignment(ctx, s, d, next) {
		return
	}
	c.Log.Info("domain gets another model", "domain", d.name, "from", s.assignment.Model, "model", model, "domains", len(list))
	s.assignment = next
}

// hasUnservedModel reports whether a wanted model has had no target for longer than
// unservedTime.
func (c *Controller) hasUnservedModel(s *domainState, d *domain) bool {
	wanted := c.wanted(d)
	for _, m := range d.service.Engine.Models {
		if wanted(m) && len(c.View().Targets(d.service.Name, m.Name)) == 0 {
			if s.unservedSince.IsZero() {
				s.unservedSince = time.Now()
			}
			return time.Since(s.unservedSince) > unservedTime
		}
	}
	s.unservedSince = time.Time{}
	return false
}

// wanted returns a function that reports whether a model of the service must be
// served: it has an initial share, or requests for it are queued.
func (c *Controller) wanted(d *domain) func(m matcher.Model) bool {
	return func(m matcher.Model) bool {
		return m.InitialShare > 0 || c.HasWaiting != nil && c.HasWaiting(d.service.Name, m.Name)
	}
}

// filterByService returns the assignments of one service.
func filterByService(stored map[string]Assignment, service string) []Assignment {
	list := []Assignment{}
	for _, a := range stored {
		if a.Service == service {
			list = append(list, a)
		}
	}
	return list
}

// chooseReassigned returns a wanted model that no domain serves, and the domain that
// should change to it. The domain is taken from the model with the most domains,
// which must keep at least one. The domain is empty if no change is needed or
// possible.
func chooseReassigned(models []matcher.Model, list []Assignment, wanted func(m matcher.Model) bool) (domain, model string) {
	domains := map[string]int{}
	for _, a := range list {
		if a.Model == "" {
			// A domain without a model of its own serves all models.
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
	donor := Assignment{}
	for _, a := range list {
		n, most := domains[a.Model], domains[donor.Model]
		if n > 1 && (n > most || n == most && a.Domain < donor.Domain) {
			donor = a
		}
	}
	return donor.Domain, model
}
