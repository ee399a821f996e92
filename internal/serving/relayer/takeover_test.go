package relayer

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// takeover is a call whose runners are taken for lost again and again.
type takeover struct {
	*silenceCase
	runners *scriptedRunners
	relayer *Relayer
	// write, if set, is called before each write to the caller.
	write func() error
	body  strings.Builder
}

func newTakeover(t *testing.T, x *silenceCase) *takeover {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedRunners{runs: x.Runs}
	go s.serve(l)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop); _ = l.Close() })
	k := &takeover{silenceCase: x, runners: s, relayer: x.relayer(l.Addr().String())}
	k.relayer.Breaker.Log = slog.New(slog.DiscardHandler)
	addRefusing(k.relayer.Balancer, x.Unreachable)
	go believeLost(k.relayer.Balancer, stop)
	return k
}

func (k *takeover) call(t *testing.T) *responder.Failure {
	now := time.Now()
	c := &Call{
		ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: now.Add(3 * time.Second), CallerDeadline: now.Add(3 * time.Second),
		Route:       &matcher.Route{Type: routeTypes[k.Type], Resumable: k.Type == "stream", MaxAttempts: k.MaxAttempts, TargetLatency: time.Second, Patience: 2 * time.Second},
		SharedParts: slices.Values([]string{"p"}),
	}
	return k.relayer.Serve(t.Context(), c, &ResponseWriter{
		Start: func(int, http.Header) {},
		Write: func(b []byte) error {
			if k.write != nil {
				if err := k.write(); err != nil {
					return err
				}
			}
			_, err := k.body.Write(b)
			return err
		},
	})
}

func (k *takeover) sends() int {
	k.runners.mu.Lock()
	defer k.runners.mu.Unlock()
	return k.runners.sends
}

// TestSlowCallerLeavesNoSlotBehind checks that a whole response is not asked for again while its caller
// reads it slowly, and that no slot stays held.
func TestSlowCallerLeavesNoSlotBehind(t *testing.T) {
	k := newTakeover(t, &silenceCase{Type: "idempotent", MaxAttempts: 2, Runners: 3, Budget: 9, Runs: []string{"ok", "ok"}})
	k.write = func() error { time.Sleep(300 * time.Millisecond); return nil }
	before := runtime.NumGoroutine()
	if failure := k.call(t); failure != nil {
		t.Errorf("failed: %s", failure.Message)
	}
	if n := k.sends(); n != 1 {
		t.Errorf("%d attempts, wanted 1", n)
	}
	checkNothingLeft(t, k.relayer, before)
}

// TestCallerThatIsGoneEndsBothAttempts checks that nothing goes on after a write to the caller
// has failed, although another attempt is under way.
func TestCallerThatIsGoneEndsBothAttempts(t *testing.T) {
	k := newTakeover(t, &silenceCase{Type: "stream", MaxAttempts: 2, Runners: 3, Budget: 9, Runs: []string{"stream 1-4 hang", "mute"}})
	k.write = func() error { time.Sleep(200 * time.Millisecond); return errors.New("the caller is gone") }
	before, started := runtime.NumGoroutine(), time.Now()
	failure := k.call(t)
	if took := time.Since(started); failure == nil || failure.Reason != responder.ReasonCallerGone || took > time.Second {
		t.Errorf("ended after %v with %v", took, failure)
	}
	checkNothingLeft(t, k.relayer, before)
}

// TestLateRefusalDoesNotEndTheOtherAttempt checks that a silent runner which refuses in the end, or
// answers with an error, does not end the attempt that was sent meanwhile.
func TestLateRefusalDoesNotEndTheOtherAttempt(t *testing.T) {
	for _, behavior := range []string{"late_refuse", "late_error", "late_unsigned"} {
		t.Run(behavior, func(t *testing.T) {
			k := newTakeover(t, &silenceCase{Type: "idempotent", MaxAttempts: 2, Runners: 3, Budget: 1, Runs: []string{behavior, "later"}})
			if failure := k.call(t); failure != nil || k.body.String() != "ok" {
				t.Errorf("failure %v, body %q", failure, k.body.String())
			}
			if n := k.sends(); n != 2 {
				t.Errorf("%d attempts, wanted 2", n)
			}
		})
	}
}

// TestBlockEndsNoStreamThatHasMoved checks that a stream which goes on at another runner, after the first
// one had sent nothing, is not ended once a part of its prompt is blocked.
func TestBlockEndsNoStreamThatHasMoved(t *testing.T) {
	k := newTakeover(t, &silenceCase{Type: "stream", MaxAttempts: 2, Runners: 3, Budget: 9, Runs: []string{"mute", "stream 1-4 pause"}})
	k.write = func() error {
		k.relayer.Breaker.Receive(&breaker.Report{Blocks: map[string]breaker.ReportedBlock{"p": {LengthMS: 5000}}})
		return nil
	}
	failure := k.call(t)
	if n := strings.Count(k.body.String(), "\n\n"); failure != nil || n != 4 {
		t.Errorf("%d events, failure %v", n, failure)
	}
}

// TestRefusedSuccessorIsReplaced checks that a stream whose runner is silent for good goes on at a third
// runner if the second refused it.
func TestRefusedSuccessorIsReplaced(t *testing.T) {
	k := newTakeover(t, &silenceCase{Type: "stream", MaxAttempts: 2, Runners: 4, Budget: 9, Runs: []string{"stream 1-4 hang", "refuse", "stream 4-6 end"}})
	failure := k.call(t)
	if n := strings.Count(k.body.String(), "\n\n"); failure != nil || n != 6 {
		t.Errorf("%d events, failure %v", n, failure)
	}
}

// TestSuccessorResumesAfterTheLastEvent checks that progress of a stream is recorded only together with its
// last event: an attempt that is sent later must not ask for that event again.
func TestSuccessorResumesAfterTheLastEvent(t *testing.T) {
	x := &silenceCase{Runners: 2, Budget: 9}
	r := x.relayer("127.0.0.1:1")
	slot, err := r.Balancer.Acquire(t.Context(), &balancer.Request{Service: "s", Arrived: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	defer slot.Release()
	guard, err := r.Breaker.Admit(breaker.Request{}, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	at, s := newAttempt(t.Context(), guard, slot), &stream{pending: []byte("id: 1\n\n")}
	at.response = &requester.Response{Status: http.StatusOK, Header: http.Header{}}
	at.next = &successor{present: at, stream: s}
	slot.OnStall(func(error) {})
	r.Balancer.LeaveLost(func(balancer.Target) bool { return true })
	s.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.forwardEvents(&Call{guard: guard}, &ResponseWriter{Start: func(int, http.Header) {}, Write: func([]byte) error { return nil }}, s, at, 0)
	}()
	time.Sleep(50 * time.Millisecond)
	if !slot.IsStalled() && s.lastID == "" {
		t.Error("progress is recorded, and the last event is not known")
	}
	s.mu.Unlock()
	<-done
	if slot.IsStalled() || s.last() != "1" {
		t.Errorf("stalled %t after event %q", slot.IsStalled(), s.last())
	}
}

// TestVainConnectionsUseUpNoRetry checks that the one retry that is left goes to a runner that accepts
// connections, however many others refuse them before.
func TestVainConnectionsUseUpNoRetry(t *testing.T) {
	for range 5 {
		k := newTakeover(t, &silenceCase{Type: "stream", MaxAttempts: 2, Runners: 2, Unreachable: 3, Budget: 1, Runs: []string{"stream 1-4 hang", "stream 4-6 end"}})
		failure := k.call(t)
		if n := strings.Count(k.body.String(), "\n\n"); failure != nil || n != 6 {
			t.Fatalf("%d events, failure %v", n, failure)
		}
	}
}

// addRefusing adds runners that refuse connections.
func addRefusing(b *balancer.Balancer, n int) {
	tr, list := &tracker.Tracker{}, slices.Collect(maps.Values(b.View().Runners))
	for i := range n {
		list = append(list, &tracker.Runner{ID: fmt.Sprintf("refusing%d", i), Service: "s", Address: "127.0.0.1:1", State: tracker.Ready, Slots: 1})
	}
	tr.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	tr.Replace(list, 0)
	b.View = tr.View
}
