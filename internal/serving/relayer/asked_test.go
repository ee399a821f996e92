package relayer

import (
	"net"
	"net/http"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// TestOnlyARunnerAsksToBeLeft guards against sound runners that get no requests since something
// else has answered in their place.
func TestOnlyARunnerAsksToBeLeft(t *testing.T) {
	for behavior, want := range map[string]bool{"ok": true, "error": true, "refuse": true, "elsewhere": false, "unsigned": false, "bare_403": false} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() //nolint:errcheck
		s := &scriptedRunners{runs: []string{behavior}}
		go s.serve(l)
		r := newRelayer(t, &faultCase{Runs: s.runs}, l.Addr().String())
		inspect, hasAsked := r.Wire.Inspect, false
		r.Wire.Inspect = func(status int, h http.Header) Inspection {
			i := inspect(status, h)
			i.Leaving, i.Pause = true, time.Minute
			return i
		}
		r.Leaving = func(*tracker.Target) { hasAsked = true }
		now := time.Now()
		c := &Call{
			ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: now.Add(time.Second), CallerDeadline: now.Add(time.Second),
			Route: &matcher.Route{Type: matcher.NonIdempotent, MaxAttempts: 1, TargetLatency: time.Second},
		}
		_ = r.Serve(t.Context(), c, &ResponseWriter{Start: func(int, http.Header) {}, Write: func([]byte) error { return nil }})
		if isPaused := r.Balancer.IsPaused("r0"); hasAsked != want || isPaused != want {
			t.Errorf("%s: left %t, paused %t, want %t", behavior, hasAsked, isPaused, want)
		}
	}
}
