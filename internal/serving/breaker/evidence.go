package breaker

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of runners that must have ended under a key.
	crashesToBlock = 3
	// minSpread is the least time between the first and the last of these ends. Runners
	// that fail together, with a rack or a data centre, do not show what their requests
	// have in common.
	minSpread = 250 * time.Millisecond
	// minRequestSpread replaces minSpread for whole requests: each is at few runners, unlike
	// a part, and rarely at several that fail together.
	minRequestSpread = 50 * time.Millisecond
	// minSoundSpread replaces minSpread for keys that have lately proved sound: those
	// that are used often do so again within this time if they are harmless.
	minSoundSpread = time.Second
	// verdictDelay is the time in which the other nodes report that a key has proved
	// sound, after the first evidence against it.
	verdictDelay = 400 * time.Millisecond
	// evidenceLifetime is how long evidence counts if the key does not prove sound.
	evidenceLifetime = 10 * time.Minute
	// crashMergeTime is the time within which reports of a runner's crash, and broken
	// requests at a runner, belong to the same crash.
	crashMergeTime = 1500 * time.Millisecond
	// maxSuspects bounds the keys with evidence.
	maxSuspects = 512
)

// evidence holds the crashes of runners under keys of requests. The zero value is empty.
type evidence struct {
	suspects map[string]*suspect
	// explained are the crashes that a blocked key explains.
	explained crashList
}

// suspect is a key under which runners have crashed since it last proved sound.
type suspect struct {
	// reportedAt is when the first evidence became known here.
	reportedAt time.Time
	// depth is the greatest position of the key among those of a request; the first one is 0.
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

// add records that a runner crashed under a request with a key.
func (e *evidence) add(key string, depth int, c crash, now time.Time) {
	s := e.suspects[key]
	if s == nil {
		if len(e.suspects) >= maxSuspects {
			e.dropOldest()
		}
		s = &suspect{reportedAt: now}
		if e.suspects == nil {
			e.suspects = map[string]*suspect{}
		}
		e.suspects[key] = s
	}
	s.depth = max(s.depth, depth)
	if !s.crashes.contains(c) {
		s.crashes = append(s.crashes, c)
	}
}

// dropOldest makes room for another suspect. It drops the one that has become known first
// of those under which the fewest runners have crashed: mostly a request that is not sent
// again.
func (e *evidence) dropOldest() {
	oldest := ""
	for k, s := range e.suspects {
		o := e.suspects[oldest]
		if o == nil || len(s.crashes) < len(o.crashes) || len(s.crashes) == len(o.crashes) && s.reportedAt.Before(o.reportedAt) {
			oldest = k
		}
	}
	delete(e.suspects, oldest)
}

// clear drops the evidence against a key from before a time, and reports whether there
// was any.
func (e *evidence) clear(key string, before time.Time) bool {
	s := e.suspects[key]
	if s == nil {
		return false
	}
	count := len(s.crashes)
	s.crashes = s.crashes.since(before)
	hadEvidence := len(s.crashes) < count
	if len(s.crashes) == 0 {
		delete(e.suspects, key)
	}
	return hadEvidence
}

// explain drops crashes that a blocked key explains from the evidence against all keys.
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

// candidate is a key that may be blocked.
type candidate struct {
	*suspect
	key string
	// wasSound is set if the key has lately proved sound.
	wasSound bool
}

// verdict returns the key that explains the crashes best, with the runners that crashed
// under it, or "" if no key is to be blocked.
func (e *evidence) verdict(now time.Time, wasSound func(key string) bool) (string, []string) {
	candidates := []candidate{}
	for p, s := range e.suspects {
		c := candidate{suspect: s, key: p, wasSound: wasSound(p)}
		if c.isProved(now) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return "", nil
	}
	best := slices.MinFunc(candidates, compareCandidates)
	return best.key, best.crashes.runners()
}

// isProved reports whether there is enough evidence against a key.
func (c *candidate) isProved(now time.Time) bool {
	if len(c.crashes) < crashesToBlock || now.Sub(c.reportedAt) < verdictDelay {
		return false
	}
	return c.crashes.spread() >= c.leastSpread()
}

// leastSpread returns the least time between the first and the last end under the key.
func (c *candidate) leastSpread() time.Duration {
	switch {
	case c.wasSound:
		return minSoundSpread
	case isRequest(c.key):
		return minRequestSpread
	}
	return minSpread
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
		cmp.Compare(x.key, y.key),
	)
}

// names returns the keys of a crash in order.
func names(keys map[string]int) []string { return slices.Sorted(maps.Keys(keys)) }
