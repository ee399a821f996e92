package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/admission/allocator"
	"marjorammoor/internal/admission/scheduler"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/routing/director"
	"marjorammoor/internal/routing/picker"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/state/sharder"
	"marjorammoor/internal/timing/repeater"
)

// replicasFullPause is the time between two choices while all replicas are full.
const replicasFullPause = 5 * time.Millisecond

var (
	retriesNotRun       = metrics.NewCounter(`marjorammoor_retries_total{reason="not_run"}`)
	retriesUnknown      = metrics.NewCounter(`marjorammoor_retries_total{reason="idempotent"}`)
	retriesDenied       = metrics.NewCounter(`marjorammoor_retries_denied_total{reason="budget"}`)
	remoteForwards      = metrics.NewCounter(`marjorammoor_forwarded_total{to="data_center"}`)
	streamsResumed      = metrics.NewCounter(`marjorammoor_streams_resumed_total`)
	firstTokenDurations = metrics.NewHistogram(`marjorammoor_first_token_seconds`)
)

// Forwarder sends calls to replicas. Set Director, Allocator, Client and FreshClient
// before use.
type Forwarder struct {
	Director  *director.Director
	Allocator *allocator.Allocator
	// Remote returns the address of a node in another data centre that can take a
	// request for a deployment. If Remote is nil, no request is sent to another data
	// centre.
	Remote func(deployment string) (address string, ok bool)
	// PeerToken authenticates this node to other nodes.
	PeerToken string
	// Client sends requests over kept-alive connections.
	Client *http.Client
	// FreshClient sends each request over a new connection, so that the transport
	// never repeats one.
	FreshClient *http.Client
	// Memory bounds what is kept of responses; nil means that nothing does.
	Memory *reserver.Reserver

	// budgets are the retry budgets by deployment.
	budgets sharder.Map[string, *retrier.Budget]
}

// slot is a request's admission by the gate of its deployment. The gate is nil while
// the request holds no slot.
type slot struct {
	gate *scheduler.Gate
	team string
}

// release returns the slot to the gate, if one is held.
func (s *slot) release() {
	if s.gate != nil {
		s.gate.Release(s.team)
		s.gate = nil
	}
}

// Serve sends a call, with retries, and writes the response. It returns a failure
// that the caller has to write, or nil if the response was written.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) *responder.Failure {
	budget := f.budget(c.Deployment)
	budget.Earn()
	held := &slot{team: c.Team}
	defer held.release()
	rw := &responseWriter{w: w, call: c}
	q := picker.Request{PrefixHash: c.PrefixHash, HasPrefix: c.HasPrefix}
	var earlier *responder.Failure
	for {
		t, failure := f.chooseTarget(ctx, c, &q, held)
		if failure == nil {
			c.Attempts++
			failure = f.attempt(ctx, rw, c, t)
			f.releaseReplica(t)
		}
		if failure == nil {
			return nil
		}
		failure = keepUnknownOutcome(failure, earlier)
		earlier = failure
		if !f.shouldRetry(ctx, c, rw, failure, budget) {
			return rw.reportFailure(failure)
		}
		if t.replica != nil {
			q.MarkTried(t.replica)
		}
		if !repeater.Sleep(ctx, retrier.Backoff(c.Attempts)) {
			return rw.reportFailure(failure)
		}
	}
}

// keepUnknownOutcome returns the earlier failure if that attempt may have run and the
// latest one was not run. Otherwise the caller would be told that the request was not
// run.
func keepUnknownOutcome(failure, earlier *responder.Failure) *responder.Failure {
	if earlier == nil || earlier.Outcome == responder.NotRun || failure.Outcome != responder.NotRun {
		return failure
	}
	merged := *earlier
	merged.Attempts = failure.Attempts
	return &merged
}

func (f *Forwarder) releaseReplica(t target) {
	if t.replica != nil {
		t.replica.Release()
	}
}

// budget returns the retry budget of a deployment.
func (f *Forwarder) budget(deployment string) *retrier.Budget {
	return f.budgets.GetOrCreate(deployment, func() *retrier.Budget { return &retrier.Budget{} })
}

// shouldRetry reports whether another attempt is made: the last one was not run or
// the call is idempotent, nothing of the response was sent to the caller, and the
// limits on attempts and retries allow it.
func (f *Forwarder) shouldRetry(ctx context.Context, c *Call, rw *responseWriter, failure *responder.Failure, b *retrier.Budget) bool {
	isNotRun := failure.Outcome == responder.NotRun
	switch {
	case rw.started, ctx.Err() != nil, c.Attempts == 0, c.Attempts >= retrier.MaxAttempts:
		return false
	case !isNotRun && !c.Idempotent:
		return false
	case !b.Spend():
		retriesDenied.Inc()
		return false
	case isNotRun:
		retriesNotRun.Inc()
	default:
		retriesUnknown.Inc()
	}
	return true
}

// chooseTarget returns the target of the next attempt: a replica of this data centre,
// or a node of another one if no slot is free here or no replica is complete.
func (f *Forwarder) chooseTarget(ctx context.Context, c *Call, q *picker.Request, held *slot) (target, *responder.Failure) {
	if held.gate == nil {
		t, failure := f.acquireSlot(ctx, c, held)
		if failure != nil || t.isPeer {
			return t, failure
		}
	}
	p, ok := f.Director.Picker(c.Deployment)
	if !ok {
		return f.remoteOrFail(c, http.StatusServiceUnavailable, responder.ReasonNoReplica, "no whole replica in this data centre")
	}
	for {
		r, err := p.Pick(*q)
		switch {
		case err == nil:
			return target{address: r.Address, epoch: r.Epoch, replica: r}, nil
		case errors.Is(err, picker.ErrNoReplica):
			return f.remoteOrFail(c, http.StatusServiceUnavailable, responder.ReasonNoReplica, "no whole replica in this data centre")
		case !repeater.Sleep(ctx, replicasFullPause):
			return target{}, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonReplicasFull, "every whole replica is full")
		}
	}
}

// acquireSlot takes a slot of the deployment. If none is free at once, it returns a
// node of another data centre, and if there is none, it waits in the team's queue.
func (f *Forwarder) acquireSlot(ctx context.Context, c *Call, held *slot) (target, *responder.Failure) {
	gate := f.Allocator.Gate(c.Deployment)
	r := f.Allocator.Request(c.Team, c.ExpectedTokens)
	noQueue := r
	noQueue.MaxQueued = 0
	if gate.Acquire(ctx, noQueue) == nil {
		held.gate = gate
		return target{}, nil
	}
	if t, ok := f.remoteTarget(c); ok {
		return t, nil
	}
	err := gate.Acquire(ctx, r)
	switch {
	case err == nil:
		held.gate = gate
		return target{}, nil
	case errors.Is(err, scheduler.ErrQueueFull):
		return target{}, c.failure(http.StatusTooManyRequests, responder.NotRun, responder.ReasonQueueFull, "the team's queue is full")
	case errors.Is(err, scheduler.ErrQueueTimeout):
		return target{}, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonQueueTimeout, "no place became free in time")
	case errors.Is(err, scheduler.ErrClosed):
		return target{}, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonNoReplica, "no whole replica")
	default:
		return target{}, contextFailure(ctx, c, responder.NotRun)
	}
}

// remoteOrFail returns a node of another data centre, or the failure if there is none.
func (f *Forwarder) remoteOrFail(c *Call, status int, reason responder.Reason, message string) (target, *responder.Failure) {
	if t, ok := f.remoteTarget(c); ok {
		return t, nil
	}
	return target{}, c.failure(status, responder.NotRun, reason, message)
}

// remoteTarget returns a node of another data centre that has capacity. A request
// that was forwarded by another node is not forwarded again.
func (f *Forwarder) remoteTarget(c *Call) (target, bool) {
	if c.FromPeer || f.Remote == nil {
		return target{}, false
	}
	address, ok := f.Remote(c.Deployment)
	if ok {
		remoteForwards.Inc()
	}
	return target{address: address, isPeer: true}, ok
}

// contextFailure returns the failure of a call whose deadline has passed or whose
// caller has closed the connection.
func contextFailure(ctx context.Context, c *Call, outcome responder.Outcome) *responder.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.failure(http.StatusGatewayTimeout, outcome, responder.ReasonDeadline, "the deadline has passed")
	}
	return c.failure(statusCallerGone, outcome, responder.ReasonCallerGone, "the caller has gone")
}

// statusCallerGone is the status of a request whose caller closed the connection. It
// is nginx's non-standard status for this case.
const statusCallerGone = 499
