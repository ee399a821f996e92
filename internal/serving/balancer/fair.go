package balancer

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// usualTime and recentTime are over how long a team's usual and its recent
	// rate are taken.
	usualTime  = 5 * time.Minute
	recentTime = 2 * time.Second
	// overFactor is how many times its usual rate a team may send before its
	// requests wait behind those of others.
	overFactor = 3
	// overInterval is for how long it counts which teams do so.
	overInterval = 100 * time.Millisecond
	// overShare is how much of what a team sends beyond that counts for its usual
	// rate, so that a flood does not soon become usual.
	overShare = 0.1
	// overSlots is the part of a target's places that such a team may fill, so that
	// others need not wait for one.
	overSlots = 0.7
	// freeRate is a rate, in requests a second, that every team may send.
	freeRate = 1
)

// rates tells which teams send much more than they usually do. A large team is
// not held back for being large, nor are all, or the only one, when all send more.
type rates struct {
	mu      sync.Mutex
	started time.Time
	teams   map[string]*rate
	// over are the teams that sent much more than usual at overAt.
	over   map[string]bool
	overAt time.Time
}

// rate is how much a team sends, decayed to a moment.
type rate struct {
	at            time.Time
	usual, recent float64
}

// decay is what is left of a sum after some time.
func decay(passed, over time.Duration) float64 {
	return math.Exp(-passed.Seconds() / over.Seconds())
}

// update decays a team's sums to now and adds n requests. r.mu is held.
func (r *rates) update(team string, now time.Time, n float64) *rate {
	if r.teams == nil {
		r.teams, r.started = map[string]*rate{}, now
	}
	t, ok := r.teams[team]
	if !ok {
		t = &rate{at: now}
		r.teams[team] = t
	}
	passed := now.Sub(t.at)
	counted := n
	if r.over[team] {
		counted = n * overShare
	}
	t.usual = t.usual*decay(passed, usualTime) + counted/usualTime.Seconds()
	t.recent = t.recent*decay(passed, recentTime) + n/recentTime.Seconds()
	t.at = now
	return t
}

// note counts a request of a team.
func (r *rates) note(team string, now time.Time) {
	r.mu.Lock()
	r.update(team, now, 1)
	r.mu.Unlock()
}

// isOver reports whether a team sends much more than usual.
func (r *rates) isOver(team string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over == nil || now.Sub(r.overAt) > overInterval {
		r.over, r.overAt = r.listOver(now), now
	}
	return r.over[team]
}

// listOver returns the teams that send much more than usual, beyond how much the
// middle team does. Soon after the start the usual rate is what a team has sent
// so far. r.mu is held.
func (r *rates) listOver(now time.Time) map[string]bool {
	list := map[string]bool{}
	known := 1 - decay(now.Sub(r.started), usualTime)
	if known <= 0 {
		return list
	}
	rises := []float64{}
	for team := range r.teams {
		t := r.update(team, now, 0)
		rises = append(rises, t.recent*known/t.usual)
	}
	slices.Sort(rises)
	common := 1.0
	if len(rises) > 0 {
		common = max(common, rises[(len(rises)-1)/2])
	}
	for team, t := range r.teams {
		if t.recent > overFactor*common*t.usual/known+freeRate {
			list[team] = true
		}
	}
	return list
}
