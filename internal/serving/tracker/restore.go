package tracker

import (
	"maps"
	"time"
)

const (
	// goneLifetime is how long it is remembered that a runner's entry was removed. No store
	// is restored from a copy that is older.
	goneLifetime = 5 * time.Minute
	// goneGrace is how long a restored entry of a runner that was gone is not used. By then
	// the platform has removed it again, unless the runner lives.
	goneGrace = 6 * time.Second
)

// keptEntry is an entry of a restored store that is not used yet, since another one is
// known or the runner was gone.
type keptEntry struct {
	// listed is the store's entry, or nil if it is of an earlier start of the runner.
	listed *Runner
	// until is when the store's entry is used, if the runner has not written by then.
	until time.Time
}

// goneRunner is a runner whose entry was removed.
type goneRunner struct {
	bootTime int64
	at       time.Time
}

// Restore sets all runners from the list of a store that was restored from an older copy,
// and returns how many entries it does not use. The runners whose last entry was lost
// write it again within the grace period. Until then the known entry is used if the listed one may be older,
// and runners that are not listed stay. Runners that were known to leave or to be gone are
// not used again.
func (t *Tracker) Restore(runners []*Runner, grace time.Duration) (unused int) {
	t.mu.Lock()
	until := t.now().Add(grace)
	t.kept = map[string]keptEntry{}
	list := make([]*Runner, 0, len(runners))
	for _, r := range runners {
		known, ok := t.runners[r.ID]
		switch {
		case !ok && t.gone[r.ID].bootTime == r.BootTime && r.BootTime != 0:
			unused++
			t.kept[r.ID] = keptEntry{listed: r, until: t.now().Add(goneGrace)}
		case !ok || !r.mayPrecede(known):
			list = append(list, r)
		default:
			unused++
			list = append(list, known)
			t.kept[r.ID] = keptEntry{listed: r.following(known), until: until}
		}
	}
	t.replace(list, grace)
	t.publish()
	t.mu.Unlock()
	t.notify()
	return unused
}

// mayPrecede reports whether a runner may have written an entry before the known one.
// Entries of the same start and the same number of orders that differ may be in either
// order.
func (r *Runner) mayPrecede(known *Runner) bool {
	switch {
	case r.BootTime != known.BootTime:
		return r.BootTime < known.BootTime
	case r.Orders != known.Orders:
		return r.Orders < known.Orders
	}
	return r.State != known.State || r.Membership != known.Membership
}

// following returns the entry that is used if the runner does not write again: the listed
// one, in which a runner that was known to leave still leaves, or nil if it is of an
// earlier start.
func (r *Runner) following(known *Runner) *Runner {
	if r.BootTime != known.BootTime {
		return nil
	}
	if known.State != Draining || r.State == Draining {
		return r
	}
	leaving := *r
	leaving.State = Draining
	return &leaving
}

// expireKept uses the store's entries of the runners that have not written again in time,
// and reports whether there were any. t.mu must be held.
func (t *Tracker) expireKept(now time.Time) (hasExpired bool) {
	for id, k := range t.kept {
		if !now.After(k.until) {
			continue
		}
		delete(t.kept, id)
		hasExpired = true
		if k.listed == nil {
			delete(t.runners, id)
			continue
		}
		t.runners[id] = k.listed
	}
	return hasExpired
}

// recordGone remembers that a runner's entry was removed. t.mu must be held.
func (t *Tracker) recordGone(r *Runner) {
	if t.gone == nil {
		t.gone = map[string]goneRunner{}
	}
	t.gone[r.ID] = goneRunner{bootTime: r.BootTime, at: t.now()}
}

// expireGone forgets the runners that have been gone for long. t.mu must be held.
func (t *Tracker) expireGone(now time.Time) {
	maps.DeleteFunc(t.gone, func(_ string, g goneRunner) bool { return now.Sub(g.at) > goneLifetime })
}
