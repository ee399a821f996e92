package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/timing/repeater"
)

const (
	// maxResumes bounds how often a stream is resumed, and how often in vain at a replica that does
	// not count as healthy.
	maxResumes      = 5
	resumeTimeout   = 3 * time.Second
	resumePause     = 100 * time.Millisecond
	readBufferBytes = 16 << 10
	maxEventBytes   = 1 << 20
)

var (
	doneData         = []byte("[DONE]")
	errorPrefix      = []byte(`{"error":`)
	finishNull       = []byte(`"finish_reason":null`)
	finishNullSpaced = []byte(`"finish_reason": null`)
)

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream" && resp.StatusCode == http.StatusOK
}

// event is one server-sent event. Its fields point into the buffer of the relay and
// are valid until the next event is read.
type event struct {
	id   []byte
	data []byte
}

// Errors of a stream. After errBroken and errGap the stream can be resumed.
var (
	errBroken         = trace.ConnectionProblem(nil, "stream broke off")
	errGap            = trace.ConnectionProblem(nil, "stream has a gap")
	errMismatch       = trace.BadParameter("event of another attempt")
	errTooLarge       = trace.LimitExceeded("event is too large")
	errRunnerReported = trace.ConnectionProblem(nil, "stream ended with an error")
	errCallerGone     = trace.ConnectionProblem(nil, "caller is gone")
)

// relay copies the events of one streamed response to the caller.
type relay struct {
	forwarder *Forwarder
	call      *Call
	target    target
	attempt   string
	writer    *responseWriter
	sentAt    time.Time

	// next is the number of the next expected event, and resumed how often the replica has resumed
	// the stream.
	next, resumed int
	// sawFinish is true if the last event is the final one: its finish_reason is not
	// null.
	sawFinish bool
	// buf holds the event that is being read.
	buf []byte
}

// run relays events until the end of the stream. It resumes a broken stream up to maxResumes
// times. No other replica can go on, so while this one counts as healthy and does not answer, it
// is tried for as long as the caller waits.
func (s *relay) run(ctx context.Context, body io.Reader) *responder.Failure {
	err := s.relayEvents(body)
	for n := 0; err != nil && s.canResume(ctx, err) && (n < maxResumes || s.target.replica.IsHealthy()); n++ {
		if !repeater.Sleep(ctx, resumePause) {
			break
		}
		streamsResumed.Inc()
		err = s.resume(ctx)
	}
	if err == nil {
		return nil
	}
	s.forwarder.cancelAtRunner(s.call, s.target, s.attempt)
	switch {
	case ctx.Err() != nil:
		return contextFailure(ctx, s.call, responder.Unknown)
	case trace.IsBadParameter(err):
		return s.call.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, err.Error())
	default:
		return s.call.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, err.Error())
	}
}

// canResume reports whether the stream can be resumed after err: it broke or lacks an
// event, it comes from a replica, which has not resumed it too often, and at least one event has
// been relayed.
func (s *relay) canResume(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !s.target.isPeer && s.next > 0 && s.resumed < maxResumes && (err == errBroken || err == errGap)
}

// resume requests the events after the last one received from the replica, and relays
// them. resumeTimeout bounds only the wait for the response header.
func (s *relay) resume(ctx context.Context) error {
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(resumeTimeout, cancel)
	isChat := bytes.Contains([]byte(s.call.Path), []byte("/chat/"))
	url := fmt.Sprintf("http://%s/v1/streams/%s?chat=%t", s.target.address, s.attempt, isChat)
	r, err := http.NewRequestWithContext(requestCtx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build resume: %w", err)
	}
	r.Header.Set("Last-Event-ID", s.attempt+":"+strconv.Itoa(s.next-1))
	resp, err := s.forwarder.FreshClient.Do(r)
	timer.Stop()
	if err != nil {
		return errBroken
	}
	defer resp.Body.Close() //nolint:errcheck
	if !isEventStream(resp) {
		return trace.NotFound("the replica no longer has the stream")
	}
	s.resumed++
	return s.relayEvents(resp.Body)
}

// relayEvents relays events until the explicit end of the response. It flushes when
// no further event is buffered.
func (s *relay) relayEvents(body io.Reader) error {
	b := bufio.NewReaderSize(body, readBufferBytes)
	for {
		e, err := s.readEvent(b)
		if err != nil {
			return err
		}
		isEnd, err := s.handle(e)
		if err != nil {
			return err
		}
		if isEnd || b.Buffered() == 0 {
			if err := s.writer.flush(); err != nil {
				return errCallerGone
			}
		}
		if isEnd {
			return nil
		}
	}
}

// handle checks one event and relays it. An event that was relayed before is dropped.
func (s *relay) handle(e event) (isEnd bool, err error) {
	switch {
	case bytes.Equal(e.data, doneData):
		if !s.sawFinish {
			return false, errGap
		}
		return true, s.writer.writeEnd()
	case bytes.HasPrefix(e.data, errorPrefix):
		return false, errRunnerReported
	}
	position, err := s.position(e.id)
	switch {
	case err != nil:
		return false, err
	case position < s.next:
		return false, nil
	case position > s.next:
		return false, errGap
	}
	if s.next == 0 {
		firstTokenDurations.Update(time.Since(s.sentAt).Seconds())
	}
	s.next++
	s.call.ReceivedTokens = s.next
	s.sawFinish = !bytes.Contains(e.data, finishNull) && !bytes.Contains(e.data, finishNullSpaced)
	if err := s.writer.writeEvent(position, e.data); err != nil {
		return false, errCallerGone
	}
	return false, nil
}

// position checks that an event belongs to this attempt and returns its number. The
// event ID is the attempt ID and the number, separated by a colon.
func (s *relay) position(id []byte) (int, error) {
	i := bytes.LastIndexByte(id, ':')
	if i < 0 || string(id[:i]) != s.attempt {
		return 0, errMismatch
	}
	n := 0
	for _, d := range id[i+1:] {
		if d < '0' || d > '9' || n > maxEventBytes {
			return 0, errMismatch
		}
		n = n*10 + int(d-'0')
	}
	return n, nil
}

// readEvent reads lines up to an empty one. An incomplete event at the end of the
// stream is dropped.
func (s *relay) readEvent(b *bufio.Reader) (event, error) {
	e := event{}
	s.buf = s.buf[:0]
	idEnd, dataStart := 0, 0
	for {
		start := len(s.buf)
		if err := s.readLine(b); err != nil {
			return e, err
		}
		line := s.buf[start:]
		switch {
		case len(line) == 0:
			if len(s.buf) == 0 {
				continue
			}
			e.id, e.data = s.buf[:idEnd], s.buf[dataStart:]
			return e, nil
		case bytes.HasPrefix(line, []byte("id: ")):
			s.buf = append(s.buf[:0], line[4:]...)
			idEnd = len(s.buf)
			dataStart = idEnd
		case bytes.HasPrefix(line, []byte("data: ")):
			s.buf = append(s.buf[:start], line[6:]...)
			dataStart = start
		default:
			s.buf = s.buf[:start]
		}
	}
}

// readLine appends one line to the buffer, without the line ending.
func (s *relay) readLine(b *bufio.Reader) error {
	for {
		part, err := b.ReadSlice('\n')
		s.buf = append(s.buf, part...)
		switch {
		case err == nil:
			s.buf = bytes.TrimSuffix(s.buf, []byte("\n"))
			s.buf = bytes.TrimSuffix(s.buf, []byte("\r"))
			return nil
		case err != bufio.ErrBufferFull:
			return errBroken
		case len(s.buf) > maxEventBytes:
			return errTooLarge
		}
	}
}

// responseWriter writes the response of one call to the caller.
type responseWriter struct {
	w    http.ResponseWriter
	call *Call
	// started is true once the header is written.
	started  bool
	isStream bool
}

// start writes the header of a response whose body has been read, up to
// maxBufferedBytes, with the outcome completed.
func (rw *responseWriter) start(resp *http.Response) {
	rw.started = true
	h := rw.w.Header()
	copyHeaders(h, resp.Header)
	responder.SetRequestHeaders(h, rw.call.RequestID, rw.call.Attempts)
	if rw.call.FromPeer {
		h.Set(caller.HeaderAttempt, rw.call.PeerAttempt)
	}
	h.Set(responder.HeaderOutcome, string(responder.Completed))
	rw.w.WriteHeader(resp.StatusCode)
}

// startEvents writes the header of an event stream. The outcome follows as a trailer,
// because it is known only at the end.
func (rw *responseWriter) startEvents() {
	rw.started, rw.isStream = true, true
	h := rw.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", responder.HeaderOutcome)
	responder.SetRequestHeaders(h, rw.call.RequestID, rw.call.Attempts)
	if rw.call.FromPeer {
		h.Set(caller.HeaderAttempt, rw.call.PeerAttempt)
	}
	rw.w.WriteHeader(http.StatusOK)
}

// writeEvent writes one event. Only a node that forwarded the request gets event IDs,
// with its own attempt ID.
func (rw *responseWriter) writeEvent(position int, data []byte) error {
	if !rw.started {
		rw.startEvents()
	}
	if rw.call.FromPeer {
		if _, err := fmt.Fprintf(rw.w, "id: %s:%d\n", rw.call.PeerAttempt, position); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return rw.writeData(data)
}

func (rw *responseWriter) writeData(data []byte) error {
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := rw.w.Write(part); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}

// writeEnd writes the explicit end of a stream, with the outcome completed.
func (rw *responseWriter) writeEnd() error {
	rw.w.Header().Set(responder.HeaderOutcome, string(responder.Completed))
	if err := rw.writeData(doneData); err != nil {
		return errCallerGone
	}
	return nil
}

func (rw *responseWriter) flush() error {
	return http.NewResponseController(rw.w).Flush()
}

// reportFailure writes a failure as the last event of a started stream. It returns
// the failure if nothing has been written yet, and aborts the connection of any other
// started response.
func (rw *responseWriter) reportFailure(failure *responder.Failure) *responder.Failure {
	if !rw.started {
		return failure
	}
	if !rw.isStream {
		rw.abort()
	}
	responder.CountFailure(failure)
	rw.w.Header().Set(responder.HeaderOutcome, string(failure.Outcome))
	_ = rw.writeData(failure.Body())
	_ = rw.flush()
	return nil
}

// abort resets the connection of a started response, so that it does not look whole. In HTTP/1.0, one
// without a length ends with its connection.
func (rw *responseWriter) abort() {
	conn, _, err := http.NewResponseController(rw.w).Hijack()
	if err == nil {
		if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
			_ = c.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}
