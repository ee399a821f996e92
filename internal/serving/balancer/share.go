package balancer

import (
	"math"
	"math/rand/v2"
	"time"
)

// All nodes see the same free slots, up to one report old. Under contention, each of
// them therefore uses only its share of the free slots that it sees, in proportion to
// its demand, until the next reports show what the others have taken. A slot that one
// of the node's own requests leaves is not shared: the other nodes still count it as
// taken.

const (
	// eventRateWindow is the time constant of the moving averages of a queue's rates of
	// arrivals and grants.
	eventRateWindow = 2 * time.Second
	// holdWeight is the weight of the newest request in the moving average of the time
	// for which requests hold their slots.
	holdWeight = 0.1
	// maxBacklogShare bounds the backlog of a target, as a share of its slots.
	maxBacklogShare = 0.5
)

// share is the number of free slots that this node may use until the next reports.
type share struct {
	expiresAt time.Time
	// isUnlimited is set if there are free slots for the demand of all nodes.
	isUnlimited bool
	slots       int
}

// isSpent reports whether no slot of a share that is still valid is left.
func (s *share) isSpent(now time.Time) bool {
	return !s.isUnlimited && s.slots <= 0 && now.Before(s.expiresAt)
}

// take uses one slot of the share and reports whether there was one.
func (s *share) take() bool {
	if s.isUnlimited {
		return true
	}
	if s.slots <= 0 {
		return false
	}
	s.slots--
	return true
}

// compute sets the share from the free slots, this node's demand and that of all
// other nodes. Fractions of a slot are rounded at random, so that nodes with a small
// demand get their share in the mean.
func (s *share) compute(free int, own, others float64) {
	s.isUnlimited = float64(free) >= own+others
	whole, fraction := math.Modf(float64(free) * own / max(own+others, 1))
	s.slots = int(whole)
	if rand.Float64() < fraction {
		s.slots++
	}
}

// takeShare uses a slot of the queue's share of the free slots, which it computes anew
// when it has expired. q.mu must be held.
func (q *queue) takeShare(b *Balancer, k queueKey, isRemote bool, free int, now time.Time) bool {
	s := &q.local
	if isRemote {
		s = &q.remote
	}
	if !now.Before(s.expiresAt) {
		d := b.othersDemand(k)
		q.reportInterval = d.localInterval
		others, interval := d.local, d.localInterval
		if isRemote {
			others, interval = d.all, d.remoteInterval
		}
		s.expiresAt = now.Add(interval)
		s.compute(free, float64(max(len(q.waiting), 1)), others)
	}
	return s.take()
}

// isContended reports whether requests have waited for longer than a share is valid.
// q.mu must be held.
func (q *queue) isContended(now time.Time) bool {
	return len(q.waiting) > 0 && now.Sub(q.contendedSince) > 2*reportInterval(q.reportInterval)
}

// holdTime is a moving average of the time for which requests hold their slots.
type holdTime struct{ mean time.Duration }

func (h *holdTime) record(d time.Duration) {
	if h.mean == 0 {
		h.mean = d
	}
	h.mean += time.Duration(holdWeight * float64(d-h.mean))
}

// backlog returns how many requests beyond its slots a target may get. About so many
// slots become free there between two reports, and would stay empty until the next.
// A contended queue allows no backlog: its own requests fill the slots that they leave.
func (h *holdTime) backlog(slots int, interval time.Duration) int {
	if h.mean <= 0 {
		return 0
	}
	share := min(interval.Seconds()/h.mean.Seconds(), maxBacklogShare)
	return int(float64(slots) * share)
}

// eventRate is a moving average of the events per second of a queue.
type eventRate struct {
	at   time.Time
	rate float64
}

func (r *eventRate) record(now time.Time) {
	r.rate = r.rate*decay(now.Sub(r.at), eventRateWindow) + 1/eventRateWindow.Seconds()
	r.at = now
}

// expected returns the number of events that are expected within a time.
func (r *eventRate) expected(now time.Time, d time.Duration) float64 {
	return r.rate * decay(now.Sub(r.at), eventRateWindow) * d.Seconds()
}
