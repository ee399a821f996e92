package planner

import (
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// Defaults of Timing, and the fixed MinReadyTime and SurgeTimeout.
const (
	// DefaultMissingGrace is how long a VM may be silent before it counts as
	// missing.
	DefaultMissingGrace = 2 * time.Second
	// DefaultMinDrain is the minimum duration of a drain, because routers may
	// still send requests to the replica during this time.
	DefaultMinDrain = 3 * time.Second
	// MinReadyTime is how long a new replica must have been ready before it allows
	// an outdated one to be drained. Some nodes may not have verified the new
	// replica yet before that.
	MinReadyTime = 2 * time.Second
	// SurgeTimeout is how long a deployment for which prefersSurge holds waits for
	// spares before an outdated replica is drained without a replacement. The
	// platform's list may show new VMs late.
	SurgeTimeout = 10 * time.Second
	// DefaultForgetAfter is how long a VM that the platform no longer lists must
	// have been silent before it is removed from a releasing replica.
	DefaultForgetAfter = 60 * time.Second
	// DefaultLoadTime is the expected time to load a model on a replica.
	DefaultLoadTime = 30 * time.Second
	// DefaultSilentReturn is the expected time until a VM that became silent
	// answers again.
	DefaultSilentReturn = 20 * time.Second
	// DefaultReplacementTime is the expected time until a failed VM is replaced.
	DefaultReplacementTime = 10 * time.Minute
)

// VM is the observed state of a runner VM.
type VM struct {
	Name string
	// Address is the runner's host:port.
	Address string
	// Domain is the fabric domain. All VMs of a replica are in one domain.
	Domain string
	Pool   string
	// Listed is true if the platform's list contains the VM.
	Listed bool
	// Leaving is true if the platform or the runner has announced that the VM will
	// be removed.
	Leaving bool
	// Observed is true if there is a sighting of the VM that has not expired.
	Observed bool
	// Down is true if that sighting shows that the VM's runner is not running.
	Down bool
	// Identity is the runner's last report. It is only valid if Observed is true
	// and Down is false.
	Identity caller.Identity
	// SilentFor is the time since an unexpired sighting last showed the runner
	// running, or, if none ever has, since the VM was first listed or assigned.
	SilentFor time.Duration
}

// IsSpare reports whether the VM can join a replica. The caller has to check that
// no assignment contains the VM.
func (v *VM) IsSpare() bool {
	return v.Listed && !v.Leaving && v.Observed && !v.Down && v.Identity.State == caller.StateIdle
}

// Timing holds the durations that decisions depend on. A zero field means the
// constant of the same name with the prefix Default.
type Timing struct {
	MissingGrace    time.Duration
	MinDrain        time.Duration
	ForgetAfter     time.Duration
	LoadTime        time.Duration
	SilentReturn    time.Duration
	ReplacementTime time.Duration
}

func (t Timing) withDefaults() Timing {
	t.MissingGrace = orDefault(t.MissingGrace, DefaultMissingGrace)
	t.MinDrain = orDefault(t.MinDrain, DefaultMinDrain)
	t.ForgetAfter = orDefault(t.ForgetAfter, DefaultForgetAfter)
	t.LoadTime = orDefault(t.LoadTime, DefaultLoadTime)
	t.SilentReturn = orDefault(t.SilentReturn, DefaultSilentReturn)
	t.ReplacementTime = orDefault(t.ReplacementTime, DefaultReplacementTime)
	return t
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Input holds everything that a plan depends on.
type Input struct {
	DataCenter string
	// Assignments holds the current assignments by object name.
	Assignments map[string]parser.AssignmentSpec
	// InStateFor is, by replica ID, how long a replica has been in its state.
	InStateFor map[string]time.Duration
	// OutdatedFor is, by replica ID, how long a replica has differed from the spec
	// of its deployment. It is 0 for replicas that match.
	OutdatedFor map[string]time.Duration
	// ServingFor is, by replica ID, how long all members of a replica have been
	// verified as ready. It is 0 for replicas that are not.
	ServingFor map[string]time.Duration
	// VMs holds the runner VMs that are listed or assigned, by name.
	VMs         map[string]*VM
	Deployments map[string]*parser.DeploymentSpec
	Timing      Timing
	// Baseline selects the baseline policy for repairs: use spares if there are
	// enough, otherwise wait, without comparing costs.
	Baseline bool
	// NewID returns a new replica ID.
	NewID func() string
}

// Decision records what is done with one replica, and why.
type Decision struct {
	Replica    string
	Deployment string
	Domain     string
	Action     Action
	// Reason explains the action. For ActionForget, it is the name of the VM that
	// is removed.
	Reason string
}

// Action is what a plan does with a replica.
type Action string

// The actions of a plan.
const (
	// ActionForm creates a replica from spare VMs.
	ActionForm Action = "form"
	// ActionReplace replaces missing members.
	ActionReplace Action = "replace"
	// ActionRestart starts a broken replica again with the same members.
	ActionRestart Action = "restart"
	// ActionMerge releases another broken replica to get spares for this one.
	ActionMerge Action = "merge"
	// ActionWait leaves the replica broken until its missing members return.
	ActionWait Action = "wait"
	// ActionDrain stops new requests to the replica.
	ActionDrain Action = "drain"
	// ActionRelease makes the members unload the model.
	ActionRelease Action = "release"
	// ActionForget removes a VM that can no longer confirm that it unloaded.
	ActionForget Action = "forget"
)

// Output is the result of Plan.
type Output struct {
	// Changed holds the assignments to write, by object name.
	Changed   map[string]parser.AssignmentSpec
	Decisions []Decision
}

// AssignmentName returns the name of a domain's assignment object.
func AssignmentName(dataCenter, domain string) string { return dataCenter + "--" + domain }
