package tracker

import (
	"testing"
	"time"
)

// TestKeptEntriesAreMarked guards against entries that have lapsed passing for current ones.
func TestKeptEntriesAreMarked(t *testing.T) {
	now := time.Now()
	tr := &Tracker{Now: func() time.Time { return now }}
	tr.SetServices(services())
	entry := func(orders int64) []*Runner {
		return []*Runner{{ID: "r", Service: "pool", State: Ready, BootTime: 1, Orders: orders}}
	}
	check := func(when string, isUsed, isKept bool) {
		t.Helper()
		r, ok := tr.View().Runner("r")
		if ok != isUsed || ok && r.IsKept != isKept {
			t.Errorf("%s: %+v, want used %t, kept %t", when, r, isUsed, isKept)
		}
	}
	tr.Replace(entry(2), 0)
	check("listed", true, false)
	tr.Replace(nil, time.Second)
	check("not listed after an outage", true, true)
	tr.Update(entry(2), nil, time.Second)
	check("written again", true, false)
	tr.Update(nil, []string{"r"}, time.Second)
	check("removed after an outage", true, true)
	now = now.Add(2 * time.Second)
	tr.Expire()
	check("after the grace period", false, false)

	tr.Replace(entry(2), 0)
	tr.Restore(entry(1), time.Second)
	check("listed as it was earlier", true, true)
	now = now.Add(2 * time.Second)
	tr.Expire()
	check("not written again", true, false)
}
