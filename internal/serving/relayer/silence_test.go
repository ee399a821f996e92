package relayer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// silenceCase is one entry of testdata/silences.json: what the runners do with the attempts of
// a request while the node takes each runner for lost, again and again.
type silenceCase struct {
	Name string
	Type string
	// MaxAttempts is that of the route, Runners the number of runners with a free slot, and
	// Unreachable the number of others, which refuse connections once the request was sent.
	MaxAttempts int `json:"max_attempts"`
	Runners     int
	Unreachable int
	// ComesMS is when one more runner comes; 0 means never.
	ComesMS int `json:"comes_ms"`
	// Budget is the number of retries that the budget allows.
	Budget float64
	// FullMS is until when all slots but one are taken; 0 means that they are free.
	FullMS int `json:"full_ms"`
	// DeadlineMS is the time for the request; 0 means 5000.
	DeadlineMS int `json:"deadline_ms"`
	// Runs are as in faultCase. A stream with the ending "pause" is silent before its last
	// event, and one with "hang" for good.
	Runs []string
	// Events is the number of events that the caller must receive in a whole response, and Sends
	// the number of attempts.
	Events int
	Sends  int
}

// TestSilentRunnersEndNoAnswer checks that silence of a runner ends no answer unless another
// attempt begins in its place.
func TestSilentRunnersEndNoAnswer(t *testing.T) {
	for _, x := range readSilences(t, "testdata/silences.json") {
		t.Run(x.Name, func(t *testing.T) { x.check(t, true) })
	}
}

// TestBegunStreamWaitsForASlot checks that a stream that was broken off waits for a slot elsewhere
// for as long as its caller does, since it cannot be refused any more.
func TestBegunStreamWaitsForASlot(t *testing.T) {
	for _, x := range readSilences(t, "testdata/begun.json") {
		t.Run(x.Name, func(t *testing.T) { x.check(t, false) })
	}
}

func readSilences(t *testing.T, path string) []silenceCase {
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	list := []silenceCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// check plays a case. If believesLost is set, the node takes all runners for lost.
func (x *silenceCase) check(t *testing.T, believesLost bool) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	s := &scriptedRunners{runs: x.Runs}
	go s.serve(l)
	r := x.relayer(l.Addr().String())
	x.fill(t, r.Balancer)
	stop := make(chan struct{})
	defer close(stop)
	if believesLost {
		go believeLost(r.Balancer, stop)
	}
	now := time.Now()
	deadline := now.Add(ms(cmp.Or(x.DeadlineMS, 5000)))
	c := &Call{
		ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: deadline, CallerDeadline: deadline,
		Route: &matcher.Route{Type: routeTypes[x.Type], Resumable: x.Type == "stream", MaxAttempts: x.MaxAttempts, TargetLatency: time.Second, Patience: 2 * time.Second},
	}
	body := strings.Builder{}
	failure := r.Serve(t.Context(), c, &ResponseWriter{
		Start: func(int, http.Header) {},
		Write: func(b []byte) error { _, err := body.Write(b); return err },
	})
	if failure != nil {
		t.Errorf("failed after %v: %s, %s, started %t", time.Since(now).Round(time.Millisecond), failure.Reason, failure.Message, failure.Started)
	}
	if n := strings.Count(body.String(), "\n\n"); n != x.Events {
		t.Errorf("%d events, wanted %d: %q", n, x.Events, body.String())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sends != x.Sends {
		t.Errorf("%d attempts, wanted %d", s.sends, x.Sends)
	}
}

// relayer returns a relayer with the runners of a case, all at one address.
func (x *silenceCase) relayer(address string) *Relayer {
	tr := &tracker.Tracker{}
	tr.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	list := []*tracker.Runner{}
	for i := range x.Runners {
		list = append(list, &tracker.Runner{ID: fmt.Sprintf("r%d", i), Service: "s", Address: address, State: tracker.Ready, Slots: 1})
	}
	tr.Replace(list, 0)
	time.AfterFunc(silence/10, func() {
		for i := range x.Unreachable {
			list = append(list, &tracker.Runner{ID: fmt.Sprintf("closed%d", i), Service: "s", Address: "127.0.0.1:1", State: tracker.Ready, Slots: 1})
		}
		tr.Replace(list, 0)
	})
	if x.ComesMS > 0 {
		time.AfterFunc(ms(x.ComesMS), func() {
			tr.Replace(append(list, &tracker.Runner{ID: "later", Service: "s", Address: address, State: tracker.Ready, Slots: 1}), 0)
		})
	}
	budget := &retrier.SharedBudget{Burst: x.Budget}
	return &Relayer{
		Balancer: &balancer.Balancer{View: tr.View}, Client: &requester.Client{}, Wire: wire(),
		Breaker: &breaker.Breaker{HasEnded: func(breaker.Runner) bool { return false }},
		Budget:  func(string) *retrier.SharedBudget { return budget }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// fill takes all slots but one until FullMS.
func (x *silenceCase) fill(t *testing.T, b *balancer.Balancer) {
	if x.FullMS == 0 {
		return
	}
	for range x.Runners - 1 {
		slot, err := b.Acquire(t.Context(), &balancer.Request{Service: "s", Arrived: time.Now(), WaitUntil: time.Now().Add(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(ms(x.FullMS), slot.Release)
	}
}

// believeLost takes all targets for lost every few milliseconds.
func believeLost(b *balancer.Balancer, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
			b.LeaveLost(func(balancer.Target) bool { return true })
		}
	}
}
