package relayer

import (
	"errors"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/estimator"
	"marjorammoor/internal/serving/matcher"
)

// stopRetryAfter is the Retry-After time for callers of a node that stops. Other nodes can
// take the request at once.
const stopRetryAfter = 100 * time.Millisecond

// ErrStopping is the cause with which the context of a call ends if the node stops before the
// call is done.
var ErrStopping = errors.New("the node is stopping")

// StopFailure returns the failure for a call that a stopping node does not finish.
func StopFailure(c *Call, outcome responder.Outcome) *responder.Failure {
	if outcome != responder.NotRun {
		return c.failure(http.StatusGatewayTimeout, outcome, responder.ReasonShuttingDown, ErrStopping.Error())
	}
	f := c.failure(http.StatusServiceUnavailable, outcome, responder.ReasonShuttingDown, ErrStopping.Error())
	f.RetryAfter = stopRetryAfter
	return f
}

// deadline returns when this node stops working on a call: at its deadline, or before it if
// the node stops.
func (r *Relayer) deadline(c *Call) time.Time { return r.endWithStop(c.Deadline) }

// runnerDeadline returns when the answer of a runner is of no use any more. A stream that has
// begun may go on for as long as the node runs.
func (r *Relayer) runnerDeadline(c *Call) time.Time {
	if c.Route.Type == matcher.Stream {
		return c.CallerDeadline
	}
	return r.endWithStop(c.CallerDeadline)
}

func (r *Relayer) endWithStop(deadline time.Time) time.Time {
	if r.StopsAt == nil {
		return deadline
	}
	if at := r.StopsAt(); !at.IsZero() && at.Before(deadline) {
		return at
	}
	return deadline
}

// cannotFinish reports whether the node stops before a call can be done.
func (r *Relayer) cannotFinish(c *Call, now time.Time) bool {
	end := r.deadline(c)
	return end.Before(c.Deadline) && end.Sub(now) < c.expectedTime()
}

// expectedTime returns how long a call takes that is sent now to a runner without other
// requests. Of a stream that has begun, only the time until it goes on is known.
func (c *Call) expectedTime() time.Duration {
	if c.Engine == nil {
		return c.Route.TargetLatency
	}
	model, _ := c.Engine.Model(c.Model)
	if !c.Timing.lastWrite.IsZero() {
		return estimator.FirstEvent(c.Engine, model, c.PromptTokens)
	}
	return estimator.Response(c.Engine, model, c.PromptTokens, c.MaxOutput)
}
