package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
)

// attempt is one sending of a call, to a runner or to another node.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// guard tells the breaker what happens to the attempt.
	guard *breaker.Call
	// slot is that of the runner, or nil at another node, whose work ends with endDelivery.
	slot        *balancer.Slot
	endDelivery func()
	response    *requester.Response
	// ahead holds bytes of the response's body that were read before it is relayed.
	ahead []byte
	// memory is that of incomplete events, and kept its size beyond a buffer; nil means that there
	// were only small ones.
	memory *reserver.Reservation
	kept   int
	// next finds the attempt that goes on in place of this one; nil means that none may.
	next *successor
}

// newAttempt returns an attempt that is about to begin.
func newAttempt(ctx context.Context, guard *breaker.Call, slot *balancer.Slot) *attempt {
	at := &attempt{guard: guard, slot: slot}
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	return at
}

// close ends the attempt.
func (at *attempt) close() {
	if at == nil {
		return
	}
	if at.response != nil {
		at.response.Close()
	}
	if at.memory != nil {
		at.memory.Release()
	}
	at.cancel(nil)
	if at.slot != nil {
		at.guard.End()
		at.slot.Release()
	}
	if at.endDelivery != nil {
		at.endDelivery()
	}
}

// record records that the runner has sent something. It returns false if another attempt already
// goes on in place of this one, which must not be relayed any further.
func (at *attempt) record(p progress) bool {
	if at.next != nil {
		return at.next.record(p)
	}
	at.slot.RecordProgress()
	return true
}

// send sends a call to the runner of an attempt, up to the header of the response.
func (r *Relayer) send(c *Call, at *attempt, lastEvent string) *responder.Failure {
	target := at.slot.Target
	if err := at.guard.Start(breaker.Runner{ID: target.ID, Address: target.Address, BootTime: target.BootTime}); err != nil {
		return blockedFailure(c, responder.NotRun, err)
	}
	remaining := time.Until(r.runnerDeadline(c))
	c.stage = StageConnection
	request := &requester.Request{
		Method: c.Method, Address: target.Address, Target: c.Target, Host: c.Host, Body: c.Body,
		Header: r.Wire.Header(c, target, remaining, lastEvent), EchoHeader: r.Wire.Echo,
	}
	response, err := r.Client.Do(at.ctx, request)
	if err != nil {
		return r.sendFailure(at.ctx, c, at.slot, err)
	}
	at.response = response
	c.attempts++
	c.stage = StageBody
	inspection := r.Wire.Inspect(response.Status, response.Header)
	r.logRunnerResponse(c, target, response, inspection)
	if !at.record(inspection.progress(response.Status)) {
		return r.stallFailure(at.ctx, c, at.slot)
	}
	r.recordAsked(at.slot, inspection)
	switch inspection.judge(response.Status) {
	case refusal:
		return r.refusalFailure(c, at.slot, response, inspection)
	case unfit:
		at.slot.RecordFailure()
		return unfitFailure(c, response.Status, inspection)
	}
	at.guard.RecordResponse()
	return nil
}

// relay passes the response of an attempt on to the caller.
func (r *Relayer) relay(c *Call, a *ResponseWriter, s *stream, at *attempt) *responder.Failure {
	c.stage = StageBody
	switch {
	case c.Route.Type == matcher.Stream && at.response.Status == http.StatusOK:
		return r.relayStream(c, a, s, at)
	case s.started:
		at.slot.RecordFailure()
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, fmt.Sprintf("the runner returned status %d for a resumed stream", at.response.Status))
	}
	return r.relayBuffered(c, a, at)
}

// keepEvents reserves the memory of a buffer for incomplete events, beyond the size that each
// attempt has.
func (at *attempt) keepEvents(r *reserver.Reserver, size int) error {
	extra := size - streamBufferSize - at.kept
	if extra <= 0 {
		return nil
	}
	if at.memory == nil {
		at.memory = r.Reserve(at.response.Address(), at.response.Abort)
	}
	if err := at.memory.Grow(at.ctx, int64(extra)); err != nil {
		return fmt.Errorf("keep an event of more than %d bytes: %w", size-extra, err)
	}
	at.kept += extra
	return nil
}

// readAhead reads a streamed response until it has a whole event or ends.
func (at *attempt) readAhead(memory *reserver.Reserver) error {
	buffer := make([]byte, streamBufferSize)
	for len(at.ahead) <= maxEventSize {
		n, err := at.response.Body.Read(buffer)
		searched := len(at.ahead)
		at.ahead = append(at.ahead, buffer[:n]...)
		if err := at.keepEvents(memory, cap(at.ahead)); err != nil {
			return err
		}
		switch {
		case lastEventEnd(at.ahead, searched) > 0, errors.Is(err, io.EOF) && len(at.ahead) == 0 && !at.response.EndsWithConnection:
			return nil
		case err != nil:
			return fmt.Errorf("read the first event: %w", err)
		}
	}
	at.memory.RecordEndless()
	return errEventTooLarge
}
