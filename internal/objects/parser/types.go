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

// ConfigKinds lists the kinds that every node holds in memory and passes on to
// its peers.
var ConfigKinds = []Kind{KindTeam, KindPool, KindDeployment, KindAssignment}

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is the envelope in which the platform stores a resource.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Incarnation changes when an object is deleted and created again.
	Incarnation string `json:"incarnation"`
	// Version is the platform's revision of the last change. It only grows,
	// across objects and incarnations.
	Version int64 `json:"version"`
	// ChangeID identifies the write that produced this version.
	ChangeID string `json:"change_id"`
	// ChangedBy names the operator or node that wrote this version.
	ChangedBy string          `json:"changed_by"`
	Body      json.RawMessage `json:"body,omitempty"`
	Deleted   bool            `json:"deleted,omitempty"`
}

// Key returns the identity of the object.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// TeamSpec is the serving policy of one team.
type TeamSpec struct {
	// CredentialHashes are hex SHA-256 sums of the team's bearer credentials.
	CredentialHashes []string `json:"credential_hashes"`
	// Weight is the team's share in relation to other teams; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond limits the team in the whole system; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond limits prompt and answer tokens; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// MaxQueued bounds the team's queue on one node; 0 means DefaultMaxQueued.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxQueueMS bounds the time in queue; 0 means DefaultMaxQueueMS.
	MaxQueueMS int `json:"max_queue_ms,omitempty"`
	// MaxStreams bounds the team's requests in progress on one node; 0 means
	// DefaultMaxStreams.
	MaxStreams int `json:"max_streams,omitempty"`
}

// Defaults of a team's policy.
const (
	DefaultMaxQueued  = 256
	DefaultMaxQueueMS = 10_000
	DefaultMaxStreams = 1024
)

// QueueTimeout returns the longest time that a request of the team may wait.
func (t *TeamSpec) QueueTimeout() time.Duration {
	if t.MaxQueueMS == 0 {
		return DefaultMaxQueueMS * time.Millisecond
	}
	return time.Duration(t.MaxQueueMS) * time.Millisecond
}

// PoolSpec declares a pool of accelerator VMs.
type PoolSpec struct {
	// ChecksFencing says whether the pool's runners refuse orders that carry an
	// old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// MaxLoads bounds how many VMs of one fabric domain load weights at once;
	// 0 means no bound.
	MaxLoads int `json:"max_loads,omitempty"`
}

// DeploymentType tells model engines from plain services.
type DeploymentType string

// The types of deployments.
const (
	TypeModel   DeploymentType = "model"
	TypeService DeploymentType = "service"
)

// DeploymentSpec declares a model or a plain service.
type DeploymentSpec struct {
	Type DeploymentType `json:"type"`
	Pool string         `json:"pool"`
	// Model and ModelVersion name the weights to load.
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	// ReplicaVMs is the number of VMs in one replica; 0 means 1.
	ReplicaVMs int `json:"replica_vms,omitempty"`
	// Replicas is the number of replicas wanted in each data centre.
	Replicas map[string]int `json:"replicas"`
	// MaxInFlight bounds the requests in progress on one replica; 0 means
	// DefaultMaxInFlight.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Idempotent says that calls may be repeated. Callers can only be stricter.
	Idempotent bool `json:"idempotent"`
	// IdempotentPaths lists path prefixes whose calls may be repeated although
	// Idempotent is false.
	IdempotentPaths []string `json:"idempotent_paths,omitempty"`
	Weights         Weights  `json:"weights"`
	// DrainTimeoutMS bounds how long a planned stop waits for requests in
	// progress; 0 means DefaultDrainTimeoutMS.
	DrainTimeoutMS int `json:"drain_timeout_ms,omitempty"`
}

// Defaults of a deployment.
const (
	DefaultMaxInFlight    = 32
	DefaultDrainTimeoutMS = 120_000
)

// Weights price what a deployment's users lose.
type Weights struct {
	// GroupDowntime prices one second during which one replica cannot serve.
	GroupDowntime float64 `json:"group_downtime"`
	// StrandedAccelerators prices one second of one VM outside serving replicas.
	StrandedAccelerators float64 `json:"stranded_accelerators"`
}

// InFlightLimit returns the bound on requests in progress of one replica.
func (d *DeploymentSpec) InFlightLimit() int {
	if d.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return d.MaxInFlight
}

// Size returns the number of VMs in one replica.
func (d *DeploymentSpec) Size() int { return max(d.ReplicaVMs, 1) }

// DrainTimeout returns the longest time that a planned stop waits.
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
	// ReplicaDraining means that requests in progress finish and no new ones
	// are sent.
	ReplicaDraining ReplicaState = "draining"
	// ReplicaReleasing means that the members unload. A member leaves the
	// replica only when it has confirmed that.
	ReplicaReleasing ReplicaState = "releasing"
)

// MemberRef is one VM's membership in a replica.
type MemberRef struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// BootID is the boot identity under which the VM was assigned.
	BootID string `json:"boot_id"`
}

// ReplicaRef is one replica in an assignment. Its first member is the head,
// which takes requests.
type ReplicaRef struct {
	ID           string       `json:"id"`
	Deployment   string       `json:"deployment"`
	Model        string       `json:"model,omitempty"`
	ModelVersion string       `json:"model_version,omitempty"`
	State        ReplicaState `json:"state"`
	// Epoch is the fencing number of the orders for this replica.
	Epoch   int64       `json:"epoch"`
	Members []MemberRef `json:"members"`
}

// AssignmentSpec says which VMs of one fabric domain form which replicas. Each
// VM of the domain that no replica names is a spare.
type AssignmentSpec struct {
	DataCenter string `json:"data_center"`
	Domain     string `json:"domain"`
	// LastEpoch is the largest fencing number given out in this domain.
	LastEpoch int64        `json:"last_epoch"`
	Replicas  []ReplicaRef `json:"replicas"`
}
