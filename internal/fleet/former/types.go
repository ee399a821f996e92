package former

import (
	"context"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// ReplicaState is the stage of a replica's life cycle.
type ReplicaState string

// The states of a replica.
const (
	// Forming replicas wait for their members to load the model and join.
	Forming ReplicaState = "forming"
	// Open replicas serve requests.
	Open ReplicaState = "open"
	// Closing replicas keep their members until the head no longer serves.
	Closing ReplicaState = "closing"
)

// Member is a runner that belongs to a replica.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// BootTime is when the runner started, in Unix milliseconds. Another boot time
	// under the same ID means that the runner has restarted and lost its membership.
	BootTime int64 `json:"boot_time"`
}

// Replica is a group of VMs that serve one model together. The first member is the
// head, which receives the requests.
type Replica struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Epoch is the domain's epoch at which the replica was formed.
	Epoch   int64        `json:"epoch"`
	State   ReplicaState `json:"state"`
	Members []Member     `json:"members"`
	// Graceful lets a closing replica finish its requests.
	Graceful bool `json:"graceful,omitempty"`
	// MayOpen is set if the head may have been ordered to open before the replica
	// was closed. An open order without an answer may still be carried out later.
	MayOpen bool `json:"may_open,omitempty"`
}

// Assignment is the stored state of a domain: its replicas and their members.
type Assignment struct {
	Service    string `json:"service"`
	Domain     string `json:"domain"`
	DataCenter string `json:"data_center"`
	// Epoch increases whenever a replica is formed or closed, and is sent with each
	// order as its fence.
	Epoch int64 `json:"epoch"`
	// Era is the era of the store in which the assignment was created or last claimed. One
	// of an earlier era may lack changes that the store has lost.
	Era      int64     `json:"era,omitempty"`
	Replicas []Replica `json:"replicas"`
	// Lost are replicas that were given up without a proof of their end. A runner that names
	// one is not free: its head may serve.
	Lost []ReplicaKey `json:"lost,omitempty"`
	// ClaimedEpoch is the epoch at which the assignment was last claimed. The store may have lost
	// replicas up to it. Ended are those of them that are known to have ended since.
	ClaimedEpoch int64        `json:"claimed_epoch,omitempty"`
	Ended        []ReplicaKey `json:"ended,omitempty"`
	// Model is the only model that the domain serves. Empty means all models of the
	// service.
	Model string `json:"model,omitempty"`
}

// Operation is the type of an order.
type Operation string

// The operations.
const (
	// Join makes a runner a member of a replica.
	Join Operation = "join"
	// Start makes the head of a complete replica accept requests.
	Start Operation = "open"
	// Close makes a head stop accepting requests.
	Close Operation = "close"
	// Leave ends a runner's membership at once.
	Leave Operation = "leave"
	// Stage loads the weights of a model onto the VM of a free runner.
	Stage Operation = "stage"
)

// Order is a command to one runner.
type Order struct {
	Operation Operation
	Runner    Member
	// Replica is the name of a replica or warm-up group; empty for Stage.
	Replica string
	// Epoch is the epoch of the replica, or the domain's epoch for a warm-up group.
	Epoch int64
	Model string
	// Members are the IDs of the replica's members, for Join. The first is the head.
	Members []string
	// Graceful lets a closing head finish its requests.
	Graceful bool
	// Fence is the domain's epoch. A runner refuses an order whose fence is lower
	// than one that it has already seen.
	Fence int64
}

// Result is the outcome of an order.
type Result int

// The results.
const (
	// NoAnswer means that the call failed or timed out. The order may still be
	// carried out.
	NoAnswer Result = iota
	// Accepted means that the runner has accepted the order and is working on it.
	Accepted
	// Done means that the runner has carried the order out.
	Done
	// Conflict means that the runner's state does not allow the operation.
	Conflict
	// Fenced means that the runner has seen a higher fence or epoch.
	Fenced
	// Misdirected means that another runner now has the address.
	Misdirected
	// Rejected means that the runner answered with any other error.
	Rejected
)

// ProbeResult is the result of probing a runner.
type ProbeResult int

// The probe results.
const (
	// NoResponse means that the probe got no answer within its timeout.
	NoResponse ProbeResult = iota
	// Refused means that the runner accepts no connections: it has stopped, or it is
	// leaving and only finishes its requests.
	Refused
	// Reachable means that the runner answered the probe.
	Reachable
)

// Report is what a runner says of itself.
type Report struct {
	BootTime int64
	// Models are the models of the runner's replica.
	Models        []string
	Membership    tracker.Membership
	HasMembership bool
}

// Send sends an order to its runner and returns the outcome.
type Send func(ctx context.Context, o Order) Result

// Input is the state of a domain on which Decide bases a decision.
type Input struct {
	Now        time.Time
	Engine     *matcher.Engine
	Assignment Assignment
	// Runners are the listed runners of the domain.
	Runners []*tracker.Runner
	// Dead contains the IDs of listed runners that missed missesUntilDead probes in
	// a row.
	Dead map[string]bool
	// FirstSeen is when this node first saw each replica in the assignment, by
	// replica name.
	FirstSeen map[string]time.Time
	// HeadMissingSince is the time since which a replica's head has been unlisted or
	// dead, by replica name.
	HeadMissingSince map[string]time.Time
	// MemberLostAt is since when a closing replica is known to lack a member that is not its
	// head, by replica name.
	MemberLostAt map[string]time.Time
	// HeadLeft contains the replicas whose head no longer runs at its address or has
	// confirmed that it left, by replica name.
	HeadLeft map[string]bool
	// StallTime is how long a replica that lost a member stalls before it breaks.
	StallTime time.Duration
	// ReachableFor is how long at least one runner of the domain has been reachable.
	ReachableFor time.Duration
	// UnlistedAlive contains the non-head members of open replicas that are not
	// listed but have not missed enough probes to be considered gone.
	UnlistedAlive map[string]bool
	// Refusing contains the runners whose last probe was refused.
	Refusing map[string]bool
	// IdleSince is the time since which a refusing runner has had no request in
	// flight from any node.
	IdleSince map[string]time.Time
	// AnsweredAgo is the time since any runner of the domain last answered a probe.
	AnsweredAgo time.Duration
	// SilentSince is the time since which a runner has answered neither this node
	// nor another.
	SilentSince map[string]time.Time
	// LastModel is the model of the last replica or warm-up group in which a runner
	// was ready.
	LastModel map[string]string
	// Warming contains the spares that were recently ordered to join their warm-up
	// group.
	Warming map[string]bool
	// PendingLoads is the model that a runner was ordered to stage and does not hold
	// yet.
	PendingLoads map[string]string
	// FillRatio is the number of open replicas of a model in all domains, divided by
	// the number that should be open according to the models' shares.
	FillRatio map[string]float64
	// LoadBudget is how many runners may be ordered to stage weights now.
	LoadBudget int
	// IsStartup is set until the first request. Loads are fast in this phase and
	// their rate is not limited. Replicas are formed one at a time, so that the
	// first ones are complete early.
	IsStartup bool
	// IsUnreachable is set if no runner of the domain can be reached from this node.
	// The replicas may still serve requests of other nodes, so they are not changed.
	IsUnreachable bool
}

// Decision is the new assignment of a domain and the orders that lead to it.
type Decision struct {
	Assignment Assignment
	// Changed is set if the assignment must be stored before the orders are sent.
	Changed bool
	Orders  []Order
	// Notes describe the changes for the log.
	Notes []string
}
