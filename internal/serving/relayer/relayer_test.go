package relayer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// faultCase is one entry of testdata/faults.json: the behavior of the runners for
// the attempts of one request, in order, and the expected result for the caller.
type faultCase struct {
	Name      string `json:"name"`
	Type      string `json:"type"`
	Resumable bool   `json:"resumable"`
	// Last is the ID of the event after which the caller resumes the stream.
	Last string `json:"last"`
	// Budget is "spent" for a retry budget that allows no retry.
	Budget string `json:"budget"`
	// Runs lists the behavior of the runners for each attempt, see respond.
	Runs []string `json:"runs"`
	// Unreachable is the number of runners that refuse connections. They are added
	// to one runner per entry of Runs.
	Unreachable int `json:"unreachable"`
	// Status, Body and Events are what the caller receives. An empty Body is not
	// compared.
	Status int    `json:"status"`
	Body   string `json:"body"`
	Events int    `json:"events"`
	// Failure is the status of the returned failure, or 0 for none.
	Failure int               `json:"failure"`
	Outcome responder.Outcome `json:"outcome"`
	Started bool              `json:"started"`
	// Sends is the number of attempts that reach a runner.
	Sends int `json:"sends"`
	// WithinMS is the time in which the caller must have the result; 0 means any.
	WithinMS int64 `json:"within_ms"`
	// ResumedAfter is the event ID with which the last attempt resumes the stream.
	// An empty one is not compared.
	ResumedAfter string `json:"resumed_after"`
}

// routeTypes are the names of types in test data.
var routeTypes = map[string]matcher.RouteType{"idempotent": matcher.Idempotent, "non_idempotent": matcher.NonIdempotent, "stream": matcher.Stream}

// scriptedRunners serves the n-th request with the n-th behavior in runs, and
// further ones with "ok".
type scriptedRunners struct {
	mu    sync.Mutex
	runs  []string
	sends int
	last  string
}

func (s *scriptedRunners) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.respond(c)
	}
}

func (s *scriptedRunners) respond(c net.Conn) {
	defer c.Close() //nolint:errcheck
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	s.mu.Lock()
	behavior := "ok"
	if s.sends < len(s.runs) {
		behavior = s.runs[s.sends]
	}
	s.sends++
	s.last = q.Header.Get("Last") + q.Header.Get("X-Delivery-Last-Event")
	s.mu.Unlock()
	head := "HTTP/1.1 %d X\r\nId: " + q.Header.Get("Id") + "\r\nConnection: close\r\n" + nodeHeader(q, behavior) + "%s\r\n"
	switch behavior {
	case "bare_403":
		_, _ = io.WriteString(c, "HTTP/1.1 403 X\r\nContent-Length: 0\r\n\r\n")
	case "foreign":
		_, _ = fmt.Fprintf(c, head+"ok", 200, "Signed: 1\r\nContent-Length: 2\r\n")
	case "ok":
		_, _ = fmt.Fprintf(c, head+"ok", 200, "Signed: 1\r\nContent-Length: 2\r\n")
	case "unsigned":
		_, _ = fmt.Fprintf(c, head+"ok", 200, "Content-Length: 2\r\n")
	case "encoded":
		_, _ = fmt.Fprintf(c, head+"ok", 200, "Signed: 1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n")
	case "cut":
		_, _ = fmt.Fprintf(c, head+"o", 200, "Signed: 1\r\nContent-Length: 2\r\n")
	case "error":
		_, _ = fmt.Fprintf(c, head+"bad", 500, "Signed: 1\r\nContent-Length: 3\r\n")
	case "refuse":
		_, _ = fmt.Fprintf(c, head, 503, "Not-Run: 1\r\nContent-Length: 0\r\n")
	case "elsewhere":
		_, _ = fmt.Fprintf(c, head, 421, "Not-Run: 1\r\nContent-Length: 0\r\n")
	case "refuse_endless":
		_, _ = fmt.Fprintf(c, head, 503, "Not-Run: 1\r\nTransfer-Encoding: chunked\r\n")
		writeWithoutEnd(c)
	case "refuse_drip":
		_, _ = fmt.Fprintf(c, head, 503, "Not-Run: 1\r\nTransfer-Encoding: chunked\r\n")
		dripWithoutEnd(c)
	case "refuse_short":
		_, _ = fmt.Fprintf(c, head, 503, "Not-Run: 1\r\nContent-Length: 9\r\n")
		time.Sleep(10 * silence)
	case "endless":
		_, _ = fmt.Fprintf(c, head, 200, "Signed: 1\r\nTransfer-Encoding: chunked\r\n")
		writeWithoutEnd(c)
	case "late":
		time.Sleep(silence)
		_, _ = fmt.Fprintf(c, head+"ok", 200, "Signed: 1\r\nContent-Length: 2\r\n")
	case "later":
		time.Sleep(2 * silence)
		_, _ = fmt.Fprintf(c, head+"ok", 200, "Signed: 1\r\nContent-Length: 2\r\n")
	case "late_error":
		time.Sleep(silence)
		_, _ = fmt.Fprintf(c, head+"bad", 500, "Signed: 1\r\nContent-Length: 3\r\n")
	case "late_unsigned":
		time.Sleep(silence)
		_, _ = fmt.Fprintf(c, head+"ok", 200, "Content-Length: 2\r\n")
	case "late_refuse":
		time.Sleep(silence)
		_, _ = fmt.Fprintf(c, head, 503, "Not-Run: 1\r\nContent-Length: 0\r\n")
	case "mute":
		time.Sleep(10 * silence)
	case "hang_up":
	case "not_run":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: replicas_full\r\nX-Delivery-Attempts: 0\r\nX-Delivery-Retry-After-Ms: 200\r\nContent-Length: 0\r\n")
	case "unreachable":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: runners_unreachable\r\nX-Delivery-Attempts: 0\r\nContent-Length: 0\r\n")
	case "unknown_peer":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: unknown_peer\r\nX-Delivery-Attempts: 0\r\nX-Delivery-Retry-After-Ms: 500\r\nContent-Length: 0\r\n")
	case "denied":
		_, _ = fmt.Fprintf(c, head, 401, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: unknown_credential\r\nX-Delivery-Attempts: 0\r\nContent-Length: 0\r\n")
	case "no_route":
		_, _ = fmt.Fprintf(c, head, 404, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: unknown_route\r\nX-Delivery-Attempts: 0\r\nContent-Length: 0\r\n")
	case "old_configuration":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: configuration_stale\r\nX-Delivery-Attempts: 0\r\nContent-Length: 0\r\n")
	case "newer_configuration":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: configuration_outdated\r\nX-Delivery-Attempts: 0\r\nContent-Length: 0\r\n")
	case "unknown_model":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: unknown_model\r\nX-Delivery-Attempts: 0\r\nContent-Length: 0\r\n")
	case "stopping":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: shutting_down\r\nX-Delivery-Attempts: 0\r\nX-Delivery-Retry-After-Ms: 100\r\nContent-Length: 0\r\n")
	case "out_of_memory":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: out_of_memory\r\nX-Delivery-Attempts: 0\r\nX-Delivery-Retry-After-Ms: 500\r\nContent-Length: 0\r\n")
	case "unknown":
		_, _ = fmt.Fprintf(c, head, 502, "X-Delivery-Outcome: unknown\r\nX-Delivery-Reason: connection_broken\r\nX-Delivery-Attempts: 1\r\nContent-Length: 0\r\n")
	case "unknown_503":
		_, _ = fmt.Fprintf(c, head, 503, "X-Delivery-Outcome: unsure\r\nX-Delivery-Reason: connection_broken\r\nX-Delivery-Attempts: 1\r\nContent-Length: 0\r\n")
	case "unknown_unreachable":
		_, _ = fmt.Fprintf(c, head, 502, "X-Delivery-Outcome: unknown\r\nX-Delivery-Reason: runners_unreachable\r\nX-Delivery-Attempts: 1\r\nContent-Length: 0\r\n")
	case "unknown_after_two":
		_, _ = fmt.Fprintf(c, head, 502, "X-Delivery-Outcome: unknown\r\nX-Delivery-Reason: connection_broken\r\nX-Delivery-Attempts: 2\r\nContent-Length: 0\r\n")
	default:
		if answer, ok := strings.CutPrefix(behavior, "answer "); ok {
			_, _ = io.WriteString(c, scriptedAnswer(head, answer))
			return
		}
		if unframed, ok := strings.CutPrefix(behavior, "unframed "); ok {
			_, _ = fmt.Fprintf(c, head, 200, "Signed: 1\r\nContent-Type: text/event-stream\r\n")
			writeStream(c, unframed, func(s string) string { return s }, "")
			return
		}
		_, _ = fmt.Fprintf(c, head, 200, "Signed: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		writeStream(c, behavior, func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }, "0\r\n\r\n")
	}
}

// scriptedAnswer returns the response described by "STATUS [signed] [not_run]".
func scriptedAnswer(head, behavior string) string {
	status, marks, _ := strings.Cut(behavior, " ")
	header := "Content-Length: 3\r\n"
	if strings.Contains(marks, "signed") {
		header += "Signed: 1\r\n"
	}
	if strings.Contains(marks, "not_run") {
		header += "Not-Run: 1\r\n"
	}
	return fmt.Sprintf(strings.Replace(head, "%d", "%s", 1)+"bad", status, header)
}

// nodeHeader returns what a node adds to the response of a runner to a request that was handed
// over. Failures of its own have more, and what is no node adds nothing.
func nodeHeader(q *http.Request, behavior string) string {
	switch behavior {
	case "foreign", "not_run", "unknown_peer", "denied", "no_route", "old_configuration", "newer_configuration", "unknown_model", "unreachable", "stopping", "out_of_memory", "unknown", "unknown_503", "unknown_unreachable", "unknown_after_two":
		return ""
	}
	if q.Header.Get("X-Delivery-Attempts") == "" {
		return ""
	}
	return "X-Delivery-Attempts: 1\r\n"
}

// silence is how long a runner that goes on sends nothing.
const silence = 300 * time.Millisecond

// writeWithoutEnd writes chunks until the connection is closed.
func writeWithoutEnd(w io.Writer) {
	data := strings.Repeat("x", 32<<10)
	for {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(data), data); err != nil {
			return
		}
	}
}

// dripWithoutEnd writes small chunks now and then until the connection is closed.
func dripWithoutEnd(w io.Writer) {
	for {
		if _, err := io.WriteString(w, "1\r\nx\r\n"); err != nil {
			return
		}
		time.Sleep(silence / 10)
	}
}

// writeStream writes the stream described by "stream FIRST-LAST ENDING". frame returns a
// piece as it is sent, and end follows the last one of a complete body.
func writeStream(w io.Writer, behavior string, frame func(s string) string, end string) {
	first, last, ending := 0, 0, ""
	if _, err := fmt.Sscanf(behavior, "stream %d-%d %s", &first, &last, &ending); err != nil {
		panic(err)
	}
	write := func(s string) { _, _ = io.WriteString(w, frame(s)) }
	for i := first; i <= last; i++ {
		if i == last && ending == "hang" {
			time.Sleep(10 * silence)
			return
		}
		if i == last && ending == "pause" {
			time.Sleep(silence)
		}
		write(fmt.Sprintf("id: %d\ndata: x\n\n", i))
	}
	switch ending {
	case "end", "pause":
		_, _ = io.WriteString(w, end)
	case "gap":
		write(fmt.Sprintf("id: %d\ndata: x\n\n", last+2))
		_, _ = io.WriteString(w, end)
	case "noticed":
		write(": x-delivery-attempts 2\n\n")
	case "noticed_one":
		write(": x-delivery-attempts 1\n\n")
	case "torn_hang":
		write(fmt.Sprintf("id: %d\nda", last+1))
		time.Sleep(10 * silence)
	case "torn":
		write(fmt.Sprintf("id: %d\nda", last+1))
	case "torn_end":
		write(fmt.Sprintf("id: %d\nda", last+1))
		_, _ = io.WriteString(w, end)
	}
}

func wire() *Wire {
	return &Wire{
		Header: func(c *Call, _ *tracker.Target, _ time.Duration, last string) http.Header {
			return http.Header{"Id": {c.ID}, "Last": {last}}
		},
		Echo: "Id",
		Inspect: func(status int, h http.Header) Inspection {
			return Inspection{
				NotRun: h.Get("Not-Run") != "", Misdirected: status == 421, Verified: h.Get("Signed") != "", Encoded: h.Get("Content-Encoding") != "",
			}
		},
		EndToEnd: func(h http.Header) http.Header { return h.Clone() },
	}
}

// newRelayer returns a relayer with enough runners for all attempts of a case.
func newRelayer(t *testing.T, x *faultCase, address string) *Relayer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := l.Addr().String()
	_ = l.Close()
	tr := &tracker.Tracker{}
	tr.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	list := []*tracker.Runner{}
	for i := range len(x.Runs) + x.Unreachable {
		r := &tracker.Runner{ID: fmt.Sprintf("r%d", i), Service: "s", Address: address, State: tracker.Ready, Slots: 9}
		if i < x.Unreachable {
			r.Address = closedAddress
		}
		list = append(list, r)
	}
	tr.Replace(list, 0)
	budget := &retrier.SharedBudget{Ratio: 0.1, Burst: 100}
	if x.Budget == "spent" {
		budget = &retrier.SharedBudget{Ratio: 0.1, Burst: 0.5}
	}
	return &Relayer{
		Balancer: &balancer.Balancer{View: tr.View}, Client: &requester.Client{}, Wire: wire(),
		Breaker: &breaker.Breaker{HasEnded: func(breaker.Runner) bool { return false }},
		Budget:  func(string) *retrier.SharedBudget { return budget }, Log: slog.New(slog.DiscardHandler),
	}
}

func TestFaults(t *testing.T) { checkFaults(t, "testdata/faults.json") }

// TestStatusOfARunnerPromisesNothing guards against a status of a runner that tells callers that
// their request was not run, which the runner has not stated.
func TestStatusOfARunnerPromisesNothing(t *testing.T) { checkFaults(t, "testdata/statuses.json") }

func checkFaults(t *testing.T, file string) {
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	list := []faultCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *faultCase) check(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	s := &scriptedRunners{runs: x.Runs}
	go s.serve(l)
	r := newRelayer(t, x, l.Addr().String())
	now := time.Now()
	c := &Call{
		ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: now.Add(2 * time.Second),
		CallerDeadline: now.Add(2 * time.Second), LastEvent: x.Last,
		Route: &matcher.Route{Type: routeTypes[x.Type], Resumable: x.Resumable, MaxAttempts: 2, TargetLatency: time.Second},
	}
	status, body := 0, strings.Builder{}
	failure := r.Serve(t.Context(), c, &ResponseWriter{
		Start: func(code int, _ http.Header) { status = code },
		Write: func(b []byte) error { _, err := body.Write(b); return err },
	})
	if took := time.Since(now).Milliseconds(); x.WithinMS > 0 && took > x.WithinMS {
		t.Errorf("the caller waited for %d ms, more than %d", took, x.WithinMS)
	}
	x.compare(t, s, status, body.String(), failure)
}

func (x *faultCase) compare(t *testing.T, s *scriptedRunners, status int, body string, failure *responder.Failure) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sends != x.Sends {
		t.Errorf("%d attempts, wanted %d", s.sends, x.Sends)
	}
	if status != x.Status {
		t.Errorf("status %d, wanted %d", status, x.Status)
	}
	switch {
	case failure == nil && x.Failure != 0:
		t.Error("no failure")
	case failure != nil && (failure.Status != x.Failure || failure.Outcome != x.Outcome || failure.Started != x.Started):
		t.Errorf("failure %d, %s, started %t: %s", failure.Status, failure.Outcome, failure.Started, failure.Message)
	case failure != nil && failure.Outcome == responder.NotRun && failure.RetryAfter <= 0:
		t.Error("the failure has no RetryAfter")
	}
	if x.Body != "" && body != x.Body {
		t.Errorf("body %q, wanted %q", body, x.Body)
	}
	if n := strings.Count(body, "\n\n"); n != x.Events {
		t.Errorf("%d events, wanted %d: %q", n, x.Events, body)
	}
	if x.ResumedAfter != "" && s.last != x.ResumedAfter {
		t.Errorf("resumed after %q, wanted %q", s.last, x.ResumedAfter)
	}
}
