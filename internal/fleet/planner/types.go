package planner

import (
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// Defaults of a plan's timing.
const (
	// DefaultMissingGrace is how long a silent VM counts as present.
	DefaultMissingGrace = 2 * time.Second
	// DefaultMinDrain is how long routers may still send to a draining replica.
	DefaultMinDrain = 3 * time.Second
	// DefaultSettle is how long a new replica must have been whole before an old
	// one is drained for it: until then some nodes may not have its proof.
	DefaultSettle = 2 * time.Second
	// DefaultSurgePatience is how long a deployment that would rather form a new
	// replica first waits for spares, which the platform's list may show late.
	DefaultSurgePatience = 10 * time.Second
	// DefaultForgetAfter is how long a VM must be silent and off the platform's
	// list until it no longer belongs to its replica.
	DefaultForgetAfter = 60 * time.Second
	// DefaultReload is the expected time of loading a replica.
	DefaultReload = 30 * time.Second
	// DefaultSilentReturn is the expected time until a silent VM answers again.
	DefaultSilentReturn = 20 * time.Second
	// DefaultGoneReturn is the expected time until a failed VM is replaced.
	DefaultGoneReturn = 10 * time.Minute
)

// VM is what is known of a runner VM.
type VM struct {
	Name    string
	Address string
	Domain  string
	Pool    string
	// Listed says that the platform's list has the VM.
	Listed  bool
	Leaving bool
	// Fresh says that a sighting of the VM has not lapsed.
	Fresh bool
	// Gone says that the fresh sighting proves that no runner runs there.
	Gone     bool
	Identity caller.Identity
	// SilentFor is how long no fresh sighting has shown a runner on the VM.
	SilentFor time.Duration
}

// IsSpare reports whether the VM can join a replica, if no assignment names it.
func (v *VM) IsSpare() bool {
	return v.Listed && !v.Leaving && v.Fresh && !v.Gone && v.Identity.State == caller.StateIdle
}

// Timing are the times that decisions depend on. Zero fields mean defaults.
type Timing struct {
	MissingGrace time.Duration
	MinDrain     time.Duration
	ForgetAfter  time.Duration
	Reload       time.Duration
	SilentReturn time.Duration
	GoneReturn   time.Duration
}

func (t Timing) withDefaults() Timing {
	t.MissingGrace = orDefault(t.MissingGrace, DefaultMissingGrace)
	t.MinDrain = orDefault(t.MinDrain, DefaultMinDrain)
	t.ForgetAfter = orDefault(t.ForgetAfter, DefaultForgetAfter)
	t.Reload = orDefault(t.Reload, DefaultReload)
	t.SilentReturn = orDefault(t.SilentReturn, DefaultSilentReturn)
	t.GoneReturn = orDefault(t.GoneReturn, DefaultGoneReturn)
	return t
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// Input is all that a plan depends on.
type Input struct {
	DataCenter  string
	Assignments map[string]parser.AssignmentSpec
	// Since says how long each replica, by ID, has had its state.
	Since map[string]time.Duration
	// OutdatedFor says how long each replica, by ID, has not been what its
	// deployment asks for.
	OutdatedFor map[string]time.Duration
	// ServingFor says how long each replica, by ID, has been proved whole.
	ServingFor  map[string]time.Duration
	VMs         map[string]*VM
	Deployments map[string]*parser.DeploymentSpec
	Timing      Timing
	// Plain selects the baseline policy: the first spare, else wait.
	Plain bool
	// NewID returns a new replica ID.
	NewID func() string
}

// Decision explains a change of one replica.
type Decision struct {
	Replica    string
	Deployment string
	Domain     string
	Action     Action
	Reason     string
}

// Action is what a plan does to a replica.
type Action string

// The actions of a plan.
const (
	ActionForm    Action = "form"
	ActionReplace Action = "replace"
	ActionRestart Action = "restart"
	ActionMerge   Action = "merge"
	ActionWait    Action = "wait"
	ActionDrain   Action = "drain"
	ActionRelease Action = "release"
	ActionForget  Action = "forget"
)

// Output is a plan.
type Output struct {
	// Changed holds the assignments to write, by object name.
	Changed   map[string]parser.AssignmentSpec
	Decisions []Decision
}

// AssignmentName returns the name of a domain's assignment object.
func AssignmentName(dataCenter, domain string) string { return dataCenter + "--" + domain }
