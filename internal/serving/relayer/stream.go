package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/serving/balancer"
)

const (
	streamBuffer = 8 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")

	errOrder = errors.New("an event of the stream is out of order")
)

// stream is what the caller has got of a streamed answer, over all attempts.
type stream struct {
	started bool
	lastID  string
	pending []byte
}

// relayStream passes whole events on until the answer ends.
func (r *Relayer) relayStream(ctx context.Context, c *Call, a *Answer, s *stream, place *balancer.Slot, answer *requester.Answer) *responder.Failure {
	s.pending = s.pending[:0]
	buffer := make([]byte, streamBuffer)
	for {
		n, readErr := answer.Body.Read(buffer)
		if n > 0 {
			place.RecordProgress()
			s.pending = append(s.pending, buffer[:n]...)
			if failure := r.passEvents(c, a, s, answer); failure != nil {
				return failure
			}
		}
		switch {
		case readErr == nil:
		case errors.Is(readErr, io.EOF) && len(s.pending) == 0:
			place.RecordSuccess()
			r.start(a, s, answer)
			return nil
		default:
			return r.broken(ctx, c, place, readErr)
		}
	}
}

// start writes the header of the answer unless that was done.
func (r *Relayer) start(a *Answer, s *stream, answer *requester.Answer) {
	if s.started {
		return
	}
	s.started = true
	a.Start(answer.Status, r.Wire.AnswerHeader(answer.Header))
}

// passEvents writes the whole events that have arrived.
func (r *Relayer) passEvents(c *Call, a *Answer, s *stream, answer *requester.Answer) *responder.Failure {
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		if len(s.pending) > maxEvent {
			return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, "an event is too large")
		}
		return nil
	}
	end += len(eventEnd)
	good, orderErr := s.check(s.pending[:end])
	if good > 0 {
		r.start(a, s, answer)
		if err := a.Write(s.pending[:good]); err != nil {
			return c.failure(statusCallerGone, responder.Unknown, responder.ReasonCallerGone, err.Error())
		}
		c.Timing.wrote(c.Arrived)
	}
	if orderErr != nil {
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, orderErr.Error())
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// check makes sure that events follow on the last one, and keeps the last ID. It
// returns the length of the events that do.
func (s *stream) check(events []byte) (good int, err error) {
	for good < len(events) {
		end := good + bytes.Index(events[good:], eventEnd)
		id, ok := eventID(events[good : end+1])
		if ok {
			if !follows(s.lastID, id) {
				return good, fmt.Errorf("%w: %q after %q", errOrder, id, s.lastID)
			}
			s.lastID = id
		}
		good = end + len(eventEnd)
	}
	return good, nil
}

// eventID returns the ID of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// follows reports whether an event may come after another one.
func follows(last, next string) bool {
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

// broken explains a stream that ended before its end.
func (r *Relayer) broken(ctx context.Context, c *Call, place *balancer.Slot, err error) *responder.Failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, balancer.ErrStalled):
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStalled, cause.Error())
	case ctx.Err() != nil:
		return ended(ctx, c, responder.Unknown)
	}
	place.RecordFailure()
	return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, err.Error())
}
