package planner

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// world is a fabric domain's VMs and what two planners know of them.
type world struct {
	vms        map[string]*machine
	stored     parser.AssignmentSpec
	version    int
	views      [2]view
	deployment *parser.DeploymentSpec
	ids        int
	history    []string
}

// machine is a VM as it really is.
type machine struct {
	name      string
	alive     bool
	reachable bool
	id        caller.Identity
	boots     int
}

// view is what one planner believes is stored.
type view struct {
	spec    parser.AssignmentSpec
	version int
	silent  map[string]time.Duration
	since   map[string]time.Duration
}

const step = time.Second

func newWorld(vms, size, replicas int) *world {
	w := &world{vms: map[string]*machine{}, deployment: &parser.DeploymentSpec{
		Type: parser.TypeModel, Pool: "press", Model: "mat", ReplicaVMs: size, Replicas: map[string]int{"vake": replicas},
		Weights: parser.Weights{GroupDowntime: 5, StrandedAccelerators: 1},
	}}
	for i := range vms {
		m := &machine{name: fmt.Sprintf("vm-%d", i), alive: true, reachable: true}
		m.boot()
		w.vms[m.name] = m
	}
	w.stored = parser.AssignmentSpec{DataCenter: "vake", Domain: "a"}
	for i := range w.views {
		w.views[i] = view{spec: w.stored, silent: map[string]time.Duration{}, since: map[string]time.Duration{}}
	}
	return w
}

func (m *machine) boot() {
	m.boots++
	m.id = caller.Identity{VM: m.name, BootID: fmt.Sprintf("%s-%d", m.name, m.boots), State: caller.StateIdle}
}

// plan has a planner plan and write by what it knows, and returns what was wrong
// with the write.
func (w *world) plan(i int) error {
	v := &w.views[i]
	in := Input{
		DataCenter: "vake", Assignments: map[string]parser.AssignmentSpec{"vake--a": v.spec}, Since: v.since,
		VMs: map[string]*VM{}, Deployments: map[string]*parser.DeploymentSpec{"mat": w.deployment},
		NewID: func() string { w.ids++; return fmt.Sprint(w.ids) },
	}
	for name, m := range w.vms {
		seen := m.alive && m.reachable
		if seen {
			v.silent[name] = 0
		} else {
			v.silent[name] += step
		}
		in.VMs[name] = &VM{
			Name: name, Address: name, Domain: "a", Pool: "press", Listed: true, Fresh: seen || !m.alive,
			Gone: !m.alive, Identity: m.id, SilentFor: v.silent[name],
		}
	}
	out := Plan(in)
	next, ok := out.Changed["vake--a"]
	if !ok {
		return nil
	}
	if v.version != w.version {
		v.spec, v.version = w.stored, w.version
		return nil
	}
	if err := w.checkWrite(next); err != nil {
		return fmt.Errorf("%w after %v: %+v", err, w.history, out.Decisions)
	}
	w.version++
	w.stored = next
	v.spec, v.version = next, w.version
	for j := range w.views {
		w.views[j].since = map[string]time.Duration{}
	}
	return nil
}

// checkWrite compares a new assignment with the one it replaces.
func (w *world) checkWrite(next parser.AssignmentSpec) error {
	holder := map[string]parser.ReplicaRef{}
	boot := map[string]string{}
	for _, r := range next.Replicas {
		for _, m := range r.Members {
			if _, ok := holder[m.VM]; ok {
				return fmt.Errorf("VM %s is in two replicas", m.VM)
			}
			holder[m.VM], boot[m.VM] = r, m.BootID
		}
	}
	if next.LastEpoch < w.stored.LastEpoch {
		return fmt.Errorf("epoch fell")
	}
	for _, r := range w.stored.Replicas {
		for _, m := range r.Members {
			now, isHeld := holder[m.VM]
			stays := isHeld && (now.ID == r.ID || now.State == parser.ReplicaReleasing) && boot[m.VM] == m.BootID
			if stays || w.hasLeft(r, m) {
				continue
			}
			return fmt.Errorf("VM %s left replica %s without having unloaded", m.VM, r.ID)
		}
	}
	return nil
}

// hasLeft reports whether a VM really does not serve a replica any more.
func (w *world) hasLeft(r parser.ReplicaRef, m parser.MemberRef) bool {
	id := w.vms[m.VM].id
	return id.BootID != m.BootID || id.State == caller.StateIdle && id.Epoch >= r.Epoch
}

// obey has every reachable VM do what is stored.
func (w *world) obey() {
	for _, r := range w.stored.Replicas {
		for _, m := range r.Members {
			v := w.vms[m.VM]
			switch {
			case !v.alive || !v.reachable || v.id.BootID != m.BootID || v.id.Epoch > r.Epoch:
			case r.State == parser.ReplicaAssigned:
				v.id.State, v.id.Replica, v.id.Epoch = caller.StateReady, r.ID, r.Epoch
				v.id.Model, v.id.ModelVersion = r.Model, r.ModelVersion
			case r.State == parser.ReplicaReleasing:
				v.id = caller.Identity{VM: v.name, BootID: v.id.BootID, State: caller.StateIdle, Epoch: r.Epoch}
			}
		}
	}
	for i := range w.views {
		for _, r := range w.stored.Replicas {
			w.views[i].since[r.ID] += step
		}
	}
}

// serving counts replicas all of whose members are ready under their epoch.
func (w *world) serving() int {
	n := 0
	for _, r := range w.stored.Replicas {
		isNotWhole := func(m parser.MemberRef) bool {
			v := w.vms[m.VM]
			return !v.alive || v.id.BootID != m.BootID || v.id.Replica != r.ID || v.id.Epoch != r.Epoch
		}
		if r.State == parser.ReplicaAssigned && !slices.ContainsFunc(r.Members, isNotWhole) {
			n++
		}
	}
	return n
}

func (w *world) happen(event, vm string) {
	w.history = append(w.history, event+" "+vm)
	m := w.vms[vm]
	switch event {
	case "die":
		m.alive = false
	case "boot":
		m.alive = true
		m.boot()
	case "cut":
		m.reachable = false
	case "heal":
		m.reachable = true
	}
}

// TestExclusive lets VMs die, come back and be cut off in any order while two
// planners, each with its own knowledge, write conditionally: no VM is ever in
// two replicas or leaves one while it may still serve it. When the failures end,
// every replica that there are VMs for serves again.
func TestExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(t, "size")
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		spares := rapid.IntRange(0, 3).Draw(t, "spares")
		w := newWorld(size*replicas+spares, size, replicas)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			event := rapid.SampledFrom([]string{"die", "boot", "cut", "heal", "obey", "obey", "refresh", "resize"}).Draw(t, "event")
			switch event {
			case "obey":
				w.obey()
			case "refresh":
				i := rapid.IntRange(0, 1).Draw(t, "planner")
				w.views[i].spec, w.views[i].version = w.stored, w.version
			case "resize":
				w.deployment.Replicas["vake"] = rapid.IntRange(0, replicas).Draw(t, "wanted")
			default:
				w.happen(event, fmt.Sprintf("vm-%d", rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")))
			}
			if err := w.plan(rapid.IntRange(0, 1).Draw(t, "planner")); err != nil {
				t.Fatal(err)
			}
		}
		w.deployment.Replicas["vake"] = replicas
		if err := w.settle(); err != nil {
			t.Fatal(err)
		}
		if n := w.serving(); n != replicas {
			t.Fatalf("%d of %d replicas serve in the end: %+v after %v", n, replicas, w.stored, w.history)
		}
	})
}

// settle ends all failures and gives the planners time.
func (w *world) settle() error {
	for _, m := range w.vms {
		if !m.alive {
			m.alive = true
			m.boot()
		}
		m.reachable = true
	}
	for i := range 400 {
		w.views[i%2].spec, w.views[i%2].version = w.stored, w.version
		if err := w.plan(i % 2); err != nil {
			return err
		}
		w.obey()
	}
	return nil
}

// scenario is a decision that testdata describes.
type scenario struct {
	Name  string                           `json:"name"`
	VMs   map[string]string                `json:"vms"`
	Spec  parser.AssignmentSpec            `json:"spec"`
	Wants map[string]parser.DeploymentSpec `json:"wants"`
	// Expect lists the actions wanted, in order.
	Expect []Action `json:"expect"`
	// Seconds are the timing's reload, silent return and gone return.
	Seconds [3]int `json:"seconds"`
	// SilentFor is how long silent VMs have been so, in seconds.
	SilentFor int `json:"silent_for"`
}

// TestDecisions checks the decisions that the data files describe. A VM's state is
// "idle", "ready REPLICA EPOCH", "gone", "silent" or "rebooted".
func TestDecisions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no test data", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		list := []scenario{}
		if err := json.Unmarshal(b, &list); err != nil {
			t.Fatal(f, err)
		}
		for _, s := range list {
			t.Run(s.Name, func(t *testing.T) { s.check(t) })
		}
	}
}

func (s *scenario) check(t *testing.T) {
	s.Spec.DataCenter, s.Spec.Domain = "vake", "a"
	in := Input{
		DataCenter: "vake", Assignments: map[string]parser.AssignmentSpec{"vake--a": s.Spec}, Since: map[string]time.Duration{},
		VMs: map[string]*VM{}, Deployments: map[string]*parser.DeploymentSpec{}, NewID: func() string { return "new" },
		Timing: Timing{
			Reload:       time.Duration(s.Seconds[0]) * time.Second,
			SilentReturn: time.Duration(s.Seconds[1]) * time.Second,
			GoneReturn:   time.Duration(s.Seconds[2]) * time.Second,
		},
	}
	for name, state := range s.VMs {
		v := &VM{Name: name, Address: name, Domain: "a", Pool: "press", Listed: true, Fresh: true, Identity: caller.Identity{BootID: "1", State: caller.StateIdle}}
		switch state {
		case "gone":
			v.Gone = true
		case "silent":
			v.Fresh, v.SilentFor = false, time.Duration(s.SilentFor)*time.Second
		case "rebooted":
			v.Identity.BootID = "2"
		case "leaving":
			v.Leaving = true
		}
		if n, _ := fmt.Sscanf(state, "ready %s %d", &v.Identity.Replica, &v.Identity.Epoch); n == 2 {
			v.Identity.State = caller.StateReady
		}
		in.VMs[name] = v
	}
	for name, d := range s.Wants {
		in.Deployments[name] = &d
	}
	got := []Action{}
	for _, d := range Plan(in).Decisions {
		got = append(got, d.Action)
	}
	if !slices.Equal(got, s.Expect) {
		t.Errorf("got %v, wanted %v", got, s.Expect)
	}
}
