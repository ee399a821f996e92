package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
)

var errCallerLeft = errors.New("the caller has closed its connection, or its sending half")

// lifetime holds the contexts of a call.
type lifetime struct {
	// work ends at the deadline, or when the call is blocked or the node stops.
	work context.Context
	// caller ends with work, or when the caller has left.
	caller context.Context
	// block ends work.
	block context.CancelCauseFunc
	end   func()
}

// newLifetime returns the lifetime of a call. ctx ends when the caller has left, or with
// ErrStopping when the node ends the call.
func newLifetime(ctx context.Context, deadline time.Time) *lifetime {
	bounded, stop := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	work, block := context.WithCancelCause(bounded)
	caller, leave := context.WithCancelCause(work)
	forget := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, ErrStopping) {
			block(cause)
			return
		}
		leave(errCallerLeft)
	})
	return &lifetime{work: work, caller: caller, block: block, end: func() {
		forget()
		leave(nil)
		block(nil)
		stop()
	}}
}

// attempt returns the context of a call that is sent to a runner. What may run only once is
// not cancelled midway when the caller leaves: a caller that has closed only its sending half
// waits for the response, and for others nothing is gained.
func (l *lifetime) attempt(r *matcher.Route) context.Context {
	if r.Type == matcher.NonIdempotent {
		return l.work
	}
	return l.caller
}

// contextFailure returns the failure for a request whose context has ended, by its
// deadline, because the caller disconnected or because it is blocked.
func contextFailure(ctx context.Context, c *Call, outcome responder.Outcome) *responder.Failure {
	if cause := context.Cause(ctx); errors.Is(cause, breaker.ErrBlocked) {
		return blockedFailure(c, outcome, cause)
	}
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return StopFailure(c, outcome)
	}
	status := http.StatusServiceUnavailable
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if outcome != responder.NotRun {
			status = http.StatusGatewayTimeout
		}
		return c.failure(status, outcome, responder.ReasonDeadline, "the time for the request is over")
	}
	if outcome != responder.NotRun {
		status = http.StatusBadGateway
	}
	return c.failure(status, outcome, responder.ReasonCallerGone, errCallerLeft.Error())
}
