// Package tracker keeps the list of runners, the state each of them reports, and the
// replicas that they form.
//
// The entries that runners publish are the only source. A replica of several VMs can
// be used while its head is open and all its members are listed under the same
// replica name and epoch. Once it has been complete, members whose entries have
// expired still count. Every change publishes a new immutable View.
//
// A service without a model engine is called plain; each of its runners is a target
// of its own.
//
// # Usage
//
//	t := &tracker.Tracker{}
//	t.SetServices(services)
//	t.Replace(runners, 0)
//	for _, target := range t.View().Targets("drafting", "model-a") {
//		_ = target.Address
//	}
package tracker

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"marjorammoor/internal/serving/matcher"
)

// State is the state that a runner reports for itself: whether it takes requests.
type State string

// The states of a runner.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// MemberState is the state that a runner reports for its membership in a replica.
type MemberState string

// The states of a member.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is the position of a runner in a replica. Rank 0 is the head, which
// receives the replica's requests. Epoch distinguishes successive formations of the
// replica; the greatest one is current.
type Membership struct {
	Replica string
	Epoch   int64
	Rank    int
	State   MemberState
}

// Runner is the serving program of one VM, as described by its entry.
type Runner struct {
	ID         string
	Service    string
	Address    string
	DataCenter string
	// Domain is the VM's failure domain.
	Domain string
	State  State
	// Slots is the number of requests that the runner may have in flight.
	Slots int
	// BootTime is when the runner started, in Unix milliseconds. A runner that
	// restarts under the same ID has lost its state.
	BootTime int64
	// Orders is the number of orders that the runner has accepted since it started.
	Orders int64
	// Models are the models of the replica to which the runner belongs.
	Models []string
	// StagedModels are the models whose weights are stored on the VM.
	StagedModels []string
	Membership   Membership
	// HasMembership is false for a runner that belongs to no replica.
	HasMembership bool
	// IsKept is set if the store does not list the entry any more, or lists an earlier one
	// after it was restored. It is used for requests, but tells nothing of the present.
	IsKept bool
}

// Target is a destination for requests: the head of a replica, or a runner of a
// plain service.
type Target struct {
	ID         string
	Address    string
	DataCenter string
	Service    string
	Model      string
	Slots      int
	Replica    string
	Epoch      int64
	// BootTime is when the runner that gets the requests started, in Unix milliseconds.
	BootTime int64
	// Members are the IDs of all runners that the target depends on.
	Members []string
}

// View is a snapshot of the runners and targets. It must not be changed.
type View struct {
	Runners map[string]*Runner
	targets map[targetKey][]*Target
	byID    map[string]*Target
	all     []*Target
}

type targetKey struct{ service, model string }

// Targets returns the targets that can serve a model of a service. The model is
// empty for a plain service.
func (v *View) Targets(service, model string) []*Target {
	if v == nil {
		return nil
	}
	return v.targets[targetKey{service, model}]
}

// Runner returns the runner with an ID.
func (v *View) Runner(id string) (*Runner, bool) {
	if v == nil {
		return nil, false
	}
	r, ok := v.Runners[id]
	return r, ok
}

// Target returns the target with an ID.
func (v *View) Target(id string) (*Target, bool) {
	if v == nil {
		return nil, false
	}
	t, ok := v.byID[id]
	return t, ok
}

// All returns all targets. The list must not be changed.
func (v *View) All() []*Target {
	if v == nil {
		return nil
	}
	return v.all
}

// ServiceRunners returns the runners of a service, ordered by ID.
func (v *View) ServiceRunners(service string) []*Runner {
	list := []*Runner{}
	if v == nil {
		return list
	}
	for _, r := range v.Runners {
		if r.Service == service {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Tracker maintains the list of runners. The zero value is ready to use and has
// none.
type Tracker struct {
	// Changed, if set, is called after each change, outside any lock.
	Changed func()
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	runners map[string]*Runner
	// removeAt maps the IDs of runners that the store no longer lists, but which are
	// still used, to the end of their grace period.
	removeAt map[string]time.Time
	// kept are the entries of a restored store that are not used yet, by ID.
	kept map[string]keptEntry
	// gone are the runners whose entries were removed, by ID.
	gone map[string]goneRunner
	// leaving are the runners that have said in a response that they leave, by ID, with the
	// time of their start.
	leaving  map[string]leavingRunner
	services map[string]*matcher.Service
	view     atomic.Pointer[View]
	// completeMembers holds the members of the replicas that were targets in the
	// last view.
	completeMembers map[replicaKey][]string
}

// View returns the newest view.
func (t *Tracker) View() *View { return t.view.Load() }

// SetServices sets the services. The size of a service's models determines when a
// replica is complete.
func (t *Tracker) SetServices(services map[string]*matcher.Service) {
	t.mu.Lock()
	t.services = services
	t.publish()
	t.mu.Unlock()
	t.notify()
}

// Replace sets all runners from a full list. A runner missing from the list is
// removed, after the grace period if it is not 0.
func (t *Tracker) Replace(runners []*Runner, grace time.Duration) {
	t.mu.Lock()
	t.kept = nil
	t.replace(runners, grace)
	t.publish()
	t.mu.Unlock()
	t.notify()
}

// replace sets all runners from a full list. t.mu must be held.
func (t *Tracker) replace(runners []*Runner, grace time.Duration) {
	old := t.runners
	t.runners = map[string]*Runner{}
	for _, r := range runners {
		t.runners[r.ID] = r
		delete(t.removeAt, r.ID)
	}
	for id, r := range old {
		if _, ok := t.runners[id]; !ok {
			t.deferRemoval(r, grace)
		}
	}
}

// Update applies changes: the runners that are new or changed, and the IDs of those
// that were removed. The latter are dropped after the grace period if it is not 0.
func (t *Tracker) Update(changed []*Runner, removed []string, grace time.Duration) {
	t.mu.Lock()
	if t.runners == nil {
		t.runners = map[string]*Runner{}
	}
	for _, r := range changed {
		t.runners[r.ID] = r
		delete(t.removeAt, r.ID)
		delete(t.kept, r.ID)
	}
	for _, id := range removed {
		r, ok := t.runners[id]
		delete(t.runners, id)
		delete(t.kept, id)
		if ok {
			t.deferRemoval(r, grace)
		}
	}
	t.publish()
	t.mu.Unlock()
	t.notify()
}

func (t *Tracker) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

func (t *Tracker) notify() {
	if t.Changed != nil {
		t.Changed()
	}
}

// publish builds and stores a new view. t.mu must be held.
func (t *Tracker) publish() {
	v := &View{Runners: make(map[string]*Runner, len(t.runners)), targets: map[targetKey][]*Target{}, byID: map[string]*Target{}}
	replicas := map[string][]*Runner{}
	for id, r := range t.runners {
		r = t.withAge(t.withLeaving(r))
		v.Runners[id] = r
		switch {
		case r.HasMembership:
			name := r.Service + "/" + r.Membership.Replica
			replicas[name] = append(replicas[name], r)
		case t.isPlain(r.Service) && r.State == Ready:
			v.add(&Target{ID: r.ID, Address: r.Address, DataCenter: r.DataCenter, Service: r.Service, Slots: r.Slots, BootTime: r.BootTime, Members: []string{r.ID}})
		}
	}
	completeMembers := map[replicaKey][]string{}
	for _, members := range replicas {
		if target := t.replicaTarget(members); target != nil {
			v.add(target)
			completeMembers[replicaKey{target.Service, target.Replica, target.Epoch}] = target.Members
		}
	}
	t.completeMembers = completeMembers
	for _, list := range v.targets {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	t.view.Store(v)
}

func (v *View) add(target *Target) {
	k := targetKey{target.Service, target.Model}
	v.targets[k] = append(v.targets[k], target)
	v.byID[target.ID] = target
	v.all = append(v.all, target)
}

func (t *Tracker) isPlain(service string) bool {
	s, ok := t.services[service]
	return ok && s.Engine == nil
}

// replicaTarget returns the target of the replica with the given listed members, or
// nil unless the replica is open and complete. Members of other epochs than the
// head's are ignored.
func (t *Tracker) replicaTarget(listed []*Runner) *Target {
	var head *Runner
	for _, r := range listed {
		if r.Membership.State == MemberOpen && r.Membership.Rank == 0 && (head == nil || r.Membership.Epoch > head.Membership.Epoch) {
			head = r
		}
	}
	if head == nil || len(head.Models) != 1 {
		return nil
	}
	service, ok := t.services[head.Service]
	if !ok {
		return nil
	}
	model, ok := service.Model(head.Models[0])
	if !ok {
		return nil
	}
	target := &Target{
		ID: head.ID, Address: head.Address, DataCenter: head.DataCenter, Service: head.Service,
		Model: model.Name, Slots: head.Slots, Replica: head.Membership.Replica, Epoch: head.Membership.Epoch, BootTime: head.BootTime,
	}
	for _, r := range listed {
		if r.Membership.Epoch != target.Epoch {
			continue
		}
		if r.State != Ready {
			return nil
		}
		target.Members = append(target.Members, r.ID)
	}
	if len(target.Members) < model.Size {
		target.Members = t.lastCompleteMembers(target)
	}
	if len(target.Members) != model.Size {
		return nil
	}
	return target
}

// lastCompleteMembers returns the members that the target's replica had in the last
// view, when it was complete. It returns nil if one of them is now listed outside
// this replica or epoch. A member whose entry has expired may only have lost its
// connection to the store, and still serves in the replica.
func (t *Tracker) lastCompleteMembers(target *Target) []string {
	members := t.completeMembers[replicaKey{target.Service, target.Replica, target.Epoch}]
	for _, id := range members {
		r, ok := t.runners[id]
		if ok && (!r.HasMembership || r.Membership.Replica != target.Replica || r.Membership.Epoch != target.Epoch) {
			return nil
		}
	}
	return members
}

// replicaKey identifies one epoch of a replica.
type replicaKey struct {
	service, replica string
	epoch            int64
}
