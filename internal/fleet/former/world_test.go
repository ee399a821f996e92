package former

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// scenario is one entry of testdata/worlds.json: the faults that are injected into
// one simulated domain while controllers form and repair its replicas.
type scenario struct {
	Name        string `json:"name"`
	Runners     int    `json:"runners"`
	Controllers int    `json:"controllers"`
	// Seeds is the number of runs, each with another random seed.
	Seeds   int `json:"seeds"`
	Seconds int `json:"seconds"`
	// CrashEvery is the mean seconds between two crashes; 0 means none. DrainEvery
	// and AddEvery are the same for VMs that are drained and added.
	CrashEvery float64 `json:"crash_every_s"`
	// ReturnAfter is the seconds after which a crashed VM restarts; 0 means never.
	ReturnAfter float64 `json:"return_after_s"`
	DrainEvery  float64 `json:"drain_every_s"`
	AddEvery    float64 `json:"add_every_s"`
	// LateShare is the share of orders that get no answer and are carried out late.
	LateShare float64 `json:"late_share"`
	// LostShare is the share of store writes that take effect but get no answer.
	LostShare float64 `json:"lost_share"`
	// CutEvery is the mean seconds between two times at which the domain is cut off
	// from the store and the controllers.
	CutEvery float64 `json:"cut_every_s"`
	// HandOverEvery is the seconds after which the next controller owns the domain;
	// 0 lets all controllers work on it concurrently.
	HandOverEvery float64 `json:"hand_over_every_s"`
	// ViewLag is the seconds by which the views of all controllers but the first lag
	// behind the store.
	ViewLag float64 `json:"view_lag_s"`
	// CutSeconds is how long the domain stays cut off.
	CutSeconds float64 `json:"cut_s"`
	// CutResets resets the connections to a domain that is cut off. Otherwise they
	// time out.
	CutResets bool `json:"cut_refuses"`
	// UnannouncedLeaveEvery is the mean seconds between two VMs that leave without
	// announcing it: the VM is removed from the list, refuses connections and
	// finishes its requests.
	UnannouncedLeaveEvery float64 `json:"vanish_every_s"`
	// LapseEvery is the mean seconds between two VMs that lose contact with the
	// store: the VM is not listed for some seconds but continues its work.
	LapseEvery float64 `json:"lapse_every_s"`
	// LapseMembersOnly restricts lapses to members that are not heads.
	LapseMembersOnly bool `json:"only_members"`
	// RestoreEvery is the mean seconds between two times at which the store comes back from
	// a copy that is RestoreBack seconds old. Runners write their entries again within 2 s.
	RestoreEvery float64 `json:"restore_every_s"`
	RestoreBack  float64 `json:"restore_back_s"`
	// UnreachedEvery is the mean seconds between two times at which a third of the runners is out
	// of reach of all controllers for up to UnreachedSeconds, but not of the store and each other.
	UnreachedEvery   float64 `json:"unreached_every_s"`
	UnreachedSeconds float64 `json:"unreached_s"`
	// NodeCutEvery is the mean seconds between two times at which a controller is cut off from
	// the store for up to NodeCutSeconds.
	NodeCutEvery   float64 `json:"node_cut_every_s"`
	NodeCutSeconds float64 `json:"node_cut_s"`
	// AwayEvery is the mean seconds between two times at which the store is away for up to
	// AwaySeconds, while entries lapse.
	AwayEvery   float64 `json:"away_every_s"`
	AwaySeconds float64 `json:"away_s"`
	// IsMixed draws by the seed which of the faults there are, and the number of runners.
	IsMixed bool `json:"mixed"`
	// CalmSeconds are the last seconds without new faults. After them, repair must have ended.
	CalmSeconds float64 `json:"calm_s"`
	// MinOpen is the minimum share of the time during which at least one replica of
	// each model must be open.
	MinOpen float64 `json:"min_open"`
	// Model is what the domain serves from the start; empty means all models.
	Model string `json:"model"`
	// Elsewhere are the models of other domains, which are in the store only.
	Elsewhere []string `json:"elsewhere"`
	// MinOpenOf overrides MinOpen for some models.
	MinOpenOf map[string]float64 `json:"min_open_of"`
	// MaxOpenOf is the maximum share of the time for models that the domain should
	// no longer serve.
	MaxOpenOf map[string]float64 `json:"max_open_of"`
}

// vm is the actual state of a simulated runner, as opposed to its entry in the
// store.
type vm struct {
	id          string
	bootTime    int64
	alive       bool
	state       tracker.State
	staged      []string
	models      []string
	replica     string
	epoch       int64
	rank        int
	members     []string
	memberState tracker.MemberState
	// wasReady contains the replica and epoch of each membership in which the runner
	// became ready. A head may open if such a member is lost afterwards.
	wasReady map[string]bool
	// fence is the highest fence seen, maxEpoch the highest epoch of a join order.
	fence    int64
	maxEpoch int64
	// orders is the number of orders accepted.
	orders int64
	// listed is set while the runner has an entry in the store.
	listed bool
	// refuses is set if the runner refuses new connections.
	refuses bool
	// restored is the entry that the store has for the runner since it was restored, or nil
	// if it has none, until restoredUntil.
	restored      *tracker.Runner
	restoredUntil time.Time
	// unreachedUntil is until when no controller reaches the runner.
	unreachedUntil time.Time
	// stalledSince is when the head of an open replica lost a member.
	stalledSince time.Time
}

// storeCopy is what the store held at a time.
type storeCopy struct {
	at       time.Time
	object   json.RawMessage
	revision int64
	runners  map[string]*tracker.Runner
}

// world simulates a domain with its VMs and its store.
type world struct {
	mu         sync.Mutex
	t          *testing.T
	scenario   scenario
	rand       *rand.Rand
	vms        map[string]*vm
	lastNumber int
	// isCutOff is set while store and controllers cannot reach the domain.
	isCutOff bool
	// object is the stored assignment.
	object   json.RawMessage
	revision int64
	// era counts the restores of the store, and copies are what it may go back to.
	era    int64
	copies []storeCopy
	engine *matcher.Engine
	start  time.Time
	// violations describe broken invariants.
	violations []string
	// openTicks counts the ticks in which a replica of a model was open; ticks
	// counts all.
	openTicks map[string]int
	ticks     int
	trackers  []*tracker.Tracker
	services  map[string]*matcher.Service
	// awayUntil is until when the store is away, and nodeCutUntil the same for one controller.
	awayUntil    time.Time
	nodeCutUntil map[int]time.Time
	// epochs are the names and members that runners were ordered to join, by epoch.
	epochs map[int64]string
}

func newWorld(t *testing.T, s scenario, seed uint64) *world {
	s = s.draw(seed)
	engine := &matcher.Engine{
		Slots: 4, LoadsPerSecond: 5, LoadsAtOnce: 7,
		Models: []matcher.Model{
			{Name: "large", Size: 4, InitialShare: 0.5, LoadTime: 4 * time.Second, WarmUpTime: time.Second},
			{Name: "small", Size: 2, InitialShare: 0.5, LoadTime: 3 * time.Second, WarmUpTime: time.Second},
		},
	}
	w := &world{
		t: t, scenario: s, rand: rand.New(rand.NewPCG(seed, 7)), vms: map[string]*vm{}, engine: engine, start: time.Now(),
		era: 1, openTicks: map[string]int{}, services: map[string]*matcher.Service{"pool": {Name: "pool", Engine: engine}},
		nodeCutUntil: map[int]time.Time{}, epochs: map[int64]string{},
	}
	for range s.Runners {
		w.addVM()
	}
	if s.Model != "" {
		b, err := json.Marshal(Assignment{Service: "pool", Domain: "d0", DataCenter: "dc", Model: s.Model})
		if err != nil {
			t.Fatal(err)
		}
		w.object, w.revision = b, 1
	}
	return w
}

func (w *world) addVM() {
	w.lastNumber++
	id := fmt.Sprintf("vm-%02d", w.lastNumber)
	w.vms[id] = &vm{id: id, bootTime: time.Now().UnixMilli(), alive: true, state: tracker.Ready, listed: true, wasReady: map[string]bool{}}
}

// runners returns the entries of the domain's runners in the store.
func (w *world) runners() []*tracker.Runner {
	list := []*tracker.Runner{}
	for _, v := range w.vms {
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

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%6.2f s: ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// send delivers an order now, with a delay, or not at all.
func (w *world) send(ctx context.Context, o Order) Result {
	time.Sleep(2 * time.Millisecond)
	w.mu.Lock()
	v := w.vms[o.Runner.ID]
	reachable := v != nil && v.alive && !v.refuses && w.isReached(v)
	late := reachable && !w.isCalm() && w.rand.Float64() < w.scenario.LateShare
	delay := time.Duration(2000+w.rand.IntN(10000)) * time.Millisecond
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
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.apply(v, o)
}

// apply carries an order out on a runner.
func (w *world) apply(v *vm, o Order) Result {
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
		w.after(v, 300*time.Millisecond, func() { v.memberState = tracker.MemberOpen })
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
		if !w.isCalm() && w.rand.Float64() < w.scenario.LostShare {
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
			time.Sleep(time.Duration(150+100*i) * time.Millisecond)
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
			case !v.alive, w.isCutOff && !w.scenario.CutResets, time.Now().Before(v.unreachedUntil):
				result = NoResponse
			case w.isCutOff:
				result = Refused
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
			if v := w.vms[id]; v.alive && v.memberState == tracker.MemberOpen && !w.isCutOff {
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
		Log:                slog.New(slog.DiscardHandler),
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
		w.lapseEntry(w.vms[ids[w.rand.IntN(len(ids))]])
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

// keepCopy keeps what the store holds now.
func (w *world) keepCopy() {
	if w.scenario.RestoreEvery == 0 {
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
	for _, v := range w.vms {
		v.restored = c.runners[v.id]
		v.restoredUntil = time.Now().Add(time.Duration(w.rand.IntN(2000)) * time.Millisecond)
	}
}

// lapseEntry removes a VM from the list for 5 s, as if it had lost contact with the
// store.
func (w *world) lapseEntry(v *vm) {
	if w.scenario.LapseMembersOnly && (v.rank == 0 || v.memberState != tracker.MemberReady) {
		return
	}
	v.listed = false
	go func() {
		time.Sleep(5 * time.Second)
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
		*v = vm{id: v.id, bootTime: time.Now().UnixMilli(), alive: true, state: tracker.Ready, listed: !w.isCutOff, staged: v.staged, wasReady: v.wasReady}
	}()
}

// cutOff separates the domain from the store and the controllers. Its entries expire
// one after the other and return the same way after CutSeconds.
func (w *world) cutOff() {
	w.isCutOff = true
	for _, v := range w.vms {
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
		vms := []*vm{}
		for _, v := range w.vms {
			vms = append(vms, v)
		}
		w.mu.Unlock()
		for _, v := range vms {
			go func() {
				w.mu.Lock()
				d := time.Duration(w.rand.IntN(1800)) * time.Millisecond
				w.mu.Unlock()
				time.Sleep(d)
				w.mu.Lock()
				v.listed = v.alive
				w.mu.Unlock()
			}()
		}
	}()
}

// countOpen counts the tick for each model with an open replica.
func (w *world) countOpen() {
	w.ticks++
	found := map[string]bool{}
	for _, v := range w.vms {
		if v.alive && v.memberState == tracker.MemberOpen {
			found[v.models[0]] = true
		}
	}
	for m := range found {
		w.openTicks[m]++
	}
}

// run starts the controllers and, after 12 s, the faults. After the scenario it
// waits for delayed orders and faults to end.
func (w *world) run() {
	ctx, cancel := context.WithCancel(w.t.Context())
	defer cancel()
	for i := range w.scenario.Controllers {
		c := w.controller(i)
		go func() {
			for ctx.Err() == nil {
				c.Step(ctx)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for time.Since(w.start) < time.Duration(w.scenario.Seconds)*time.Second {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		w.keepCopy()
		w.breakStalled()
		if time.Since(w.start) > 12*time.Second {
			if !w.isCalm() {
				w.injectFaults()
			}
			w.countOpen()
		}
		w.mu.Unlock()
	}
	w.checkRepaired()
	cancel()
	time.Sleep(20 * time.Second)
}

// TestWorlds runs the scenarios of testdata/worlds.json with many seeds. It checks
// that no replica opens without all its members and that no member is taken from a
// replica that may still serve.
func TestWorlds(t *testing.T) {
	b, err := os.ReadFile("testdata/worlds.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []scenario{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, s := range list {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range s.Seeds {
				synctest.Test(t, func(t *testing.T) { checkWorld(t, s, uint64(seed)) })
			}
		})
	}
}

func checkWorld(t *testing.T, s scenario, seed uint64) {
	w := newWorld(t, s, seed)
	w.run()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.violations {
		t.Errorf("seed %d: %s", seed, x)
	}
	for _, m := range w.engine.Models {
		minOpen, ok := s.MinOpenOf[m.Name]
		if !ok {
			minOpen = s.MinOpen
		}
		share := float64(w.openTicks[m.Name]) / float64(w.ticks)
		if share < minOpen {
			t.Errorf("seed %d: a replica of %s was open for %.2f of the time, wanted %.2f", seed, m.Name, share, minOpen)
		}
		if maxOpen, ok := s.MaxOpenOf[m.Name]; ok && share > maxOpen {
			t.Errorf("seed %d: a replica of %s was open for %.2f of the time, at most %.2f is wanted", seed, m.Name, share, maxOpen)
		}
	}
}
