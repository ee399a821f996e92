package relayer

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// drip is a response body that sends whole events at one pause, and then single bytes at
// another one without end.
type drip struct {
	ctx    context.Context
	events int
	every  time.Duration
	bytes  time.Duration
}

// Read implements io.Reader.
func (d *drip) Read(p []byte) (int, error) {
	pause, part := d.bytes, "x"
	if d.events > 0 {
		d.events--
		pause, part = d.every, "data: x\n\n"
	}
	select {
	case <-time.After(pause):
		return copy(p, part), nil
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	}
}

// TestDrip checks that a stalled stream that still sends a byte now and then is ended
// soon, and that a slow stream of whole events is not.
func TestDrip(t *testing.T) {
	for name, x := range map[string]struct {
		events      int
		every       time.Duration
		least, most time.Duration
	}{
		"byte now and then":    {3, 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second},
		"slow, then drips":     {20, 500 * time.Millisecond, 10 * time.Second, 12 * time.Second},
		"one event, then none": {1, time.Millisecond, 500 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reason, took := runDrip(t, x.events, x.every)
				if reason != responder.ReasonStalled || took < x.least || took > x.most {
					t.Errorf("ended with %q after %v, want %q after %v to %v", reason, took, responder.ReasonStalled, x.least, x.most)
				}
			})
		})
	}
}

// runDrip relays a dripping stream and returns why and when it ended.
func runDrip(t *testing.T, events int, every time.Duration) (responder.Reason, time.Duration) {
	tr := &tracker.Tracker{}
	tr.SetServices(map[string]*matcher.Service{"s": {Name: "s", Engine: &matcher.Engine{Models: []matcher.Model{{Name: "m", Size: 1}}}}})
	tr.Replace([]*tracker.Runner{{
		ID: "a", Service: "s", Address: "a", State: tracker.Ready, Slots: 4, Models: []string{"m"}, HasMembership: true,
		Membership: tracker.Membership{Replica: "a", Epoch: 1, State: tracker.MemberOpen},
	}}, 0)
	b := &balancer.Balancer{View: tr.View}
	r := &Relayer{Balancer: b, Client: &requester.Client{}, Wire: wire(), Breaker: &breaker.Breaker{HasEnded: func(breaker.Runner) bool { return false }}, Log: slog.New(slog.DiscardHandler)}
	slot, err := b.Acquire(t.Context(), &balancer.Request{Service: "s", Model: "m", Arrived: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	defer slot.Release()
	limited, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	ctx, cancel := context.WithCancelCause(limited)
	defer cancel(nil)
	slot.OnStall(func(cause error) { cancel(cause) })
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			b.CheckStalls()
		}
	}()
	guard, err := r.Breaker.Admit(breaker.Request{}, cancel)
	if err != nil {
		t.Fatal(err)
	}
	defer guard.Done()
	c := &Call{Route: &matcher.Route{Type: matcher.Stream, Resumable: true}, Arrived: time.Now(), guard: guard}
	a := &ResponseWriter{Start: func(int, http.Header) {}, Write: func([]byte) error { return nil }}
	body := &drip{ctx: ctx, events: events, every: every, bytes: 200 * time.Millisecond}
	at := &attempt{ctx: ctx, slot: slot, response: &requester.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}}
	failure := r.relayStream(c, a, &stream{}, at)
	time.Sleep(100 * time.Millisecond)
	return failure.Reason, time.Since(c.Arrived) - 100*time.Millisecond
}
