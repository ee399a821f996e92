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
	maxResumes    = 5
	resumeTimeout = 3 * time.Second
	resumePause   = 100 * time.Millisecond
	readBuffer    = 16 << 10
	maxEventBytes = 1 << 20
)

var (
	doneData         = []byte("[DONE]")
	errorPrefix      = []byte(`{"error":`)
	finishNull       = []byte(`"finish_reason":null`)
	finishNullSpaced = []byte(`"finish_reason": null`)
)

func isEventStream(answer *http.Response) bool {
	t, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && t == "text/event-stream" && answer.StatusCode == http.StatusOK
}

// event is one server-sent event.
type event struct {
	id   []byte
	data []byte
}

// Errors of a stream. A broken stream can be resumed.
var (
	errBroken   = trace.ConnectionProblem(nil, "stream broke off")
	errGap      = trace.ConnectionProblem(nil, "stream has a gap")
	errMismatch = trace.BadParameter("event of another attempt")
	errTooLarge = trace.LimitExceeded("event is too large")
	errReported = trace.ConnectionProblem(nil, "stream ended with an error")
	errCaller   = trace.ConnectionProblem(nil, "caller is gone")
)

// relay passes the events of one answer on.
type relay struct {
	forwarder *Forwarder
	call      *Call
	target    target
	attempt   string
	writer    *answerWriter
	sentAt    time.Time

	next     int
	finished bool
	line     []byte
}

// run passes events on until the end, resuming the stream when it breaks.
func (s *relay) run(ctx context.Context, body io.Reader) *responder.Failure {
	err := s.copy(body)
	for n := 0; err != nil && s.canResume(ctx, err) && n < maxResumes; n++ {
		if !repeater.Pause(ctx, resumePause) {
			break
		}
		resumed.Inc()
		err = s.resume(ctx)
	}
	if err == nil {
		return nil
	}
	s.forwarder.cancel(s.call, s.target, s.attempt)
	switch {
	case ctx.Err() != nil:
		return ended(ctx, s.call, responder.Unknown)
	case trace.IsBadParameter(err):
		return s.call.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, err.Error())
	default:
		return s.call.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonStreamBroken, err.Error())
	}
}

func (s *relay) canResume(ctx context.Context, err error) bool {
	return ctx.Err() == nil && !s.target.isNode && s.next > 0 && (err == errBroken || err == errGap)
}

// resume asks the replica for the events after the last one.
func (s *relay) resume(ctx context.Context) error {
	dialing, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := time.AfterFunc(resumeTimeout, cancel)
	isChat := bytes.Contains([]byte(s.call.Path), []byte("/chat/"))
	url := fmt.Sprintf("http://%s/v1/streams/%s?chat=%t", s.target.address, s.attempt, isChat)
	r, err := http.NewRequestWithContext(dialing, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("build resume: %w", err)
	}
	r.Header.Set("Last-Event-ID", s.attempt+":"+strconv.Itoa(s.next-1))
	answer, err := s.forwarder.FreshClient.Do(r)
	expired.Stop()
	if err != nil {
		return errBroken
	}
	defer answer.Body.Close() //nolint:errcheck
	if !isEventStream(answer) {
		return trace.NotFound("the replica no longer has the stream")
	}
	return s.copy(answer.Body)
}

// copy passes events on until the explicit end of the answer.
func (s *relay) copy(body io.Reader) error {
	b := bufio.NewReaderSize(body, readBuffer)
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
				return errCaller
			}
		}
		if isEnd {
			return nil
		}
	}
}

// handle checks one event and passes it on.
func (s *relay) handle(e event) (isEnd bool, err error) {
	switch {
	case bytes.Equal(e.data, doneData):
		if !s.finished {
			return false, errGap
		}
		return true, s.writer.end()
	case bytes.HasPrefix(e.data, errorPrefix):
		return false, errReported
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
		firstTokens.Update(time.Since(s.sentAt).Seconds())
	}
	s.next++
	s.call.Used = s.next
	s.finished = !bytes.Contains(e.data, finishNull) && !bytes.Contains(e.data, finishNullSpaced)
	if err := s.writer.event(position, e.data); err != nil {
		return false, errCaller
	}
	return false, nil
}

// position checks that an event belongs to this attempt and returns its place.
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

// readEvent reads lines up to an empty one. An event that is cut off by the end
// of the stream is dropped.
func (s *relay) readEvent(b *bufio.Reader) (event, error) {
	e := event{}
	s.line = s.line[:0]
	idEnd, dataStart := 0, 0
	for {
		start := len(s.line)
		if err := s.readLine(b); err != nil {
			return e, err
		}
		line := s.line[start:]
		switch {
		case len(line) == 0:
			if len(s.line) == 0 {
				continue
			}
			e.id, e.data = s.line[:idEnd], s.line[dataStart:]
			return e, nil
		case bytes.HasPrefix(line, []byte("id: ")):
			s.line = append(s.line[:0], line[4:]...)
			idEnd = len(s.line)
			dataStart = idEnd
		case bytes.HasPrefix(line, []byte("data: ")):
			s.line = append(s.line[:start], line[6:]...)
			dataStart = start
		default:
			s.line = s.line[:start]
		}
	}
}

// readLine appends one line to the buffer, without its end.
func (s *relay) readLine(b *bufio.Reader) error {
	for {
		part, err := b.ReadSlice('\n')
		s.line = append(s.line, part...)
		switch {
		case err == nil:
			s.line = bytes.TrimSuffix(s.line, []byte("\n"))
			s.line = bytes.TrimSuffix(s.line, []byte("\r"))
			return nil
		case err != bufio.ErrBufferFull:
			return errBroken
		case len(s.line) > maxEventBytes:
			return errTooLarge
		}
	}
}

// answerWriter writes one answer to the caller.
type answerWriter struct {
	w       http.ResponseWriter
	call    *Call
	started bool
	streams bool
}

// start writes the head of an answer that is known to be whole.
func (a *answerWriter) start(answer *http.Response) {
	a.started = true
	h := a.w.Header()
	copyHeaders(h, answer.Header)
	responder.Describe(h, a.call.RequestID, a.call.Attempts)
	if a.call.FromPeer {
		h.Set(caller.HeaderAttempt, a.call.PeerAttempt)
	}
	h.Set(responder.HeaderOutcome, string(responder.Completed))
	a.w.WriteHeader(answer.StatusCode)
}

func (a *answerWriter) startEvents() {
	a.started, a.streams = true, true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", responder.HeaderOutcome)
	responder.Describe(h, a.call.RequestID, a.call.Attempts)
	if a.call.FromPeer {
		h.Set(caller.HeaderAttempt, a.call.PeerAttempt)
	}
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) event(position int, data []byte) error {
	if !a.started {
		a.startEvents()
	}
	if a.call.FromPeer {
		if _, err := fmt.Fprintf(a.w, "id: %s:%d\n", a.call.PeerAttempt, position); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return a.data(data)
}

func (a *answerWriter) data(data []byte) error {
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := a.w.Write(part); err != nil {
			return fmt.Errorf("write event: %w", err)
		}
	}
	return nil
}

func (a *answerWriter) end() error {
	a.w.Header().Set(responder.HeaderOutcome, string(responder.Completed))
	if err := a.data(doneData); err != nil {
		return errCaller
	}
	return nil
}

func (a *answerWriter) flush() error {
	return http.NewResponseController(a.w).Flush()
}

// finish tells the caller of a stream that it failed, as its last event. It
// returns a failure that the caller cannot be told this way.
func (a *answerWriter) finish(failure *responder.Failure) *responder.Failure {
	if !a.started {
		return failure
	}
	if !a.streams {
		panic(http.ErrAbortHandler)
	}
	responder.Count(failure)
	a.w.Header().Set(responder.HeaderOutcome, string(failure.Outcome))
	_ = a.data(failure.Body())
	_ = a.flush()
	return nil
}
