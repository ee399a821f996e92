package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/balancer"
)

const (
	streamBufferSize = 8 << 10
	// maxEventSize bounds the size of one event of a stream in bytes.
	maxEventSize = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")

	errOutOfOrder = errors.New("an event of the stream is out of order")
	errNoEvent    = errors.New("the connection was closed before the first event")

	errEventTooLarge = errors.New("an event is too large")
)

// stream is the state of a streamed response to the caller, over all attempts.
type stream struct {
	// started is set once the header has been written to the caller.
	started bool
	// lastID is the ID of the last event that the caller has received. mu is held while it
	// changes, as other goroutines read it.
	mu     sync.Mutex
	lastID string
	// pending holds received bytes that do not yet form a complete event, and hasEvent is
	// set once the current attempt has sent one.
	pending  []byte
	hasEvent bool
}

// last returns the ID of the last event that the caller has received.
func (s *stream) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

// relayStream forwards complete events to the caller until the response ends.
func (r *Relayer) relayStream(c *Call, a *ResponseWriter, s *stream, at *attempt) *responder.Failure {
	s.pending, s.hasEvent = at.ahead, false
	defer func() { s.pending = nil }()
	if failure := r.forwardEvents(c, a, s, at, 0); failure != nil {
		return failure
	}
	buffer := make([]byte, streamBufferSize)
	for {
		n, readErr := at.response.Body.Read(buffer)
		if n > 0 {
			searched := len(s.pending)
			s.pending = append(s.pending, buffer[:n]...)
			if err := at.keepEvents(r.Memory, cap(s.pending)); err != nil {
				return r.streamFailure(c, at, err)
			}
			if failure := r.forwardEvents(c, a, s, at, searched); failure != nil {
				return failure
			}
		}
		switch {
		case readErr == nil:
		case errors.Is(readErr, io.EOF) && at.response.EndsWithConnection && !s.hasEvent:
			return r.streamFailure(c, at, errNoEvent)
		case errors.Is(readErr, io.EOF) && len(s.pending) == 0:
			if !at.record(whole) {
				return r.stallFailure(at.ctx, c, at.slot)
			}
			at.slot.RecordSuccess()
			if !at.response.EndsWithConnection {
				c.guard.Complete()
			}
			r.writeHeader(a, s, at.response)
			return nil
		default:
			return r.streamFailure(c, at, readErr)
		}
	}
}

// writeHeader writes the header of the response to the caller, unless an earlier
// attempt already has.
func (r *Relayer) writeHeader(a *ResponseWriter, s *stream, response *requester.Response) {
	if s.started {
		return
	}
	s.started = true
	a.Start(response.Status, r.Wire.EndToEnd(response.Header))
}

// forwardEvents writes the complete events among the pending bytes to the caller. Only
// complete events count as progress of the target: single bytes now and then do not
// keep a stalled stream alive. The first bytes, as many as searched, hold no complete event.
func (r *Relayer) forwardEvents(c *Call, a *ResponseWriter, s *stream, at *attempt, searched int) *responder.Failure {
	end := lastEventEnd(s.pending, searched)
	if end == 0 {
		if len(s.pending) > maxEventSize {
			at.memory.RecordEndless()
			at.slot.RecordFailure()
			return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, errEventTooLarge.Error())
		}
		return nil
	}
	events := s.pending[:end]
	if at.slot == nil {
		events = c.takeNotice(events)
	}
	if len(events) == 0 {
		s.pending = append(s.pending[:0], s.pending[end:]...)
		return nil
	}
	valid, ok, orderErr := s.advance(at, events)
	if !ok {
		return r.stallFailure(at.ctx, c, at.slot)
	}
	if valid > 0 {
		s.hasEvent = true
		c.recordEvents(bytes.Count(s.pending[:valid], eventEnd))
		r.writeHeader(a, s, at.response)
		if err := a.Write(s.pending[:valid]); err != nil {
			return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonCallerGone, err.Error())
		}
		c.Timing.recordWrite(c.Arrived)
	}
	if orderErr != nil {
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, orderErr.Error())
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// takeNotice takes what another node tells of its attempts out of the events that it has sent.
func (c *Call) takeNotice(events []byte) []byte {
	events, attempts, ok := deliverer.CutNotice(events)
	if ok {
		c.attempts = max(c.attempts, attempts)
	}
	return events
}

// lastEventEnd returns the length of the complete events at the start of b, of which the first
// bytes, as many as searched, hold none. Only the others are searched, since an event may be long.
func lastEventEnd(b []byte, searched int) int {
	from := max(searched-len(eventEnd)+1, 0)
	end := bytes.LastIndex(b[from:], eventEnd)
	if end < 0 {
		return 0
	}
	return from + end + len(eventEnd)
}

// advance records events of an attempt as progress and the last one of them, both at once, so that
// an attempt that is sent after the progress resumes after that event. ok is as for attempt.record.
func (s *stream) advance(at *attempt, events []byte) (valid int, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.record(partial) {
		return 0, false, nil
	}
	valid, err = s.checkOrder(events)
	return valid, true, err
}

// checkOrder verifies that the event IDs continue the sequence and records the last
// one. It returns the length in bytes of the events before the first one out of
// sequence. s.mu must be held.
func (s *stream) checkOrder(events []byte) (valid int, err error) {
	for valid < len(events) {
		end := valid + bytes.Index(events[valid:], eventEnd)
		id, ok := eventID(events[valid : end+1])
		if ok {
			if !isNextID(s.lastID, id) {
				return valid, fmt.Errorf("%w: %q after %q", errOutOfOrder, id, s.lastID)
			}
			s.lastID = id
		}
		valid = end + len(eventEnd)
	}
	return valid, nil
}

// eventID returns the ID of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// isNextID reports whether an event ID may follow another. Only integer IDs are
// compared.
func isNextID(last, next string) bool {
	if last == "" {
		return true
	}
	x, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	y, err := strconv.ParseInt(next, 10, 64)
	return err != nil || y == x+1
}

// streamFailure returns the failure for a stream that broke off before its end.
func (r *Relayer) streamFailure(c *Call, at *attempt, err error) *responder.Failure {
	switch cause := context.Cause(at.ctx); {
	case errors.Is(cause, balancer.ErrStalled):
		return r.stallFailure(at.ctx, c, at.slot)
	case at.ctx.Err() != nil:
		return contextFailure(at.ctx, c, responder.Unknown)
	}
	c.recordBreak(at.slot)
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, err.Error())
}
