package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/matcher"
)

const (
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 16 << 20
	// unreachableFor is how long a target to which no connection could be
	// opened gets no requests.
	unreachableFor = time.Second
	// fullFor is how long a target that refused a request gets none.
	fullFor = 150 * time.Millisecond
	// minLeft is the least time that a runner can do something with.
	minLeft = 20 * time.Millisecond
	// extraSends is how many times a request that was refused may be sent beyond
	// the route's attempts.
	extraSends = 1
	// maxRetryAfter bounds what a caller is told to wait.
	maxRetryAfter = time.Second
)

var (
	errNotWhole   = errors.New("the answer is not whole")
	errNotGenuine = errors.New("the answer is not surely the runner's own")
)

// Relayer carries calls. Set all fields before use.
type Relayer struct {
	Balancer *balancer.Balancer
	Client   *requester.Client
	Wire     *Wire
	// Budget returns the budget of repeated sends of a service.
	Budget func(service string) *retrier.Budget
	Log    *slog.Logger
}

// Serve carries a call out. It returns the failure that the caller must be told
// of, or nil if the answer was written. If the failure is marked as started, the
// caller has a part of the answer and its connection must break.
func (r *Relayer) Serve(ctx context.Context, c *Call, a *Answer) *responder.Failure {
	ctx, stop := context.WithDeadline(ctx, c.Deadline)
	defer stop()
	budget := r.Budget(c.Service)
	budget.Earn()
	s := &stream{lastID: c.LastEvent}
	for {
		failure := r.try(ctx, c, a, s)
		if failure == nil {
			return nil
		}
		if failure.Outcome == responder.Unknown {
			c.mayRun = true
		}
		if r.shouldRetry(ctx, c, s, failure, budget) {
			continue
		}
		if c.kept != nil {
			r.write(c, a, c.kept)
			return nil
		}
		failure = r.final(ctx, c, failure)
		failure.Started = s.started
		return failure
	}
}

// final makes sure that a request that may have run is not said to be not run.
func (r *Relayer) final(ctx context.Context, c *Call, f *responder.Failure) *responder.Failure {
	f.Attempts = c.attempts
	if c.mayRun && f.Outcome == responder.NotRun {
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

// shouldRetry decides whether a call is sent again.
func (r *Relayer) shouldRetry(ctx context.Context, c *Call, s *stream, f *responder.Failure, b *retrier.Budget) bool {
	allowed := max(c.Route.MaxAttempts, 1)
	if f.Outcome == responder.NotRun {
		allowed += extraSends
	}
	switch {
	case ctx.Err() != nil, time.Until(c.Deadline) < minLeft:
		return false
	case !isAttemptReason(f.Reason):
		return false
	case f.Reason == responder.ReasonDialFailed:
		return len(c.tried) <= maxDials
	case c.attempts >= allowed:
		countDenied("attempts")
		return false
	case f.Outcome != responder.NotRun && !c.Route.IsRepeatable():
		countDenied("not_repeatable")
		return false
	case s.started && c.Route.Type != matcher.Stream:
		return false
	case !b.Spend():
		countDenied("budget")
		r.Log.Warn("request not sent again: the retry budget is spent", "request", c.ID, "service", c.Service, "reason", f.Reason)
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_retries_total{reason=%q}`, string(f.Reason))).Inc()
	r.Log.Info("request is sent again", "request", c.ID, "service", c.Service, "reason", f.Reason, "outcome", f.Outcome,
		"attempts", c.attempts, "last_event", s.lastID, "tried", c.tried)
	return true
}

// maxDials bounds the targets to which a connection is tried for one request.
const maxDials = 4

func countDenied(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_retries_denied_total{reason=%q}`, reason)).Inc()
}

func isAttemptReason(reason responder.Reason) bool {
	switch reason {
	case responder.ReasonNoReplica, responder.ReasonReplicasFull, responder.ReasonDeadline, responder.ReasonCallerGone:
		return false
	}
	return true
}

// try sends a call once, after a place was found.
func (r *Relayer) try(ctx context.Context, c *Call, a *Answer, s *stream) *responder.Failure {
	place, failure := r.place(ctx, c)
	if failure != nil {
		return failure
	}
	defer place.Release()
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.Route.IsRepeatable() {
		place.OnStall(func(cause error) { cancel(cause) })
	}
	c.tried = append(c.tried, place.Target.ID)
	left := time.Until(c.CallerDeadline)
	request := &requester.Request{
		Method: c.Method, Address: place.Target.Address, Target: c.Target, Host: c.Host, Body: c.Body,
		Header: r.Wire.Header(c, place.Target, left, s.lastID), EchoHeader: r.Wire.Echo,
	}
	answer, err := r.Client.Do(attempt, request)
	if err != nil {
		return r.sendFailure(attempt, c, place, err)
	}
	defer answer.Close()
	c.attempts++
	place.RecordProgress()
	seen := r.Wire.Inspect(answer.Status, answer.Header)
	switch {
	case seen.NotRun || seen.Elsewhere:
		return r.refused(c, place, answer, seen)
	case !seen.Genuine || seen.Encoded:
		place.RecordFailure()
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, errNotGenuine.Error())
	case c.Route.Type == matcher.Stream && answer.Status == http.StatusOK:
		return r.relayStream(attempt, c, a, s, place, answer)
	case s.started:
		place.RecordFailure()
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, fmt.Sprintf("the runner answered %d to a resumed stream", answer.Status))
	}
	return r.relayWhole(attempt, c, a, place, answer)
}

// refused handles an answer that says that the request was not run.
func (r *Relayer) refused(c *Call, place *balancer.Slot, answer *requester.Answer, seen Inspection) *responder.Failure {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes))
	place.Avoid(fullFor)
	if seen.Elsewhere || seen.FaultyRunner != "" {
		place.Avoid(unreachableFor)
	}
	message := fmt.Sprintf("the runner %s refused with %d, faulty runner %q", place.Target.ID, answer.Status, seen.FaultyRunner)
	return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonRefused, message)
}

// sendFailure says what is known after a request got no answer.
func (r *Relayer) sendFailure(ctx context.Context, c *Call, place *balancer.Slot, err error) *responder.Failure {
	if !requester.MaySent(err) {
		if ctx.Err() != nil {
			return ended(ctx, c, responder.NotRun)
		}
		place.Avoid(unreachableFor)
		place.RecordFailure()
		return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonDialFailed, err.Error())
	}
	c.attempts++
	if errors.Is(context.Cause(ctx), balancer.ErrStalled) {
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStalled, balancer.ErrStalled.Error())
	}
	if ctx.Err() != nil {
		return ended(ctx, c, responder.Unknown)
	}
	place.RecordFailure()
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, err.Error())
}

// relayWhole reads an answer whole and writes it.
func (r *Relayer) relayWhole(ctx context.Context, c *Call, a *Answer, place *balancer.Slot, answer *requester.Answer) *responder.Failure {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errNotWhole
	}
	if err != nil {
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), balancer.ErrStalled) {
			return ended(ctx, c, responder.Unknown)
		}
		place.RecordFailure()
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, err.Error())
	}
	if answer.Status >= http.StatusInternalServerError {
		place.RecordFailure()
	} else {
		place.RecordSuccess()
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if c.Route.Type == matcher.Idempotent && answer.Status >= http.StatusInternalServerError {
		c.kept = whole
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonRunnerError, fmt.Sprintf("the runner answered %d", answer.Status))
	}
	r.write(c, a, whole)
	return nil
}

// write sends a runner's answer to the caller.
func (r *Relayer) write(c *Call, a *Answer, w *wholeAnswer) {
	header := r.Wire.AnswerHeader(w.header)
	if w.status != http.StatusNoContent && w.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(w.body)))
	}
	a.Start(w.status, header)
	c.Timing.wrote(c.Arrived)
	if err := a.Write(w.body); err != nil {
		r.Log.Debug("the caller left before its answer", "request", c.ID, "error", err)
	}
}

// ended explains a request whose context has ended.
func ended(ctx context.Context, c *Call, outcome responder.Outcome) *responder.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status := http.StatusGatewayTimeout
		if outcome == responder.NotRun {
			status = http.StatusServiceUnavailable
		}
		return c.failure(status, outcome, responder.ReasonDeadline, "the time for the request is over")
	}
	return c.failure(statusCallerGone, outcome, responder.ReasonCallerGone, "the caller has gone")
}

// statusCallerGone is logged for callers that closed their connection.
const statusCallerGone = 499
