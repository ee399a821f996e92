package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/timing/repeater"
)

// A silent runner may go on, so silence alone ends no attempt. While a runner is silent, the
// call is sent to another one, and the first of the two that sends something goes on.

const (
	// seekTime is how long the successor of a silent attempt waits for a slot before it checks
	// whether one is still needed.
	seekTime = time.Second
	// seekPause is the least time between two searches.
	seekPause = 25 * time.Millisecond
)

// errHasProgress ends a successor because the attempt before it goes on.
var errHasProgress = errors.New("the earlier attempt goes on")

// successor finds the attempt that goes on in place of a silent one.
type successor struct {
	relayer *Relayer
	budget  *retrier.SharedBudget
	stream  *stream
	// present is the attempt that may be silent.
	present *attempt
	// ctx is that of the call, without the present attempt.
	ctx context.Context
	// call is a copy of the call, in which the present attempt counts as sent. seekMu is held while
	// it is in use.
	seekMu sync.Mutex
	call   Call
	// base is the number of attempts in call at the start. isRefused is set once an attempt was
	// refused that does not count.
	base      int
	isRefused bool
	// isPaid is set while a retry has been spent that has reached no runner yet.
	isPaid bool

	mu sync.Mutex
	// stop ends the search under way; nil means that there is none.
	stop context.CancelCauseFunc
	// isSent is set while the call may be at another runner or node.
	isSent bool
	// isOver is set once the present attempt has ended by itself, or its response is whole or useless.
	isOver bool
	// next is the attempt that goes on.
	next *attempt
}

// watch has another attempt begin if the runner of an attempt falls silent.
func (r *Relayer) watch(ctx context.Context, c *Call, s *stream, at *attempt, b *retrier.SharedBudget) {
	if at.slot == nil || !c.Route.IsRepeatable() {
		return
	}
	n := &successor{relayer: r, budget: b, stream: s, present: at, ctx: ctx, call: *c}
	if at.response == nil {
		n.call.attempts++
	}
	n.base = n.call.attempts
	n.call.tried, n.call.triedPeers = slices.Clone(c.tried), slices.Clone(c.triedPeers)
	at.next = n
	at.slot.OnStall(func(cause error) { go n.seek(cause) })
}

// progress is what the runner of an attempt has sent.
type progress int

const (
	// partial is a part of a response.
	partial progress = iota
	// whole is the end of a response: no other attempt is needed any more.
	whole
	// useless is a refusal or an error. No other attempt begins, but one that was sent goes on.
	useless
)

// record records progress of the present attempt, which ends the search unless it is useless. It
// returns false if another attempt already goes on.
func (n *successor) record(p progress) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.next != nil {
		return false
	}
	n.present.slot.RecordProgress()
	if n.stop != nil && !n.isOver && p != useless {
		n.stop(errHasProgress)
	}
	n.isOver = n.isOver || p != partial
	return true
}

// seek sends the call elsewhere, until an attempt succeeds or the present one goes on.
func (n *successor) seek(cause error) {
	n.seekMu.Lock()
	defer n.seekMu.Unlock()
	ctx, stop := context.WithCancelCause(n.ctx)
	if !n.begin(stop) {
		stop(nil)
		return
	}
	denied := ""
	for ctx.Err() == nil {
		reason := n.denied()
		if reason != "" && reason != denied {
			countDenied(reason)
			n.relayer.Log.Info("runner is silent, request waits on", "request", n.call.ID, "runner", n.present.slot.Target.ID, "cause", cause, "no_retry_for", reason)
		}
		denied = reason
		if denied == "attempts" {
			break
		}
		if denied == "" {
			at := n.find(ctx, cause)
			if at != nil && n.offer(at, cause) {
				return
			}
			n.isPaid = n.isPaid && at == nil
			if n.endSend() {
				break
			}
		}
		repeater.Sleep(ctx, seekPause)
	}
	n.finish()
	stop(nil)
}

// begin registers a search, unless the present attempt has ended or goes on.
func (n *successor) begin(stop context.CancelCauseFunc) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isOver || n.next != nil || !n.present.slot.IsStalled() {
		return false
	}
	n.stop = stop
	return true
}

// finish ends a search without a result.
func (n *successor) finish() {
	n.mu.Lock()
	n.stop = nil
	n.mu.Unlock()
}

// endSend records that the call is at no other runner or node any more, and reports whether the
// present attempt has ended meanwhile.
func (n *successor) endSend() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isSent = false
	return n.isOver
}

// denied returns why no other attempt may begin now, or "".
func (n *successor) denied() string {
	switch {
	case n.call.attempts >= max(n.call.Route.MaxAttempts, 1), len(n.call.tried) > maxDials:
		return "attempts"
	case !n.call.guard.MayRepeat():
		return "suspect"
	case !n.isPaid && !n.budget.HasLeft():
		return "budget"
	}
	return ""
}

// find waits for a slot and sends the call there, or to another node if the targets are out of
// reach. It returns an attempt whose response has begun, or nil.
func (n *successor) find(ctx context.Context, cause error) *attempt {
	request := n.relayer.slotRequest(&n.call)
	request.WaitUntil = time.Now().Add(seekTime)
	if last := n.relayer.deadline(&n.call).Add(-minRemaining); last.Before(request.WaitUntil) {
		request.WaitUntil = last
	}
	slot, err := n.relayer.Balancer.Acquire(ctx, request)
	leaves := errors.Is(err, balancer.ErrUnreachable) && n.canLeave()
	if err != nil && !leaves || !n.isPaid && !n.budget.Spend() {
		slot.Release()
		return nil
	}
	n.isPaid = true
	n.mu.Lock()
	n.isSent = true
	n.mu.Unlock()
	countRetry(responder.ReasonStalled)
	c := &n.call
	n.relayer.logRetry(c, n.stream, responder.ReasonStalled, cause.Error(), responder.Unknown)
	if leaves {
		return n.handOver(ctx)
	}
	return n.send(ctx, slot)
}

// canLeave reports whether another node can take the call.
func (n *successor) canLeave() bool {
	if n.call.isDelivered {
		return false
	}
	_, ok := n.relayer.Peers.Choose(n.call.Service, n.call.Model, n.call.triedPeers)
	return ok
}

// handOver hands the call over to another node.
func (n *successor) handOver(ctx context.Context) *attempt {
	at, failure := n.relayer.handOver(ctx, &n.call, n.stream.last())
	if failure != nil {
		n.recordOutcome(failure)
		return nil
	}
	return n.readAhead(at)
}

// recordOutcome records how an attempt of the search has failed. As for other attempts, one that a
// runner refuses does not use up the last one, and a failed connection does not use up the retry.
func (n *successor) recordOutcome(f *responder.Failure) {
	n.isPaid = f.Reason == responder.ReasonDialFailed
	if f.Outcome == responder.Unknown {
		n.call.mayHaveRun = true
	}
	if f.Reason == responder.ReasonRefused && !n.isRefused {
		n.isRefused = true
		n.call.attempts -= extraRefusedSends
	}
}

// send sends the call to the target of a slot.
func (n *successor) send(ctx context.Context, slot *balancer.Slot) *attempt {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	guard, err := n.relayer.Breaker.Admit(breaker.Request{Parts: n.call.SharedParts, Fingerprint: n.call.Fingerprint}, cancel)
	if err != nil {
		cancel(nil)
		slot.Release()
		return nil
	}
	at := newAttempt(attemptCtx, guard, slot)
	own := n.call.guard
	defer func() { n.call.guard = own }()
	n.call.guard = guard
	n.call.tried = append(n.call.tried, slot.Target.ID)
	at.endDelivery = func() { guard.Done(); cancel(nil) }
	if failure := n.relayer.send(&n.call, at, n.stream.last()); failure != nil {
		n.recordOutcome(failure)
		at.close()
		return nil
	}
	return n.readAhead(at)
}

// readAhead returns the attempt once its response has begun, or nil if it fails before.
func (n *successor) readAhead(at *attempt) *attempt {
	isStream := n.call.Route.Type == matcher.Stream
	if !isStream && at.response.Status < http.StatusInternalServerError {
		return at
	}
	if isStream && at.response.Status == http.StatusOK {
		err := at.readAhead(n.relayer.Memory)
		if err == nil {
			return at
		}
		_ = n.relayer.streamFailure(&n.call, at, err)
	} else {
		at.slot.RecordFailure()
		at.guard.Settle()
	}
	n.call.mayHaveRun, n.isPaid = true, false
	at.close()
	return nil
}

// offer ends the present attempt in favor of another one, whose response has begun. It closes that
// one and returns false if the present attempt goes on.
func (n *successor) offer(at *attempt, cause error) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if context.Cause(at.ctx) != nil {
		at.close()
		return false
	}
	n.next = at
	n.present.cancel(cause)
	return true
}

// end records that the present attempt has ended with a failure, or nil. It returns the attempt
// that goes on in its place, and waits for the one that may already run, unless the caller needs none.
func (n *successor) end(c *Call, failure *responder.Failure) *attempt {
	isNeeded := failure != nil && failure.Reason != responder.ReasonCallerGone
	n.mu.Lock()
	n.isOver = true
	isSent := n.isSent && isNeeded && n.ctx.Err() == nil
	if n.stop != nil && n.next == nil && !isSent {
		n.stop(nil)
	}
	n.mu.Unlock()
	if failure == nil {
		return nil
	}
	n.seekMu.Lock()
	defer n.seekMu.Unlock()
	c.attempts += n.call.attempts - n.base
	c.tried, c.triedPeers = n.call.tried, n.call.triedPeers
	c.mayHaveRun = c.mayHaveRun || n.call.mayHaveRun
	if !isNeeded {
		n.next.close()
		return nil
	}
	return n.next
}
