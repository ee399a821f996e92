package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/estimator"
	"marjorammoor/internal/serving/matcher"
)

const (
	// waitShare is the part of the remaining time for which a request may wait for a
	// slot. Longer waits served no more requests and left refused callers no time to
	// retry.
	waitShare = 0.4
	// minRetryAfter and maxRetryShare bound the Retry-After time that is derived from
	// a queue: the latter is the share of the time left that a caller waits at most.
	minRetryAfter = 100 * time.Millisecond
	maxRetryShare = 0.33
)

// acquireSlot acquires a slot at a target, waiting for it if necessary.
func (r *Relayer) acquireSlot(ctx context.Context, c *Call) (*balancer.Slot, error) {
	now := time.Now()
	remaining := r.deadline(c).Sub(now)
	switch {
	case r.cannotFinish(c, now):
		return nil, ErrStopping
	case remaining < minRemaining:
		return nil, errNoTime
	}
	request := r.slotRequest(c)
	request.WaitUntil = c.waitUntil(now, remaining, request.FirstEvent)
	s, err := r.Balancer.Acquire(ctx, request)
	c.Timing.Placed += time.Since(now)
	if err != nil {
		return nil, fmt.Errorf("acquire a slot: %w", err)
	}
	if r.cannotFinish(c, time.Now()) {
		s.Release()
		return nil, ErrStopping
	}
	return s, nil
}

// slotRequest returns the request for a slot for a call, without WaitUntil.
func (r *Relayer) slotRequest(c *Call) *balancer.Request {
	model, _ := c.Engine.Model(c.Model)
	return &balancer.Request{
		Service: c.Service, Model: c.Model, Team: c.Team, Priority: c.Priority, Arrived: c.Arrived,
		FirstEvent: estimator.FirstEvent(c.Engine, model, c.PromptTokens),
		Objective:  c.Arrived.Add(c.Route.TargetLatency),
		Tried:      c.tried,
		MayLeave:   func() bool { return !c.isDelivered && r.Peers.HasPeer(c.Service, c.Model) },
	}
}

var errNoTime = errors.New("no time is left")

// slotFailure returns the failure for a call that gets no slot.
func slotFailure(ctx context.Context, c *Call, err error) *responder.Failure {
	switch {
	case errors.Is(err, ErrStopping):
		return StopFailure(c, responder.NotRun)
	case errors.Is(err, errNoTime):
		return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonDeadline, err.Error())
	case errors.Is(err, balancer.ErrPaused):
		return pausedFailure(c, err)
	case errors.Is(err, balancer.ErrFull):
		return fullFailure(c, err)
	case errors.Is(err, balancer.ErrNoTarget):
		return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonNoReplica, err.Error())
	default:
		return contextFailure(ctx, c, responder.NotRun)
	}
}

// waitUntil returns until when a call may wait for a slot. A stream must get its slot
// early enough for its first event to come before the caller gives it up.
func (c *Call) waitUntil(now time.Time, remaining, firstEvent time.Duration) time.Time {
	until := now.Add(time.Duration(float64(remaining) * waitShare))
	if c.Route.Type != matcher.Stream || c.Route.Patience <= 0 {
		return until
	}
	last := c.lastEventAt()
	if abandoned := last.Add(c.Route.Patience - firstEvent); abandoned.Before(until) {
		return abandoned
	}
	return until
}

// lastEventAt returns when the caller last received a part of the response, or when
// its call arrived.
func (c *Call) lastEventAt() time.Time {
	if c.Timing.lastWrite.IsZero() {
		return c.Arrived
	}
	return c.Timing.lastWrite
}

// pausedFailure returns the failure for a call that no runner wants now. The caller is told
// when the first of them does again.
func pausedFailure(c *Call, err error) *responder.Failure {
	f := c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonReplicasPaused, err.Error())
	paused := &balancer.PausedError{}
	if errors.As(err, &paused) {
		f.RetryAfter = paused.Remaining
	}
	return f
}

// fullFailure returns the failure for a call that gets no slot. If the queue knows when
// it will have one, the caller is told to come back then.
func fullFailure(c *Call, err error) *responder.Failure {
	f := c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonReplicasFull, err.Error())
	full := &balancer.FullError{}
	if errors.As(err, &full) {
		limit := time.Duration(float64(time.Until(c.CallerDeadline)) * maxRetryShare)
		f.RetryAfter = max(min(max(full.Drained, minRetryAfter), limit, maxRetryAfter), 0)
	}
	return f
}
