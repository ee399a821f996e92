package former

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"marjorammoor/internal/serving/tracker"
)

const (
	worldStallTime = 4 * time.Second
	// worldOutage is the outage of the store after which entries may have lapsed.
	worldOutage = 1200 * time.Millisecond
)

// draw returns the scenario of a seed.
func (s scenario) draw(seed uint64) scenario {
	if !s.IsMixed {
		return s
	}
	r := rand.New(rand.NewPCG(seed, 11))
	s.Runners = 8 + r.IntN(7)
	for _, x := range []*float64{&s.CrashEvery, &s.LapseEvery, &s.LateShare, &s.LostShare, &s.UnreachedEvery, &s.NodeCutEvery, &s.AwayEvery, &s.HandOverEvery, &s.UnannouncedLeaveEvery} {
		if r.IntN(3) == 0 {
			*x = 0
		}
	}
	return s
}

// isCalm reports whether the scenario's last seconds without new faults have begun.
func (w *world) isCalm() bool {
	return time.Since(w.start).Seconds() >= float64(w.scenario.Seconds)-w.scenario.CalmSeconds
}

// isReached reports whether controllers reach a runner.
func (w *world) isReached(v *vm) bool { return !w.isCutOff && !time.Now().Before(v.unreachedUntil) }

// isStoreAway reports whether the store is out of reach of a controller.
func (w *world) isStoreAway(i int) bool {
	return time.Now().Before(w.awayUntil) || time.Now().Before(w.nodeCutUntil[i])
}

// injectLosses injects the faults that take runners, controllers and the store out of each
// other's reach.
func (w *world) injectLosses(chance func(every float64) bool) {
	seconds := func(most float64) time.Duration {
		return time.Duration((0.3 + 0.7*w.rand.Float64()) * most * float64(time.Second))
	}
	if chance(w.scenario.UnreachedEvery) {
		until := time.Now().Add(seconds(w.scenario.UnreachedSeconds))
		for _, v := range w.sorted() {
			if w.rand.IntN(3) == 0 {
				v.unreach(w.scenario.UnreachedAs, time.Until(until))
			}
		}
	}
	if chance(w.scenario.NodeCutEvery) {
		w.nodeCutUntil[w.rand.IntN(w.scenario.Controllers)] = time.Now().Add(seconds(w.scenario.NodeCutSeconds))
	}
	if time.Now().After(w.awayUntil) && chance(w.scenario.AwayEvery) {
		w.loseStore(seconds(w.scenario.AwaySeconds))
	}
}

// sorted returns the VMs by ID.
func (w *world) sorted() []*vm {
	list := []*vm{}
	for i := range w.lastNumber {
		list = append(list, w.vms[fmt.Sprintf("vm-%02d", i+1)])
	}
	return list
}

// loseStore takes the store away for a while. Most entries lapse meanwhile, and those of
// runners that live are back within 1.9 s of its return.
func (w *world) loseStore(d time.Duration) {
	w.awayUntil = time.Now().Add(d)
	for _, v := range w.sorted() {
		lapse := 2400*time.Millisecond + time.Duration(w.rand.IntN(1200))*time.Millisecond
		back := d + time.Duration(w.rand.IntN(1900))*time.Millisecond
		if lapse > d || w.rand.IntN(4) == 0 {
			continue
		}
		go func() {
			time.Sleep(lapse)
			w.mu.Lock()
			v.listed = false
			w.mu.Unlock()
			time.Sleep(back - lapse)
			w.mu.Lock()
			v.listed = v.alive && !v.refuses
			w.mu.Unlock()
		}()
	}
}

// lapseGrace is for how long a controller keeps entries that have lapsed with the store.
type lapseGrace struct {
	seenAt, until time.Time
}

// of returns for how long entries are kept that are missing now.
func (g *lapseGrace) of(w *world, isAway bool) time.Duration {
	now := time.Now()
	if isAway {
		return 0
	}
	if outage := now.Sub(g.seenAt); !g.seenAt.IsZero() && outage > worldOutage && w.awayUntil.After(g.seenAt) {
		g.until = now.Add(claimDelay)
	}
	g.seenAt = now
	return max(g.until.Sub(now), 0)
}

// breakStalled breaks the heads that lost a member longer than the stall time ago.
func (w *world) breakStalled() {
	for _, v := range w.vms {
		isServing := v.alive && (v.memberState == tracker.MemberOpen || v.memberState == tracker.MemberClosing)
		switch {
		case !isServing || !w.lacksMember(v):
			v.stalledSince = time.Time{}
		case v.stalledSince.IsZero():
			v.stalledSince = time.Now()
		case time.Since(v.stalledSince) > worldStallTime:
			v.memberState = tracker.MemberBroken
		}
	}
}

func (w *world) lacksMember(head *vm) bool {
	for _, id := range head.members {
		if m := w.vms[id]; !m.alive || m.replica != head.replica || m.epoch != head.epoch || time.Now().Before(m.partitionedUntil) {
			return true
		}
	}
	return false
}

// checkEpoch adds a violation if an epoch is used for two replicas.
func (w *world) checkEpoch(o Order) {
	if o.Replica == warmUpGroup(o.Runner.ID) {
		return
	}
	name := fmt.Sprint(o.Replica, o.Members)
	if known, ok := w.epochs[o.Epoch]; ok && known != name {
		w.addViolation("epoch %d is used for %s and for %s", o.Epoch, known, name)
	}
	w.epochs[o.Epoch] = name
}

// checkRepaired adds a violation if, after the calm at the end, a replica is still forming
// or closing or none is open.
func (w *world) checkRepaired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.scenario.CalmSeconds == 0 {
		return
	}
	a := Assignment{}
	if err := json.Unmarshal(w.object, &a); err != nil {
		w.addViolation("the assignment cannot be read: %v", err)
	}
	if len(a.Replicas) == 0 {
		w.addViolation("no replica after the calm")
	}
	for _, r := range a.Replicas {
		if r.State != Open {
			w.addViolation("replica %s is %s after the calm", r.Name, r.State)
		}
	}
}
