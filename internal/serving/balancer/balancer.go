package balancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/state/sharder"
)

var (
	// ErrNoTarget says that nothing serves the service or model now.
	ErrNoTarget = errors.New("no target serves the model")
	// ErrFull says that all targets are full and no place will be free in time.
	ErrFull = errors.New("all targets are full")
)

const (
	// remoteShare is by how much a target in another data center is less likely to
	// be drawn than one in this data center with as many free places.
	remoteShare = 0.4
	// minWeight lets a target with failures be drawn at times.
	minWeight = 0.25
	// stallAfter is how long a target that has sent a part of an answer may send
	// nothing. It is above the time that a pass with the longest prompts takes.
	stallAfter = 700 * time.Millisecond
	// firstStallAfter is the same while all requests of this node still wait for
	// their first event, which a busy target sends later.
	firstStallAfter = 1300 * time.Millisecond
	// suspectFor is how long a target that stalled gets no requests.
	suspectFor = 5 * time.Second
	// maxCheckPause is above the usual time between two looks for stalled targets.
	// After a longer one the node itself stood still.
	maxCheckPause = 400 * time.Millisecond
)

var stalls = metrics.NewCounter(`marjorammoor_targets_suspected_total`)

// Target is what a request can be sent to.
type Target = *tracker.Target

// Request is what a place is wanted for.
type Request struct {
	Service string
	Model   string
	// Team is whose request it is.
	Team string
	// Priority is the rank; 0 comes first.
	Priority int
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// Objective is when an answer stops being worth its full value.
	Objective time.Time
	// GiveUp is until when the request may wait.
	GiveUp time.Time
	// Tried are the IDs of targets that must not be chosen again.
	Tried []string
}

func (r *Request) hasTried(id string) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// Balancer chooses targets. Set View and DataCenter before use.
type Balancer struct {
	View       func() *tracker.View
	DataCenter string
	// Suspected, if set, is told of each target that is newly suspected.
	Suspected func(t Target, idle time.Duration)

	loads sharder.Map[string, *Load]
	// told is what each other node last said that it has in flight.
	told sharder.Map[string, map[string]int]
	// waiting is how many requests wait in all lanes.
	waiting atomic.Int64
	lanes   sharder.Map[laneKey, *lane]

	checkMu sync.Mutex
	// checkedAt is when stalls were last looked for, resumedAt when this was done
	// for the first time after a pause.
	checkedAt, resumedAt time.Time
}

func (b *Balancer) load(id string) *Load {
	return b.loads.GetOrCreate(id, func() *Load { return &Load{own: map[*Place]struct{}{}} })
}

// Acquire returns a place at the best target, waiting for one until r.GiveUp.
func (b *Balancer) Acquire(ctx context.Context, r *Request) (*Place, error) {
	l := b.lanes.GetOrCreate(laneKey{r.Service, r.Model}, func() *lane { return &lane{} })
	return l.acquire(ctx, b, r)
}

// Changed lets waiting requests look at the targets again.
func (b *Balancer) Changed() {
	if b.waiting.Load() == 0 {
		return
	}
	b.lanes.Each(func(_ laneKey, l *lane) bool {
		l.dispatch(b)
		return true
	})
}

// SetPeer sets what another node has in flight.
func (b *Balancer) SetPeer(node string, counts map[string]int) {
	now := time.Now()
	for id, n := range counts {
		l := b.load(id)
		l.mu.Lock()
		if l.peers == nil {
			l.peers = map[string]peerLoad{}
		}
		l.peers[node] = peerLoad{count: n, at: now}
		l.mu.Unlock()
	}
	before, _ := b.told.Get(node)
	b.told.Set(node, counts)
	for id := range before {
		if _, ok := counts[id]; !ok {
			l := b.load(id)
			l.mu.Lock()
			delete(l.peers, node)
			l.mu.Unlock()
		}
	}
}

// SetTotals sets what all nodes together have in flight at targets of another
// data center.
func (b *Balancer) SetTotals(counts map[string]int) {
	now := time.Now()
	for id, n := range counts {
		l := b.load(id)
		l.mu.Lock()
		l.total = peerLoad{count: n, at: now}
		l.mu.Unlock()
	}
}

// InFlight returns what all nodes have in flight at a target.
func (b *Balancer) InFlight(id string) int {
	l := b.load(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(time.Now())
}

// Suspect keeps requests away from a target that another node suspects, and
// moves those that wait there, unless the target has just sent something here.
func (b *Balancer) Suspect(id string) {
	l := b.load(id)
	now := time.Now()
	l.mu.Lock()
	if now.Before(l.suspected) || now.Sub(l.progress) < stallAfter/2 {
		l.mu.Unlock()
		return
	}
	l.suspected = now.Add(suspectFor / 2)
	moves := l.takeMoves(now.Add(-stallAfter / 2))
	l.mu.Unlock()
	for _, move := range moves {
		move(ErrStalled)
	}
}

// Clear forgets what was held against a target, because it has started anew.
func (b *Balancer) Clear(id string) {
	l := b.load(id)
	l.mu.Lock()
	l.suspected, l.ownSuspicion, l.avoid, l.failures = time.Time{}, time.Time{}, time.Time{}, 0
	l.mu.Unlock()
}

// Counts returns what this node has in flight, and the targets that it suspects
// by what it saw itself.
func (b *Balancer) Counts() (counts map[string]int, suspects []string) {
	now := time.Now()
	counts = map[string]int{}
	b.loads.Each(func(id string, l *Load) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.own) > 0 {
			counts[id] = len(l.own)
		}
		if now.Before(l.ownSuspicion) {
			suspects = append(suspects, id)
		}
		return true
	})
	return counts, suspects
}

// take draws a target with room and reserves a place, or returns nil.
func (b *Balancer) take(l *lane, r *Request) *Place {
	now := time.Now()
	var best Target
	var bestLoad *Load
	bestKey := 0.0
	isOver := l.rates.isOver(r.Team, now)
	for _, t := range b.View().Targets(r.Service, r.Model) {
		if r.hasTried(t.ID) {
			continue
		}
		load := b.load(t.ID)
		load.mu.Lock()
		n := load.count(now)
		isHeld := now.Before(load.suspected) || now.Before(load.avoid)
		failures := load.failures
		load.mu.Unlock()
		if isHeld || n >= slots(t, isOver) {
			continue
		}
		key := rand.ExpFloat64() / b.weight(t, n, failures)
		if best == nil || key < bestKey {
			best, bestLoad, bestKey = t, load, key
		}
	}
	if best == nil {
		return nil
	}
	p := &Place{Target: best, load: bestLoad, balancer: b, lane: l, taken: now}
	bestLoad.mu.Lock()
	bestLoad.own[p] = struct{}{}
	bestLoad.mu.Unlock()
	return p
}

// slots returns how many requests a target may have for another one to go there.
func slots(t Target, isOver bool) int {
	if isOver {
		return max(int(float64(t.Slots)*overSlots), 1)
	}
	return t.Slots
}

// weight is how likely a target is drawn, against others: by its free places. All
// nodes have much the same figures, which are up to a beat old, and would all
// choose the same target if each took the one with most free places.
func (b *Balancer) weight(t Target, inFlight int, failures float64) float64 {
	w := max(float64(t.Slots-inFlight)-failures*failureCost, minWeight)
	if t.DataCenter != b.DataCenter {
		w *= remoteShare
	}
	return w
}

// CheckStalls suspects the targets that have requests from this node but have
// sent nothing for too long, and tells those requests to move.
func (b *Balancer) CheckStalls() {
	now := time.Now()
	resumed := b.noteCheck(now)
	for _, t := range b.View().All() {
		if t.Model == "" {
			continue
		}
		l, ok := b.loads.Get(t.ID)
		if !ok {
			continue
		}
		if moves, idle := l.stalled(now, resumed); len(moves) > 0 {
			stalls.Inc()
			if b.Suspected != nil {
				b.Suspected(t, idle)
			}
			for _, move := range moves {
				move(ErrStalled)
			}
		}
	}
}

// noteCheck returns when this node last went on after a pause.
func (b *Balancer) noteCheck(now time.Time) time.Time {
	b.checkMu.Lock()
	defer b.checkMu.Unlock()
	if now.Sub(b.checkedAt) > maxCheckPause {
		b.resumedAt = now
	}
	b.checkedAt = now
	return b.resumedAt
}

// stalled returns the moves of a target's requests if it shows no progress since
// the node resumed.
func (l *Load) stalled(now, resumed time.Time) ([]func(error), time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.own) == 0 {
		return nil, 0
	}
	since := l.progress
	oldest := now
	limit := firstStallAfter
	for p := range l.own {
		if p.taken.Before(oldest) {
			oldest = p.taken
		}
		if p.hasStarted {
			limit = stallAfter
		}
	}
	if oldest.After(since) {
		since = oldest
	}
	if resumed.After(since) {
		since = resumed
	}
	idle := now.Sub(since)
	if idle < limit {
		return nil, idle
	}
	l.suspected = now.Add(suspectFor)
	l.ownSuspicion = l.suspected
	return l.takeMoves(now), idle
}

// takeMoves returns the moves of the requests that were placed before a moment.
// l.mu is held.
func (l *Load) takeMoves(before time.Time) []func(error) {
	moves := []func(error){}
	for p := range l.own {
		if p.move != nil && p.taken.Before(before) {
			moves = append(moves, p.move)
			p.move = nil
		}
	}
	return moves
}
