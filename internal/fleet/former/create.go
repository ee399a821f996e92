package former

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// createInterval is the shortest time between two attempts to create assignments,
// and between two attempts to read the assignment of a domain.
const createInterval = 300 * time.Millisecond

// createMissing creates the assignments of new domains in the data centres for which
// this node is responsible. A single node does this for a whole data centre, so that
// the domains there are divided among the models by their shares.
func (c *Controller) createMissing(ctx context.Context, domains []*domain) {
	if era := c.era(); c.createdEra != era {
		c.created, c.createdEra = nil, era
	}
	missing := []*domain{}
	for _, d := range domains {
		if !c.created[objectName(d)] && c.CreatesAssignments(d.dataCenter) {
			missing = append(missing, d)
		}
	}
	if len(missing) == 0 || time.Since(c.createTriedAt) < createInterval || c.isSettling(len(domains)) {
		return
	}
	c.createTriedAt = time.Now()
	if err := c.createAssignments(ctx, domains, missing); err != nil {
		c.Log.Warn("failed to create assignments; retrying", "domains", len(missing), "error", err)
		c.reportStoreFailure(err)
	}
}

// isSettling reports whether the number of listed domains has changed within
// settleTime.
func (c *Controller) isSettling(domains int) bool {
	if domains != c.domainCount {
		c.domainCount, c.domainCountSince = domains, time.Now()
	}
	return time.Since(c.domainCountSince) < settleTime
}

// createAssignments lists the stored assignments and creates those of the missing
// domains that are not among them.
func (c *Controller) createAssignments(ctx context.Context, domains, missing []*domain) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, names, err := c.listAssignments(callCtx)
	if err != nil {
		return err
	}
	byDataCenter, total := map[string]map[string]int{}, map[string]int{}
	c.created = names
	for _, a := range list {
		countDomain(byDataCenter, total, a.DataCenter, a.Model)
	}
	models := planModels(withoutAssignment(domains, c.created), len(domains), byDataCenter, total)
	for _, d := range missing {
		if c.created[objectName(d)] {
			continue
		}
		a := Assignment{Service: d.service.Name, Domain: d.name, DataCenter: d.dataCenter, Model: models[objectName(d)]}
		if c.IsStartup() {
			// No runner belongs to a replica yet.
			a.Era = c.era()
		}
		if err := c.createAssignment(callCtx, d, a); err != nil {
			return err
		}
		c.created[objectName(d)] = true
		c.Log.Info("assignment created", "domain", d.name, "model", a.Model)
	}
	return nil
}

// withoutAssignment returns the domains that have no assignment yet.
func withoutAssignment(domains []*domain, created map[string]bool) []*domain {
	list := []*domain{}
	for _, d := range domains {
		if !created[objectName(d)] {
			list = append(list, d)
		}
	}
	return list
}

// planModels returns the model of each new domain, by object name. Nodes of several
// data centres plan at the same time and cannot see what the others are about to
// create. Each node therefore plans for the new domains of all data centres in the
// same order, so that the results agree and follow the models' shares.
func planModels(missing []*domain, domains int, byDataCenter map[string]map[string]int, total map[string]int) map[string]string {
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
		model := chooseModel(d.service.Engine.Models, domains, byDataCenter[d.dataCenter], total)
		models[objectName(d)] = model
		countDomain(byDataCenter, total, d.dataCenter, model)
	}
	return models
}

// countDomain adds a domain of a model to both counts.
func countDomain(byDataCenter map[string]map[string]int, total map[string]int, dataCenter, model string) {
	if byDataCenter[dataCenter] == nil {
		byDataCenter[dataCenter] = map[string]int{}
	}
	byDataCenter[dataCenter][model]++
	total[model]++
}
