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

// simulation simulates the VMs of one fabric domain, the stored assignment and two
// planners, each of which may have read an older version of the assignment.
type simulation struct {
	vms map[string]*simulatedVM
	// stored is the assignment as stored by the platform, and version its version.
	stored  parser.AssignmentSpec
	version int
	// views holds the state of each planner.
	views      [2]plannerView
	deployment *parser.DeploymentSpec
	// lastID is the number of replica IDs generated so far.
	lastID int
	// events lists what happened to the VMs, for error messages.
	events []string
}

// simulatedVM is the actual state of a VM, whether or not a planner can observe it.
type simulatedVM struct {
	name string
	// alive is true if the runner is running.
	alive bool
	// reachable is false if the VM is cut off from the planners.
	reachable bool
	id        caller.Identity
	// boots counts the boots, so that each has another boot identity.
	boots int
}

// plannerView is the state of one planner.
type plannerView struct {
	// spec is the assignment that the planner read last, and version its version.
	spec    parser.AssignmentSpec
	version int
	// silentFor holds Input's VM.SilentFor by VM, inStateFor is Input.InStateFor.
	silentFor  map[string]time.Duration
	inStateFor map[string]time.Duration
}

// step is the simulated time between two plans.
const step = time.Second

func newSimulation(vms, size, replicas int) *simulation {
	s := &simulation{vms: map[string]*simulatedVM{}, deployment: &parser.DeploymentSpec{
		Type: parser.TypeModel, Pool: "press", Model: "mat", ReplicaVMs: size, Replicas: map[string]int{"vake": replicas},
		Weights: parser.Weights{GroupDowntime: 5, StrandedAccelerators: 1},
	}}
	for i := range vms {
		v := &simulatedVM{name: fmt.Sprintf("vm-%d", i), alive: true, reachable: true}
		v.boot()
		s.vms[v.name] = v
	}
	s.stored = parser.AssignmentSpec{DataCenter: "vake", Domain: "a"}
	for i := range s.views {
		s.views[i] = plannerView{spec: s.stored, silentFor: map[string]time.Duration{}, inStateFor: map[string]time.Duration{}}
	}
	return s
}

// boot gives the VM an idle runner with a new boot identity.
func (v *simulatedVM) boot() {
	v.boots++
	v.id = caller.Identity{VM: v.name, BootID: fmt.Sprintf("%s-%d", v.name, v.boots), State: caller.StateIdle}
}

// plan lets planner i plan from its view and write the result. If the stored
// version is not the one that the planner read, the write fails and the planner
// reads the stored assignment. plan returns an error if a write is not safe.
func (s *simulation) plan(i int) error {
	view := &s.views[i]
	in := Input{
		DataCenter: "vake", Assignments: map[string]parser.AssignmentSpec{"vake--a": view.spec}, InStateFor: view.inStateFor,
		VMs: map[string]*VM{}, Deployments: map[string]*parser.DeploymentSpec{"mat": s.deployment},
		NewID: func() string { s.lastID++; return fmt.Sprint(s.lastID) },
	}
	for name, vm := range s.vms {
		seen := vm.alive && vm.reachable
		if seen {
			view.silentFor[name] = 0
		} else {
			view.silentFor[name] += step
		}
		in.VMs[name] = &VM{
			Name: name, Address: name, Domain: "a", Pool: "press", Listed: true, Observed: seen || !vm.alive,
			Down: !vm.alive, Identity: vm.id, SilentFor: view.silentFor[name],
		}
	}
	out := Plan(in)
	next, ok := out.Changed["vake--a"]
	if !ok {
		return nil
	}
	if view.version != s.version {
		view.spec, view.version = s.stored, s.version
		return nil
	}
	if err := s.checkWrite(next); err != nil {
		return fmt.Errorf("%w after %v: %+v", err, s.events, out.Decisions)
	}
	s.version++
	s.stored = next
	view.spec, view.version = next, s.version
	for j := range s.views {
		s.views[j].inStateFor = map[string]time.Duration{}
	}
	return nil
}

// checkWrite compares a new assignment with the stored one. It returns an error if
// a VM is in two replicas, if the last epoch decreases, or if a VM is removed from a
// replica that it may still serve.
func (s *simulation) checkWrite(next parser.AssignmentSpec) error {
	newReplicas := map[string]parser.ReplicaRef{}
	newBootIDs := map[string]string{}
	for _, r := range next.Replicas {
		for _, m := range r.Members {
			if _, ok := newReplicas[m.VM]; ok {
				return fmt.Errorf("VM %s is in two replicas", m.VM)
			}
			newReplicas[m.VM], newBootIDs[m.VM] = r, m.BootID
		}
	}
	if next.LastEpoch < s.stored.LastEpoch {
		return fmt.Errorf("last epoch of the assignment decreased")
	}
	for _, r := range s.stored.Replicas {
		for _, m := range r.Members {
			newReplica, isAssigned := newReplicas[m.VM]
			stays := isAssigned && (newReplica.ID == r.ID || newReplica.State == parser.ReplicaReleasing) && newBootIDs[m.VM] == m.BootID
			if stays || s.isReleased(r, m) {
				continue
			}
			return fmt.Errorf("VM %s was removed from replica %s before it unloaded", m.VM, r.ID)
		}
	}
	return nil
}

// isReleased reports whether the actual state of a VM shows that it does not serve
// a replica any more.
func (s *simulation) isReleased(r parser.ReplicaRef, m parser.MemberRef) bool {
	id := s.vms[m.VM].id
	return id.BootID != m.BootID || id.State == caller.StateIdle && id.Epoch >= r.Epoch
}

// executeOrders puts every reachable VM at once into the state that the stored
// assignment demands, and lets one step of time pass.
func (s *simulation) executeOrders() {
	for _, r := range s.stored.Replicas {
		for _, m := range r.Members {
			v := s.vms[m.VM]
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
	for i := range s.views {
		for _, r := range s.stored.Replicas {
			s.views[i].inStateFor[r.ID] += step
		}
	}
}

// countServing returns the number of assigned replicas whose members are all alive
// and have executed the load order of the replica's epoch. It counts unreachable
// members, too.
func (s *simulation) countServing() int {
	n := 0
	for _, r := range s.stored.Replicas {
		isNotServing := func(m parser.MemberRef) bool {
			v := s.vms[m.VM]
			return !v.alive || v.id.BootID != m.BootID || v.id.Replica != r.ID || v.id.Epoch != r.Epoch
		}
		if r.State == parser.ReplicaAssigned && !slices.ContainsFunc(r.Members, isNotServing) {
			n++
		}
	}
	return n
}

// apply applies an event to the VM with the given name.
func (s *simulation) apply(event, name string) {
	s.events = append(s.events, event+" "+name)
	vm := s.vms[name]
	switch event {
	case "crash":
		vm.alive = false
	case "boot":
		vm.alive = true
		vm.boot()
	case "disconnect":
		vm.reachable = false
	case "reconnect":
		vm.reachable = true
	}
}

// TestExclusive checks that no VM is ever in two replicas or removed from a replica
// that it may still serve. Two planners, each with its own and possibly outdated
// view, write conditionally while VMs crash, boot, and lose and regain their
// connection in any order. When the failures end, all wanted replicas serve again.
func TestExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 4).Draw(t, "size")
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		spares := rapid.IntRange(0, 3).Draw(t, "spares")
		s := newSimulation(size*replicas+spares, size, replicas)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			event := rapid.SampledFrom([]string{"crash", "boot", "disconnect", "reconnect", "execute", "execute", "refresh", "resize"}).Draw(t, "event")
			switch event {
			case "execute":
				s.executeOrders()
			case "refresh":
				i := rapid.IntRange(0, 1).Draw(t, "planner")
				s.views[i].spec, s.views[i].version = s.stored, s.version
			case "resize":
				s.deployment.Replicas["vake"] = rapid.IntRange(0, replicas).Draw(t, "wanted")
			default:
				s.apply(event, fmt.Sprintf("vm-%d", rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")))
			}
			if err := s.plan(rapid.IntRange(0, 1).Draw(t, "planner")); err != nil {
				t.Fatal(err)
			}
		}
		s.deployment.Replicas["vake"] = replicas
		if err := s.converge(); err != nil {
			t.Fatal(err)
		}
		if n := s.countServing(); n != replicas {
			t.Fatalf("%d of %d replicas serve after all failures have ended: %+v after %v", n, replicas, s.stored, s.events)
		}
	})
}

// converge ends all failures and lets both planners plan 200 times, in turn.
func (s *simulation) converge() error {
	for _, vm := range s.vms {
		if !vm.alive {
			vm.alive = true
			vm.boot()
		}
		vm.reachable = true
	}
	for i := range 400 {
		s.views[i%2].spec, s.views[i%2].version = s.stored, s.version
		if err := s.plan(i % 2); err != nil {
			return err
		}
		s.executeOrders()
	}
	return nil
}

// scenario is a test case of TestDecisions, read from testdata.
type scenario struct {
	Name string `json:"name"`
	// VMs holds the state of each VM by name; see TestDecisions.
	VMs         map[string]string                `json:"vms"`
	Spec        parser.AssignmentSpec            `json:"spec"`
	Deployments map[string]parser.DeploymentSpec `json:"wants"`
	// Expect lists the actions of the expected decisions, in order.
	Expect []Action `json:"expect"`
	// Seconds holds Timing.LoadTime, SilentReturn and ReplacementTime, in seconds.
	Seconds [3]int `json:"seconds"`
	// SilentFor is how long the VMs in state "silent" have been silent, in seconds.
	SilentFor int `json:"silent_for"`
}

// TestDecisions checks the actions that Plan chooses in the scenarios of testdata. A
// VM's state is "idle", "ready REPLICA EPOCH", "gone" (its runner is down), "silent",
// "rebooted" (idle under a new boot identity) or "leaving" (idle and leaving).
func TestDecisions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios in testdata", err)
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
		DataCenter: "vake", Assignments: map[string]parser.AssignmentSpec{"vake--a": s.Spec}, InStateFor: map[string]time.Duration{},
		VMs: map[string]*VM{}, Deployments: map[string]*parser.DeploymentSpec{}, NewID: func() string { return "new" },
		Timing: Timing{
			LoadTime:        time.Duration(s.Seconds[0]) * time.Second,
			SilentReturn:    time.Duration(s.Seconds[1]) * time.Second,
			ReplacementTime: time.Duration(s.Seconds[2]) * time.Second,
		},
	}
	for name, state := range s.VMs {
		v := &VM{Name: name, Address: name, Domain: "a", Pool: "press", Listed: true, Observed: true, Identity: caller.Identity{BootID: "1", State: caller.StateIdle}}
		switch state {
		case "gone":
			v.Down = true
		case "silent":
			v.Observed, v.SilentFor = false, time.Duration(s.SilentFor)*time.Second
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
	for name, d := range s.Deployments {
		in.Deployments[name] = &d
	}
	got := []Action{}
	for _, d := range Plan(in).Decisions {
		got = append(got, d.Action)
	}
	if !slices.Equal(got, s.Expect) {
		t.Errorf("got actions %v, expected %v", got, s.Expect)
	}
}
