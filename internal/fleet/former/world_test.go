package former

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// scenario is one entry of testdata/worlds.json: the faults that are injected into

// one simulated domain while controllers form and repair its replicas.

// vm is the actual state of a simulated runner, as opposed to its entry in the

// store.

// storeCopy is what the store held at a time.

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

// writtenRunners returns the entries that runners have written since the store was last

// restored.

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%6.2f s: ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// send delivers an order now, with a delay, or not at all.

// apply carries an order out on a runner.

// after runs a change after a delay, unless the runner has restarted or changed its

// membership meanwhile.

// join carries out a join order. It adds a violation if the head of the runner's

// current replica is another VM that still serves.

// checkOpen adds a violation if a head opens without all members or with one that

// was never ready in the replica.

// position returns the store's position.

// store returns a store that holds the simulated domain's assignment and names its era.

// controller returns the i-th controller and starts to update its view.

// owns reports whether the i-th controller currently owns the domain.

// suspects returns the heads that stall: those of open replicas that lost a member

// or are cut off.

// injectFaults injects the scenario's faults for one tick of 0.1 s.

// keepCopy keeps what the store holds now.

// restoreStore has the store go back to a copy. The runners write their entries again

// one after the other.

// lapseEntry removes a VM from the list for 5 s, as if it had lost contact with the

// store.

// leaveUnannounced removes a VM from the list and makes it refuse connections. It

// stops some seconds later.

// crash stops a VM. Its entry expires after 3.6 s, and the VM restarts after

// ReturnAfter.

// cutOff separates the domain from the store and the controllers. Its entries expire

// one after the other and return the same way after CutSeconds.

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
