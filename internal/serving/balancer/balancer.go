package balancer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/state/sharder"
)

var (
	// ErrNoTarget reports that no target currently serves the service or model.
	ErrNoTarget = errors.New("no target serves the model")
	// ErrUnreachable reports that targets which may serve the request are out of reach of
	// this node, and that the others are full.
	ErrUnreachable = errors.New("targets are out of reach of this node")
	// ErrFull reports that all targets are full and no slot became free in time.
	ErrFull = errors.New("all targets are full")
)

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
	// FirstEvent is how long an engine without other requests takes until the first
	// event of the response; 0 if unknown.
	FirstEvent time.Duration
	// Objective is the time until which a response is on time; after it, a response
	// is worth less.
	Objective time.Time
	// WaitUntil is when the request stops waiting for a slot.
	WaitUntil time.Time
	// Tried lists the IDs of targets that must not be chosen again.
	Tried []string
	// MayLeave, if set, reports whether another node can serve the request when targets are
	// out of reach of this one.
	MayLeave func() bool
}

// isLate reports whether a slot comes too late for the request's objective.
func (r *Request) isLate(now time.Time) bool { return now.Add(r.FirstEvent).After(r.Objective) }

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
	// Self is the name of this node. Nodes returns the names of the nodes in a data centre,
	// or in all of them if its name is empty, with this one; nil means that this node is the
	// only one.
	Self  string
	Nodes func(dataCenter string) []string
	// IsConnected, if set, reports whether this node has an idle connection to a target.
	IsConnected func(t Target) bool
	// Reach, if set, tells whether this node reaches a target, and since when it does not.
	Reach func(t Target) (r Reach, since time.Time)
	// Suspected, if set, is called for each target that this node newly suspects,
	// with the time for which the target made no progress.
	Suspected func(t Target, idle time.Duration)

	// Limited, if set, is called when a target begins to name a limit in its responses to
	// this node, with this node's part of it, or with 0 when the target has lifted it.
	Limited func(t Target, perSecond, share float64)

	loads sharder.Map[string, *targetLoad]
	peers peerReports
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

// InFlight returns the number of requests that all nodes have in flight at a target.
func (b *Balancer) InFlight(id string) int {
	l := b.load(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(time.Now())
}
