package relayer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
)

// blockedCase is one entry of testdata/blocked.json: a call is blocked while it is at a runner.
type blockedCase struct {
	Name string `json:"name"`
	Type string `json:"type"`
	// Before and After are what the runner writes before the call is blocked, and later.
	Before string `json:"before"`
	After  string `json:"after"`
	// Body is what the caller receives, and Failure the status of the failure, or 0 for none.
	Body    string `json:"body"`
	Failure int    `json:"failure"`
}

// TestBlockEndsNoAnswer guards against calls that are ended as crashing ones although their
// runner has begun the answer.
func TestBlockEndsNoAnswer(t *testing.T) {
	b, err := os.ReadFile("testdata/blocked.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []blockedCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *blockedCase) check(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	r := newRelayer(t, &faultCase{Runs: []string{"ok"}}, l.Addr().String())
	types := map[string]matcher.RouteType{"idempotent": matcher.Idempotent, "non_idempotent": matcher.NonIdempotent, "stream": matcher.Stream}
	now := time.Now()
	c := &Call{
		ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: now.Add(2 * time.Second),
		CallerDeadline: now.Add(2 * time.Second), Route: &matcher.Route{Type: types[x.Type], MaxAttempts: 1, TargetLatency: time.Second},
	}
	blocks := map[string]breaker.ReportedBlock{"request:" + c.Fingerprint(): {LengthMS: time.Minute.Milliseconds()}}
	r.Breaker.Log = r.Log
	go x.serve(l, func() { r.Breaker.Receive(&breaker.Report{Blocks: blocks}) })
	body := strings.Builder{}
	failure := r.Serve(t.Context(), c, &ResponseWriter{
		Start: func(int, http.Header) {},
		Write: func(b []byte) error { _, err := body.Write(b); return err },
	})
	switch {
	case failure == nil && x.Failure != 0:
		t.Errorf("no failure, body %q", body.String())
	case failure != nil && failure.Status != x.Failure:
		t.Errorf("failure %d: %s", failure.Status, failure.Message)
	}
	if body.String() != x.Body {
		t.Errorf("body %q, wanted %q", body.String(), x.Body)
	}
}

// TestErrorDoesNotProveRequestSound guards against a crashing request that counts as sound
// because a runner answered an error before it would have crashed.
func TestErrorDoesNotProveRequestSound(t *testing.T) {
	for behavior, isSound := range map[string]bool{"ok": true, "error": false} {
		t.Run(behavior, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close() //nolint:errcheck
			go (&scriptedRunners{runs: []string{behavior}}).serve(l)
			r := newRelayer(t, &faultCase{Runs: []string{behavior}}, l.Addr().String())
			now := time.Now()
			c := &Call{
				ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: now.Add(2 * time.Second),
				CallerDeadline: now.Add(2 * time.Second), Route: &matcher.Route{Type: matcher.NonIdempotent, MaxAttempts: 1},
			}
			key := "request:" + c.Fingerprint()
			r.Breaker.Receive(&breaker.Report{Crashes: []breaker.ReportedCrash{{Runner: "gone", AgeMS: 500, Keys: map[string]int{key: 0}}}})
			_ = r.Serve(t.Context(), c, &ResponseWriter{Start: func(int, http.Header) {}, Write: func([]byte) error { return nil }})
			if got := len(r.Breaker.Report().Sound) > 0; got != isSound {
				t.Errorf("the request has proved sound: %v, want %v", got, isSound)
			}
		})
	}
}

// serve answers one request, and calls block in the middle of the response.
func (x *blockedCase) serve(l net.Listener, block func()) {
	const pause = 50 * time.Millisecond
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close() //nolint:errcheck
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, q.Body)
	_, writeErr := io.WriteString(c, x.Before)
	if errors.Join(err, writeErr) != nil {
		return
	}
	time.Sleep(pause)
	block()
	time.Sleep(pause)
	_, _ = io.WriteString(c, x.After)
}
