package former

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// createInterval is the least time between two looks for domains without an
// assignment.
const createInterval = 300 * time.Millisecond

// createMissing creates the assignments of new domains, in the data centers in
// which this node does so. That one node does it for a whole data center keeps
// the models' parts of its domains even.
func (c *Controller) createMissing(ctx context.Context, domains []*domain) {
	missing := []*domain{}
	for _, d := range domains {
		if !c.created[objectName(d)] && c.Creates(d.dataCenter) {
			missing = append(missing, d)
		}
	}
	if len(missing) == 0 || time.Since(c.createdAt) < createInterval || c.isSettling(len(domains)) {
		return
	}
	c.createdAt = time.Now()
	if err := c.create(ctx, domains, missing); err != nil {
		c.Log.Warn("cannot create assignments yet", "domains", len(missing), "error", err)
		c.noteStoreFailed(err)
	}
}

// isSettling reports whether the domains have only begun to be listed.
func (c *Controller) isSettling(domains int) bool {
	if domains != c.domainCount {
		c.domainCount, c.domainsAt = domains, time.Now()
	}
	return time.Since(c.domainsAt) < settleTime
}

func (c *Controller) create(ctx context.Context, domains, missing []*domain) error {
	call, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	list, err := c.list(call)
	if err != nil {
		return err
	}
	here, everywhere := map[string]map[string]int{}, map[string]int{}
	c.created = map[string]bool{}
	for name, a := range list {
		c.created[name] = true
		count(here, everywhere, a.DataCenter, a.Model)
	}
	models := planModels(without(domains, c.created), len(domains), here, everywhere)
	for _, d := range missing {
		if c.created[objectName(d)] {
			continue
		}
		a := Assignment{Service: d.service.Name, Domain: d.name, DataCenter: d.dataCenter, Model: models[objectName(d)]}
		if err := c.createOne(call, d, a); err != nil {
			return err
		}
		c.created[objectName(d)] = true
		c.Log.Info("assignment is created", "domain", d.name, "model", a.Model)
	}
	return nil
}

// without returns the domains that have no assignment yet.
func without(domains []*domain, created map[string]bool) []*domain {
	list := []*domain{}
	for _, d := range domains {
		if !created[objectName(d)] {
			list = append(list, d)
		}
	}
	return list
}

// planModels returns the model of each new domain, by the name of its object.
// Nodes of several data centers plan at the same moment. Each plans for the new
// domains of all of them, in the same order, so that together they come to the
// models' shares although none sees what the others are about to create.
func planModels(missing []*domain, domains int, here map[string]map[string]int, everywhere map[string]int) map[string]string {
	rank := map[*domain]int{}
	inOrder := slices.SortedFunc(slices.Values(missing), func(x, y *domain) int {
		return cmp.Or(cmp.Compare(x.dataCenter, y.dataCenter), cmp.Compare(objectName(x), objectName(y)))
	})
	for i, d := range inOrder {
		if i > 0 && inOrder[i-1].dataCenter == d.dataCenter {
			rank[d] = rank[inOrder[i-1]] + 1
		}
	}
	slices.SortStableFunc(inOrder, func(x, y *domain) int { return rank[x] - rank[y] })
	models := map[string]string{}
	for _, d := range inOrder {
		model := chooseModel(d.service.Engine.Models, domains, here[d.dataCenter], everywhere)
		models[objectName(d)] = model
		count(here, everywhere, d.dataCenter, model)
	}
	return models
}

func count(here map[string]map[string]int, everywhere map[string]int, dataCenter, model string) {
	if here[dataCenter] == nil {
		here[dataCenter] = map[string]int{}
	}
	here[dataCenter][model]++
	everywhere[model]++
}
