package former

import (
	"slices"

	"marjorammoor/internal/serving/matcher"
)

const (
	// spareShare is the share of a domain's runners that is kept as spares if the
	// domain serves several models.
	spareShare = 0.2
)

// goal returns how many replicas of each model a domain should have, given the
// number of its available runners. A domain of one model keeps no spare beyond the
// runners that are too few for another replica: a replica that serves is worth more than
// spares for one that may lose a member.
func (a *Assignment) goal(models []matcher.Model, runners int) map[string]int {
	i := slices.IndexFunc(models, func(m matcher.Model) bool { return m.Name == a.Model })
	if i < 0 {
		return mixedGoal(models, runners)
	}
	return map[string]int{models[i].Name: runners / models[i].Size}
}

// mixedGoal keeps some spares and divides the other runners among the models in
// proportion to their shares.
func mixedGoal(models []matcher.Model, runners int) map[string]int {
	goal := map[string]int{}
	remaining := runners - int(float64(runners)*spareShare)
	for {
		best, bestUse := -1, 0.0
		for i, m := range models {
			if m.Size > remaining || m.InitialShare <= 0 {
				continue
			}
			use := float64(goal[m.Name]*m.Size) / m.InitialShare
			if best < 0 || use < bestUse {
				best, bestUse = i, use
			}
		}
		if best < 0 {
			return goal
		}
		goal[models[best].Name]++
		remaining -= models[best].Size
	}
}

// chooseModel returns the model that a new domain serves. inDataCenter and total
// count the domains of each model in the domain's data centre and in all of them.
// Among the models that are not above their share of all domains, it chooses the one
// with the fewest domains in the data centre relative to its share, then the one
// with the fewest in all. One model per domain lets spares and the remaining members
// of broken replicas fit every replica of the domain. With fewer domains than models
// it returns "": the domain then serves all models.
func chooseModel(models []matcher.Model, domains int, inDataCenter, total map[string]int) string {
	if domains < len(models) {
		return ""
	}
	best := -1
	for i, m := range models {
		if m.InitialShare <= 0 || isAboveShare(m, models, total) {
			continue
		}
		if best < 0 || isFurtherBelowShare(m, models[best], inDataCenter, total) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return models[best].Name
}

// isAboveShare reports whether a model already has more than its share of the
// domains, where the new domain is included in their number.
func isAboveShare(m matcher.Model, models []matcher.Model, total map[string]int) bool {
	all, shares := 1, 0.0
	for _, x := range models {
		all += total[x.Name]
		shares += x.InitialShare
	}
	return float64(total[m.Name]) > float64(all)*m.InitialShare/shares
}

// isFurtherBelowShare reports whether x has fewer domains than y relative to its
// share, first in the data centre and then in all. Ties go to the larger replica
// size, then to the first name.
func isFurtherBelowShare(x, y matcher.Model, inDataCenter, total map[string]int) bool {
	for _, counts := range []map[string]int{inDataCenter, total} {
		xRatio, yRatio := float64(counts[x.Name])/x.InitialShare, float64(counts[y.Name])/y.InitialShare
		if xRatio != yRatio {
			return xRatio < yRatio
		}
	}
	if x.Size != y.Size {
		return x.Size > y.Size
	}
	return x.Name < y.Name
}
