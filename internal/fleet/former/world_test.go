package former

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
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
	seed       uint64
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
	// played is the number of scripted faults that were injected.
	played int
	engine *matcher.Engine
	start  time.Time
	// violations describe broken invariants.
	violations []string
	// log records what happens; it is discarded unless a run is traced.
	log *slog.Logger
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

// worldTick is a little more than the tenth of a second that it stands for, so that what begins at a
// tick does not end at the same time as another one.
const worldTick = 100*time.Millisecond + 11*time.Microsecond

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
		t: t, scenario: s, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)), vms: map[string]*vm{}, engine: engine, start: time.Now(),
		era: 1, openTicks: map[string]int{}, services: map[string]*matcher.Service{"pool": {Name: "pool", Engine: engine}},
		nodeCutUntil: map[int]time.Time{}, epochs: map[int64]string{},
		log: slog.New(slog.DiscardHandler),
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

func newLog(b *bytes.Buffer, start time.Time) *slog.Logger {
	inSeconds := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.String("s", fmt.Sprintf("%07.3f", a.Value.Time().Sub(start).Seconds()))
		}
		return a
	}
	return slog.New(slog.NewTextHandler(b, &slog.HandlerOptions{ReplaceAttr: inSeconds}))
}

func (w *world) addVM() {
	w.lastNumber++
	id := fmt.Sprintf("vm-%02d", w.lastNumber)
	w.vms[id] = &vm{id: id, number: w.lastNumber, bootTime: time.Now().UnixMilli(), alive: true, state: tracker.Ready, listed: true, wasReady: map[string]bool{}}
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%6.2f s: ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// drawAt returns random numbers that depend only on the seed, the time and what they are for, so
// that goroutines may draw in any order.
func (w *world) drawAt(what ...string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, time.Since(w.start), what)
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

// stagger returns by how much a controller's steps are later than those of the world, so that they
// do not happen at the same time.
func stagger(i int) time.Duration { return time.Duration(i+1) * 137 * time.Microsecond }

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
			time.Sleep(stagger(i))
			for ctx.Err() == nil {
				c.Step(ctx)
				time.Sleep(100*time.Millisecond + stagger(i))
			}
		}()
	}
	for time.Since(w.start) < time.Duration(w.scenario.Seconds)*time.Second {
		time.Sleep(worldTick)
		w.mu.Lock()
		w.keepCopy()
		w.breakStalled()
		w.playScript()
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
	for _, s := range readWorlds(t) {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			open := map[string]float64{}
			for seed := range s.Seeds {
				faults := checkWorld(t, s, uint64(seed), open)
				for _, x := range faults {
					t.Errorf("seed %d: %s", seed, x)
				}
				if len(faults) > 0 {
					t.Logf("seed %d:\n%s", seed, traceOf(t, s, uint64(seed)))
				}
			}
			for model, least := range s.MinMeanOpenOf {
				if mean := open[model] / float64(s.Seeds); mean < least {
					t.Errorf("a replica of %s was open for %.3f of the time on average, wanted %.2f", model, mean, least)
				}
			}
		})
	}
}

func readWorlds(t *testing.T) []scenario {
	b, err := os.ReadFile("testdata/worlds.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []scenario{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// TestWorldsRepeat checks that a seed fixes what happens in a world, so that a failure can be
// played again.
func TestWorldsRepeat(t *testing.T) {
	for _, s := range readWorlds(t) {
		if s.Name != "mixed" && s.Name != "store_restored_and_late_orders" {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			for seed := range uint64(3) {
				if x, y := traceOf(t, s, seed), traceOf(t, s, seed); x != y {
					t.Errorf("seed %d: two runs differ:\n%s\nand\n%s", seed, x, y)
				}
			}
		})
	}
}

// traceOf runs a world and returns what happened in it, ordered by time.
func traceOf(t *testing.T, s scenario, seed uint64) string {
	b := &bytes.Buffer{}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, s, seed)
		w.log = newLog(b, w.start)
		w.run()
	})
	lines := strings.Split(b.String(), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// checkWorld runs one world and returns what is wrong with it. It adds the share of the time with
// an open replica of each model.
func checkWorld(t *testing.T, s scenario, seed uint64, open map[string]float64) []string {
	faults := []string{}
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, s, seed)
		w.run()
		w.mu.Lock()
		defer w.mu.Unlock()
		faults = append(faults, w.violations...)
		for _, m := range w.engine.Models {
			minOpen, ok := s.MinOpenOf[m.Name]
			if !ok {
				minOpen = s.MinOpen
			}
			share := float64(w.openTicks[m.Name]) / float64(w.ticks)
			open[m.Name] += share
			if share < minOpen {
				faults = append(faults, fmt.Sprintf("a replica of %s was open for %.2f of the time, wanted %.2f", m.Name, share, minOpen))
			}
			if maxOpen, ok := s.MaxOpenOf[m.Name]; ok && share > maxOpen {
				faults = append(faults, fmt.Sprintf("a replica of %s was open for %.2f of the time, at most %.2f is wanted", m.Name, share, maxOpen))
			}
		}
	})
	return faults
}
