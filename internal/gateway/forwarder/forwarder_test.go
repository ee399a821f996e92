package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marjorammoor/internal/admission/allocator"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/health/verifier"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/dialer"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/routing/director"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

// fault is one entry of testdata/faults.json.
type fault struct {
	Name       string `json:"name"`
	Type       string `json:"type"`
	Method     string `json:"method"`
	Body       string `json:"body"`
	Key        string `json:"key"`
	Idempotent bool   `json:"idempotent"`
	// Fault is the runner's misbehaviour at the second request on a connection.
	Fault   string            `json:"fault"`
	Outcome responder.Outcome `json:"outcome"`
	Reason  responder.Reason  `json:"reason"`
	// Runs is how often the runner must run the second request.
	Runs int64 `json:"runs"`
}

// runner is a model engine that shows the fault once armed is set, and counts the
// requests that it runs from then on.
type runner struct {
	fault fault
	armed atomic.Bool
	runs  atomic.Int64
}

func (f *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(caller.HeaderAttempt)
	if strings.HasPrefix(r.URL.Path, "/v1/streams/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if f.armed.Load() {
		switch f.fault.Fault {
		case "refuse":
			w.Header().Set(caller.HeaderNotRun, "busy")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "success called not run":
			w.Header().Set(caller.HeaderNotRun, "busy")
		case "earlier refusal":
			f.runs.Add(1)
			w.Header().Set(caller.HeaderAttempt, "another")
			w.Header().Set(caller.HeaderNotRun, "busy")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "redirect":
			f.runs.Add(1)
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		case "hang up":
			f.runs.Add(1)
			panic(http.ErrAbortHandler)
		case "wrong attempt":
			attempt = "another"
		}
		f.runs.Add(1)
	}
	w.Header().Set(caller.HeaderAttempt, attempt)
	if f.fault.Type == "stream" && f.armed.Load() {
		f.stream(w, attempt)
		return
	}
	_, _ = fmt.Fprintln(w, "{}")
}

// stream sends three tokens, an event with the finish reason and the end, altered by
// the fault.
func (f *runner) stream(w http.ResponseWriter, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 4 {
		finish := "null"
		if i == 3 {
			finish = `"stop"`
		}
		id := fmt.Sprintf("%s:%d", attempt, i)
		switch {
		case f.fault.Fault == "foreign event" && i == 2:
			id = "another-request-1:2"
		case f.fault.Fault == "gap" && i == 1, f.fault.Fault == "no finish" && i == 3:
			continue
		case f.fault.Fault == "cut short" && i == 2:
			return
		case f.fault.Fault == "repeated event" && i == 2:
			_, _ = fmt.Fprintf(w, "id: %s:1\ndata: {\"t\":1,\"finish_reason\":null}\n\n", attempt)
		}
		_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"t\":%d,\"finish_reason\":%s}\n\n", id, i, finish)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// newForwarder returns a forwarder that routes to one replica.
func newForwarder(t testing.TB, address string, kind parser.DeploymentType) (*Forwarder, *parser.DeploymentSpec) {
	t.Helper()
	spec := &parser.DeploymentSpec{Type: kind, Pool: "press", Model: "m", Replicas: map[string]int{"vake": 1}}
	assignment := parser.AssignmentSpec{DataCenter: "vake", Domain: "a", Replicas: []parser.ReplicaRef{{
		ID: "r", Deployment: "d", State: parser.ReplicaAssigned, Epoch: 1,
		Members: []parser.MemberRef{{VM: "vm", Address: address, BootID: "b"}},
	}}}
	board := &recorder.Board{}
	objects := []parser.Object{object(t, parser.KindDeployment, "d", 1, spec), object(t, parser.KindAssignment, "vake--a", 2, assignment)}
	if err := board.ApplyConfig(recorder.ConfigUpdate{To: 2, Full: true, Objects: objects}); err != nil {
		t.Fatal(err)
	}
	board.SetSighting("vm", recorder.Sighting{Watcher: "n", ConfirmedAt: time.Now().Add(time.Hour), Identity: caller.Identity{
		VM: "vm", BootID: "b", State: caller.StateReady, Replica: "r", Epoch: 1, Head: true,
	}})
	d := &director.Director{Board: board, Verifier: &verifier.Verifier{Board: board, Self: "n"}, DataCenter: "vake"}
	a := &allocator.Allocator{Board: board, Director: d, Self: "n", DataCenter: "vake"}
	d.AfterRefresh = a.UpdateSlots
	d.Refresh()
	dial := &dialer.Dialer{}
	return &Forwarder{Director: d, Allocator: a, Client: dial.HTTPClient(4), FreshClient: dial.HTTPClient(-1)}, spec
}

func object(t testing.TB, kind parser.Kind, name string, version int64, spec any) parser.Object {
	t.Helper()
	b, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	return parser.Object{Kind: kind, Name: name, Version: version, Body: b}
}

func TestFaults(t *testing.T) {
	b, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []fault{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

// check sends one request without a fault, so that a connection is kept alive, and
// then one with the fault.
func (x fault) check(t *testing.T) {
	r := &runner{fault: x}
	server := httptest.NewServer(r)
	defer server.Close()
	kind := parser.TypeModel
	if x.Type == "service" {
		kind = parser.TypeService
	}
	f, spec := newForwarder(t, strings.TrimPrefix(server.URL, "http://"), kind)
	for i := range 2 {
		c := &Call{
			RequestID: fmt.Sprintf("q%d", i), Team: "team", Deployment: "d", Spec: spec, Method: x.Method, Path: "/v1/x",
			Header: http.Header{}, Body: []byte(x.Body), Idempotent: x.Idempotent, ExpectedTokens: 1,
		}
		if x.Key != "" {
			c.Header.Set(HeaderIdempotencyKey, x.Key)
		}
		w := httptest.NewRecorder()
		failure := f.Serve(context.Background(), w, c)
		if i == 0 {
			if failure != nil {
				t.Fatal("the request without a fault failed:", failure)
			}
			r.armed.Store(true)
			continue
		}
		x.compare(t, r, w, failure)
	}
}

func (x fault) compare(t *testing.T, r *runner, w *httptest.ResponseRecorder, failure *responder.Failure) {
	t.Helper()
	outcome, reason := responder.Outcome(w.Header().Get(responder.HeaderOutcome)), responder.Reason("")
	if failure != nil {
		outcome, reason = failure.Outcome, failure.Reason
	} else if i := strings.Index(w.Body.String(), `"reason":"`); i >= 0 {
		reason = responder.Reason(strings.SplitN(w.Body.String()[i+10:], `"`, 2)[0])
	}
	if outcome != x.Outcome || reason != x.Reason {
		t.Errorf("got outcome %q, reason %q; expected %q, %q", outcome, reason, x.Outcome, x.Reason)
	}
	if n := r.runs.Load(); n != x.Runs {
		t.Errorf("the request ran %d times, expected %d", n, x.Runs)
	}
	if outcome != responder.Completed && strings.Contains(w.Body.String(), "[DONE]") {
		t.Error("an incomplete stream was written with its end marker")
	}
}

// TestLargeResponsesWithoutMemoryAreRelayed guards against responses that together take all memory,
// and against ones that are lost or cut since there is none.
func TestLargeResponsesWithoutMemoryAreRelayed(t *testing.T) {
	body := strings.Repeat("x", 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderAttempt, r.Header.Get(caller.HeaderAttempt))
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	f, spec := newForwarder(t, strings.TrimPrefix(server.URL, "http://"), parser.TypeService)
	for _, limit := range []int64{1, 64 << 10, 4 << 20} {
		f.Memory = &reserver.Reserver{Limit: func() int64 { return limit }}
		w := httptest.NewRecorder()
		c := &Call{RequestID: "q", Team: "team", Deployment: "d", Spec: spec, Method: http.MethodGet, Path: "/v1/x", Header: http.Header{}, ExpectedTokens: 1}
		if failure := f.Serve(context.Background(), w, c); failure != nil || w.Body.String() != body {
			t.Errorf("limit %d: %d bytes of %d, failure %v", limit, w.Body.Len(), len(body), failure)
		}
		if err := f.Memory.Reserve("other", func() {}).TryGrow(limit); err != nil {
			t.Errorf("limit %d: memory is not returned: %v", limit, err)
		}
	}
}

// BenchmarkServe compares a short call through the forwarder with a direct call of the
// same runner.
func BenchmarkServe(b *testing.B) {
	r := &runner{}
	server := httptest.NewServer(r)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	b.Run("direct", func(b *testing.B) {
		client := (&dialer.Dialer{}).HTTPClient(4)
		for b.Loop() {
			a, err := client.Post(server.URL+"/v1/x", "application/json", strings.NewReader("{}"))
			if err != nil {
				b.Fatal(err)
			}
			_ = a.Body.Close()
		}
	})
	b.Run("through the forwarder", func(b *testing.B) {
		f, spec := newForwarder(b, address, parser.TypeModel)
		b.ReportAllocs()
		for b.Loop() {
			c := &Call{
				RequestID: "q", Team: "team", Deployment: "d", Spec: spec, Method: http.MethodPost, Path: "/v1/x",
				Header: http.Header{}, Body: []byte("{}"), Idempotent: true, ExpectedTokens: 1,
			}
			if failure := f.Serve(context.Background(), httptest.NewRecorder(), c); failure != nil {
				b.Fatal(failure)
			}
		}
	})
}

// FuzzEvents checks that no bytes from a runner make a stream count as complete that
// has no final event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: a:0\ndata: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		w := httptest.NewRecorder()
		c := &Call{RequestID: "q", Spec: &parser.DeploymentSpec{Type: parser.TypeModel}}
		s := &relay{call: c, attempt: "a", writer: &responseWriter{w: w, call: c}}
		if err := s.relayEvents(strings.NewReader(string(b))); err == nil && (!s.sawFinish || s.next == 0) {
			t.Errorf("%q was accepted as a complete stream", b)
		}
	})
}

// BenchmarkRelay measures the cost of relaying a stream of 1000 tokens, without the
// network.
func BenchmarkRelay(b *testing.B) {
	stream := strings.Builder{}
	for i := range 1000 {
		_, _ = fmt.Fprintf(&stream, "id: a:%d\ndata: {\"choices\":[{\"index\":0,\"text\":\"word \",\"finish_reason\":null}]}\n\n", i)
	}
	stream.WriteString("id: a:1000\ndata: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n")
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		c := &Call{RequestID: "q", Spec: &parser.DeploymentSpec{Type: parser.TypeModel}}
		s := &relay{call: c, attempt: "a", writer: &responseWriter{w: w, call: c}}
		if err := s.relayEvents(strings.NewReader(stream.String())); err != nil {
			b.Fatal(err)
		}
	}
}
