package server

// Status describes what the system has achieved, as one node sees it.
type Status struct {
	Node string `json:"node"`
	// Incarnation changes each time the node starts.
	Incarnation string `json:"incarnation"`
	DataCenter  string `json:"data_center"`
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`
	Watching    bool   `json:"watching"`
	// Revision is the configuration revision in force on this node.
	Revision    int64              `json:"revision"`
	DataCenters []DataCenterStatus `json:"data_centers"`
	Deployments []DeploymentStatus `json:"deployments"`
}

// DataCenterStatus says what is in force in a data centre.
type DataCenterStatus struct {
	Name string `json:"name"`
	// Connected says that the data centre was heard lately.
	Connected bool `json:"connected"`
	// Revision is the lowest that is in force on a live node there.
	Revision int64 `json:"revision"`
	Nodes    int   `json:"nodes"`
	// Lagging names the nodes of this node's data centre that are behind it.
	Lagging []string `json:"lagging,omitempty"`
}

// DeploymentStatus says what a deployment has in this node's data centre.
type DeploymentStatus struct {
	Name    string `json:"name"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
	// HeldUpBy says why fewer serve than are wanted.
	HeldUpBy string          `json:"held_up_by,omitempty"`
	Replicas []ReplicaStatus `json:"replicas"`
	// StrandedVMs counts VMs that are assigned but in no serving replica.
	StrandedVMs int `json:"stranded_vms"`
}

// ReplicaStatus is one replica's state.
type ReplicaStatus struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
	Epoch   int64  `json:"epoch"`
	Serving bool   `json:"serving"`
	// Missing names the members without a proof.
	Missing  []string `json:"missing,omitempty"`
	InFlight int64    `json:"in_flight"`
}
