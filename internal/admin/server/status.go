package server

// Status is the state of the node and of the system, from the node's data.
type Status struct {
	// Node is the name of the node.
	Node string `json:"node"`
	// Incarnation changes each time the node starts.
	Incarnation string `json:"incarnation"`
	// DataCenter is the data centre of the node.
	DataCenter string `json:"data_center"`
	// Ready is set if the node can serve callers.
	Ready bool `json:"ready"`
	// Draining is set while the node finishes its requests before it stops.
	Draining bool `json:"draining"`
	// Watching is set if the node has a working watch on the platform.
	Watching bool `json:"watching"`
	// Revision is the revision of the configuration that this node uses.
	Revision    int64              `json:"revision"`
	DataCenters []DataCenterStatus `json:"data_centers"`
	Deployments []DeploymentStatus `json:"deployments"`
}

// DataCenterStatus is the state of the nodes of a data centre.
type DataCenterStatus struct {
	Name string `json:"name"`
	// Connected is set if this node has recently received a summary of the data
	// centre. It is always set for this node's own data centre.
	Connected bool `json:"connected"`
	// Revision is the lowest configuration revision of the live nodes there.
	Revision int64 `json:"revision"`
	// Nodes is the number of live nodes.
	Nodes int `json:"nodes"`
	// Lagging names the live nodes with a lower revision than this node. It is set
	// only for this node's own data centre.
	Lagging []string `json:"lagging,omitempty"`
}

// DeploymentStatus is the state of a deployment in this node's data centre.
type DeploymentStatus struct {
	Name string `json:"name"`
	// Wanted is the configured number of replicas.
	Wanted int `json:"wanted"`
	// Serving is the number of replicas that serve.
	Serving int `json:"serving"`
	// HeldUpBy is the reason why fewer replicas serve than are wanted.
	HeldUpBy string          `json:"held_up_by,omitempty"`
	Replicas []ReplicaStatus `json:"replicas"`
	// StrandedVMs is the number of VMs assigned to replicas that do not serve.
	StrandedVMs int `json:"stranded_vms"`
}

// ReplicaStatus is the state of a replica.
type ReplicaStatus struct {
	ID string `json:"id"`
	// Domain is the fabric domain of the replica's VMs.
	Domain string `json:"domain"`
	// State is the desired state, a parser.ReplicaState.
	State string `json:"state"`
	// Epoch is the fencing number of the orders for the replica.
	Epoch   int64 `json:"epoch"`
	Serving bool  `json:"serving"`
	// Missing names the members whose VM has no recent probe result that matches the
	// assignment.
	Missing []string `json:"missing,omitempty"`
	// InFlight is the number of requests that this node has in progress on the
	// replica.
	InFlight int64 `json:"in_flight"`
}
