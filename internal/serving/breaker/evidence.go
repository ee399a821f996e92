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

// seenCrash is the crash of a runner. Nodes see it at slightly different times, and a
// runner may start again under its ID and crash once more.
type seenCrash struct {
	runner string
	at     time.Time
}

func (c seenCrash) isSame(other seenCrash) bool {
	return c.runner == other.runner && c.at.Sub(other.at).Abs() < crashMergeTime
}

type crashList []seenCrash

func (l crashList) contains(c seenCrash) bool { return slices.ContainsFunc(l, c.isSame) }

// without returns the crashes that are not in other. It reuses l.
func (l crashList) without(other crashList) crashList {
	return slices.DeleteFunc(l, other.contains)
}

// since returns the crashes that are not before a time. It reuses l.
func (l crashList) since(t time.Time) crashList {
	return slices.DeleteFunc(l, func(c seenCrash) bool { return c.at.Before(t) })
}

// spread returns the time between the first crash and the last one.
func (l crashList) spread() time.Duration {
	byTime := func(x, y seenCrash) int { return x.at.Compare(y.at) }
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
func (e *evidence) add(part string, depth int, c seenCrash, now time.Time) {
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

// verdict returns the part that explains the crashes best, with the runners that ended
// under it, or "" if no part is to be blocked. Parts that wasSound reports come last; then
// the one with the most crashes is chosen, and of several the deepest, which the fewest
// sound requests have.
func (e *evidence) verdict(now time.Time, wasSound func(part string) bool) (string, []string) {
	best, bestPart, bestWasSound := (*suspect)(nil), "", false
	for p, s := range e.suspects {
		sound := wasSound(p)
		if !s.isProved(now, sound) {
			continue
		}
		if best == nil || compareSuspects(s, best, p, bestPart, sound, bestWasSound) < 0 {
			best, bestPart, bestWasSound = s, p, sound
		}
	}
	if best == nil {
		return "", nil
	}
	return bestPart, best.crashes.runners()
}

// isProved reports whether there is enough evidence against a part.
func (s *suspect) isProved(now time.Time, wasSound bool) bool {
	if len(s.crashes) < crashesToBlock || now.Sub(s.reportedAt) < verdictDelay {
		return false
	}
	if wasSound {
		return s.crashes.spread() >= minSoundSpread
	}
	return s.crashes.spread() >= minSpread
}

// compareSuspects orders two suspects x and y; the stronger one comes first.
func compareSuspects(x, y *suspect, xPart, yPart string, xWasSound, yWasSound bool) int {
	if xWasSound != yWasSound {
		if yWasSound {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(len(y.crashes), len(x.crashes)),
		cmp.Compare(y.depth, x.depth),
		cmp.Compare(xPart, yPart),
	)
}

// names returns the parts of a crash in order.
func names(parts map[string]int) []string { return slices.Sorted(maps.Keys(parts)) }
