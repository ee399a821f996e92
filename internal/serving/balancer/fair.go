package balancer

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// usualRateWindow and recentRateWindow are the time constants of the moving
	// averages of a team's usual and recent request rate.
	usualRateWindow  = 5 * time.Minute
	recentRateWindow = 2 * time.Second
	// burstFactor is the multiple of its usual rate from which a team is bursting:
	// its requests wait behind those of other teams.
	burstFactor = 3
	// burstCheckInterval is how long the list of bursting teams is reused.
	burstCheckInterval = 100 * time.Millisecond
	// burstUsualWeight is the weight with which requests of a bursting team count
	// towards its usual rate, so that a sustained burst does not soon become the
	// usual rate.
	burstUsualWeight = 0.1
	// burstSlotShare is the share of a target's slots, counting the requests of all
	// teams, from which the target takes no more requests of a bursting team, so that
	// other teams need not wait for a slot.
	burstSlotShare = 0.7
	// burstAllowance is added to each team's threshold, in requests per second, so
	// that low rates never count as a burst.
	burstAllowance = 1
)

// teamRates tracks the request rate of each team and finds the bursting ones, which
// send far more than they usually do. A team is compared with its own usual rate, so
// a large team is not penalized for its size, and with the rise of the median team,
// so no team is penalized when all send more, or when the only one does.
type teamRates struct {
	mu      sync.Mutex
	started time.Time
	teams   map[string]*teamRate
	// bursting holds the teams that were bursting at checkedAt.
	bursting  map[string]bool
	checkedAt time.Time
}

// teamRate holds the moving averages of a team's request rate, in requests per
// second, as of the time at.
type teamRate struct {
	at            time.Time
	usual, recent float64
}

// decay returns the fraction of an exponential moving average that remains after the
// elapsed time.
func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// update decays a team's rates to now and adds n requests. r.mu must be held.
func (r *teamRates) update(team string, now time.Time, n float64) *teamRate {
	if r.teams == nil {
		r.teams, r.started = map[string]*teamRate{}, now
	}
	t, ok := r.teams[team]
	if !ok {
		t = &teamRate{at: now}
		r.teams[team] = t
	}
	elapsed := now.Sub(t.at)
	counted := n
	if r.bursting[team] {
		counted = n * burstUsualWeight
	}
	t.usual = t.usual*decay(elapsed, usualRateWindow) + counted/usualRateWindow.Seconds()
	t.recent = t.recent*decay(elapsed, recentRateWindow) + n/recentRateWindow.Seconds()
	t.at = now
	return t
}

// record counts one request of a team.
func (r *teamRates) record(team string, now time.Time) {
	r.mu.Lock()
	r.update(team, now, 1)
	r.mu.Unlock()
}

// isBursting reports whether a team sends far more than its usual rate.
func (r *teamRates) isBursting(team string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bursting == nil || now.Sub(r.checkedAt) > burstCheckInterval {
		r.bursting, r.checkedAt = r.findBursting(now), now
	}
	return r.bursting[team]
}

// findBursting returns the teams whose recent rate exceeds burstFactor times their
// usual rate, scaled by the rise of the median team. Shortly after the start, the
// usual rate is corrected for the part of its window that has passed. r.mu must be
// held.
func (r *teamRates) findBursting(now time.Time) map[string]bool {
	list := map[string]bool{}
	coverage := 1 - decay(now.Sub(r.started), usualRateWindow)
	if coverage <= 0 {
		return list
	}
	ratios := []float64{}
	for team := range r.teams {
		t := r.update(team, now, 0)
		ratios = append(ratios, t.recent*coverage/t.usual)
	}
	slices.Sort(ratios)
	median := 1.0
	if len(ratios) > 0 {
		median = max(median, ratios[(len(ratios)-1)/2])
	}
	for team, t := range r.teams {
		if t.recent > burstFactor*median*t.usual/coverage+burstAllowance {
			list[team] = true
		}
	}
	return list
}
