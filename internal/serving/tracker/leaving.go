package tracker

import (
	"maps"
	"time"
)

const (
	// leavingLifetime is how long it is remembered that a runner leaves.
	leavingLifetime = 5 * time.Minute
	// leavingReportTime is how long other nodes are told of it.
	leavingReportTime = 10 * time.Second
)

// leavingRunner is a runner that has said in a response that it leaves.
type leavingRunner struct {
	bootTime int64
	at       time.Time
	// isOwn is set if it has said so to this node.
	isOwn bool
}

// Leave records that the start of a runner at a time, in Unix milliseconds, leaves, and reports
// whether that is new. It says so earlier than its entry may; older entries change nothing, a
// new start does. isOwn is set if the runner itself has said so to this node.
func (t *Tracker) Leave(id string, bootTime int64, isOwn bool) (isNew bool) {
	t.mu.Lock()
	known, ok := t.leaving[id]
	if ok && known.bootTime >= bootTime && (known.isOwn || !isOwn) {
		t.mu.Unlock()
		return false
	}
	if t.leaving == nil {
		t.leaving = map[string]leavingRunner{}
	}
	isNew = !ok || known.bootTime != bootTime
	t.leaving[id] = leavingRunner{bootTime: bootTime, at: t.now(), isOwn: isOwn}
	t.publish()
	t.mu.Unlock()
	t.notify()
	return isNew
}

// Leaving returns the runners that have lately told this node that they leave, with the times
// of their starts.
func (t *Tracker) Leaving() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string]int64{}
	for id, l := range t.leaving {
		if l.isOwn && t.now().Sub(l.at) < leavingReportTime {
			list[id] = l.bootTime
		}
	}
	return list
}

// withLeaving returns a runner as its entry says, but draining if it has said in a response that
// it leaves. t.mu must be held.
func (t *Tracker) withLeaving(r *Runner) *Runner {
	if l, ok := t.leaving[r.ID]; !ok || l.bootTime != r.BootTime || r.State == Draining {
		return r
	}
	leaving := *r
	leaving.State = Draining
	return &leaving
}

// expireLeaving forgets the runners that have left for long. t.mu must be held.
func (t *Tracker) expireLeaving(now time.Time) {
	maps.DeleteFunc(t.leaving, func(id string, l leavingRunner) bool {
		r, ok := t.runners[id]
		return now.Sub(l.at) > leavingLifetime && (!ok || r.BootTime != l.bootTime)
	})
}
