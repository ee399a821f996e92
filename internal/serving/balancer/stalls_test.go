package balancer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// stallScenario is one entry of testdata/stalls.json: the requests of this node and of
// a peer at one target, and what the target does. Times are since the start.
type stallScenario struct {
	Name string `json:"name"`
	// OwnEventMS and PeerEventMS are the times between two events that the target sends
	// to this node's request and to the peer's requests; 0 means no events.
	OwnEventMS  int `json:"own_event_ms"`
	PeerEventMS int `json:"peer_event_ms"`
	// PeerRequests is the number of requests that the peer has in flight.
	PeerRequests int `json:"peer_requests"`
	// DarkAtMS is when the target stops sending; 0 means never.
	DarkAtMS int `json:"dark_at_ms"`
	// OwnDarkAtMS is when only this node's connection falls silent; 0 means never.
	OwnDarkAtMS int `json:"own_dark_at_ms"`
	// ReportMS is the time between two reports of the peer.
	ReportMS int `json:"report_ms"`
	// RunMS is how long the target is observed.
	RunMS int `json:"run_ms"`
	// SuspectedWithinMS is the longest time after DarkAtMS until the target must be
	// suspected; 0 means that it must never be.
	SuspectedWithinMS int `json:"suspected_within_ms"`
	// MovedWithinMS is the same for the request being notified, after OwnDarkAtMS.
	MovedWithinMS int `json:"moved_within_ms"`
}

// TestStalls checks that a target that is silent towards everyone is found in time,
// and that one which is only busy, slow, or silent on one connection is not suspected.
func TestStalls(t *testing.T) {
	list := []stallScenario{}
	readJSON(t, "testdata/stalls.json", &list)
	for _, s := range list {
		t.Run(s.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { s.check(t) })
		})
	}
}

// stallRun is the state of one scenario.
type stallRun struct {
	stallScenario
	b           *Balancer
	slot        *Slot
	peerEventAt int
	suspectedMS int
	movedMS     int
	nowMS       int
}

func (s stallScenario) check(t *testing.T) {
	const never = -1
	r := &stallRun{stallScenario: s, b: newBalancer("m", 8, "a", "b", "c"), suspectedMS: never, movedMS: never}
	r.b.Suspected = func(Target, time.Duration) { r.suspectedMS = r.nowMS }
	r.slot = acquire(t, r.b, request("m", 1, 0, time.Second))
	r.slot.OnStall(func(error) { r.movedMS = r.nowMS })
	for r.nowMS = 0; r.nowMS <= s.RunMS && r.suspectedMS == never; r.nowMS += 10 {
		r.step()
		time.Sleep(10 * time.Millisecond)
	}
	switch {
	case s.SuspectedWithinMS == 0 && r.suspectedMS != never:
		t.Errorf("suspected after %d ms", r.suspectedMS)
	case s.SuspectedWithinMS > 0 && (r.suspectedMS == never || r.suspectedMS > s.DarkAtMS+s.SuspectedWithinMS):
		t.Errorf("suspected after %d ms, dark since %d ms", r.suspectedMS, s.DarkAtMS)
	case s.SuspectedWithinMS == 0 && s.MovedWithinMS == 0 && r.movedMS != never:
		t.Errorf("request notified after %d ms", r.movedMS)
	case s.MovedWithinMS > 0 && (r.movedMS == never || r.movedMS > s.OwnDarkAtMS+s.MovedWithinMS):
		t.Errorf("request notified after %d ms, silent since %d ms", r.movedMS, s.OwnDarkAtMS)
	}
}

// step sends the events, reports and checks of one moment.
func (r *stallRun) step() {
	isDark := r.DarkAtMS > 0 && r.nowMS >= r.DarkAtMS
	if r.PeerEventMS > 0 && r.nowMS%r.PeerEventMS == 0 && !isDark {
		r.peerEventAt = r.nowMS
	}
	isOwnDark := isDark || r.OwnDarkAtMS > 0 && r.nowMS >= r.OwnDarkAtMS
	if r.OwnEventMS > 0 && r.nowMS%r.OwnEventMS == 0 && !isOwnDark {
		r.slot.RecordProgress()
	}
	if r.PeerRequests > 0 && r.nowMS%r.ReportMS == 0 {
		r.report()
	}
	if r.nowMS%100 == 0 {
		r.b.CheckStalls()
	}
}

// report passes on what the peer has seen.
func (r *stallRun) report() {
	id := r.slot.Target.ID
	report := PeerReport{DataCenter: "dc", Interval: time.Duration(r.ReportMS) * time.Millisecond, InFlight: map[string]int{id: r.PeerRequests}}
	if r.PeerEventMS == 0 || r.nowMS-r.peerEventAt > int(quietTime.Milliseconds()) {
		report.Quiet = []string{id}
	}
	r.b.SetPeerLoad("peer", report)
}

// TestManySuspects checks that reports of other nodes take out at most a part of a
// model's targets, and that a target which sends events to anyone is not taken out.
func TestManySuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{}
		for i := range 10 {
			ids = append(ids, fmt.Sprint("t", i))
		}
		b := newBalancer("m", 4, ids...)
		b.SetPeerLoad("peer", PeerReport{InFlight: map[string]int{"t0": 1}})
		for _, id := range ids {
			b.Suspect(id)
		}
		suspected := 0
		for _, id := range ids {
			if isSuspected(b, id) {
				suspected++
			}
		}
		if suspected != 5 || isSuspected(b, "t0") {
			t.Errorf("%d of 10 targets suspected, want 5; the busy one: %t", suspected, isSuspected(b, "t0"))
		}
	})
}

// TestPeerReports checks that the load of a target follows the newest report of each
// node, and that the reports of a silent node are dropped.
func TestPeerReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer("m", 8, "a")
		b.SetPeerLoad("x", PeerReport{InFlight: map[string]int{"a": 3}})
		b.SetPeerLoad("y", PeerReport{InFlight: map[string]int{"a": 2}, Interval: time.Second})
		b.SetPeerLoad("x", PeerReport{InFlight: map[string]int{"a": 1}})
		if n := b.InFlight("a"); n != 3 {
			t.Errorf("%d in flight, want 3", n)
		}
		time.Sleep(minReportTTL + time.Millisecond)
		b.CheckStalls()
		if n := b.InFlight("a"); n != 2 {
			t.Errorf("%d in flight after a node fell silent, want 2", n)
		}
		b.SetPeerLoad("y", PeerReport{})
		if n := b.InFlight("a"); n != 0 {
			t.Errorf("%d in flight after the last request ended, want 0", n)
		}
	})
}

// TestRunnerThatGoesOnIsUsedAgain checks that a target that was suspected gets requests again as
// soon as it has sent something.
func TestRunnerThatGoesOnIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer("m", 8, "a")
		s := acquire(t, b, request("m", 1, 0, time.Second))
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			b.CheckStalls()
		}
		if !isSuspected(b, "a") {
			t.Fatal("the silent target is not suspected")
		}
		s.RecordProgress()
		if isSuspected(b, "a") || len(b.LocalLoad().Suspects) > 0 {
			t.Error("the target is suspected although it goes on")
		}
		b.CheckStalls()
		if isSuspected(b, "a") {
			t.Error("the target is suspected again at once")
		}
	})
}
