package breaker

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of runners that must have ended under a part.
	crashesToBlock = 3
	// minSpread is the least time between the first and the last of these ends. Runners
	// that fail together, with a rack or a data centre, do not show what their requests
	// have in common.
	minSpread = 250 * time.Millisecond
	// minSoundSpread replaces minSpread for parts that have lately proved sound: those
	// that are used often do so again within this time if they are harmless.
	minSoundSpread = time.Second
	// verdictDelay is the time in which the other nodes report that a part has proved
	// sound, after the first evidence against it.
	verdictDelay = 400 * time.Millisecond
	// evidenceLifetime is how long evidence counts if the part does not prove sound.
	evidenceLifetime = 10 * time.Minute
	// crashMergeTime is the time within which reports of a runner's crash, and broken
	// requests at a runner, belong to the same crash.
	crashMergeTime = 1500 * time.Millisecond
	// maxSuspects bounds the parts with evidence.
	maxSuspects = 512
)

// evidence holds the crashes of runners under parts of prompts. The zero value is empty.
type evidence struct {
	suspects map[string]*suspect
	// explained are the crashes that a blocked part explains.
	explained crashList
}

// suspect is a part under which runners have crashed since it last proved sound.
type suspect struct {
	// reportedAt is when the first evidence became known here.
	reportedAt time.Time
	// depth is the greatest position of the part in a prompt; the first one is 0.
	depth   int
	crashes crashList
}

// crash is the end of a runner under its requests. Nodes see it at slightly different times, and a
// runner may start again under its ID and crash once more.
type crash struct {
	runner string
	at     time.Time
}

func (c crash) isSame(other crash) bool {
	return c.runner == other.runner && c.at.Sub(other.at).Abs() < crashMergeTime
}

type crashList []crash

func (l crashList) contains(c crash) bool { return slices.ContainsFunc(l, c.isSame) }

// without returns the crashes that are not in other. It reuses l.
func (l crashList) without(other crashList) crashList {
	return slices.DeleteFunc(l, other.contains)
}

// since returns the crashes that are not before a time. It reuses l.
func (l crashList) since(t time.Time) crashList {
	return slices.DeleteFunc(l, func(c crash) bool { return c.at.Before(t) })
}

// spread returns the time between the first crash and the last one.
func (l crashList) spread() time.Duration {
	byTime := func(x, y crash) int { return x.at.Compare(y.at) }
	return slices.MaxFunc(l, byTime).at.Sub(slices.MinFunc(l, byTime).at)
}

// runners returns the IDs of the runners that crashed.
func (l crashList) runners() []string {
	list := []string{}
	for _, c := range l {
		list = append(list, c.runner)
	}
	return list
}

// add records that a runner crashed under a request with a part.
func (e *evidence) add(part string, depth int, c crash, now time.Time) {
	s := e.suspects[part]
	if s == nil {
		if len(e.suspects) >= maxSuspects {
			return
		}
		s = &suspect{reportedAt: now}
		if e.suspects == nil {
			e.suspects = map[string]*suspect{}
		}
		e.suspects[part] = s
	}
	s.depth = max(s.depth, depth)
	if !s.crashes.contains(c) {
		s.crashes = append(s.crashes, c)
	}
}

// clear drops the evidence against a part from before a time, and reports whether there
// was any.
func (e *evidence) clear(part string, before time.Time) bool {
	s := e.suspects[part]
	if s == nil {
		return false
	}
	count := len(s.crashes)
	s.crashes = s.crashes.since(before)
	hadEvidence := len(s.crashes) < count
	if len(s.crashes) == 0 {
		delete(e.suspects, part)
	}
	return hadEvidence
}

// explain drops crashes that a blocked part explains from the evidence against all parts.
func (e *evidence) explain(crashes crashList) {
	crashes = slices.Clone(crashes)
	e.explained = append(e.explained, crashes...)
	for p, s := range e.suspects {
		s.crashes = s.crashes.without(crashes)
		if len(s.crashes) == 0 {
			delete(e.suspects, p)
		}
	}
}

func (e *evidence) expire(now time.Time) {
	oldest := now.Add(-evidenceLifetime)
	for p := range e.suspects {
		e.clear(p, oldest)
	}
	e.explained = e.explained.since(oldest)
}

// candidate is a part that may be blocked.
type candidate struct {
	*suspect
	part string
	// wasSound is set if the part has lately proved sound.
	wasSound bool
}

// verdict returns the part that explains the crashes best, with the runners that crashed
// under it, or "" if no part is to be blocked.
func (e *evidence) verdict(now time.Time, wasSound func(part string) bool) (string, []string) {
	candidates := []candidate{}
	for p, s := range e.suspects {
		c := candidate{suspect: s, part: p, wasSound: wasSound(p)}
		if c.isProved(now) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return "", nil
	}
	best := slices.MinFunc(candidates, compareCandidates)
	return best.part, best.crashes.runners()
}

// isProved reports whether there is enough evidence against a part.
func (c *candidate) isProved(now time.Time) bool {
	if len(c.crashes) < crashesToBlock || now.Sub(c.reportedAt) < verdictDelay {
		return false
	}
	if c.wasSound {
		return c.crashes.spread() >= minSoundSpread
	}
	return c.crashes.spread() >= minSpread
}

// compareCandidates orders candidates: those that have not lately proved sound come first, then
// those with the most crashes, then the deepest, which the fewest sound requests have.
func compareCandidates(x, y candidate) int {
	switch {
	case !x.wasSound && y.wasSound:
		return -1
	case x.wasSound && !y.wasSound:
		return 1
	}
	return cmp.Or(
		cmp.Compare(len(y.crashes), len(x.crashes)),
		cmp.Compare(y.depth, x.depth),
		cmp.Compare(x.part, y.part),
	)
}

// names returns the parts of a crash in order.
func names(parts map[string]int) []string { return slices.Sorted(maps.Keys(parts)) }
