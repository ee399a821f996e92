package breaker

import (
	"slices"
	"time"
)

// crashMergeTime is the time within which reports of a runner's crash, and broken
// requests at a runner, belong to the same crash.
const crashMergeTime = 1500 * time.Millisecond

// crash is the end of a start of a runner under its requests. Nodes see it at different times, and
// a runner may start again under its ID and crash once more.
type crash struct {
	life
	span
	// isWeak is set in the evidence against a key if no request with it was waiting for its
	// answer when the runner ended.
	isWeak bool
}

// span is the time in which something has happened once, from the earliest to the latest possible.
type span struct{ from, until time.Time }

// isSame reports whether two nodes mean the same crash. If either does not know when the runner
// had started, the time of the crash tells.
func (c crash) isSame(other crash) bool {
	switch {
	case c.runner != other.runner:
		return false
	case c.bootTime != 0 && other.bootTime != 0:
		return c.bootTime == other.bootTime
	}
	return c.from.Before(other.until.Add(crashMergeTime)) && other.from.Before(c.until.Add(crashMergeTime))
}

type crashList []crash

func (l crashList) contains(c crash) bool { return slices.ContainsFunc(l, c.isSame) }

// since returns the crashes that are surely not before a time. It reuses l.
func (l crashList) since(t time.Time) crashList {
	return slices.DeleteFunc(l, func(c crash) bool { return c.from.Before(t) })
}

// spread returns the time that surely lies between the first crash and the last one.
func (l crashList) spread() time.Duration {
	last := slices.MaxFunc(l, func(x, y crash) int { return x.from.Compare(y.from) })
	first := slices.MinFunc(l, func(x, y crash) int { return x.until.Compare(y.until) })
	return last.from.Sub(first.until)
}

// strong returns the crashes under requests that were waiting for their answers.
func (l crashList) strong() crashList {
	return slices.DeleteFunc(slices.Clone(l), func(c crash) bool { return c.isWeak })
}

// moments returns the number of times between which a gap surely lies at which runners crashed. When
// many fail together, each has had requests lately that it had not answered, so that weak
// evidence counts once for each time.
func (l crashList) moments(gap time.Duration) int {
	byEnd := slices.SortedFunc(slices.Values(l), func(x, y crash) int { return x.until.Compare(y.until) })
	count := 0
	last := time.Time{}
	for _, c := range byEnd {
		if count == 0 || c.from.Sub(last) >= gap {
			count++
			last = c.until
		}
	}
	return count
}

// runners returns the IDs of the runners that crashed.
func (l crashList) runners() []string {
	list := []string{}
	for _, c := range l {
		list = append(list, c.runner)
	}
	return list
}

// narrow takes over what another span of the same event excludes.
func (s *span) narrow(other span) {
	if from := latest(s.from, other.from); !from.After(s.until) {
		s.from = from
	}
	if other.until.Before(s.until) && !other.until.Before(s.from) {
		s.until = other.until
	}
}
