package former

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

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
	// log records what happened for a run that fails, in trace.
	log   *slog.Logger
	trace *bytes.Buffer
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
		nodeCutUntil: map[int]time.Time{}, epochs: map[int64]string{}, trace: &bytes.Buffer{},
	}
	w.log = newLog(w.trace, w.start)
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

func newLog(b *bytes.Buffer, start time.Time) *slog.Logger {
	inSeconds := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.String("s", fmt.Sprintf("%.3f", a.Value.Time().Sub(start).Seconds()))
		}
		return a
	}
	return slog.New(slog.NewTextHandler(b, &slog.HandlerOptions{ReplaceAttr: inSeconds}))
}

func (w *world) addVM() {
	w.lastNumber++
	id := fmt.Sprintf("vm-%02d", w.lastNumber)
	w.vms[id] = &vm{id: id, bootTime: time.Now().UnixMilli(), alive: true, state: tracker.Ready, listed: true, wasReady: map[string]bool{}}
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%6.2f s: ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
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
	defer func() {
		if t.Failed() {
			t.Logf("seed %d:\n%s", seed, w.trace)
		}
	}()
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
