package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
	"marjorammoor/internal/serving/tracker"
)

const (
	// leavingTime is when the caller leaves.
	leavingTime = 200 * time.Millisecond
	// noticeTime is how long after that a runner may still work.
	noticeTime = 500 * time.Millisecond
	// leavingDeadline is the time for a request.
	leavingDeadline = 2 * time.Second
)

// leavingCase is a request whose caller leaves before it has the response.
type leavingCase struct {
	Name string `json:"name"`
	Type string `json:"type"`
	// Runner is what the runner does after RunsMS: answer, refuse or break. A stream sends
	// its first event at once.
	Runner string `json:"runner"`
	RunsMS int64  `json:"runs_ms"`
	// Busy is set if another request has the runner's only slot.
	Busy bool `json:"busy"`
	// AtOnce is set if the caller leaves together with its request. Then any response is
	// right, and whether the request reaches the runner is open.
	AtOnce bool `json:"at_once"`
	// Leave is half for a caller that closes its sending half only, or close.
	Leave string `json:"leave"`
	// Status is that of the response, which comes within noticeTime unless the caller waits
	// for the runner. It is not complete if it is torn.
	Status int  `json:"status"`
	Waits  bool `json:"waits"`
	Torn   bool `json:"torn"`
	// Arrivals is the number of requests that reach the runner. Cancelled is set if the node
	// ends them.
	Arrivals  int64 `json:"arrivals"`
	Cancelled bool  `json:"cancelled"`
}

// TestHalfClosedCallersGetAnAnswer guards against requests that end with neither an answer nor
// a refusal since the caller has closed its sending half.
func TestHalfClosedCallersGetAnAnswer(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("testdata/leaving_callers.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []leavingCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			x.check(t)
		})
	}
}

func (x *leavingCase) check(t *testing.T) {
	runner := &leavingRunner{behavior: x.Runner, duration: time.Duration(x.RunsMS) * time.Millisecond}
	runners := httptest.NewServer(runner)
	defer runners.Close()
	s := startCallerServer(t)
	s.useRunner(x.Type, strings.TrimPrefix(runners.URL, "http://"))
	if x.Busy {
		other := s.connect(t)
		if _, err := io.WriteString(other.conn, requestHead+"\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leavingTime / 2)
	}
	c := s.connect(t)
	if _, err := io.WriteString(c.conn, requestHead+"\r\n"); err != nil {
		t.Fatal(err)
	}
	if !x.AtOnce {
		time.Sleep(leavingTime)
	}
	left := time.Now()
	if x.Leave == "half" {
		_ = c.conn.(*net.TCPConn).CloseWrite()
		x.checkResponse(t, c, left)
	} else {
		_ = c.conn.Close()
	}
	if !x.AtOnce {
		x.checkRunner(t, runner, left)
	}
}

func (x *leavingCase) checkResponse(t *testing.T, c *callerClient, left time.Time) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	if x.AtOnce {
		return
	}
	if response.StatusCode != x.Status || (err != nil) != x.Torn {
		t.Errorf("status %d, error %v, wanted status %d, torn %t", response.StatusCode, err, x.Status, x.Torn)
	}
	if took := time.Since(left); !x.Waits && took > noticeTime {
		t.Errorf("the response came after %v", took)
	}
}

func (x *leavingCase) checkRunner(t *testing.T, r *leavingRunner, left time.Time) {
	t.Helper()
	time.Sleep(time.Until(left.Add(max(r.duration, noticeTime) + noticeTime)))
	if n := r.arrivals.Load(); n != x.Arrivals {
		t.Errorf("%d requests reached the runner, wanted %d", n, x.Arrivals)
	}
	ended := r.cancelledAt.Load()
	if (ended != nil) != x.Cancelled {
		t.Errorf("cancelled at %v, wanted %t", ended, x.Cancelled)
	}
	if ended != nil && !x.Waits && ended.Sub(left) > noticeTime {
		t.Errorf("the runner worked on for %v", ended.Sub(left))
	}
}

// leavingRunner is a runner with a single behavior.
type leavingRunner struct {
	behavior    string
	duration    time.Duration
	arrivals    atomic.Int64
	cancelledAt atomic.Pointer[time.Time]
}

// ServeHTTP implements http.Handler.
func (l *leavingRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.arrivals.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	if l.behavior == "stream" {
		_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
	}
	select {
	case <-time.After(l.duration):
	case <-r.Context().Done():
		now := time.Now()
		l.cancelledAt.Store(&now)
		return
	}
	switch l.behavior {
	case "refuse":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "break":
		panic(http.ErrAbortHandler)
	default:
		_, _ = fmt.Fprint(w, "done")
	}
}

// useRunner lets the node send all requests to a runner with a single slot.
func (s *callerServer) useRunner(routeType, address string) {
	types := map[string]matcher.RouteType{"idempotent": matcher.Idempotent, "non_idempotent": matcher.NonIdempotent, "streaming": matcher.Stream}
	n := s.node
	n.tracker.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	n.tracker.Replace([]*tracker.Runner{{ID: "r1", Service: "s", Address: address, State: tracker.Ready, Slots: 1}}, 0)
	c := &matcher.Catalog{IsOpen: true, Services: map[string]*matcher.Service{"s": {Name: "s"}}}
	c.AddRoutes([]*matcher.Route{{
		Host: "h.example", PathPrefix: "/", Type: types[routeType], Resumable: true, MaxAttempts: 2, Timeout: leavingDeadline,
		TargetLatency: time.Second, Targets: []matcher.Target{{Service: "s", Weight: 1}},
	}})
	n.catalog.Store(c)
}

// testWire lets requests keep their ID only.
func testWire() *relayer.Wire {
	return &relayer.Wire{
		Header: func(c *relayer.Call, _ *tracker.Target, _ time.Duration, _ string) http.Header {
			return http.Header{"Id": {c.ID}}
		},
		Echo: "Id",
		Inspect: func(_ int, h http.Header) relayer.Inspection {
			return relayer.Inspection{NotRun: h.Get("Not-Run") != "", Verified: true}
		},
		EndToEnd: func(h http.Header) http.Header { return h.Clone() },
	}
}
