package relayer

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
)

// TestFailuresOfRunnersAreLogged checks that the log tells what a runner has stated.
func TestFailuresOfRunnersAreLogged(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	x := &faultCase{Runs: []string{"refuse", "error"}}
	go (&scriptedRunners{runs: x.Runs}).serve(l)
	r := newRelayer(t, x, l.Addr().String())
	log := &bytes.Buffer{}
	r.Log = slog.New(slog.NewTextHandler(log, nil))
	now := time.Now()
	c := &Call{
		ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: now.Add(time.Second), CallerDeadline: now.Add(time.Second),
		Route: &matcher.Route{Type: matcher.NonIdempotent, MaxAttempts: 2},
	}
	r.Serve(t.Context(), c, &ResponseWriter{Start: func(int, http.Header) {}, Write: func([]byte) error { return nil }})
	for _, want := range []string{
		"status=503 not_run=true signed=false named=true first_on_connection=true attempt=1",
		"status=500 not_run=false signed=true named=true first_on_connection=true attempt=2",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no line with %q in\n%s", want, log)
		}
	}
}
