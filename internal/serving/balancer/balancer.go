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
	// ErrNoTarget reports that no target currently serves the service or model.
	ErrNoTarget = errors.New("no target serves the model")
	// ErrFull reports that all targets are full and no slot became free in time.
	ErrFull = errors.New("all targets are full")
)

const (
	// remoteWeightFactor scales the weight of a target in another data centre,
	// compared with one in this data centre with as many free slots.
	remoteWeightFactor = 0.4
	// minWeight is the least weight, so that a target with failures still gets a few
	// requests and can recover.
	minWeight = 0.25
	// stallTimeout is how long a target that has sent part of a response may send
	// nothing before it is suspected. It exceeds the time of an engine pass with the
	// longest prompts.
	stallTimeout = 700 * time.Millisecond
	// firstEventTimeout replaces stallTimeout while all requests of this node at the
	// target still wait for their first event, which a busy target sends later.
	firstEventTimeout = 1300 * time.Millisecond
	// suspicionDuration is how long a stalled target gets no requests.
	suspicionDuration = 5 * time.Second
	// maxCheckInterval exceeds the usual interval between two stall checks. After a
	// longer one, this node itself was paused.
	maxCheckInterval = 400 * time.Millisecond
)

var suspectedTargets = metrics.NewCounter(`marjorammoor_targets_suspected_total`)

// Target is a runner or replica to which requests are sent.
type Target = *tracker.Target

// Request describes a request that needs a slot.
type Request struct {
	Service string
	Model   string
	// Team is the name of the caller's team.
	Team string
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// Arrived is when the node received the request.
	Arrived time.Time
	// Objective is the time until which a response is on time; after it, a response
	// is worth less.
	Objective time.Time
	// WaitUntil is when the request stops waiting for a slot.
	WaitUntil time.Time
	// Tried lists the IDs of targets that must not be chosen again.
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

// Balancer distributes requests over targets. Set View and DataCenter before use.
type Balancer struct {
	View       func() *tracker.View
	DataCenter string
	// Suspected, if set, is called for each target that this node newly suspects,
	// with the time for which the target made no progress.
	Suspected func(t Target, idle time.Duration)

	loads sharder.Map[string, *targetLoad]
	// peerCounts holds, per node, the numbers of requests in flight by target ID
	// that the node last reported.
	peerCounts sharder.Map[string, map[string]int]
	// waiting is the number of waiting requests in all queues.
	waiting atomic.Int64
	queues  sharder.Map[queueKey, *queue]

	checkMu sync.Mutex
	// checkedAt is when stalls were last checked. resumedAt is when the first check
	// after the last pause of this node took place.
	checkedAt, resumedAt time.Time
}

func (b *Balancer) load(id string) *targetLoad {
	return b.loads.GetOrCreate(id, func() *targetLoad { return &targetLoad{localSlots: map[*Slot]struct{}{}} })
}

// Acquire returns a slot at a target drawn by weight, or waits for one until
// r.WaitUntil.
func (b *Balancer) Acquire(ctx context.Context, r *Request) (*Slot, error) {
	q := b.queues.GetOrCreate(queueKey{r.Service, r.Model}, func() *queue { return &queue{} })
	return q.acquire(ctx, b, r)
}

// Dispatch offers free slots to the waiting requests, after targets or loads have
// changed.
func (b *Balancer) Dispatch() {
	if b.waiting.Load() == 0 {
		return
	}
	b.queues.Each(func(_ queueKey, q *queue) bool {
		q.dispatch(b)
		return true
	})
}

// SetPeerLoad sets the requests that another node has in flight, by target ID.
func (b *Balancer) SetPeerLoad(node string, counts map[string]int) {
	now := time.Now()
	for id, n := range counts {
		l := b.load(id)
		l.mu.Lock()
		if l.peers == nil {
			l.peers = map[string]loadReport{}
		}
		l.peers[node] = loadReport{count: n, receivedAt: now}
		l.mu.Unlock()
	}
	previous, _ := b.peerCounts.Get(node)
	b.peerCounts.Set(node, counts)
	for id := range previous {
		if _, ok := counts[id]; !ok {
			l := b.load(id)
			l.mu.Lock()
			delete(l.peers, node)
			l.mu.Unlock()
		}
	}
}

// SetRemoteTotals sets the requests that all nodes together have in flight at
// targets of another data centre, by target ID.
func (b *Balancer) SetRemoteTotals(counts map[string]int) {
	now := time.Now()
	for id, n := range counts {
		l := b.load(id)
		l.mu.Lock()
		l.total = loadReport{count: n, receivedAt: now}
		l.mu.Unlock()
	}
}

// InFlight returns the number of requests that all nodes have in flight at a target.
func (b *Balancer) InFlight(id string) int {
	l := b.load(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(time.Now())
}

// Suspect handles another node's report that a target is stalled: the target gets no
// new requests and its older requests are notified, unless it has just made progress
// for a request of this node.
func (b *Balancer) Suspect(id string) {
	l := b.load(id)
	now := time.Now()
	l.mu.Lock()
	if now.Before(l.suspectedUntil) || now.Sub(l.lastProgress) < stallTimeout/2 {
		l.mu.Unlock()
		return
	}
	l.suspectedUntil = now.Add(suspicionDuration / 2)
	callbacks := l.takeStallCallbacks(now.Add(-stallTimeout / 2))
	l.mu.Unlock()
	for _, callback := range callbacks {
		callback(ErrStalled)
	}
}

// ClearSuspicion resets the suspicion, back-off and failure rate of a target that has
// restarted.
func (b *Balancer) ClearSuspicion(id string) {
	l := b.load(id)
	l.mu.Lock()
	l.suspectedUntil, l.locallySuspectedUntil, l.avoidedUntil, l.failureRate = time.Time{}, time.Time{}, time.Time{}, 0
	l.mu.Unlock()
}

// LocalLoad returns the number of requests that this node has in flight, by target ID,
// and the targets that this node suspects from its own observation.
func (b *Balancer) LocalLoad() (counts map[string]int, suspects []string) {
	now := time.Now()
	counts = map[string]int{}
	b.loads.Each(func(id string, l *targetLoad) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.localSlots) > 0 {
			counts[id] = len(l.localSlots)
		}
		if now.Before(l.locallySuspectedUntil) {
			suspects = append(suspects, id)
		}
		return true
	})
	return counts, suspects
}

// tryAcquire draws a target with a free slot and takes the slot, or returns nil.
// Each target gets an exponentially distributed key divided by its weight; the
// smallest key wins, so the chance of a target is proportional to its weight.
func (b *Balancer) tryAcquire(q *queue, r *Request) *Slot {
	now := time.Now()
	var best Target
	var bestLoad *targetLoad
	bestKey := 0.0
	isBursting := q.rates.isBursting(r.Team, now)
	for _, t := range b.View().Targets(r.Service, r.Model) {
		if r.hasTried(t.ID) {
			continue
		}
		load := b.load(t.ID)
		load.mu.Lock()
		n := load.count(now)
		isAvoided := now.Before(load.suspectedUntil) || now.Before(load.avoidedUntil)
		failureRate := load.failureRate
		load.mu.Unlock()
		if isAvoided || n >= slotLimit(t, isBursting) {
			continue
		}
		key := rand.ExpFloat64() / b.weight(t, n, failureRate)
		if best == nil || key < bestKey {
			best, bestLoad, bestKey = t, load, key
		}
	}
	if best == nil {
		return nil
	}
	s := &Slot{Target: best, load: bestLoad, balancer: b, queue: q, acquiredAt: now}
	bestLoad.mu.Lock()
	bestLoad.localSlots[s] = struct{}{}
	bestLoad.mu.Unlock()
	return s
}

// slotLimit returns the number of requests in flight from which a target counts as
// full.
func slotLimit(t Target, isBursting bool) int {
	if isBursting {
		return max(int(float64(t.Slots)*burstSlotShare), 1)
	}
	return t.Slots
}

// weight returns the relative probability with which a target is drawn, based on its
// free slots. The draw is random because all nodes have nearly the same figures, up
// to one peer heartbeat old, and would otherwise all choose the target with the most
// free slots.
func (b *Balancer) weight(t Target, inFlight int, failureRate float64) float64 {
	w := max(float64(t.Slots-inFlight)-failureRate*failurePenalty, minWeight)
	if t.DataCenter != b.DataCenter {
		w *= remoteWeightFactor
	}
	return w
}

// CheckStalls suspects the targets that have requests from this node but have sent
// nothing for too long, and notifies those requests. Targets of services without
// models are not checked.
func (b *Balancer) CheckStalls() {
	now := time.Now()
	resumed := b.recordCheck(now)
	for _, t := range b.View().All() {
		if t.Model == "" {
			continue
		}
		l, ok := b.loads.Get(t.ID)
		if !ok {
			continue
		}
		if callbacks, idle := l.checkStall(now, resumed); len(callbacks) > 0 {
			suspectedTargets.Inc()
			if b.Suspected != nil {
				b.Suspected(t, idle)
			}
			for _, callback := range callbacks {
				callback(ErrStalled)
			}
		}
	}
}

// recordCheck records a stall check and returns when this node last resumed after a
// pause.
func (b *Balancer) recordCheck(now time.Time) time.Time {
	b.checkMu.Lock()
	defer b.checkMu.Unlock()
	if now.Sub(b.checkedAt) > maxCheckInterval {
		b.resumedAt = now
	}
	b.checkedAt = now
	return b.resumedAt
}

// checkStall marks the target as suspected if it has made no progress for too long
// since the node resumed. It returns the stall callbacks of its requests and the
// time without progress.
func (l *targetLoad) checkStall(now, resumed time.Time) ([]func(error), time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.localSlots) == 0 {
		return nil, 0
	}
	since := l.lastProgress
	oldest := now
	limit := firstEventTimeout
	for s := range l.localSlots {
		if s.acquiredAt.Before(oldest) {
			oldest = s.acquiredAt
		}
		if s.hasProgress {
			limit = stallTimeout
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
	l.suspectedUntil = now.Add(suspicionDuration)
	l.locallySuspectedUntil = l.suspectedUntil
	return l.takeStallCallbacks(now), idle
}

// takeStallCallbacks returns and clears the callbacks of the slots that were
// acquired before the given time. l.mu must be held.
func (l *targetLoad) takeStallCallbacks(before time.Time) []func(error) {
	callbacks := []func(error){}
	for s := range l.localSlots {
		if s.onStall != nil && s.acquiredAt.Before(before) {
			callbacks = append(callbacks, s.onStall)
			s.onStall = nil
		}
	}
	return callbacks
}
