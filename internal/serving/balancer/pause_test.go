package balancer

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// pauseCase is one entry of testdata/pauses.json: targets that have asked for pauses, and a
// request after that.
type pauseCase struct {
	Name    string `json:"name"`
	Targets int    `json:"targets"`
	// PausesMS are the pauses for which the first targets have asked.
	PausesMS []int64 `json:"pauses_ms"`
	// Unreached are the targets that have ended.
	Unreached []int `json:"unreached"`
	// Restarted is set if the first target has started anew since.
	Restarted bool `json:"restarted"`
	// LaterMS is when the request comes, and WaitMS how long it may wait.
	LaterMS int64 `json:"later_ms"`
	WaitMS  int64 `json:"wait_ms"`
	// Gets is the target that the request gets, or PausedMS the time for which it is told that
	// none wants it, after AfterMS.
	Gets     string `json:"gets"`
	PausedMS int64  `json:"paused_ms"`
	AfterMS  int64  `json:"after_ms"`
}

// TestPauses checks that targets that want no requests get none, and that callers are told
// at once when the first one does again.
func TestPauses(t *testing.T) {
	list := []pauseCase{}
	readJSON(t, "testdata/pauses.json", &list)
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { x.check(t) })
		})
	}
}

func (x *pauseCase) check(t *testing.T) {
	ids := []string{}
	for i := range x.Targets {
		ids = append(ids, strconv.Itoa(i))
	}
	b := newBalancer("", 4, ids...)
	b.Reach = func(t Target) (Reach, time.Time) {
		if i, err := strconv.Atoi(t.ID); err == nil && slices.Contains(x.Unreached, i) {
			return OutOfReach, time.Now()
		}
		return InReach, time.Time{}
	}
	for i, ms := range x.PausesMS {
		(&Slot{load: b.load(strconv.Itoa(i))}).Pause(time.Duration(ms) * time.Millisecond)
	}
	if x.Restarted {
		b.ClearSuspicion("0")
	}
	time.Sleep(time.Duration(x.LaterMS) * time.Millisecond)
	began := time.Now()
	s, err := b.Acquire(t.Context(), request("", 1, time.Duration(x.WaitMS)*time.Millisecond, time.Second))
	after := time.Since(began).Milliseconds()
	paused := &PausedError{}
	switch {
	case x.Gets != "" && (err != nil || s.Target.ID != x.Gets):
		t.Errorf("got %+v, %v; wanted target %s", s, err, x.Gets)
	case x.Gets == "" && (!errors.As(err, &paused) || paused.Remaining.Milliseconds() != x.PausedMS):
		t.Errorf("got %v, wanted a pause of %d ms", err, x.PausedMS)
	case after != x.AfterMS:
		t.Errorf("it took %d ms, wanted %d ms", after, x.AfterMS)
	}
}
