package executor

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/claims/claimer"
	"marjorammoor/internal/gateway/forwarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/encoder"
	"marjorammoor/internal/state/sharder"
	"marjorammoor/internal/timing/repeater"
)

const (
	// claimTimeout bounds the time to claim a key.
	claimTimeout = 5 * time.Second
	// fetchWait is how long the holder of a claim waits for the run to end before it
	// answers one fetch.
	fetchWait = 10 * time.Second
	// maxHops is the number of handovers from node to node that a fetch follows.
	maxHops = 4
	// sweepInterval is the time between two sweeps of the ended runs.
	sweepInterval = time.Second
)

var (
	runsStarted      = metrics.NewCounter(`marjorammoor_keyed_runs_total`)
	repeatedHere     = metrics.NewCounter(`marjorammoor_keyed_repeats_total{answered="here"}`)
	repeatedPeer     = metrics.NewCounter(`marjorammoor_keyed_repeats_total{answered="peer"}`)
	repeatUnknown    = metrics.NewCounter(`marjorammoor_keyed_repeats_total{answered="unknown"}`)
	takenOver        = metrics.NewCounter(`marjorammoor_keyed_taken_over_total`)
	responsesDropped = metrics.NewCounter(`marjorammoor_keyed_answers_dropped_total`)
)

// ServeFunc sends a call to a runner and writes the response to w, as
// forwarder.Forwarder.Serve does.
type ServeFunc func(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure

// Executor runs requests with idempotency keys. Set Claimer, Serve, Self and
// Incarnation before use.
type Executor struct {
	Claimer *claimer.Claimer
	Serve   ServeFunc
	// Self is the name of this node.
	Self string
	// Incarnation identifies this process of the node; a restart changes it.
	Incarnation string
	// Fetch asks another node, the holder of a claim, how the request ended; nil
	// means that no other node can be asked.
	Fetch func(ctx context.Context, node, incarnation string, r *encoder.FetchRequest) (*encoder.FetchReply, error)

	// runs holds the runs on this node by key, in the form of claimer.Key.
	runs sharder.Map[string, *run]
	// sweepMu prevents concurrent sweeps.
	sweepMu sync.Mutex
}

// ServeOnce runs a call that has an idempotency key if no attempt with the key has
// run. Otherwise it answers with the response or failure of the earlier attempt.
func (e *Executor) ServeOnce(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure {
	candidate := newRun(claimer.Key(c.Team, c.Deployment, c.Key), claimer.Fingerprint(c.Method, c.Path, c.Body), c.RequestID)
	for {
		r, isNew := e.register(candidate)
		if isNew {
			return e.claimAndRun(ctx, w, c, r)
		}
		if r.fingerprint != candidate.fingerprint {
			return e.keyReused(c)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return e.stillRunning(ctx, c)
		}
		switch s, _, _, _ := r.snapshot(); s {
		case stateElsewhere:
		case stateNotRun:
			if e.replace(r, candidate) {
				return e.claimAndRun(ctx, w, c, candidate)
			}
		default:
			repeatedHere.Inc()
			return e.replay(ctx, w, c, r)
		}
	}
}

// register stores candidate as the run of its key, unless the key has a run. It
// returns the key's run, and whether that is candidate.
func (e *Executor) register(candidate *run) (*run, bool) {
	r := e.runs.GetOrCreate(candidate.key, func() *run { return candidate })
	return r, r == candidate
}

// replace stores candidate in place of a run whose request was provably not run. It
// returns false if another attempt or node has taken the request over first.
func (e *Executor) replace(old, candidate *run) bool {
	if !old.handOver(attemptRef{e.Self, e.Incarnation, candidate.requestID}) {
		return false
	}
	candidate.inheritsClaim = true
	current := e.runs.Update(old.key, func(current *run, ok bool) (*run, bool) {
		if !ok || current == old {
			return candidate, true
		}
		return current, true
	})
	return current == candidate
}

// claimAndRun claims the key and runs the request if the claim is granted. If
// another attempt holds the key, it follows the holder.
func (e *Executor) claimAndRun(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run) *responder.Failure {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	holder, err := e.Claimer.Claim(claimCtx, claimer.Claim{
		Key: r.key, Fingerprint: r.fingerprint, Node: e.Self, Incarnation: e.Incarnation,
		Attempt: c.RequestID, At: time.Now().Unix(),
	})
	switch {
	case err != nil:
		r.finish(stateNotRun, responder.ReasonClaimsUnavailable, nil)
		return notRun(c, http.StatusServiceUnavailable, responder.ReasonClaimsUnavailable, "the idempotency key could not be claimed")
	case holder.Attempt == c.RequestID, r.inheritsClaim && e.isOwn(holder):
		return e.execute(ctx, w, c, r)
	case holder.Fingerprint != r.fingerprint:
		r.finish(stateUnknown, responder.ReasonKeyReused, nil)
		e.runs.Delete(r.key)
		return e.keyReused(c)
	}
	return e.follow(ctx, w, c, r, holder)
}

// isOwn reports whether this node holds the claim, in its current incarnation.
func (e *Executor) isOwn(holder claimer.Claim) bool {
	return holder.Node == e.Self && holder.Incarnation == e.Incarnation
}

// execute runs the call. The run continues after the caller has disconnected.
func (e *Executor) execute(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run) *responder.Failure {
	runsStarted.Inc()
	rec := &responseRecorder{caller: w, header: http.Header{}}
	ended := make(chan *responder.Failure, 1)
	go func() { ended <- e.serve(ctx, c, r, rec) }()
	select {
	case failure := <-ended:
		rec.complete()
		return failure
	case <-ctx.Done():
		rec.detach()
		return e.stillRunning(ctx, c)
	}
}

// serve runs the call under the caller's deadline but not its cancellation, and
// records in r how it ended. After a panic of Serve the outcome is unknown.
func (e *Executor) serve(ctx context.Context, c *forwarder.Call, r *run, rec *responseRecorder) (failure *responder.Failure) {
	work := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		work, cancel = context.WithDeadline(work, deadline)
		defer cancel()
	}
	defer func() {
		if p := recover(); p != nil {
			failure = &responder.Failure{
				Status: http.StatusBadGateway, Outcome: responder.Unknown, Reason: responder.ReasonConnectionBroken,
				Message: "the answer broke off", RequestID: c.RequestID, Attempts: c.Attempts,
			}
			r.finish(stateUnknown, failure.Reason, nil)
		}
	}()
	failure = e.Serve(work, rec, c)
	switch {
	case failure != nil && failure.Outcome == responder.NotRun:
		r.finish(stateNotRun, failure.Reason, nil)
	case failure != nil:
		r.finish(stateUnknown, failure.Reason, nil)
	case rec.header.Get(responder.HeaderOutcome) != string(responder.Completed):
		r.finish(stateUnknown, responder.ReasonStreamBroken, nil)
	default:
		e.keepResponse(r, rec.response())
	}
	return failure
}

// keepResponse ends a completed run and keeps its response; resp is nil if the
// response was too large.
func (e *Executor) keepResponse(r *run, resp *response) {
	if resp == nil {
		responsesDropped.Inc()
		r.finish(stateNotKept, "", nil)
		return
	}
	r.finish(stateCompleted, "", resp)
}

// replay answers a further attempt from a run that has ended on this node.
func (e *Executor) replay(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run) *responder.Failure {
	s, reason, resp, taker := r.snapshot()
	switch s {
	case stateCompleted:
		writeResponse(w, c, r.requestID, resp)
		return nil
	case stateTakenOver:
		return e.askTaker(ctx, w, c, r.key, taker)
	default:
		return e.unknownOutcome(c, s, reason)
	}
}

// writeResponse answers with a kept response. The call gets the request ID of the
// attempt that ran.
func writeResponse(w http.ResponseWriter, c *forwarder.Call, requestID string, resp *response) {
	c.RequestID = requestID
	copyInto(w.Header(), resp.header)
	w.Header().Del("Trailer")
	w.Header().Set(responder.HeaderRequestID, requestID)
	w.Header().Set(responder.HeaderOutcome, string(responder.Completed))
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body)
}

// Run sweeps ended runs every sweepInterval until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	repeater.Every(ctx, sweepInterval, e.Sweep)
}

// Sweep deletes the runs that ended more than responseRetention ago, and drops the
// oldest responses while all together exceed maxKeptBytes.
func (e *Executor) Sweep() {
	e.sweepMu.Lock()
	defer e.sweepMu.Unlock()
	ended, total := []*run{}, 0
	e.runs.Each(func(_ string, r *run) bool {
		if s, _, _, _ := r.snapshot(); s == stateRunning {
			return true
		}
		ended = append(ended, r)
		total += r.responseBytes()
		return true
	})
	slices.SortFunc(ended, func(a, b *run) int { return a.endedAt.Compare(b.endedAt) })
	for _, r := range ended {
		if total > maxKeptBytes {
			total -= r.responseBytes()
			r.dropResponse()
			responsesDropped.Inc()
		}
		if time.Since(r.endedAt) > responseRetention {
			e.runs.Delete(r.key)
		}
	}
}

// stillRunning returns the failure of an attempt whose deadline has passed, or whose
// caller has disconnected, while the run continues.
func (e *Executor) stillRunning(ctx context.Context, c *forwarder.Call) *responder.Failure {
	f := &responder.Failure{
		Status: http.StatusGatewayTimeout, Outcome: responder.Unknown, Reason: responder.ReasonDeadline,
		Message: "the request is still running; try again with the same key", RequestID: c.RequestID, Attempts: c.Attempts,
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Reason = responder.ReasonCallerGone
	}
	return f
}

// unknownOutcome returns the failure of an attempt for which an earlier attempt's
// response is not available; s and reason tell how that attempt ended.
func (e *Executor) unknownOutcome(c *forwarder.Call, s state, reason responder.Reason) *responder.Failure {
	repeatUnknown.Inc()
	f := &responder.Failure{
		Status: http.StatusConflict, Outcome: responder.Unknown, Reason: responder.ReasonEarlierAttemptUnknown,
		Message: "an earlier attempt with this key ended without a known outcome", RequestID: c.RequestID,
	}
	if reason != "" {
		f.Message += " (" + string(reason) + ")"
	}
	if s == stateNotKept {
		f.Outcome, f.Reason = responder.Completed, responder.ReasonAnswerNotKept
		f.Message = "an earlier attempt with this key completed, but its answer is no longer kept"
	}
	return f
}

// keyReused returns the failure of an attempt whose key belongs to a different
// request.
func (e *Executor) keyReused(c *forwarder.Call) *responder.Failure {
	return notRun(c, http.StatusUnprocessableEntity, responder.ReasonKeyReused, "the idempotency key was used for another request")
}

func notRun(c *forwarder.Call, status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: c.RequestID, Attempts: c.Attempts,
	}
}
