package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/matcher"
)

const (
	// maxPeers is the number of nodes that a request is handed over to before it is given up.
	maxPeers = 3
	// unreachableRetryAfter is the Retry-After time for callers of a node that reaches no
	// runner. By then it has probed them again.
	unreachableRetryAfter = 500 * time.Millisecond
)

// Adopt takes over what another node tells of a call that it has handed over. The call is
// not handed over again.
func (c *Call) Adopt(d deliverer.Delivery) {
	c.isDelivered = true
	c.attempts = d.Attempts
	if d.LastEvent != "" {
		c.LastEvent = d.LastEvent
	}
}

// handOver sends a call to another node that reaches the runners, since this one does not.
func (r *Relayer) handOver(ctx context.Context, c *Call, a *ResponseWriter, s *stream) *responder.Failure {
	c.stage = StagePeer
	failure := unreachableFailure(c)
	for range maxPeers {
		peer, ok := r.Peers.Choose(c.Service, c.Model, c.triedPeers)
		if c.isDelivered || !ok {
			return failure
		}
		c.triedPeers = append(c.triedPeers, peer.Name)
		r.Log.Info("request is handed over", "request", c.ID, "service", c.Service, "peer", peer.Name, "remote", peer.IsRemote,
			"peer_load", peer.Load, "attempts", c.attempts, "last_event", s.lastID)
		failure = r.sendToPeer(ctx, c, a, s, peer)
		if failure == nil || failure.Reason != responder.ReasonUnreachable || ctx.Err() != nil {
			return failure
		}
	}
	return failure
}

func unreachableFailure(c *Call) *responder.Failure {
	f := c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonUnreachable, "this node does not reach the runners, and no other node can take the request")
	f.RetryAfter = unreachableRetryAfter
	return f
}

// sendToPeer hands a call over to one node and relays the response.
func (r *Relayer) sendToPeer(ctx context.Context, c *Call, a *ResponseWriter, s *stream, peer deliverer.Peer) *responder.Failure {
	defer r.Peers.Begin(peer)()
	request := &requester.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.Body, Header: r.Wire.EndToEnd(c.Header), EchoHeader: r.Wire.Echo,
	}
	response, err := r.Peers.Send(ctx, peer, request, deliverer.Delivery{Age: time.Since(c.Arrived), Attempts: c.attempts, LastEvent: s.lastID})
	if err != nil {
		return r.peerFailure(ctx, c, err)
	}
	defer response.Close()
	if f, failed := deliverer.ParseFailure(response); failed {
		c.attempts = max(c.attempts, f.Attempts)
		f.RequestID = c.ID
		return f
	}
	c.attempts = max(c.attempts, deliverer.ParseAttempts(response.Header))
	c.stage = StageBody
	inspection := r.Wire.Inspect(response.Status, response.Header)
	if !inspection.Verified || inspection.Encoded {
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, errUnverifiedResponse.Error())
	}
	c.guard.RecordResponse()
	switch {
	case c.Route.Type == matcher.Stream && response.Status == http.StatusOK:
		return r.relayStream(ctx, c, a, s, nil, response)
	case s.started:
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, fmt.Sprintf("status %d for a resumed stream", response.Status))
	}
	return r.relayBuffered(ctx, c, a, nil, response)
}

// peerFailure returns the failure for a call to which another node gave no response. If that
// node may have got it, the call may have run.
func (r *Relayer) peerFailure(ctx context.Context, c *Call, err error) *responder.Failure {
	isSent := requester.MaySent(err)
	switch {
	case !isSent && ctx.Err() != nil:
		return contextFailure(ctx, c, responder.NotRun)
	case !isSent:
		f := unreachableFailure(c)
		f.Message = err.Error()
		return f
	case ctx.Err() != nil:
		c.attempts++
		return contextFailure(ctx, c, responder.Unknown)
	}
	c.attempts++
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("the other node closed the connection: %w", err)
	}
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, err.Error())
}
