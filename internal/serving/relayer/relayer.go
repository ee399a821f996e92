package relayer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/tracker"
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

var errUnverifiedResponse = errors.New("the answer is not surely the runner's own")

// Relayer forwards calls to runners. Set all fields before use.
type Relayer struct {
	Balancer *balancer.Balancer
	Client   *requester.Client
	Wire     *Wire
	// Peers hands requests over to other nodes; nil means that there are none.
	Peers *deliverer.Deliverer
	// Breaker tells which requests must not be sent.
	Breaker *breaker.Breaker
	// Memory bounds what is kept of responses; nil means that nothing does.
	Memory *reserver.Reserver
	// Leaving, if set, is called for each response of a runner that says that it leaves.
	Leaving func(t *tracker.Target)
	// Budget returns the retry budget of a service.
	Budget func(service string) *retrier.SharedBudget
	// StopsAt returns when the node answers the calls that are still running because it
	// stops, or the zero time; nil means that it does not stop.
	StopsAt func() time.Time
	Log     *slog.Logger
}

// Serve forwards a call until it succeeds or must not be retried. ctx ends when the caller
// has left. It returns the failure to report to the caller, or nil if a response was
// written. If Started is set in the failure, the caller has received part of the response
// and its connection must be closed.
func (r *Relayer) Serve(ctx context.Context, c *Call, a *ResponseWriter) *responder.Failure {
	l := newLifetime(ctx, c.Deadline)
	defer l.end()
	guard, err := r.Breaker.Admit(breaker.Request{Parts: c.SharedParts, Fingerprint: c.Fingerprint}, l.block)
	if err != nil {
		return r.finalize(l.work, c, blockedFailure(c, responder.NotRun, err))
	}
	defer guard.Done()
	c.guard, c.admitted = guard, guard
	budget := r.Budget(c.Service)
	if !c.isDelivered {
		budget.Earn()
	}
	s := &stream{lastID: c.LastEvent}
	defer func() { c.next.close() }()
	defer func() { c.errorResponse.release() }()
	for {
		failure := r.try(l, c, a, s, budget)
		if failure == nil {
			return nil
		}
		if failure.Outcome == responder.Unknown {
			c.mayHaveRun = true
		}
		if c.next != nil && l.caller.Err() == nil {
			continue
		}
		if r.shouldRetry(l.caller, c, s, failure, budget) {
			waitBeforeRetry(l.caller, failure)
			continue
		}
		if c.errorResponse != nil && !s.started {
			r.writeResponse(c, a, c.errorResponse)
			return nil
		}
		failure = r.finalize(l.work, c, failure)
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

// try sends a call once, or goes on with an attempt that was sent while the last one was silent.
func (r *Relayer) try(l *lifetime, c *Call, a *ResponseWriter, s *stream, b *retrier.SharedBudget) *responder.Failure {
	at, failure := r.begin(l, c, s, b)
	if at == nil {
		return failure
	}
	defer at.close()
	guard := c.guard
	defer func() { c.guard = guard }()
	c.guard = at.guard
	if failure == nil {
		guard.RecordResponse()
		failure = r.relay(c, a, s, at)
	}
	if at.next != nil {
		c.next = at.next.end(c, failure)
	}
	return failure
}

// begin returns the next attempt of a call once its response has begun, or with the failure by
// which it has ended, or only a failure if there is no attempt.
func (r *Relayer) begin(l *lifetime, c *Call, s *stream, b *retrier.SharedBudget) (*attempt, *responder.Failure) {
	if at := c.next; at != nil {
		c.next = nil
		r.watch(l.caller, c, s, at, b)
		return at, nil
	}
	c.stage = StageSlot
	slot, err := r.acquireSlot(l.caller, c)
	switch {
	case errors.Is(err, balancer.ErrUnreachable):
		return r.handOver(l.caller, c, s.last())
	case err != nil:
		return nil, slotFailure(l.caller, c, err)
	}
	if l.caller.Err() != nil {
		slot.Release()
		return nil, contextFailure(l.caller, c, responder.NotRun)
	}
	at := newAttempt(l.attempt(c.Route), c.guard, slot)
	c.tried = append(c.tried, slot.Target.ID)
	r.watch(l.caller, c, s, at, b)
	return at, r.send(c, at, s.last())
}

// recordAsked records what a runner's response asks of its callers: that they stay away, for a
// while or for good, or keep to a limit. A response that names no limit lifts it. One that shows
// nothing of the runner, neither its signature nor its refusal, asks for nothing.
func (r *Relayer) recordAsked(slot *balancer.Slot, inspection Inspection) {
	if inspection.Misdirected || !inspection.Verified && !inspection.NotRun {
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
	c.guard.Settle()
	response.SkipBody()
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
		c.guard.Settle()
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
		return r.stallFailure(ctx, c, slot)
	}
	if ctx.Err() != nil {
		return contextFailure(ctx, c, responder.Unknown)
	}
	c.recordBreak(slot)
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, err.Error())
}

// stallFailure returns the failure for a request whose target makes no progress. Idle
// connections to the target may be as silent as the one of the request.
func (r *Relayer) stallFailure(ctx context.Context, c *Call, slot *balancer.Slot) *responder.Failure {
	r.Client.CloseIdle(slot.Target.Address)
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStalled, context.Cause(ctx).Error())
}

// relayBuffered reads a response to its end and writes it to the caller.
func (r *Relayer) relayBuffered(c *Call, a *ResponseWriter, at *attempt) *responder.Failure {
	slot, response := at.slot, at.response
	buffered, err := r.readResponse(at)
	if err != nil {
		return r.bodyFailure(c, at, err)
	}
	if !at.record(whole) {
		buffered.release()
		return r.stallFailure(at.ctx, c, slot)
	}
	if response.Status >= http.StatusInternalServerError {
		slot.RecordFailure()
		c.guard.Settle()
	} else {
		c.guard.Complete()
		slot.RecordSuccess()
	}
	if c.Route.IsRepeatable() && response.Status >= http.StatusInternalServerError {
		c.errorResponse.release()
		c.errorResponse = buffered
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonRunnerError, fmt.Sprintf("the runner returned status %d", response.Status))
	}
	defer buffered.release()
	r.writeResponse(c, a, buffered)
	return nil
}

// readResponse reads a response to its end.
func (r *Relayer) readResponse(at *attempt) (*bufferedResponse, error) {
	response := at.response
	memory := r.Memory.Reserve(response.Address(), response.Abort)
	pieces, err := memory.ReadAll(at.ctx, response.Body, response.Length, maxResponseBytes)
	if err != nil {
		memory.Release()
		return nil, fmt.Errorf("read response: %w", err)
	}
	return &bufferedResponse{status: response.Status, header: response.Header, pieces: pieces, memory: memory}, nil
}

// bodyFailure returns the failure for a response whose body could not be read to its end.
func (r *Relayer) bodyFailure(c *Call, at *attempt, err error) *responder.Failure {
	switch {
	case errors.Is(context.Cause(at.ctx), balancer.ErrStalled):
		return r.stallFailure(at.ctx, c, at.slot)
	case at.ctx.Err() != nil:
		return contextFailure(at.ctx, c, responder.Unknown)
	case isMemoryError(err):
		at.slot.RecordFailure()
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonOutOfMemory, err.Error())
	}
	c.recordBreak(at.slot)
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, err.Error())
}

// isMemoryError reports whether a body was given up since the memory for bodies is used up.
func isMemoryError(err error) bool {
	return errors.Is(err, reserver.ErrRevoked) || errors.Is(err, reserver.ErrFull)
}

// writeResponse writes a buffered response to the caller.
func (r *Relayer) writeResponse(c *Call, a *ResponseWriter, w *bufferedResponse) {
	header := r.Wire.EndToEnd(w.header)
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(w.size()))
	}
	a.Start(w.status, header)
	c.Timing.recordWrite(c.Arrived)
	for _, piece := range w.pieces {
		if err := a.Write(piece); err != nil {
			r.Log.Debug("caller disconnected before the response was written", "request", c.ID, "error", err)
			return
		}
	}
}

// blockedFailure returns the failure for a request that is not sent, or not waited for
// any longer, because it or a part of its prompt is blocked.
func blockedFailure(c *Call, outcome responder.Outcome, err error) *responder.Failure {
	blocked := &breaker.BlockedError{}
	reason, message := responder.ReasonPartBlocked, err.Error()
	switch {
	case !errors.As(err, &blocked):
	case blocked.IsRequest():
		reason = responder.ReasonRequestBlocked
	default:
		message = fmt.Sprintf("%s, the part with the ID %q", message, c.partName(blocked.Key))
	}
	if outcome != responder.NotRun {
		return c.failure(http.StatusBadGateway, outcome, reason, message)
	}
	f := c.failure(http.StatusServiceUnavailable, outcome, reason, message)
	f.RetryAfter = blocked.RetryAfter
	return f
}
