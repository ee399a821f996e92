package former

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// observing returns a controller and its state of a domain with replica d-2, whose head "a" is
// missing and silent, as it was observed some time ago.
func observing(ago time.Duration) (*Controller, *domainState, *domain) {
	service := &matcher.Service{Name: "s", Engine: &matcher.Engine{Models: []matcher.Model{{Name: "m", Size: 2}}}}
	c := &Controller{
		View: func() *tracker.View { return &tracker.View{} }, StallTime: func() time.Duration { return time.Second },
		IsStartup: func() bool { return false }, LoadsPerWindow: func() float64 { return 1 }, PeerLoads: func() int { return 0 },
	}
	d := &domain{service: service, name: "d", runners: []*tracker.Runner{{ID: "b", Address: "b", BootTime: 1, State: tracker.Ready}}}
	s := c.state(d)
	at := time.Now().Add(-ago)
	s.assignment = Assignment{Replicas: []Replica{{Name: "d-2", Model: "m", Epoch: 2, State: Closing, Members: []Member{{ID: "a"}, {ID: "b"}}}}}
	s.headMissingSince["d-2"], s.silentSince["a"], s.missedAt["a"], s.decidedAt = at, at, at, at
	return c, s, d
}

// TestSilenceBeforeAPauseDoesNotCount guards against heads that seem gone because this node has
// not looked for a while.
func TestSilenceBeforeAPauseDoesNotCount(t *testing.T) {
	c, s, d := observing(time.Second)
	if in := c.input(s, d, nil); time.Since(in.HeadMissingSince["d-2"]) < time.Second || len(in.SilentSince) != 1 {
		t.Errorf("after 1 s: %v, %v", in.HeadMissingSince, in.SilentSince)
	}
	c, s, d = observing(maxDecisionGap + time.Second)
	if in := c.input(s, d, nil); time.Since(in.HeadMissingSince["d-2"]) > time.Second || len(in.SilentSince) != 0 || in.ReachableFor > time.Second {
		t.Errorf("after a pause: %v, %v, reachable for %v", in.HeadMissingSince, in.SilentSince, in.ReachableFor)
	}
}

// TestOldMissesDoNotCount guards against heads that seem silent by probes of long ago.
func TestOldMissesDoNotCount(t *testing.T) {
	_, s, _ := observing(missLifetime / 2)
	s.expireMisses(time.Now())
	if len(s.silentSince) != 1 {
		t.Error("a recent miss is forgotten")
	}
	_, s, _ = observing(missLifetime + time.Second)
	s.expireMisses(time.Now())
	if len(s.silentSince) != 0 {
		t.Error("an old miss still counts")
	}
}

// TestLeaveOfAMemberIsNotItsHeads guards against members that are free because one of them left.
func TestLeaveOfAMemberIsNotItsHeads(t *testing.T) {
	c, s, _ := observing(0)
	at := time.Now()
	c.applyResult(s, Order{Operation: Leave, Runner: Member{ID: "b"}, Replica: "d-2"}, NoAnswer, at)
	if len(s.headLeft) != 0 || len(s.memberLostAt) != 0 {
		t.Errorf("without an answer: %v, %v", s.headLeft, s.memberLostAt)
	}
	c.applyResult(s, Order{Operation: Leave, Runner: Member{ID: "b"}, Replica: "d-2"}, Done, at)
	c.applyResult(s, Order{Operation: Leave, Runner: Member{ID: "b"}, Replica: "d-2"}, Done, at.Add(time.Second))
	if len(s.headLeft) != 0 || !s.memberLostAt["d-2"].Equal(at) {
		t.Errorf("a member left: %v, %v", s.headLeft, s.memberLostAt)
	}
	c.applyResult(s, Order{Operation: Leave, Runner: Member{ID: "a"}, Replica: "d-2"}, Done, at)
	if !s.headLeft["d-2"].Equal(at) {
		t.Errorf("the head left: %v", s.headLeft)
	}
}

// TestEntryOfAnEarlierStartProvesNothing guards against replicas that end because the store still lists
// what a member wrote before it was started again: the node that claimed asked the member itself.
func TestEntryOfAnEarlierStartProvesNothing(t *testing.T) {
	c, s, d := observing(0)
	s.assignment.Replicas[0].Members[1].BootTime = 2
	if in := c.input(s, d, nil); len(in.MemberLostAt) != 0 {
		t.Errorf("an entry of an earlier start: lost since %v", in.MemberLostAt)
	}
	d.runners[0].BootTime = 3
	if in := c.input(s, d, nil); len(in.MemberLostAt) != 1 {
		t.Error("a later start is no loss")
	}
}

// TestLeaveOfALaterStartIsSentAtOnce guards against members that wait because a head was ordered to
// leave shortly before it started anew.
func TestLeaveOfALaterStartIsSentAtOnce(t *testing.T) {
	c, s, d := observing(0)
	starts := []int64{}
	c.Log = slog.New(slog.DiscardHandler)
	c.Send = func(_ context.Context, o Order) Result {
		starts = append(starts, o.Runner.BootTime)
		return NoAnswer
	}
	for _, boot := range []int64{1, 1, 2} {
		c.send(t.Context(), s, d, []Order{{Operation: Leave, Runner: Member{ID: "a", BootTime: boot}, Replica: "d-2", Epoch: 2}})
	}
	if !slices.Equal(starts, []int64{1, 2}) {
		t.Errorf("orders were sent to the starts %v, want 1 and 2", starts)
	}
}

// TestPauseOfASoundRunnerIsNoDeath guards against replicas that are closed, with all their streams,
// because a member has paused for about a second.
func TestPauseOfASoundRunnerIsNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s, _ := observing(0)
		c.AnswersPeers, c.InFlight, c.Log = func(string) bool { return false }, func(string) int { return 0 }, slog.New(slog.DiscardHandler)
		silent, refusing := Member{ID: "x"}, Member{ID: "y"}
		for range 3 {
			s.recordProbe(c, silent, NoResponse)
			s.recordProbe(c, refusing, Refused)
			time.Sleep(probeTimeout)
		}
		if s.dead["x"] || !s.dead["y"] {
			t.Errorf("after three probes, dead: %v", s.dead)
		}
		s.recordProbe(c, silent, Reachable)
		for range 4 {
			s.recordProbe(c, silent, NoResponse)
			time.Sleep(probeTimeout)
		}
		if !s.dead["x"] {
			t.Error("a runner that stays silent is not dead")
		}
	})
}
