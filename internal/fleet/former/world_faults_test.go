package former

import (
	"fmt"
	"sort"
	"time"

	"marjorammoor/internal/serving/tracker"
)

// injectFaults injects the scenario's faults for one tick of 0.1 s.
func (w *world) injectFaults() {
	chance := func(every float64) bool { return every > 0 && w.rand.Float64() < 0.1/every }
	ids := []string{}
	for id, v := range w.vms {
		if v.alive && v.state == tracker.Ready {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	if len(ids) > 2 && chance(w.scenario.CrashEvery) {
		w.crash(w.vms[ids[w.rand.IntN(len(ids))]])
	}
	if len(ids) > 2 && chance(w.scenario.DrainEvery) {
		v := w.vms[ids[w.rand.IntN(len(ids))]]
		v.state = tracker.Draining
		go func() {
			time.Sleep(10 * time.Second)
			w.mu.Lock()
			v.alive, v.listed = false, false
			w.mu.Unlock()
		}()
	}
	if len(ids) > 2 && chance(w.scenario.UnannouncedLeaveEvery) {
		w.leaveUnannounced(w.vms[ids[w.rand.IntN(len(ids))]])
	}
	if len(ids) > 2 && chance(w.scenario.LapseEvery) {
		w.lapseEntry(w.vms[ids[w.rand.IntN(len(ids))]], lapseTime)
	}
	if chance(w.scenario.AddEvery) {
		w.addVM()
	}
	if !w.isCutOff && chance(w.scenario.CutEvery) {
		w.cutOff()
	}
	if chance(w.scenario.RestoreEvery) {
		w.restoreStore()
	}
	w.injectLosses(chance)
}

// playScript injects the scripted faults that are due.
func (w *world) playScript() {
	for w.played < len(w.scenario.Script) && time.Since(w.start).Seconds() >= w.scenario.Script[w.played].At {
		f := w.scenario.Script[w.played]
		w.played++
		if f.Lapse != "" {
			w.lapseEntry(w.vms[f.Lapse], f.duration())
		}
		if f.Unreach != "" {
			w.vms[f.Unreach].unreach(f.As, f.duration())
		}
		if f.Partition != "" {
			w.vms[f.Partition].partitionedUntil = time.Now().Add(f.duration())
		}
		if f.Away {
			w.loseStore(f.duration())
		}
		if f.Crash != "" {
			w.crash(w.vms[f.Crash])
		}
		if f.Restore {
			w.restoreStore()
		}
	}
}

// lateBy returns the scripted delay of an order that is sent now, or 0.
func (w *world) lateBy(o Order) time.Duration {
	now := time.Since(w.start).Seconds()
	for _, l := range w.scenario.Late {
		if now >= l.From && now < l.To && (l.Runner == "" || l.Runner == o.Runner.ID) {
			return time.Duration(l.Delay * float64(time.Second))
		}
	}
	return 0
}

// keepCopy keeps what the store holds now.
func (w *world) keepCopy() {
	if w.scenario.RestoreBack == 0 {
		return
	}
	c := storeCopy{at: time.Now(), object: w.object, revision: w.revision, runners: map[string]*tracker.Runner{}}
	for _, r := range w.runners() {
		c.runners[r.ID] = r
	}
	w.copies = append(w.copies, c)
}

// restoreStore has the store go back to a copy. The runners write their entries again
// one after the other.
func (w *world) restoreStore() {
	i := len(w.copies) - 1
	for i > 0 && time.Since(w.copies[i].at).Seconds() < w.scenario.RestoreBack {
		i--
	}
	c := w.copies[i]
	w.object, w.revision = c.object, c.revision
	w.era++
	w.copies = w.copies[:i+1]
	w.log.Info("store restored", "era", w.era, "copy_of_s", fmt.Sprintf("%.1f", c.at.Sub(w.start).Seconds()), "assignment", string(c.object))
	for _, v := range w.sorted() {
		v.restored = c.runners[v.id]
		v.restoredUntil = time.Now().Add(time.Duration(w.rand.IntN(2000)) * time.Millisecond)
	}
}

// lapseEntry removes a VM from the list for a time, as if it had lost contact with the
// store.
func (w *world) lapseEntry(v *vm, d time.Duration) {
	if w.scenario.LapseMembersOnly && (v.rank == 0 || v.memberState != tracker.MemberReady) {
		return
	}
	v.listed = false
	go func() {
		time.Sleep(d)
		w.mu.Lock()
		v.listed = v.alive && !v.refuses
		w.mu.Unlock()
	}()
}

// leaveUnannounced removes a VM from the list and makes it refuse connections. It
// stops some seconds later.
func (w *world) leaveUnannounced(v *vm) {
	v.listed, v.refuses = false, true
	boot := v.bootTime
	d := time.Duration(3000+w.rand.IntN(6000)) * time.Millisecond
	go func() {
		time.Sleep(d)
		w.mu.Lock()
		if v.bootTime == boot {
			v.alive = false
		}
		w.mu.Unlock()
	}()
}

// crash stops a VM. Its entry expires after 3.6 s, and the VM restarts after
// ReturnAfter.
func (w *world) crash(v *vm) {
	w.log.Info("crashed", "runner", v.id)
	v.alive = false
	boot := v.bootTime
	go func() {
		time.Sleep(3600 * time.Millisecond)
		w.mu.Lock()
		if v.bootTime == boot && !v.alive {
			v.listed = false
		}
		w.mu.Unlock()
	}()
	if w.scenario.ReturnAfter == 0 {
		return
	}
	go func() {
		time.Sleep(time.Duration(w.scenario.ReturnAfter * float64(time.Second)))
		w.mu.Lock()
		defer w.mu.Unlock()
		*v = vm{id: v.id, number: v.number, bootTime: time.Now().UnixMilli(), alive: true, state: tracker.Ready, listed: !w.isCutOff, staged: v.staged, wasReady: v.wasReady}
	}()
}

// cutOff separates the domain from the store and the controllers. Its entries expire
// one after the other and return the same way after CutSeconds.
func (w *world) cutOff() {
	w.isCutOff = true
	for _, v := range w.sorted() {
		d := 2400*time.Millisecond + time.Duration(w.rand.IntN(1200))*time.Millisecond
		go func() {
			time.Sleep(d)
			w.mu.Lock()
			v.listed = false
			w.mu.Unlock()
		}()
	}
	go func() {
		time.Sleep(time.Duration(w.scenario.CutSeconds * float64(time.Second)))
		w.mu.Lock()
		w.isCutOff = false
		defer w.mu.Unlock()
		for _, v := range w.sorted() {
			d := time.Duration(w.rand.IntN(1800)) * time.Millisecond
			go func() {
				time.Sleep(d)
				w.mu.Lock()
				v.listed = v.alive
				w.mu.Unlock()
			}()
		}
	}()
}
