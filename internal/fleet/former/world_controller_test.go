package former

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// position returns the store's position.
func (w *world) position() sequencer.Position {
	return sequencer.Position{Era: w.era, Revision: w.revision}
}

// store returns a store that holds the simulated domain's assignment and names its era.
func (w *world) store(i int, eras *sequencer.Eras) *follower.Store {
	write := func(_ context.Context, o follower.Object) (sequencer.Position, error) {
		time.Sleep(4 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.isStoreAway(i) {
			return o.At, context.DeadlineExceeded
		}
		eras.Observe(w.era)
		if o.At.Revision != w.revision {
			return o.At, follower.ErrConflict
		}
		w.revision++
		w.object = slices.Clone(o.Spec)
		if !w.isCalm() && w.drawAt("write", strconv.Itoa(i)).Float64() < w.scenario.LostShare {
			return o.At, context.DeadlineExceeded
		}
		if !o.At.IsZero() && o.At.Era != w.era {
			return o.At, follower.ErrOtherEra
		}
		return w.position(), nil
	}
	return &follower.Store{
		Create: write, Replace: write,
		List: func(context.Context, string, bool) ([]follower.Object, sequencer.Position, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.isStoreAway(i) {
				return nil, sequencer.Position{}, context.DeadlineExceeded
			}
			eras.Observe(w.era)
			if w.revision == 0 {
				return nil, w.position(), nil
			}
			objects := []follower.Object{{Name: "pool--d0", At: w.position(), Spec: slices.Clone(w.object)}}
			for i, model := range w.scenario.Elsewhere {
				b, err := json.Marshal(Assignment{Service: "pool", Domain: fmt.Sprintf("e%d", i), Model: model})
				if err != nil {
					return nil, w.position(), err
				}
				objects = append(objects, follower.Object{Name: fmt.Sprintf("pool--e%d", i), Spec: b})
			}
			return objects, w.position(), nil
		},
		Get: func(context.Context, string, string) (follower.Object, error) {
			time.Sleep(4 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.isStoreAway(i) {
				return follower.Object{}, context.DeadlineExceeded
			}
			eras.Observe(w.era)
			if w.revision == 0 {
				return follower.Object{}, follower.ErrNotFound
			}
			return follower.Object{At: w.position(), Spec: slices.Clone(w.object)}, nil
		},
	}
}

// controller returns the i-th controller and starts to update its view.
func (w *world) controller(i int) *Controller {
	tr := &tracker.Tracker{}
	tr.SetServices(w.services)
	w.trackers = append(w.trackers, tr)
	eras := &sequencer.Eras{}
	clock := func() time.Duration { return time.Since(w.start) }
	viewAt := time.Duration(0)
	mu := sync.Mutex{}
	go func() {
		time.Sleep(stagger(i) / 2)
		listedEra, restoredAt := int64(0), time.Time{}
		grace := lapseGrace{}
		for time.Since(w.start) < time.Duration(w.scenario.Seconds)*time.Second {
			listedAt := clock()
			w.mu.Lock()
			list, written, era, isAway := w.runners(), w.writtenRunners(), w.era, w.isStoreAway(i)
			keep := grace.of(w, isAway)
			w.mu.Unlock()
			if isAway {
				tr.Expire()
				time.Sleep(50 * time.Millisecond)
				continue
			}
			eras.Observe(era)
			if i > 0 {
				time.Sleep(time.Duration(w.scenario.ViewLag * float64(time.Second)))
			}
			switch {
			case listedEra > 0 && era > listedEra:
				tr.Restore(list, claimDelay)
				listedEra, restoredAt = era, time.Now()
			case time.Since(restoredAt) < claimDelay:
				tr.Update(written, nil, 0)
				tr.Expire()
			default:
				tr.Replace(list, keep)
				tr.Expire()
				listedEra = era
			}
			mu.Lock()
			viewAt = listedAt
			mu.Unlock()
			time.Sleep(time.Duration(150+100*i)*time.Millisecond + stagger(i)/3)
		}
	}()
	return &Controller{
		View: tr.View, Clock: clock, Services: func() map[string]*matcher.Service { return w.services }, Store: w.store(i, eras), Send: w.send, Eras: eras,
		ViewAt: func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return viewAt
		},
		Probe: func(ctx context.Context, m Member) ProbeResult {
			w.mu.Lock()
			v := w.vms[m.ID]
			result := Reachable
			switch {
			case v == nil, !v.alive, w.isCutOff && !w.scenario.CutResets:
				result = NoResponse
			case w.isCutOff:
				result = Refused
			case !w.isReached(v) && (v.unreachedAs == linkRefused || v.unreachedAs == linkReset):
				result = Refused
			case !w.isReached(v):
				result = NoResponse
			case v.refuses:
				result = Refused
			}
			w.mu.Unlock()
			if result == NoResponse {
				<-ctx.Done()
			}
			return result
		},
		Ask: func(_ context.Context, m Member) (Report, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			v := w.vms[m.ID]
			if !v.alive || v.refuses || !w.isReached(v) {
				return Report{}, false
			}
			membership := tracker.Membership{Replica: v.replica, Epoch: v.epoch, Rank: v.rank, State: v.memberState}
			return Report{BootTime: v.bootTime, Models: slices.Clone(v.models), Membership: membership, HasMembership: v.replica != ""}, true
		},
		InFlight: func(id string) int {
			w.mu.Lock()
			defer w.mu.Unlock()
			if v := w.vms[id]; v.alive && v.memberState == tracker.MemberOpen && (w.isReached(v) || !w.isCutOff && v.unreachedAs == linkRefused) {
				return 1
			}
			return 0
		},
		Owns:               func(string, string) bool { return w.owns(i) },
		CreatesAssignments: func(string) bool { return true },
		Suspects:           w.suspects,
		AnswersPeers:       func(string) bool { return false },
		PeerLoads:          func() int { return 0 },
		IsStartup:          func() bool { return time.Since(w.start) < 8*time.Second },
		LoadsPerWindow:     func() float64 { return 27 },
		StallTime:          func() time.Duration { return 4 * time.Second },
		Log:                w.log.With("node", i),
	}
}

// owns reports whether the i-th controller currently owns the domain.
func (w *world) owns(i int) bool {
	if w.scenario.HandOverEvery == 0 {
		return true
	}
	now := min(time.Since(w.start).Seconds(), float64(w.scenario.Seconds)-w.scenario.CalmSeconds)
	turn := int(now / w.scenario.HandOverEvery)
	return turn%w.scenario.Controllers == i
}

// suspects returns the heads that stall: those of open replicas that lost a member
// or are cut off.
func (w *world) suspects() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := map[string]bool{}
	for _, v := range w.vms {
		if v.memberState != tracker.MemberOpen {
			continue
		}
		for _, id := range v.members {
			if m := w.vms[id]; !v.alive || !m.alive || m.replica != v.replica || !w.isReached(v) {
				list[v.id] = true
			}
		}
	}
	return list
}
