package executor

import (
	"context"
	"net/http"
	"time"

	"marjorammoor/internal/claims/claimer"
	"marjorammoor/internal/gateway/forwarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/encoder"
)

// follow asks the holder of a claim how the request ended and answers accordingly.
// It runs the request on this node if the holder hands it over.
func (e *Executor) follow(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run, holder claimer.Claim) *responder.Failure {
	reply := e.fetch(ctx, r, attemptRef{name: holder.Node, incarnation: holder.Incarnation}, true)
	if reply != nil && reply.State == string(stateTakenOver) && reply.Attempt == r.requestID {
		takenOver.Inc()
		return e.execute(ctx, w, c, r)
	}
	// Another node has the outcome, so this node keeps no run for the key.
	e.runs.Update(r.key, func(current *run, ok bool) (*run, bool) { return current, ok && current != r })
	if holderCanBeAsked(ctx, reply) {
		r.finish(stateElsewhere, "", nil)
	} else {
		r.finish(stateUnknown, responder.ReasonEarlierAttemptUnknown, nil)
	}
	return e.writeReply(ctx, w, c, reply)
}

// holderCanBeAsked reports whether the attempts that wait on this node should ask
// the holder themselves: the holder has the response or still runs the request, or
// the attempt that asked got no reply because its own context ended.
func holderCanBeAsked(ctx context.Context, reply *encoder.FetchReply) bool {
	if reply == nil {
		return ctx.Err() != nil
	}
	return reply.State == string(stateCompleted) || reply.State == string(stateRunning)
}

// askTaker answers an attempt with the reply of the node that took the request over
// from this node.
func (e *Executor) askTaker(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, key string, taker attemptRef) *responder.Failure {
	return e.writeReply(ctx, w, c, e.fetch(ctx, &run{key: key}, taker, false))
}

// writeReply answers an attempt with a peer's reply; nil means that there is none.
func (e *Executor) writeReply(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, reply *encoder.FetchReply) *responder.Failure {
	switch {
	case reply == nil && ctx.Err() != nil:
		return e.stillRunning(ctx, c)
	case reply == nil:
		return e.unknownOutcome(c, stateUnknown, "")
	}
	switch state(reply.State) {
	case stateCompleted:
		repeatedPeer.Inc()
		resp := &response{status: int(reply.Status), header: http.Header{}, body: reply.Body}
		for _, h := range reply.Headers {
			resp.header[h.Name] = h.Values
		}
		writeResponse(w, c, reply.RequestId, resp)
		return nil
	case stateRunning:
		return e.stillRunning(ctx, c)
	default:
		return e.unknownOutcome(c, state(reply.State), responder.Reason(reply.Reason))
	}
}

// fetch asks a node how the request ended, and follows handovers to the nodes that
// took it over, until the request has ended. It returns nil if no node gives a final
// reply. With canTakeOver it offers to run the request here if it was provably not
// run.
func (e *Executor) fetch(ctx context.Context, r *run, peer attemptRef, canTakeOver bool) *encoder.FetchReply {
	if e.Fetch == nil {
		return nil
	}
	q := &encoder.FetchRequest{Key: r.key, WaitMs: fetchWait.Milliseconds()}
	if canTakeOver {
		q.Taker = &encoder.Node{Name: e.Self, Incarnation: e.Incarnation}
		q.TakerAttempt = r.requestID
	}
	for hops := 0; hops < maxHops && ctx.Err() == nil; {
		if peer.incarnation == e.Incarnation {
			return nil
		}
		q.Incarnation = peer.incarnation
		reply, err := e.Fetch(ctx, peer.name, peer.incarnation, q)
		if err != nil {
			return nil
		}
		switch {
		case reply.State == string(stateRunning):
		case reply.State == string(stateTakenOver) && reply.Incarnation != e.Incarnation:
			peer = attemptRef{name: reply.Node, incarnation: reply.Incarnation, attempt: reply.Attempt}
			hops++
		default:
			return reply
		}
	}
	return nil
}

// OnFetch answers a peer's fetch: it waits for the run to end, at most q.WaitMs, and
// returns its state. If the request was provably not run and the peer offers to take
// it over, OnFetch hands it over.
func (e *Executor) OnFetch(ctx context.Context, q *encoder.FetchRequest) (*encoder.FetchReply, error) {
	r, ok := e.runs.Get(q.Key)
	if !ok || q.Incarnation != e.Incarnation {
		return &encoder.FetchReply{State: string(stateUnknown)}, nil
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	case <-time.After(time.Duration(q.WaitMs) * time.Millisecond):
	}
	if t := q.Taker; t != nil {
		r.handOver(attemptRef{t.Name, t.Incarnation, q.TakerAttempt})
	}
	return e.describe(r), nil
}

// describe returns the state of a run as the reply to a peer.
func (e *Executor) describe(r *run) *encoder.FetchReply {
	s, reason, resp, taker := r.snapshot()
	reply := &encoder.FetchReply{State: string(s), Reason: string(reason), RequestId: r.requestID}
	reply.Node, reply.Incarnation, reply.Attempt = taker.name, taker.incarnation, taker.attempt
	if s == stateNotRun || s == stateElsewhere {
		// The request was not handed over, or this node only waited for another one;
		// the asking node must not run it.
		reply.State = string(stateUnknown)
	}
	if resp != nil {
		reply.Status, reply.Body = int32(resp.status), resp.body
		for k, v := range resp.header {
			reply.Headers = append(reply.Headers, &encoder.Header{Name: k, Values: v})
		}
	}
	return reply
}
