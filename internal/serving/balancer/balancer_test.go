package balancer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// newBalancer returns a balancer over runners of a plain service, or of one-VM
// replicas of a model.
func newBalancer(model string, slots int, ids ...string) *Balancer {
	tr := &tracker.Tracker{}
	services := map[string]*matcher.Service{"s": {Name: "s"}}
	if model != "" {
		services["s"].Engine = &matcher.Engine{Models: []matcher.Model{{Name: model, Size: 1}}}
	}
	tr.SetServices(services)
	list := []*tracker.Runner{}
	for i, id := range ids {
		r := &tracker.Runner{ID: id, Service: "s", Address: id, State: tracker.Ready, Slots: slots, DataCenter: "dc"}
		if model != "" {
			r.Models, r.HasMembership = []string{model}, true
			r.Membership = tracker.Membership{Replica: id, Epoch: int64(i + 1), State: tracker.MemberOpen}
		}
		list = append(list, r)
	}
	tr.Replace(list, 0)
	return &Balancer{View: tr.View, DataCenter: "dc"}
}

func request(model string, priority int, wait, objective time.Duration) *Request {
	now := time.Now()
	return &Request{Service: "s", Model: model, Priority: priority, Arrived: now, Objective: now.Add(objective), GiveUp: now.Add(wait)}
}

func acquire(t *testing.T, b *Balancer, r *Request) *Place {
	t.Helper()
	p, err := b.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestSpread checks that requests go to the target with least in flight, also
// by the word of other nodes, and that no target gets more than its slots.
func TestSpread(t *testing.T) {
	b := newBalancer("", 2, "a", "b")
	b.SetPeer("other", map[string]int{"a": 2})
	for range 2 {
		if p := acquire(t, b, request("", 1, 0, time.Second)); p.Target.ID != "b" {
			t.Fatalf("went to %s, which is full", p.Target.ID)
		}
	}
	if _, err := b.Acquire(t.Context(), request("", 1, time.Millisecond, time.Second)); !errors.Is(err, ErrFull) {
		t.Fatalf("error %v, wanted ErrFull", err)
	}
	b.SetPeer("other", map[string]int{"a": 1})
	if p := acquire(t, b, request("", 1, 0, time.Second)); p.Target.ID != "a" {
		t.Fatalf("went to %s, which is full", p.Target.ID)
	}
}

// TestOrder checks the order in which waiting requests get places: those that
// can still meet their objective first, then by priority, then by arrival.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer("", 1, "a")
		first := acquire(t, b, request("", 1, 0, time.Second))
		got := make(chan string, 4)
		wait := func(name string, priority int, objective time.Duration) {
			go func() {
				p, err := b.Acquire(t.Context(), request("", priority, time.Minute, objective))
				if err != nil {
					t.Error(err)
					return
				}
				got <- name
				time.Sleep(time.Millisecond)
				p.Release()
			}()
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		wait("late", 0, 10*time.Millisecond)
		wait("second", 2, time.Minute)
		wait("third", 2, time.Minute)
		wait("urgent", 1, time.Minute)
		time.Sleep(50 * time.Millisecond)
		first.Release()
		for _, want := range []string{"urgent", "second", "third", "late"} {
			if name := <-got; name != want {
				t.Errorf("%s was served, wanted %s", name, want)
			}
		}
		time.Sleep(time.Second)
	})
}

// TestStall checks that a target that sends nothing is suspected, that its
// requests are told to move, and that others are sent elsewhere meanwhile.
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer("m", 8, "a", "b")
		suspects := []string{}
		b.Suspected = func(x Target, _ time.Duration) { suspects = append(suspects, x.ID) }
		moved := map[string]int{}
		places := []*Place{}
		for range 9 { // more than one target has places for
			p := acquire(t, b, request("m", 1, 0, time.Second))
			p.OnMove(func(err error) {
				if !errors.Is(err, ErrStalled) {
					t.Error(err)
				}
				moved[p.Target.ID]++
			})
			p.Progress()
			places = append(places, p)
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			for _, p := range places {
				if p.Target.ID == "b" {
					p.Progress()
				}
			}
			b.CheckStalls()
		}
		if len(suspects) != 1 || suspects[0] != "a" || moved["a"] == 0 || moved["b"] != 0 {
			t.Errorf("suspects %v, moved %v", suspects, moved)
		}
		if p := acquire(t, b, request("m", 1, 0, time.Second)); p.Target.ID != "b" {
			t.Errorf("a request went to %s", p.Target.ID)
		}
		b.Clear("a")
		isUsed := false
		for range 6 { // with those above more than the other target has places for
			p := b.take(&lane{}, request("m", 1, 0, time.Second))
			isUsed = isUsed || p != nil && p.Target.ID == "a"
		}
		if !isUsed {
			t.Error("a target that started anew is still suspected")
		}
	})
}

// TestFirstEvent checks that a target is not suspected only because a single
// request waits for its first event, but that the word of another node, which
// has seen a stream stand still, moves that request.
func TestFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer("m", 8, "a")
		moved := false
		p := acquire(t, b, request("m", 1, 0, time.Second))
		p.OnMove(func(error) { moved = true })
		time.Sleep(time.Second)
		b.CheckStalls()
		if moved {
			t.Error("moved after a second")
		}
		b.Suspect("a")
		if !moved {
			t.Error("not moved although another node suspects the target")
		}
	})
}

// TestGone checks that a request whose caller has gone leaves the queue and
// keeps no place.
func TestGone(t *testing.T) {
	b := newBalancer("", 1, "a")
	first := acquire(t, b, request("", 1, 0, time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := b.Acquire(ctx, request("", 1, time.Minute, time.Minute))
		done <- err
	}()
	time.Sleep(10 * time.Millisecond)
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	first.Release()
	acquire(t, b, request("", 1, 0, time.Second)).Release()
}

// TestNoTarget checks that a request for which nothing is there says so.
func TestNoTarget(t *testing.T) {
	b := newBalancer("m", 1, "a")
	if _, err := b.Acquire(t.Context(), request("other", 1, time.Millisecond, time.Second)); !errors.Is(err, ErrNoTarget) {
		t.Fatalf("error %v, wanted ErrNoTarget", err)
	}
}

// exchange tells each balancer what the others suspected a little earlier, as
// beats do.
func exchange(list []*Balancer) {
	told := [][]string{}
	for _, from := range list {
		_, suspects := from.Counts()
		told = append(told, suspects)
	}
	time.Sleep(20 * time.Millisecond)
	for i := range list {
		for _, to := range list[:i] {
			for _, id := range told[i] {
				to.Suspect(id)
			}
		}
		for _, to := range list[i+1:] {
			for _, id := range told[i] {
				to.Suspect(id)
			}
		}
	}
}

// TestSuspicionEnds checks that nodes do not keep a suspicion alive by telling it
// to each other once the one that had it no longer does, whatever the time
// between two beats.
func TestSuspicionEnds(t *testing.T) {
	for ms := 100; ms < 200; ms += 7 {
		synctest.Test(t, func(t *testing.T) { checkSuspicionEnds(t, time.Duration(ms)*time.Millisecond) })
	}
}

func checkSuspicionEnds(t *testing.T, pause time.Duration) {
	list := []*Balancer{newBalancer("m", 2, "a"), newBalancer("m", 2, "a"), newBalancer("m", 2, "a")}
	p := acquire(t, list[0], request("m", 1, 0, time.Second))
	p.OnMove(func(error) { p.Release() })
	wasTold := false
	for start := time.Now(); time.Since(start) < 12*time.Second; {
		time.Sleep(pause)
		for _, b := range list {
			b.CheckStalls()
		}
		exchange(list)
		wasTold = wasTold || isHeld(list[1], "a")
	}
	if !wasTold {
		t.Error("the other nodes never heard of the stalled target")
	}
	for i, b := range list {
		if isHeld(b, "a") {
			t.Errorf("beats every %v: node %d still suspects the target", pause, i)
		}
	}
}

func isHeld(b *Balancer, id string) bool {
	l := b.load(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.suspected)
}

// TestPausedNode checks that a node that stood still does not take its own pause
// for silence of its targets.
func TestPausedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer("m", 2, "a")
		moved := false
		p := acquire(t, b, request("m", 1, 0, time.Second))
		p.OnMove(func(error) { moved = true })
		p.Progress()
		for range 5 {
			b.CheckStalls()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		b.CheckStalls()
		if moved || isHeld(b, "a") {
			t.Error("the target is suspected after a pause of the node")
		}
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			b.CheckStalls()
		}
		if !moved || !isHeld(b, "a") {
			t.Error("a target that stays silent after the pause is not suspected")
		}
	})
}

// TestBound checks that a waiting request which may not have the free place does
// not keep it from others that wait behind it.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer("", 1, "a", "b")
		places := map[string]*Place{}
		for range 2 {
			p := acquire(t, b, request("", 1, 0, time.Second))
			places[p.Target.ID] = p
		}
		bound := request("", 0, time.Minute, time.Minute)
		bound.Tried = []string{"a"}
		served := make(chan string, 2)
		for name, r := range map[string]*Request{"bound": bound, "free": request("", 1, time.Minute, time.Minute)} {
			go func() {
				if p, err := b.Acquire(t.Context(), r); err == nil {
					served <- name + " " + p.Target.ID
				}
			}()
		}
		synctest.Wait()
		places["a"].Release()
		if got := <-served; got != "free a" {
			t.Errorf("%s came first, wanted the request that may have the place", got)
		}
		places["b"].Release()
		if got := <-served; got != "bound b" {
			t.Errorf("%s came second", got)
		}
	})
}
