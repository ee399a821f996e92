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

// follow asks the holder of a claim what became of the request. It runs the
// request here if the holder gives it away.
func (e *Executor) follow(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run, holder claimer.Claim) *responder.Failure {
	reply := e.fetch(ctx, r, takerNode{name: holder.Node, incarnation: holder.Incarnation}, true)
	if reply != nil && reply.State == string(stateTakenOver) && reply.Attempt == r.requestID {
		takenOver.Inc()
		return e.run(ctx, w, c, r)
	}
	// The end is known elsewhere; this node keeps no run of its own.
	e.runs.Update(r.key, func(now *run, ok bool) (*run, bool) { return now, ok && now != r })
	if canBeAsked(ctx, reply) {
		r.finish(stateElsewhere, "", nil)
	} else {
		r.finish(stateUnknown, responder.ReasonEarlierUnknown, nil)
	}
	return e.tell(ctx, w, c, reply)
}

// canBeAsked reports whether further attempts that wait here should ask the
// holder themselves: it has the answer, or the attempt that asked has given up.
func canBeAsked(ctx context.Context, reply *encoder.FetchReply) bool {
	if reply == nil {
		return ctx.Err() != nil
	}
	return reply.State == string(stateCompleted) || reply.State == string(stateRunning)
}

// ask answers out of what the peer says that took a request over from here.
func (e *Executor) ask(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, key string, taker takerNode) *responder.Failure {
	return e.tell(ctx, w, c, e.fetch(ctx, &run{key: key}, taker, false))
}

// tell answers an attempt with what a peer has said, or nil for nothing.
func (e *Executor) tell(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, reply *encoder.FetchReply) *responder.Failure {
	switch {
	case reply == nil && ctx.Err() != nil:
		return e.undecided(ctx, c)
	case reply == nil:
		return e.unknown(c, stateUnknown, "")
	}
	switch state(reply.State) {
	case stateCompleted:
		repeatedPeer.Inc()
		a := &answer{status: int(reply.Status), header: http.Header{}, body: reply.Body}
		for _, h := range reply.Headers {
			a.header[h.Name] = h.Values
		}
		write(w, c, reply.RequestId, a)
		return nil
	case stateRunning:
		return e.undecided(ctx, c)
	default:
		return e.unknown(c, state(reply.State), responder.Reason(reply.Reason))
	}
}

// fetch asks a node, and those that took the request over from it, until the
// request has ended. It returns nil if that cannot be learned.
func (e *Executor) fetch(ctx context.Context, r *run, at takerNode, mayTake bool) *encoder.FetchReply {
	if e.Fetch == nil {
		return nil
	}
	q := &encoder.FetchRequest{Key: r.key, WaitMs: fetchWait.Milliseconds()}
	if mayTake {
		q.Taker = &encoder.Node{Name: e.Self, Incarnation: e.Incarnation}
		q.TakerAttempt = r.requestID
	}
	for hops := 0; hops < maxHops && ctx.Err() == nil; {
		if at.incarnation == e.Incarnation {
			return nil
		}
		q.Incarnation = at.incarnation
		reply, err := e.Fetch(ctx, at.name, at.incarnation, q)
		if err != nil {
			return nil
		}
		switch {
		case reply.State == string(stateRunning):
		case reply.State == string(stateTakenOver) && reply.Incarnation != e.Incarnation:
			at = takerNode{name: reply.Node, incarnation: reply.Incarnation, attempt: reply.Attempt}
			hops++
		default:
			return reply
		}
	}
	return nil
}

// OnFetch tells a peer how a request ended here, and gives it away if it was
// provably not run and the peer asks for that.
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
		r.takeOver(takerNode{t.Name, t.Incarnation, q.TakerAttempt})
	}
	return e.describe(r), nil
}

func (e *Executor) describe(r *run) *encoder.FetchReply {
	s, reason, a, taker := r.current()
	reply := &encoder.FetchReply{State: string(s), Reason: string(reason), RequestId: r.requestID}
	reply.Node, reply.Incarnation, reply.Attempt = taker.name, taker.incarnation, taker.attempt
	if s == stateNotRun || s == stateElsewhere {
		// Nobody took it over, or this node only waited for another one; the asker
		// may not run it.
		reply.State = string(stateUnknown)
	}
	if a != nil {
		reply.Status, reply.Body = int32(a.status), a.body
		for k, v := range a.header {
			reply.Headers = append(reply.Headers, &encoder.Header{Name: k, Values: v})
		}
	}
	return reply
}
