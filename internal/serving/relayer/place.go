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
	// waitShare is the part of the time left that a request may wait for a place.
	// Longer waits served no more requests and left refused ones no time to come back.
	waitShare = 0.4
)

// place finds a target with room.
func (r *Relayer) place(ctx context.Context, c *Call) (*balancer.Slot, *responder.Failure) {
	now := time.Now()
	left := c.Deadline.Sub(now)
	if left < minLeft {
		return nil, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonDeadline, "no time is left")
	}
	request := &balancer.Request{
		Service: c.Service, Model: c.Model, Team: c.Team, Priority: c.Priority, Arrived: c.Arrived,
		Objective: c.Arrived.Add(c.Route.TargetLatency),
		WaitUntil: now.Add(time.Duration(float64(left) * waitShare)),
		Tried:     c.tried,
	}
	p, err := r.Balancer.Acquire(ctx, request)
	c.Timing.Placed += time.Since(now)
	switch {
	case err == nil:
		return p, nil
	case errors.Is(err, balancer.ErrFull):
		return nil, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonReplicasFull, err.Error())
	case errors.Is(err, balancer.ErrNoTarget):
		return nil, c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonNoReplica, err.Error())
	default:
		return nil, ended(ctx, c, responder.NotRun)
	}
}
