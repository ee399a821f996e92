package tracker

import "time"

// deferRemoval keeps using a removed runner until the grace period ends, because its
// removal may be due to a store outage. Only ready runners are kept. t.mu must be
// held.
func (t *Tracker) deferRemoval(r *Runner, grace time.Duration) {
	t.recordGone(r)
	if grace <= 0 || r.State != Ready {
		delete(t.removeAt, r.ID)
		return
	}
	if t.removeAt == nil {
		t.removeAt = map[string]time.Time{}
	}
	until, ok := t.removeAt[r.ID]
	if !ok {
		until = t.now().Add(grace)
		t.removeAt[r.ID] = until
	}
	t.runners[r.ID] = r
}

// Expire removes the runners whose grace period has ended before they were listed
// again.
func (t *Tracker) Expire() {
	t.mu.Lock()
	now := t.now()
	hasExpired := false
	for id, until := range t.removeAt {
		if now.After(until) {
			delete(t.removeAt, id)
			delete(t.runners, id)
			hasExpired = true
		}
	}
	hasExpired = t.expireKept(now) || hasExpired
	t.expireGone(now)
	t.expireLeaving(now)
	if hasExpired {
		t.publish()
	}
	t.mu.Unlock()
	if hasExpired {
		t.notify()
	}
}

// withAge returns a runner as its entry says, marked as kept if the store does not list that
// entry now. t.mu must be held.
func (t *Tracker) withAge(r *Runner) *Runner {
	_, isRemoved := t.removeAt[r.ID]
	_, isRestored := t.kept[r.ID]
	if !isRemoved && !isRestored {
		return r
	}
	kept := *r
	kept.IsKept = true
	return &kept
}
