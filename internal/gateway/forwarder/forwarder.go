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
	"marjorammoor/internal/routing/director"
	"marjorammoor/internal/routing/picker"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/state/sharder"
	"marjorammoor/internal/timing/repeater"
)

const fullPause = 5 * time.Millisecond

var (
	retriesNotRun  = metrics.NewCounter(`marjorammoor_retries_total{reason="not_run"}`)
	retriesUnknown = metrics.NewCounter(`marjorammoor_retries_total{reason="idempotent"}`)
	retriesDenied  = metrics.NewCounter(`marjorammoor_retries_denied_total{reason="budget"}`)
	overflows      = metrics.NewCounter(`marjorammoor_forwarded_total{to="data_center"}`)
	resumed        = metrics.NewCounter(`marjorammoor_streams_resumed_total`)
	firstTokens    = metrics.NewHistogram(`marjorammoor_first_token_seconds`)
)

// Forwarder serves calls. Set Director and Allocator before use.
type Forwarder struct {
	Director  *director.Director
	Allocator *allocator.Allocator
	// Remote returns the address of a node in another data centre that can take
	// a request for a deployment; nil means that there is none.
	Remote func(deployment string) (address string, ok bool)
	// PeerToken authenticates this node to other nodes.
	PeerToken string
	// Client sends requests over kept-alive connections; nil means a new one.
	Client *http.Client
	// FreshClient sends each request over a connection of its own, so that the
	// transport never repeats one; nil means a new one.
	FreshClient *http.Client

	budgets sharder.Map[string, *retrier.Budget]
}

// place is a request's hold on a place of its deployment.
type place struct {
	gate *scheduler.Gate
	team string
}

func (p *place) release() {
	if p.gate != nil {
		p.gate.Release(p.team)
		p.gate = nil
	}
}

// Serve carries a call out and writes the answer. It returns the failure that
// is still to be written, or nil if the caller has been told the end.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) *responder.Failure {
	budget := f.budget(c.Deployment)
	budget.Earn()
	hold := &place{team: c.Team}
	defer hold.release()
	a := &answerWriter{w: w, call: c}
	q := picker.Request{PrefixHash: c.PrefixHash, HasPrefix: c.HasPrefix}
	var earlier *responder.Failure
	for {
		t, failure := f.choose(ctx, c, &q, hold)
		if failure == nil {
			c.Attempts++
			failure = f.attempt(ctx, a, c, t)
			f.release(t)
		}
		if failure == nil {
			return nil
		}
		failure = withEarlier(failure, earlier)
		earlier = failure
		if !f.shouldRetry(ctx, c, a, failure, budget) {
			return a.finish(failure)
		}
		if t.replica != nil {
			q.MarkTried(t.replica)
		}
		if !repeater.Pause(ctx, retrier.Backoff(c.Attempts)) {
			return a.finish(failure)
		}
	}
}

// withEarlier keeps a request whose earlier attempt may have run from being told
// that it was not run, because a later attempt was not.
func withEarlier(failure, earlier *responder.Failure) *responder.Failure {
	if earlier == nil || earlier.Outcome == responder.NotRun || failure.Outcome != responder.NotRun {
		return failure
	}
	merged := *earlier
	merged.Attempts = failure.Attempts
	return &merged
}

func (f *Forwarder) release(t target) {
	if t.replica != nil {
		t.replica.Release()
	}
}

func (f *Forwarder) budget(deployment string) *retrier.Budget {
	return f.budgets.GetOrCreate(deployment, func() *retrier.Budget { return &retrier.Budget{} })
}

// shouldRetry allows another attempt if the last was provably not run, or if
// the call may be repeated and the caller has seen nothing of the answer.
func (f *Forwarder) shouldRetry(ctx context.Context, c *Call, a *answerWriter, failure *responder.Failure, b *retrier.Budget) bool {
	isNotRun := failure.Outcome == responder.NotRun
	switch {
	case a.started, ctx.Err() != nil, c.Attempts == 0, c.Attempts >= retrier.MaxAttempts:
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

// choose finds the target of the next attempt: a replica of this data centre,
// or a node of another one if all replicas here are full or none is whole.
func (f *Forwarder) choose(ctx context.Context, c *Call, q *picker.Request, hold *place) (target, *responder.Failure) {
	if hold.gate == nil {
		t, failure := f.enter(ctx, c, hold)
		if failure != nil || t.isNode {
			return t, failure
		}
	}
	p, ok := f.Director.Picker(c.Deployment)
	if !ok {
		return f.elsewhere(c, http.StatusServiceUnavailable, responder.ReasonNoReplica, "no whole replica in this data centre")
	}
	for {
		r, err := p.Pick(*q)
		switch {
		case err == nil:
			return target{address: r.Address, epoch: r.Epoch, replica: r}, nil
		case errors.Is(err, picker.ErrNoReplica):
			return f.elsewhere(c, http.StatusServiceUnavailable, responder.ReasonNoReplica, "no whole replica in this data centre")
		case !repeater.Pause(ctx, fullPause):
			return target{}, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonReplicasFull, "every whole replica is full")
		}
	}
}

// enter takes a place of the deployment, or finds another data centre.
func (f *Forwarder) enter(ctx context.Context, c *Call, hold *place) (target, *responder.Failure) {
	gate := f.Allocator.Gate(c.Deployment)
	r := f.Allocator.Request(c.Team, c.Tokens)
	noQueue := r
	noQueue.MaxQueued = 0
	if gate.Acquire(ctx, noQueue) == nil {
		hold.gate = gate
		return target{}, nil
	}
	if t, ok := f.remote(c); ok {
		return t, nil
	}
	err := gate.Acquire(ctx, r)
	switch {
	case err == nil:
		hold.gate = gate
		return target{}, nil
	case errors.Is(err, scheduler.ErrQueueFull):
		return target{}, c.failure(http.StatusTooManyRequests, responder.NotRun, responder.ReasonQueueFull, "the team's queue is full")
	case errors.Is(err, scheduler.ErrQueueTimeout):
		return target{}, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonQueueTimeout, "no place became free in time")
	case errors.Is(err, scheduler.ErrClosed):
		return target{}, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonNoReplica, "no whole replica")
	default:
		return target{}, ended(ctx, c, responder.NotRun)
	}
}

func (f *Forwarder) elsewhere(c *Call, status int, reason responder.Reason, message string) (target, *responder.Failure) {
	if t, ok := f.remote(c); ok {
		return t, nil
	}
	return target{}, c.failure(status, responder.NotRun, reason, message)
}

// remote returns a node of another data centre, unless the request has come
// from one.
func (f *Forwarder) remote(c *Call) (target, bool) {
	if c.FromPeer || f.Remote == nil {
		return target{}, false
	}
	address, ok := f.Remote(c.Deployment)
	if ok {
		overflows.Inc()
	}
	return target{address: address, isNode: true}, ok
}

// ended explains a request whose context has ended.
func ended(ctx context.Context, c *Call, outcome responder.Outcome) *responder.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.failure(http.StatusGatewayTimeout, outcome, responder.ReasonDeadline, "the deadline has passed")
	}
	return c.failure(statusCallerGone, outcome, responder.ReasonCallerGone, "the caller has gone")
}

// statusCallerGone is logged for callers that closed their connection.
const statusCallerGone = 499
