package parser

import (
	"encoding/json"
	"time"
)

// Kind names a collection of objects in the platform.
type Kind string

// The kinds of objects that the system stores in the platform.
const (
	KindTeam       Kind = "team"
	KindPool       Kind = "pool"
	KindDeployment Kind = "deployment"
	KindAssignment Kind = "assignment"
	KindClaims     Kind = "claims"
)

// ConfigKinds lists the kinds that every node holds in memory and sends to its peers.
var ConfigKinds = []Kind{KindTeam, KindPool, KindDeployment, KindAssignment}

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is a resource with its metadata, as the platform stores it.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Incarnation changes when an object is deleted and created again.
	Incarnation string `json:"incarnation"`
	// Version is the platform's revision of the last change. It increases
	// monotonically over all objects and incarnations.
	Version int64 `json:"version"`
	// ChangeID identifies the write that produced this version.
	ChangeID string `json:"change_id"`
	// ChangedBy names the operator or node that wrote this version.
	ChangedBy string `json:"changed_by"`
	// Body is the JSON of the resource, such as a TeamSpec.
	Body json.RawMessage `json:"body,omitempty"`
	// Deleted marks the version in which the object was deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// Key returns the object's kind and name.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// TeamSpec holds the credentials, the share and the limits of one team.
type TeamSpec struct {
	// CredentialHashes are the SHA-256 sums of the team's bearer tokens, in
	// hexadecimal.
	CredentialHashes []string `json:"credential_hashes"`
	// Weight is the team's relative share when teams compete; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond limits the team's requests in the whole system; 0 means no
	// limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond limits the team's prompt and completion tokens in the whole
	// system; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// MaxQueued limits the team's queued requests on one node; 0 means
	// DefaultMaxQueued.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxQueueMS limits the time of a request in the queue; 0 means
	// DefaultMaxQueueMS.
	MaxQueueMS int `json:"max_queue_ms,omitempty"`
	// MaxStreams limits the team's requests in progress on one node; 0 means
	// DefaultMaxStreams.
	MaxStreams int `json:"max_streams,omitempty"`
}

// Defaults of a team's policy.
const (
	DefaultMaxQueued  = 256
	DefaultMaxQueueMS = 10_000
	DefaultMaxStreams = 1024
)

// QueueTimeout returns the longest time that a request of the team waits in the
// queue.
func (t *TeamSpec) QueueTimeout() time.Duration {
	if t.MaxQueueMS == 0 {
		return DefaultMaxQueueMS * time.Millisecond
	}
	return time.Duration(t.MaxQueueMS) * time.Millisecond
}

// PoolSpec declares a pool of accelerator VMs.
type PoolSpec struct {
	// ChecksFencing is set if the pool's runners refuse orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing"`
	// MaxLoads limits how many VMs of one fabric domain load weights at once; 0
	// means no limit.
	MaxLoads int `json:"max_loads,omitempty"`
}

// DeploymentType is the type of back end of a deployment.
type DeploymentType string

// The types of deployments: a model engine that loads weights, or a plain service.
const (
	TypeModel   DeploymentType = "model"
	TypeService DeploymentType = "service"
)

// DeploymentSpec declares a model or a plain service.
type DeploymentSpec struct {
	Type DeploymentType `json:"type"`
	// Pool names the pool whose VMs run the replicas.
	Pool string `json:"pool"`
	// Model and ModelVersion name the weights to load.
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	// ReplicaVMs is the number of VMs in one replica; 0 means 1.
	ReplicaVMs int `json:"replica_vms,omitempty"`
	// Replicas is the number of replicas wanted in each data centre.
	Replicas map[string]int `json:"replicas"`
	// MaxInFlight limits the requests in progress on one replica; 0 means
	// DefaultMaxInFlight.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Idempotent allows requests to be sent again. A caller can forbid this for a
	// request, but cannot allow it.
	Idempotent bool `json:"idempotent"`
	// IdempotentPaths lists path prefixes whose requests can be sent again although
	// Idempotent is false.
	IdempotentPaths []string `json:"idempotent_paths,omitempty"`
	// Weights are the costs that decide how a broken replica is repaired.
	Weights Weights `json:"weights"`
	// DrainTimeoutMS limits how long a planned stop of a replica waits for requests
	// in progress; 0 means DefaultDrainTimeoutMS.
	DrainTimeoutMS int `json:"drain_timeout_ms,omitempty"`
}

// Defaults of a deployment.
const (
	DefaultMaxInFlight    = 32
	DefaultDrainTimeoutMS = 120_000
)

// Weights are the costs of lost capacity that the planner compares when it chooses
// how to repair a replica.
type Weights struct {
	// GroupDowntime is the cost of one second during which one replica cannot serve.
	GroupDowntime float64 `json:"group_downtime"`
	// StrandedAccelerators is the cost of one second during which one VM is in no
	// serving replica.
	StrandedAccelerators float64 `json:"stranded_accelerators"`
}

// InFlightLimit returns the limit of requests in progress on one replica.
func (d *DeploymentSpec) InFlightLimit() int {
	if d.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return d.MaxInFlight
}

// Size returns the number of VMs in one replica.
func (d *DeploymentSpec) Size() int { return max(d.ReplicaVMs, 1) }

// DrainTimeout returns the longest time that a planned stop of a replica waits for
// requests in progress.
func (d *DeploymentSpec) DrainTimeout() time.Duration {
	if d.DrainTimeoutMS == 0 {
		return DefaultDrainTimeoutMS * time.Millisecond
	}
	return time.Duration(d.DrainTimeoutMS) * time.Millisecond
}

// ReplicaState is the desired state of a replica.
type ReplicaState string

// The desired states of a replica.
const (
	// ReplicaAssigned means that the members load the model and serve it.
	ReplicaAssigned ReplicaState = "assigned"
	// ReplicaDraining means that requests in progress finish and no new ones are
	// sent.
	ReplicaDraining ReplicaState = "draining"
	// ReplicaReleasing means that the members unload the model. A member is removed
	// from the replica only after it has confirmed the unloading.
	ReplicaReleasing ReplicaState = "releasing"
)

// MemberRef is one VM's membership in a replica.
type MemberRef struct {
	// VM is the name of the VM.
	VM string `json:"vm"`
	// Address is the ip:port of the VM's runner.
	Address string `json:"address"`
	// BootID is the boot identity under which the VM was assigned.
	BootID string `json:"boot_id"`
}

// ReplicaRef is one replica in an assignment.
type ReplicaRef struct {
	ID           string       `json:"id"`
	Deployment   string       `json:"deployment"`
	Model        string       `json:"model,omitempty"`
	ModelVersion string       `json:"model_version,omitempty"`
	State        ReplicaState `json:"state"`
	// Epoch is the fencing number of the orders for this replica.
	Epoch int64 `json:"epoch"`
	// Members are the VMs of the replica. The first one is the head, which receives
	// the replica's requests.
	Members []MemberRef `json:"members"`
}

// AssignmentSpec assigns the VMs of one fabric domain to replicas. A VM of the domain
// that is in no replica is a spare.
type AssignmentSpec struct {
	DataCenter string `json:"data_center"`
	Domain     string `json:"domain"`
	// LastEpoch is the largest fencing number used so far in this domain.
	LastEpoch int64        `json:"last_epoch"`
	Replicas  []ReplicaRef `json:"replicas"`
}
