package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/balancer"
)

const (
	// waitShare is the part of the remaining time for which a request may wait for a
	// slot. Longer waits served no more requests and left refused callers no time to
	// retry.
	waitShare = 0.4
)

// acquireSlot acquires a slot at a target, waiting for it if necessary.
func (r *Relayer) acquireSlot(ctx context.Context, c *Call) (*balancer.Slot, *responder.Failure) {
	now := time.Now()
	remaining := c.Deadline.Sub(now)
	if remaining < minRemaining {
		return nil, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonDeadline, "no time is left")
	}
	request := &balancer.Request{
		Service: c.Service, Model: c.Model, Team: c.Team, Priority: c.Priority, Arrived: c.Arrived,
		Objective: c.Arrived.Add(c.Route.TargetLatency),
		WaitUntil: now.Add(time.Duration(float64(remaining) * waitShare)),
		Tried:     c.tried,
	}
	s, err := r.Balancer.Acquire(ctx, request)
	c.Timing.Placed += time.Since(now)
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, balancer.ErrFull):
		return nil, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonReplicasFull, err.Error())
	case errors.Is(err, balancer.ErrNoTarget):
		return nil, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonNoReplica, err.Error())
	default:
		return nil, contextFailure(ctx, c, responder.NotRun)
	}
}
