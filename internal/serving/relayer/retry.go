package relayer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/timing/repeater"
)

// shouldRetry decides whether a call is sent again. A failed connection uses up
// neither an attempt nor the retry budget.
func (r *Relayer) shouldRetry(ctx context.Context, c *Call, s *stream, f *responder.Failure, b *retrier.SharedBudget) bool {
	maxSends := max(c.Route.MaxAttempts, 1)
	if f.Outcome == responder.NotRun {
		maxSends += extraRefusedSends
	}
	switch {
	case ctx.Err() != nil, time.Until(r.deadline(c)) < minRemaining:
		return false
	case s.started && isNotPlaced(f):
		return time.Since(c.lastEventAt()) < c.Route.Patience
	case !isRetryableReason(f.Reason), f.Reason == responder.ReasonShuttingDown && f.Outcome == responder.NotRun:
		return false
	case f.Reason == responder.ReasonDialFailed:
		return len(c.tried) <= maxDials
	case c.attempts >= maxSends:
		countDenied("attempts")
		return false
	case f.Outcome != responder.NotRun && !c.Route.IsRepeatable():
		countDenied("not_repeatable")
		return false
	case s.started && c.Route.Type != matcher.Stream:
		return false
	case f.Outcome != responder.NotRun && !c.guard.MayRepeat():
		countDenied("suspect")
		r.Log.Info("request is not retried, runners have ended under it or its parts", "request", c.ID, "reason", f.Reason, "parts", c.PartNames(), "fingerprint", c.Fingerprint())
		return false
	case !b.Spend():
		countDenied("budget")
		r.Log.Warn("retry budget exhausted, request is not retried", "request", c.ID, "service", c.Service, "reason", f.Reason)
		return false
	}
	countRetry(f.Reason)
	r.logRetry(c, s, f.Reason, f.Message, f.Outcome)
	return true
}

// logRetry logs that a call is sent again.
func (r *Relayer) logRetry(c *Call, s *stream, reason responder.Reason, message string, outcome responder.Outcome) {
	r.Log.Info("request is sent again", "request", c.ID, "service", c.Service, "reason", reason, "message", message, "outcome", outcome,
		"attempts", c.attempts, "last_event", s.last(), "tried", c.tried, "parts", c.PartNames())
}

func countRetry(reason responder.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_retries_total{reason=%q}`, string(reason))).Inc()
}

// isNotPlaced reports whether a call was sent nowhere for want of a slot. A begun stream then
// waits on for as long as its caller does, since it cannot be refused any more.
func isNotPlaced(f *responder.Failure) bool {
	switch f.Reason {
	case responder.ReasonNoReplica, responder.ReasonUnreachable, responder.ReasonReplicasPaused, responder.ReasonReplicasFull:
		return f.Outcome == responder.NotRun
	}
	return f.Outcome == responder.NotRun && isPeerRefusal(f.Reason)
}

// waitBeforeRetry waits for a short time after a connection broke. Connections to other
// runners may be breaking too, and by then this node knows whether it reaches them. It also
// waits if there was no slot.
func waitBeforeRetry(ctx context.Context, f *responder.Failure) {
	if f.Reason != responder.ReasonConnectionBroken && f.Reason != responder.ReasonStreamBroken && !isNotPlaced(f) {
		return
	}
	repeater.Sleep(ctx, minRetryDelay+rand.N(minRetryDelay))
}

// minRetryDelay is the least time between a broken connection and the retry.
const minRetryDelay = 25 * time.Millisecond

// maxDials bounds retries after failed connections: a request is sent to another
// target as long as it has tried no more than maxDials targets.
const maxDials = 4

func countDenied(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_retries_denied_total{reason=%q}`, reason)).Inc()
}

// isRetryableReason reports whether another attempt can help. It cannot if no slot
// was available, the deadline has passed or the caller has disconnected.
func isRetryableReason(reason responder.Reason) bool {
	switch reason {
	case responder.ReasonNoReplica, responder.ReasonUnreachable, responder.ReasonReplicasPaused, responder.ReasonReplicasFull, responder.ReasonDeadline, responder.ReasonCallerGone,
		responder.ReasonPartBlocked, responder.ReasonRequestBlocked:
		return false
	}
	return !isPeerRefusal(reason)
}
