package executor

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/claims/claimer"
	"marjorammoor/internal/gateway/forwarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/encoder"
)

// scenario is one entry of testdata/copies.json: attempts with the same key that
// reach two nodes, during or after the run of the first one.
type scenario struct {
	Name string `json:"name"`
	// RunMS is how long each run of the request takes.
	RunMS int64 `json:"run_ms"`
	// FirstNotRun makes the first run end with the outcome not_run.
	FirstNotRun bool      `json:"not_run"`
	Attempts    []attempt `json:"attempts"`
	// Runs is the expected number of runs.
	Runs int `json:"runs"`
}

// attempt is one attempt of the caller, and the result that it must get.
type attempt struct {
	Node string `json:"node"`
	AtMS int64  `json:"at_ms"`
	// CallerTimeoutMS is the deadline of the caller's request; 0 means none.
	CallerTimeoutMS int64 `json:"patience_ms"`
	// Answer is the expected result: "completed", or the reason of the failure.
	Answer string `json:"answer"`
}

// nodes are two executors that share a table of claims.
type nodes struct {
	mu     sync.Mutex
	claims map[string]claimer.Claim
	runs   int
	byName map[string]*Executor
}

func newNodes(x *scenario) *nodes {
	n := &nodes{claims: map[string]claimer.Claim{}, byName: map[string]*Executor{}}
	for _, name := range []string{"a", "b"} {
		n.byName[name] = &Executor{
			Self: name, Incarnation: name + "-1",
			Claimer: &claimer.Claimer{Self: name, Live: func() []string { return []string{"register"} }, ClaimAtPeer: n.claim},
			Serve: func(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure {
				return n.serve(ctx, w, c, x)
			},
			Fetch: func(ctx context.Context, node, _ string, r *encoder.FetchRequest) (*encoder.FetchReply, error) {
				return n.byName[node].OnFetch(ctx, r)
			},
		}
	}
	return n
}

func (n *nodes) claim(_ context.Context, _ string, c claimer.Claim) (claimer.Claim, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.claims[c.Key]; !ok {
		n.claims[c.Key] = c
	}
	return n.claims[c.Key], nil
}

func (n *nodes) serve(ctx context.Context, w http.ResponseWriter, c *forwarder.Call, x *scenario) *responder.Failure {
	n.mu.Lock()
	n.runs++
	isFirst := n.runs == 1
	n.mu.Unlock()
	select {
	case <-time.After(time.Duration(x.RunMS) * time.Millisecond):
	case <-ctx.Done():
		return &responder.Failure{Outcome: responder.Unknown, Reason: responder.ReasonDeadline}
	}
	if x.FirstNotRun && isFirst {
		return &responder.Failure{Status: http.StatusServiceUnavailable, Outcome: responder.NotRun, Reason: responder.ReasonReplicasFull, RequestID: c.RequestID}
	}
	w.Header().Set(responder.HeaderOutcome, string(responder.Completed))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("done"))
	return nil
}

func (n *nodes) try(x attempt, id string) string {
	time.Sleep(time.Duration(x.AtMS) * time.Millisecond)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if x.CallerTimeoutMS > 0 {
		ctx, stop = context.WithTimeout(ctx, time.Duration(x.CallerTimeoutMS)*time.Millisecond)
		defer stop()
	}
	w := httptest.NewRecorder()
	c := &forwarder.Call{RequestID: id, Team: "t", Deployment: "d", Key: "k", Method: http.MethodPost, Path: "/x", Body: []byte("b")}
	if f := n.byName[x.Node].ServeOnce(ctx, w, c); f != nil {
		return string(f.Reason)
	}
	if w.Body.String() != "done" {
		return "wrong response body: " + w.Body.String()
	}
	return "completed"
}

// TestCopies runs the scenarios of testdata/copies.json. It checks that each request
// runs once, or a second time only after the outcome not_run, and that each caller
// that waits long enough gets the response.
func TestCopies(t *testing.T) {
	b, err := os.ReadFile("testdata/copies.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []scenario{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { x.check(t) })
		})
	}
}

func (x *scenario) check(t *testing.T) {
	n := newNodes(x)
	wg := sync.WaitGroup{}
	for i, a := range x.Attempts {
		wg.Go(func() {
			if got := n.try(a, string(rune('A'+i))); got != a.Answer {
				t.Errorf("attempt %d at node %s ended as %s, wanted %s", i+1, a.Node, got, a.Answer)
			}
		})
	}
	wg.Wait()
	if n.runs != x.Runs {
		t.Errorf("the request ran %d times, wanted %d", n.runs, x.Runs)
	}
}
