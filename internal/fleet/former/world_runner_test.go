package former

import (
	"context"
	"fmt"
	"slices"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// runners returns the entries of the domain's runners in the store.
func (w *world) runners() []*tracker.Runner {
	list := []*tracker.Runner{}
	for _, v := range w.sorted() {
		if time.Now().Before(v.restoredUntil) {
			if v.restored != nil {
				list = append(list, v.restored)
			}
			continue
		}
		if !v.listed {
			continue
		}
		r := &tracker.Runner{
			ID: v.id, Service: "pool", Address: v.id, DataCenter: "dc", Domain: "d0", State: v.state, Slots: 4, BootTime: v.bootTime,
			Orders: v.orders, StagedModels: slices.Clone(v.staged), Models: slices.Clone(v.models),
		}
		if v.replica != "" {
			r.HasMembership = true
			r.Membership = tracker.Membership{Replica: v.replica, Epoch: v.epoch, Rank: v.rank, State: v.memberState}
		}
		list = append(list, r)
	}
	return list
}

// writtenRunners returns the entries that runners have written since the store was last
// restored.
func (w *world) writtenRunners() []*tracker.Runner {
	return slices.DeleteFunc(w.runners(), func(r *tracker.Runner) bool { return time.Now().Before(w.vms[r.ID].restoredUntil) })
}

// send delivers an order now, with a delay, or not at all.
func (w *world) send(ctx context.Context, o Order) Result {
	// Two orders to a runner do not arrive at the same time, also not two of one kind for two replicas.
	time.Sleep(2*time.Millisecond + time.Duration(len(o.Operation))*time.Microsecond + time.Duration(o.Epoch%16)*29*time.Microsecond)
	w.mu.Lock()
	v := w.vms[o.Runner.ID]
	reachable := v != nil && v.alive && !v.refuses && w.isReached(v)
	draw := w.drawAt(o.Runner.ID, string(o.Operation), o.Replica)
	late := reachable && !w.isCalm() && draw.Float64() < w.scenario.LateShare
	delay := time.Duration(2000+draw.IntN(10000)) * time.Millisecond
	if d := w.lateBy(o); d > 0 {
		late, delay = reachable, d
	}
	if v != nil && v.alive && !v.refuses && !w.isCutOff && !w.isReached(v) && v.unreachedAs == linkOneWay {
		late, delay = true, time.Duration(v.number)*time.Microsecond
	}
	w.mu.Unlock()
	if late {
		go func() {
			time.Sleep(delay)
			w.mu.Lock()
			w.apply(v, o)
			w.mu.Unlock()
		}()
	}
	if late || !reachable {
		<-ctx.Done()
		return NoAnswer
	}
	// Neither do two orders to different runners, of which one may be the other's head.
	time.Sleep(time.Duration(v.number) * time.Microsecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.apply(v, o)
}

// apply carries an order out on a runner.
func (w *world) apply(v *vm, o Order) Result {
	fence := v.fence
	result := w.carryOut(v, o)
	w.log.Info("order carried out", "operation", o.Operation, "runner", v.id, "replica", o.Replica, "epoch", o.Epoch, "fence", o.Fence,
		"seen_fence", fence, "started_ms", v.bootTime-w.start.UnixMilli(), "result", result)
	return result
}

func (w *world) carryOut(v *vm, o Order) Result {
	if !v.alive {
		return NoAnswer
	}
	if o.Fence < v.fence {
		return Fenced
	}
	v.fence = o.Fence
	v.orders++
	switch o.Operation {
	case Stage:
		w.after(v, w.model(o.Model).LoadTime, func() { v.staged = []string{o.Model} })
		return Accepted
	case Join:
		return w.join(v, o)
	case Start:
		if v.replica != o.Replica || v.epoch != o.Epoch || v.memberState != tracker.MemberReady {
			return Conflict
		}
		w.checkOpen(v)
		w.after(v, 300*time.Millisecond, func() {
			v.memberState = tracker.MemberOpen
			w.log.Info("opened", "replica", v.replica, "head", v.id, "members", v.members)
		})
		return Accepted
	case Close:
		if v.replica == o.Replica && v.epoch == o.Epoch && v.memberState == tracker.MemberOpen {
			v.memberState = tracker.MemberClosing
			w.after(v, 700*time.Millisecond, func() { v.memberState = tracker.MemberReady })
		}
		return Accepted
	case Leave:
		if v.replica == o.Replica && v.epoch == o.Epoch {
			v.replica, v.epoch, v.members, v.memberState, v.models = "", 0, nil, "", nil
		}
		return Done
	}
	return Rejected
}

// after runs a change after a delay, unless the runner has restarted or changed its
// membership meanwhile.
func (w *world) after(v *vm, d time.Duration, change func()) {
	bootTime, replica, epoch := v.bootTime, v.replica, v.epoch
	go func() {
		time.Sleep(d)
		w.mu.Lock()
		defer w.mu.Unlock()
		if v.alive && v.bootTime == bootTime && v.replica == replica && v.epoch == epoch {
			change()
		}
	}()
}

func (w *world) model(name string) *matcher.Model {
	for i := range w.engine.Models {
		if w.engine.Models[i].Name == name {
			return &w.engine.Models[i]
		}
	}
	return nil
}

// join carries out a join order. It adds a violation if the head of the runner's
// current replica is another VM that still serves.
func (w *world) join(v *vm, o Order) Result {
	if o.Epoch < v.maxEpoch || v.replica == o.Replica && v.epoch == o.Epoch && !slices.Equal(v.members, o.Members) {
		return Fenced
	}
	if v.replica == o.Replica && v.epoch == o.Epoch {
		return Done
	}
	w.checkEpoch(o)
	if v.replica != "" && len(v.members) > 0 {
		head := w.vms[v.members[0]]
		if head.alive && head.replica == v.replica && head.epoch == v.epoch && (head.memberState == tracker.MemberOpen || head.memberState == tracker.MemberClosing) {
			w.addViolation("%s joins %s while the head %s of %s is %s", v.id, o.Replica, head.id, v.replica, head.memberState)
		}
	}
	v.maxEpoch = o.Epoch
	v.replica, v.epoch, v.members, v.memberState, v.rank, v.models = o.Replica, o.Epoch, o.Members, tracker.MemberJoining, slices.Index(o.Members, v.id), []string{o.Model}
	wait := w.model(o.Model).WarmUpTime
	if !slices.Contains(v.staged, o.Model) {
		wait = w.model(o.Model).LoadTime
	}
	w.after(v, wait, func() {
		v.memberState, v.staged = tracker.MemberReady, []string{o.Model}
		v.wasReady[fmt.Sprint(v.replica, v.epoch)] = true
	})
	return Accepted
}

// checkOpen adds a violation if a head opens without all members or with one that
// was never ready in the replica.
func (w *world) checkOpen(head *vm) {
	if size := w.model(head.models[0]).Size; len(head.members) != size {
		w.addViolation("%s opens with %d members of %d", head.replica, len(head.members), size)
	}
	for _, id := range head.members {
		m := w.vms[id]
		if !m.wasReady[fmt.Sprint(head.replica, head.epoch)] {
			w.addViolation("%s opens although %s was never ready in it", head.replica, id)
		}
	}
}
