package server

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"marjorammoor/internal/serving/relayer"
	"marjorammoor/internal/serving/tracker"
)

// partPause is the time between two parts of a request.
const partPause = 30 * time.Millisecond

// properCase is what a caller sends, and what the runner gets of its last request: the target,
// the body and the field A. Statuses are those of the answers, one of 200 if there is none.
type properCase struct {
	Name string `json:"name"`
	// BodyBytes is the limit of a body; 0 means the node's own.
	BodyBytes int64  `json:"body_bytes"`
	Request   string `json:"request"`
	// Later is what follows in parts after the first answer.
	Later    []string `json:"later"`
	Statuses []int    `json:"statuses"`
	Target   string   `json:"target"`
	Body     string   `json:"body"`
	Field    string   `json:"field"`
}

// TestProperRequestsAreNotTurnedAway guards against requests that the HTTP library refuses, or
// changes, though the protocol allows them.
func TestProperRequestsAreNotTurnedAway(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("testdata/proper_requests.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []properCase{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			x.check(t)
		})
	}
}

func (x *properCase) check(t *testing.T) {
	runner := &echoRunner{}
	runners := httptest.NewServer(runner)
	defer runners.Close()
	s := startCallerServer(t)
	s.useRunner("idempotent", strings.TrimPrefix(runners.URL, "http://"))
	s.node.Platform.Wire.Header = func(c *relayer.Call, _ *tracker.Target, _ time.Duration, _ string) http.Header {
		h := c.Header.Clone()
		for _, k := range []string{"Connection", "Content-Length", "Expect", "Te", "Trailer", "Upgrade"} {
			h.Del(k)
		}
		return h
	}
	catalog := *s.node.catalog.Load()
	catalog.Limits.BodyBytes = x.BodyBytes
	s.node.catalog.Store(&catalog)
	c := s.connect(t)
	if _, err := io.WriteString(c.conn, x.Request); err != nil {
		t.Fatal(err)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(leavingDeadline))
	statuses := x.Statuses
	if len(statuses) == 0 {
		statuses = []int{http.StatusOK}
	}
	for i, wanted := range statuses {
		if got := c.finalStatus(t); got != wanted {
			t.Fatalf("status %d, wanted %d", got, wanted)
		}
		if i == 0 {
			c.sendLater(t, x.Later)
		}
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.target != x.Target || runner.body != x.Body || runner.field != x.Field {
		t.Errorf("the runner got %q, %q, %q", runner.target, runner.body, runner.field)
	}
}

func (c *callerClient) sendLater(t *testing.T, parts []string) {
	t.Helper()
	for _, part := range parts {
		time.Sleep(partPause)
		if _, err := io.WriteString(c.conn, part); err != nil {
			t.Fatal(err)
		}
	}
}

// finalStatus reads one answer after those of status 100.
func (c *callerClient) finalStatus(t *testing.T) int {
	t.Helper()
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode != http.StatusContinue {
			return response.StatusCode
		}
	}
}

// echoRunner keeps what it got last.
type echoRunner struct {
	mu                  sync.Mutex
	target, body, field string
}

// ServeHTTP implements http.Handler.
func (e *echoRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.target, e.body, e.field = r.RequestURI, string(body), r.Header.Get("A")
	w.Header().Set("Id", r.Header.Get("Id"))
}
