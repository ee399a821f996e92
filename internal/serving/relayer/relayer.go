package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/timing/repeater"
)

const (
	// maxResponseBytes bounds the body of a response that is buffered.
	maxResponseBytes = 16 << 20
	// unreachableBackoff is how long a target gets no requests after a failed
	// connection attempt, or after a refusal that names a faulty runner or comes
	// from another runner at the target's address.
	unreachableBackoff = time.Second
	// refusalBackoff is how long a target gets no requests after it refused one.
	refusalBackoff = 150 * time.Millisecond
	// minRemaining is the least time before the deadline in which a runner can do
	// useful work. With less time, the request is not sent.
	minRemaining = 20 * time.Millisecond
	// extraRefusedSends is how many more times than the route's MaxAttempts a
	// request may be sent if the last attempt was not run.
	extraRefusedSends = 1
	// maxRetryAfter bounds the Retry-After time sent to a caller.
	maxRetryAfter = time.Second
)

var (
	errResponseTooLarge   = errors.New("the answer is not whole")
	errUnverifiedResponse = errors.New("the answer is not surely the runner's own")
)

// Relayer forwards calls to runners. Set all fields before use.
type Relayer struct {
	Balancer *balancer.Balancer
	Client   *requester.Client
	Wire     *Wire
	// Peers hands requests over to other nodes; nil means that there are none.
	Peers *deliverer.Deliverer
	// Breaker tells which requests must not be sent.
	Breaker *breaker.Breaker
	// Leaving, if set, is called for each response of a runner that says that it leaves.
	Leaving func(t *tracker.Target)
	// Budget returns the retry budget of a service.
	Budget func(service string) *retrier.SharedBudget
	Log    *slog.Logger
}

// Serve forwards a call until it succeeds or must not be retried. It returns the
// failure to report to the caller, or nil if a response was written. If Started is
// set in the failure, the caller has received part of the response and its
// connection must be closed.
func (r *Relayer) Serve(ctx context.Context, c *Call, a *ResponseWriter) *responder.Failure {
	ctx, stop := context.WithDeadline(ctx, c.Deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard, err := r.Breaker.Admit(breaker.Request{Parts: c.SharedParts, Fingerprint: c.Fingerprint}, cancel)
	if err != nil {
		return r.finalize(ctx, c, blockedFailure(c, responder.NotRun, err))
	}
	defer guard.Done()
	c.guard = guard
	budget := r.Budget(c.Service)
	if !c.isDelivered {
		budget.Earn()
	}
	s := &stream{lastID: c.LastEvent}
	for {
		failure := r.try(ctx, c, a, s)
		if failure == nil {
			return nil
		}
		if failure.Outcome == responder.Unknown {
			c.mayHaveRun = true
		}
		if r.shouldRetry(ctx, c, s, failure, budget) {
			waitBeforeRetry(ctx, failure)
			continue
		}
		if c.errorResponse != nil && !s.started {
			r.writeResponse(c, a, c.errorResponse)
			return nil
		}
		failure = r.finalize(ctx, c, failure)
		failure.Started = s.started
		return failure
	}
}

// finalize completes the failure that is reported to the caller. A request of which
// any attempt may have run is never reported as not run.
func (r *Relayer) finalize(ctx context.Context, c *Call, f *responder.Failure) *responder.Failure {
	f.Attempts = c.attempts
	if c.mayHaveRun && f.Outcome == responder.NotRun {
		f = c.failure(http.StatusBadGateway, responder.Unknown, f.Reason, f.Message)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && f.Outcome == responder.Unknown {
		f.Status = http.StatusGatewayTimeout
	}
	if f.Outcome == responder.NotRun && f.RetryAfter == 0 {
		f.RetryAfter = min(maxRetryAfter, time.Until(c.CallerDeadline)/4)
	}
	return f
}

// shouldRetry decides whether a call is sent again. A failed connection uses up
// neither an attempt nor the retry budget.
func (r *Relayer) shouldRetry(ctx context.Context, c *Call, s *stream, f *responder.Failure, b *retrier.SharedBudget) bool {
	maxSends := max(c.Route.MaxAttempts, 1)
	if f.Outcome == responder.NotRun {
		maxSends += extraRefusedSends
	}
	switch {
	case ctx.Err() != nil, time.Until(c.Deadline) < minRemaining:
		return false
	case !isRetryableReason(f.Reason):
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
		r.Log.Info("request is not retried, runners have ended under it or its parts", "request", c.ID, "reason", f.Reason, "parts", c.SharedParts, "fingerprint", c.Fingerprint())
		return false
	case !b.Spend():
		countDenied("budget")
		r.Log.Warn("retry budget exhausted, request is not retried", "request", c.ID, "service", c.Service, "reason", f.Reason)
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_retries_total{reason=%q}`, string(f.Reason))).Inc()
	r.Log.Info("request is sent again", "request", c.ID, "service", c.Service, "reason", f.Reason, "outcome", f.Outcome,
		"attempts", c.attempts, "last_event", s.lastID, "tried", c.tried, "parts", c.SharedParts)
	return true
}

// waitBeforeRetry waits for a short time after a connection broke. Connections to other
// runners may be breaking too, and by then this node knows whether it reaches them.
func waitBeforeRetry(ctx context.Context, f *responder.Failure) {
	if f.Reason != responder.ReasonConnectionBroken && f.Reason != responder.ReasonStreamBroken {
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
	return true
}

// try acquires a slot and sends a call once.
func (r *Relayer) try(ctx context.Context, c *Call, a *ResponseWriter, s *stream) *responder.Failure {
	c.stage = StageSlot
	slot, err := r.acquireSlot(ctx, c)
	switch {
	case errors.Is(err, balancer.ErrUnreachable):
		return r.handOver(ctx, c, a, s)
	case err != nil:
		return slotFailure(ctx, c, err)
	}
	defer slot.Release()
	if err := c.guard.Start(breaker.Runner{ID: slot.Target.ID, Address: slot.Target.Address, BootTime: slot.Target.BootTime}); err != nil {
		return blockedFailure(c, responder.NotRun, err)
	}
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.Route.IsRepeatable() {
		slot.OnStall(func(cause error) { cancel(cause) })
	}
	c.tried = append(c.tried, slot.Target.ID)
	remaining := time.Until(c.CallerDeadline)
	c.stage = StageConnection
	request := &requester.Request{
		Method: c.Method, Address: slot.Target.Address, Target: c.Target, Host: c.Host, Body: c.Body,
		Header: r.Wire.Header(c, slot.Target, remaining, s.lastID), EchoHeader: r.Wire.Echo,
	}
	response, err := r.Client.Do(attempt, request)
	if err != nil {
		return r.sendFailure(attempt, c, slot, err)
	}
	defer response.Close()
	c.attempts++
	c.stage = StageBody
	slot.RecordProgress()
	inspection := r.Wire.Inspect(response.Status, response.Header)
	r.recordAsked(slot, inspection)
	switch {
	case inspection.NotRun || inspection.Misdirected:
		return r.refusalFailure(c, slot, response, inspection)
	case !inspection.Verified || inspection.Encoded:
		slot.RecordFailure()
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, errUnverifiedResponse.Error())
	}
	c.guard.RecordResponse()
	switch {
	case c.Route.Type == matcher.Stream && response.Status == http.StatusOK:
		return r.relayStream(attempt, c, a, s, slot, response)
	case s.started:
		slot.RecordFailure()
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, fmt.Sprintf("the runner returned status %d for a resumed stream", response.Status))
	}
	return r.relayBuffered(attempt, c, a, slot, response)
}

// recordAsked records what a runner's response asks of its callers: that they stay away, for a
// while or for good, or keep to a limit. A response that names no limit lifts it.
func (r *Relayer) recordAsked(slot *balancer.Slot, inspection Inspection) {
	if inspection.Misdirected {
		return
	}
	if inspection.Leaving && r.Leaving != nil {
		r.Leaving(slot.Target)
	}
	if inspection.Pause > 0 {
		slot.Pause(inspection.Pause)
	}
	switch {
	case inspection.NamesLimit:
		slot.RecordLimit(inspection.Limit)
	case inspection.Verified && !inspection.NotRun:
		slot.RecordNoLimit()
	}
}

// refusalFailure returns the failure for a runner's response that the request was
// not run, and keeps other requests away from the target for a while.
func (r *Relayer) refusalFailure(c *Call, slot *balancer.Slot, response *requester.Response, inspection Inspection) *responder.Failure {
	// The connection is kept if the body ends soon. Its content does not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, requester.MaxSkippedBytes))
	slot.Avoid(refusalBackoff)
	if inspection.Misdirected || inspection.FaultyRunner != "" {
		slot.Avoid(unreachableBackoff)
	}
	message := fmt.Sprintf("the runner %s refused with %d, faulty runner %q", slot.Target.ID, response.Status, inspection.FaultyRunner)
	return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonRefused, message)
}

// sendFailure returns the failure for a request that got no response. Its outcome
// depends on whether any byte of the request may have reached the runner.
func (r *Relayer) sendFailure(ctx context.Context, c *Call, slot *balancer.Slot, err error) *responder.Failure {
	if !requester.MaySent(err) {
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), balancer.ErrStalled) {
			return contextFailure(ctx, c, responder.NotRun)
		}
		slot.Avoid(unreachableBackoff)
		slot.RecordFailure()
		r.Log.Info("runner cannot be connected", "request", c.ID, "runner", slot.Target.ID, "address", slot.Target.Address, "tried", len(c.tried), "error", err)
		return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonDialFailed, err.Error())
	}
	c.attempts++
	c.stage = StageResponse
	if errors.Is(context.Cause(ctx), balancer.ErrStalled) {
		return r.stallFailure(c, slot)
	}
	if ctx.Err() != nil {
		return contextFailure(ctx, c, responder.Unknown)
	}
	c.recordBreak(slot)
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, err.Error())
}

// stallFailure returns the failure for a request whose target makes no progress. Idle
// connections to the target may be as silent as the one of the request.
func (r *Relayer) stallFailure(c *Call, slot *balancer.Slot) *responder.Failure {
	r.Client.CloseIdle(slot.Target.Address)
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStalled, balancer.ErrStalled.Error())
}

// relayBuffered reads a response to its end and writes it to the caller.
func (r *Relayer) relayBuffered(ctx context.Context, c *Call, a *ResponseWriter, slot *balancer.Slot, response *requester.Response) *responder.Failure {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), balancer.ErrStalled) {
			return contextFailure(ctx, c, responder.Unknown)
		}
		c.recordBreak(slot)
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, err.Error())
	}
	if response.Status >= http.StatusInternalServerError {
		slot.RecordFailure()
	} else {
		c.guard.Complete()
		slot.RecordSuccess()
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if c.Route.IsRepeatable() && response.Status >= http.StatusInternalServerError {
		c.errorResponse = buffered
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonRunnerError, fmt.Sprintf("the runner returned status %d", response.Status))
	}
	r.writeResponse(c, a, buffered)
	return nil
}

// writeResponse writes a buffered response to the caller.
func (r *Relayer) writeResponse(c *Call, a *ResponseWriter, w *bufferedResponse) {
	header := r.Wire.EndToEnd(w.header)
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	a.Start(w.status, header)
	c.Timing.recordWrite(c.Arrived)
	if err := a.Write(w.body); err != nil {
		r.Log.Debug("caller disconnected before the response was written", "request", c.ID, "error", err)
	}
}

// blockedFailure returns the failure for a request that is not sent, or not waited for
// any longer, because it or a part of its prompt is blocked.
func blockedFailure(c *Call, outcome responder.Outcome, err error) *responder.Failure {
	blocked := &breaker.BlockedError{}
	reason := responder.ReasonPartBlocked
	if errors.As(err, &blocked) && blocked.IsRequest() {
		reason = responder.ReasonRequestBlocked
	}
	if outcome != responder.NotRun {
		return c.failure(http.StatusBadGateway, outcome, reason, err.Error())
	}
	f := c.failure(http.StatusServiceUnavailable, outcome, reason, err.Error())
	f.RetryAfter = blocked.RetryAfter
	return f
}

// contextFailure returns the failure for a request whose context has ended, by its
// deadline, because the caller disconnected or because it is blocked.
func contextFailure(ctx context.Context, c *Call, outcome responder.Outcome) *responder.Failure {
	if cause := context.Cause(ctx); errors.Is(cause, breaker.ErrBlocked) {
		return blockedFailure(c, outcome, cause)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status := http.StatusGatewayTimeout
		if outcome == responder.NotRun {
			status = http.StatusServiceUnavailable
		}
		return c.failure(status, outcome, responder.ReasonDeadline, "the time for the request is over")
	}
	return c.failure(statusCallerGone, outcome, responder.ReasonCallerGone, "the caller has gone")
}

// statusCallerGone is logged when the caller closed its connection before the
// response. It has the value that nginx uses for this case.
const statusCallerGone = 499
