package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
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

// handOver sends a call to another node that reaches the runners, since this one does not, up to
// the header of the response.
func (r *Relayer) handOver(ctx context.Context, c *Call, lastEvent string) (*attempt, *responder.Failure) {
	c.stage = StagePeer
	failure := unreachableFailure(c)
	for range maxPeers {
		peer, ok := r.Peers.Choose(c.Service, c.Model, c.triedPeers)
		if c.isDelivered || !ok {
			return nil, failure
		}
		c.triedPeers = append(c.triedPeers, peer.Name)
		r.Log.Info("request is handed over", "request", c.ID, "service", c.Service, "peer", peer.Name, "remote", peer.IsRemote,
			"peer_load", peer.Load, "peer_age_ms", peer.Age.Milliseconds(), "heartbeat_age_ms", peer.HeartbeatAge.Milliseconds(), "attempts", c.attempts, "last_event", lastEvent)
		at := newAttempt(ctx, c.guard, nil)
		at.endDelivery = r.Peers.Begin(peer)
		failure = r.sendToPeer(c, at, lastEvent, peer)
		if failure == nil {
			return at, nil
		}
		at.close()
		c.mayHaveRun = c.mayHaveRun || failure.Outcome != responder.NotRun
		if !isLeftToOthers(c, failure) || ctx.Err() != nil {
			return nil, failure
		}
	}
	return nil, failure
}

// isLeftToOthers reports whether another node has not taken a call for a reason that others need
// not have: it reaches no runner either, stops, has no memory or connection to spare, or cannot decide on the call.
func isLeftToOthers(c *Call, f *responder.Failure) bool {
	switch f.Reason {
	case responder.ReasonUnreachable:
		return f.Outcome == responder.NotRun || c.Route.IsRepeatable()
	case responder.ReasonShuttingDown, responder.ReasonOutOfMemory, responder.ReasonGaveWay:
		return f.Outcome == responder.NotRun
	}
	return f.Outcome == responder.NotRun && isPeerRefusal(f.Reason)
}

// isPeerRefusal reports whether a reason is only that of another node which cannot decide on a
// call: it does not know this one, or has another configuration or none.
func isPeerRefusal(reason responder.Reason) bool {
	switch reason {
	case responder.ReasonUnknownPeer, responder.ReasonBadDelivery, responder.ReasonDeniedByPeer, responder.ReasonConfigurationStale,
		responder.ReasonConfigurationOutdated, responder.ReasonNoConfiguration, responder.ReasonUnknownModel:
		return true
	}
	return false
}

// adoptFailure turns a failure of another node into one of this node. This node has admitted the
// call, so the other one cannot deny it for good, and a status promises only what the outcome says.
func adoptFailure(c *Call, f *responder.Failure) *responder.Failure {
	f.RequestID = c.ID
	switch {
	case f.Outcome != responder.NotRun:
		if f.Status != http.StatusGatewayTimeout {
			f.Status = http.StatusBadGateway
		}
	case f.Status < http.StatusInternalServerError:
		f.Message = fmt.Sprintf("another node denies the request with %d, %s", f.Status, f.Message)
		f.Status, f.Reason, f.RetryAfter = http.StatusServiceUnavailable, responder.ReasonDeniedByPeer, unreachableRetryAfter
	}
	return f
}

func unreachableFailure(c *Call) *responder.Failure {
	f := c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonUnreachable, "this node does not reach the runners, and no other node can take the request")
	f.RetryAfter = unreachableRetryAfter
	return f
}

// sendToPeer hands a call over to one node, up to the header of the response.
func (r *Relayer) sendToPeer(c *Call, at *attempt, lastEvent string, peer deliverer.Peer) *responder.Failure {
	request := &requester.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.Body, Header: r.Wire.EndToEnd(c.Header), EchoHeader: r.Wire.Echo,
	}
	response, err := r.Peers.Send(at.ctx, peer, request, deliverer.Delivery{Age: time.Since(c.Arrived), Attempts: c.attempts, LastEvent: lastEvent, Version: c.CatalogVersion})
	if err != nil {
		return r.peerFailure(at.ctx, c, err)
	}
	at.response = response
	reply, err := deliverer.ParseReply(response)
	r.logPeerResponse(c, peer, response, reply, err)
	if err != nil {
		r.Peers.Avoid(peer)
		c.attempts++
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, err.Error())
	}
	c.attempts = max(c.attempts, reply.Attempts)
	if reply.Failure != nil {
		return adoptFailure(c, reply.Failure)
	}
	inspection := r.Wire.Inspect(response.Status, response.Header)
	if inspection.judge(response.Status) != fit {
		return unfitFailure(c, response.Status, inspection)
	}
	at.guard.RecordResponse()
	return nil
}

// logPeerResponse logs and counts a response of another node that is no success. It tells who
// has made it: the node, a runner, or neither as far as the header shows.
func (r *Relayer) logPeerResponse(c *Call, peer deliverer.Peer, response *requester.Response, reply deliverer.Reply, err error) {
	if response.Status < http.StatusMultipleChoices && err == nil {
		return
	}
	from, reason := "unknown", responder.ReasonAnswerMismatch
	switch {
	case err != nil:
	case reply.Failure != nil:
		from, reason = "node", reply.Failure.Reason
	case r.Wire.Inspect(response.Status, response.Header).Verified:
		from, reason = "runner", ""
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_peer_responses_failed_total{from=%q,status="%d"}`, from, response.Status)).Inc()
	r.Log.Info("other node has responded with a failure", "request", c.ID, "peer", peer.Name, "address", peer.Address, "status", response.Status, "from", from,
		"reason", reason, "peer_age_ms", peer.Age.Milliseconds(), "heartbeat_age_ms", peer.HeartbeatAge.Milliseconds())
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
