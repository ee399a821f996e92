package observer

import (
	"cmp"
	"slices"
	"time"
)

// tally collects the servers of a group.
type tally struct {
	// members are the indices of its servers among the sights.
	members []int
	// parts are the next smaller groups.
	parts map[Group]bool
	// readAt is when a server last sent bytes.
	readAt time.Time
	// quiet is the number of servers with requests that wait for quietTime.
	quiet int
	// isAskedForSilence is set if servers are probed because all of them are silent.
	isAskedForSilence bool
	// missing and unreached are the numbers of servers that are missing and not reached.
	missing, unreached int
	// closed and lost show whether the group is out of reach for new connections, and at all.
	closed, lost evidence
}

// tallies are those of all groups.
type tallies map[Group]*tally

// anyAsked reports whether servers of a service are probed because a group of it is silent.
func (ts tallies) anyAsked(g Group) bool {
	for x, t := range ts {
		if x.Service == g.Service && t.isAskedForSilence {
			return true
		}
	}
	return false
}

// evidence is what speaks for a group being out of reach, and against it.
type evidence struct {
	// failedSince are the times since which servers fail, and answeredAt those at which the
	// others last answered.
	failedSince, answeredAt []time.Time
	// parts are the parts of the group in which servers fail.
	parts map[Group]bool
	// samples is the number of failing servers that were probed without any request for them.
	samples int
}

func (e *evidence) addFailure(s *sight, part Group) {
	e.failedSince = append(e.failedSince, s.failedSince)
	if e.parts == nil {
		e.parts = map[Group]bool{}
	}
	e.parts[part] = true
	if s.isSample {
		e.samples++
	}
}

// add collects a server that is in a part of the group.
func (t *tally) add(i int, s *sight, part Group) {
	t.members = append(t.members, i)
	t.parts[part] = true
	t.readAt = latest(t.readAt, s.readAt)
	if s.quietFor >= quietTime {
		t.quiet++
	}
	if s.isMissing {
		t.missing++
		t.closed.addFailure(s, part)
	} else {
		t.closed.answeredAt = append(t.closed.answeredAt, s.openedAt)
	}
	if s.isSilent {
		t.lost.addFailure(s, part)
	} else {
		t.lost.answeredAt = append(t.lost.answeredAt, latest(s.openedAt, s.readAt))
	}
}

// judge decides which groups are lost, and which are closed for new connections. o.mu must be
// held.
func (o *Observer) judge(groups tallies) {
	lost, closed := map[Group]time.Time{}, map[Group]time.Time{}
	for g, t := range groups {
		if since, ok := t.verdict(g, &t.lost, o.lost[g]); ok {
			lost[g] = since
		}
		if since, ok := t.verdict(g, &t.closed, o.closed[g]); ok {
			closed[g] = since
		}
	}
	o.lost, o.closed = lost, closed
}

// answeredSince returns the number of servers that have answered since a time.
func (e *evidence) answeredSince(since time.Time) int {
	n := 0
	for _, at := range e.answeredAt {
		if at.After(since) {
			n++
		}
	}
	return n
}

// verdict reports whether a group is out of reach, and since when: whether there is a time
// since which enough servers fail, against those that have answered since then. Failures
// in a single part of a group, or only of servers that requests were sent to, may have their
// cause there. A group that was out of reach before stays so until enough servers have answered.
func (t *tally) verdict(g Group, e *evidence, before time.Time) (since time.Time, isOut bool) {
	if answered := e.answeredSince(before); !before.IsZero() && len(t.members)-answered >= missesPerAnswer*answered {
		return before, true
	}
	if len(t.members) < minMisses {
		return time.Time{}, false
	}
	least, others := minMisses, len(t.members)-len(e.failedSince)+e.samples
	if g.Service == "" {
		least = minMissesOfAll
	}
	if len(e.failedSince) < least || len(e.parts) < min(2, len(t.parts)) || e.samples < min(minSamples, others) {
		return time.Time{}, false
	}
	newestFirst := func(x, y time.Time) int { return y.Compare(x) }
	slices.SortFunc(e.failedSince, newestFirst)
	slices.SortFunc(e.answeredAt, newestFirst)
	answered := 0
	for i, at := range e.failedSince {
		for answered < len(e.answeredAt) && e.answeredAt[answered].After(at) {
			answered++
		}
		if failed := i + 1; failed >= least && failed >= missesPerAnswer*answered {
			since, isOut = at, true
		}
	}
	return since, isOut
}

// choose returns the servers to probe: those whose connections broke or that are silent, samples
// of the groups in which servers fail or are all silent, and lost ones in turn. o.mu must be
// held.
func (o *Observer) choose(sights []sight, groups tallies, v *view, now time.Time) []Target {
	chosen := map[int]bool{}
	for g, t := range groups {
		if g.DataCenter == "" {
			continue
		}
		isQuiet := t.quiet > 0 && now.Sub(t.readAt) >= quietTime
		remaining := quietProbes
		for _, i := range t.members {
			s := &sights[i]
			if remaining > 0 && v.isReached(s) && s.isSuspect(isQuiet, now) {
				chosen[i] = true
				remaining--
				s.path.askProbe(now, forSilence)
			}
		}
		t.isAskedForSilence = isQuiet && remaining < quietProbes
	}
	for g, t := range groups {
		parts := t.isAskedForSilence || g.DataCenter == "" && groups.anyAsked(g)
		if g.Service != "" && (parts || t.missing > 0 && !t.hasAnswers()) {
			t.chooseSamples(sights, v, chosen, now)
		}
	}
	o.chooseLost(sights, v, chosen, now)
	list := []Target{}
	for i := range chosen {
		list = append(list, *sights[i].target)
	}
	return list
}

// isSuspect reports whether a server is to be probed because a connection broke or requests wait
// there in silence, in a group that is quiet or not.
func (s *sight) isSuspect(isQuiet bool, now time.Time) bool {
	if s.isDoubted {
		return now.Sub(s.probedAt) > doubtPause
	}
	isSilent := isQuiet && s.quietFor >= quietTime || s.quietFor >= quietAlone
	return isSilent && now.Sub(s.probedAt) > s.pause
}

// hasAnswers reports whether enough servers have answered on new connections since the last
// server began to fail, to show that the group is in reach.
func (t *tally) hasAnswers() bool {
	newest := slices.MaxFunc(t.closed.failedSince, time.Time.Compare)
	answered := 0
	for _, at := range t.closed.answeredAt {
		if at.After(newest) {
			answered++
		}
	}
	return answered >= min(minSamples, len(t.closed.answeredAt))
}

// chooseSamples adds servers of a group against which nothing speaks.
func (t *tally) chooseSamples(sights []sight, v *view, chosen map[int]bool, now time.Time) {
	remaining := minSamples
	for _, i := range byProbe(t.members, sights) {
		s := &sights[i]
		if remaining > 0 && !s.isMissing && v.isReached(s) && !chosen[i] && now.Sub(s.probedAt) > doubtPause {
			chosen[i] = true
			remaining--
			s.path.askProbe(now, forSample)
		}
	}
}

// chooseLost adds servers that are out of reach, the least recently probed first. When one
// answers, more are probed at once. o.mu must be held.
func (o *Observer) chooseLost(sights []sight, v *view, chosen map[int]bool, now time.Time) {
	lost, hasReturned := []int{}, false
	for i := range sights {
		s := &sights[i]
		switch {
		case !v.isReached(s):
			lost = append(lost, i)
		case !s.missStarted.IsZero() && s.openedAt.After(s.missStarted) && now.Sub(s.openedAt) < returnInterval:
			hasReturned = true
		}
	}
	if !hasReturned && now.Sub(o.returnedAt) < returnInterval {
		return
	}
	o.returnedAt = now
	for _, i := range byProbe(lost, sights)[:min(returnProbes, len(lost))] {
		chosen[i] = true
		sights[i].path.askProbe(now, forReturn)
	}
}

// byProbe returns indices of sights, the least recently probed first.
func byProbe(list []int, sights []sight) []int {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(x, y int) int { return cmp.Compare(sights[x].probedAt.UnixNano(), sights[y].probedAt.UnixNano()) })
	return sorted
}
