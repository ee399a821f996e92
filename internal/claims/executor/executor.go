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
	// claimTimeout bounds how long a claim may take.
	claimTimeout = 5 * time.Second
	// fetchWait is how long one question to a holder waits for the end.
	fetchWait = 10 * time.Second
	// maxHops bounds how often a request that was taken over is followed.
	maxHops = 4
	// sweepInterval is how often kept answers are looked through.
	sweepInterval = time.Second
)

var (
	runsStarted   = metrics.NewCounter(`marjorammoor_keyed_runs_total`)
	repeatedHere  = metrics.NewCounter(`marjorammoor_keyed_repeats_total{answered="here"}`)
	repeatedPeer  = metrics.NewCounter(`marjorammoor_keyed_repeats_total{answered="peer"}`)
	repeatUnknown = metrics.NewCounter(`marjorammoor_keyed_repeats_total{answered="unknown"}`)
	takenOver     = metrics.NewCounter(`marjorammoor_keyed_taken_over_total`)
	answersLost   = metrics.NewCounter(`marjorammoor_keyed_answers_dropped_total`)
)

// ServeFunc carries a call out, as forwarder.Forwarder.Serve does.
type ServeFunc func(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure

// Executor runs requests with idempotency keys. Set Claimer, Serve, Self and
// Incarnation before use.
type Executor struct {
	Claimer     *claimer.Claimer
	Serve       ServeFunc
	Self        string
	Incarnation string
	// Fetch asks the holder of a claim how the request ended; nil means that no
	// other node can be asked.
	Fetch func(ctx context.Context, node, incarnation string, r *encoder.FetchRequest) (*encoder.FetchReply, error)

	runs sharder.Map[string, *run]
	mu   sync.Mutex
}

// Once carries out a call with a key at most once, or answers with what became
// of the first attempt.
func (e *Executor) Once(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure {
	mine := newRun(claimer.Key(c.Team, c.Deployment, c.Key), claimer.Fingerprint(c.Method, c.Path, c.Body), c.RequestID)
	for {
		r, isMine := e.enter(mine)
		if isMine {
			return e.first(ctx, w, c, r)
		}
		if r.fingerprint != mine.fingerprint {
			return e.reused(c)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return e.undecided(ctx, c)
		}
		switch s, _, _, _ := r.current(); s {
		case stateElsewhere:
		case stateNotRun:
			if e.replace(r, mine) {
				return e.first(ctx, w, c, mine)
			}
		default:
			repeatedHere.Inc()
			return e.repeat(ctx, w, c, r)
		}
	}
}

// enter makes mine the run of its key unless there is one.
func (e *Executor) enter(mine *run) (*run, bool) {
	r := e.runs.GetOrCreate(mine.key, func() *run { return mine })
	return r, r == mine
}

// replace puts mine in the place of a run that was provably not run, unless
// another attempt or node was faster.
func (e *Executor) replace(old, mine *run) bool {
	if !old.takeOver(takerNode{e.Self, e.Incarnation, mine.requestID}) {
		return false
	}
	mine.inherits = true
	now := e.runs.Update(old.key, func(now *run, ok bool) (*run, bool) {
		if !ok || now == old {
			return mine, true
		}
		return now, true
	})
	return now == mine
}

// first claims the key and runs the request if the claim is granted.
func (e *Executor) first(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run) *responder.Failure {
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
	case holder.Attempt == c.RequestID, r.inherits && e.isOwn(holder):
		return e.run(ctx, w, c, r)
	case holder.Fingerprint != r.fingerprint:
		r.finish(stateUnknown, responder.ReasonKeyReused, nil)
		e.runs.Delete(r.key)
		return e.reused(c)
	}
	return e.follow(ctx, w, c, r, holder)
}

func (e *Executor) isOwn(holder claimer.Claim) bool {
	return holder.Node == e.Self && holder.Incarnation == e.Incarnation
}

// run carries the call out, beyond the life of its caller.
func (e *Executor) run(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run) *responder.Failure {
	runsStarted.Inc()
	rec := &recorder{caller: w, header: http.Header{}}
	ended := make(chan *responder.Failure, 1)
	go func() { ended <- e.carryOut(ctx, c, r, rec) }()
	select {
	case failure := <-ended:
		rec.complete()
		return failure
	case <-ctx.Done():
		rec.detach()
		return e.undecided(ctx, c)
	}
}

func (e *Executor) carryOut(ctx context.Context, c *forwarder.Call, r *run, rec *recorder) (failure *responder.Failure) {
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
		e.keep(r, rec.kept())
	}
	return failure
}

func (e *Executor) keep(r *run, a *answer) {
	if a == nil {
		answersLost.Inc()
		r.finish(stateNotKept, "", nil)
		return
	}
	r.finish(stateCompleted, "", a)
}

// repeat answers a further attempt out of a run that has ended here.
func (e *Executor) repeat(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, r *run) *responder.Failure {
	s, reason, a, taker := r.current()
	switch s {
	case stateCompleted:
		write(w, c, r.requestID, a)
		return nil
	case stateTakenOver:
		return e.ask(ctx, w, c, r.key, taker)
	default:
		return e.unknown(c, s, reason)
	}
}

// write answers with a kept answer. The request is named as it ran.
func write(w http.ResponseWriter, c *forwarder.Call, requestID string, a *answer) {
	c.RequestID = requestID
	copyInto(w.Header(), a.header)
	w.Header().Del("Trailer")
	w.Header().Set(responder.HeaderRequestID, requestID)
	w.Header().Set(responder.HeaderOutcome, string(responder.Completed))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// Run forgets old answers until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	repeater.Every(ctx, sweepInterval, e.Sweep)
}

// Sweep forgets runs that ended longer ago than answers are kept, and drops the
// oldest answers when all take too much memory.
func (e *Executor) Sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended, total := []*run{}, 0
	e.runs.Each(func(_ string, r *run) bool {
		if s, _, _, _ := r.current(); s == stateRunning {
			return true
		}
		ended = append(ended, r)
		total += r.size()
		return true
	})
	slices.SortFunc(ended, func(a, b *run) int { return a.endedAt.Compare(b.endedAt) })
	for _, r := range ended {
		if total > maxKeptBytes {
			total -= r.size()
			r.dropAnswer()
			answersLost.Inc()
		}
		if time.Since(r.endedAt) > keepTime {
			e.runs.Delete(r.key)
		}
	}
}

// undecided answers an attempt that cannot wait any longer for the end.
func (e *Executor) undecided(ctx context.Context, c *forwarder.Call) *responder.Failure {
	f := &responder.Failure{
		Status: http.StatusGatewayTimeout, Outcome: responder.Unknown, Reason: responder.ReasonDeadline,
		Message: "the request is still running; try again with the same key", RequestID: c.RequestID, Attempts: c.Attempts,
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.Reason = responder.ReasonCallerGone
	}
	return f
}

func (e *Executor) unknown(c *forwarder.Call, s state, reason responder.Reason) *responder.Failure {
	repeatUnknown.Inc()
	f := &responder.Failure{
		Status: http.StatusConflict, Outcome: responder.Unknown, Reason: responder.ReasonEarlierUnknown,
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

func (e *Executor) reused(c *forwarder.Call) *responder.Failure {
	return notRun(c, http.StatusUnprocessableEntity, responder.ReasonKeyReused, "the idempotency key was used for another request")
}

func notRun(c *forwarder.Call, status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: c.RequestID, Attempts: c.Attempts,
	}
}
