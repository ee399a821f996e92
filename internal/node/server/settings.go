package server

import (
	"context"
	"net/http"
	"time"

	"marjorammoor/internal/fleet/former"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
)

// Settings are those of a node.
type Settings struct {
	Name       string
	DataCenter string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are where the
	// node listens, as ip:port.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// IsFirstStart says that the whole system starts for the first time.
	IsFirstStart bool
	// LeadTime is how long after the first start callers come.
	LeadTime time.Duration
	Bounds
}

// Bounds are the settings that may change while a node runs.
type Bounds struct {
	// MemoryBytes is what the process may use.
	MemoryBytes int64
	// RetryRatio and RetryBurst bound the repeated sends of all nodes together.
	RetryRatio float64
	RetryBurst float64
	// LoadWindow and LoadOvershoot give the bound on loads of weights: the rate
	// times the window times the overshoot.
	LoadWindow    time.Duration
	LoadOvershoot float64
	// RevocationTimeout is within which a withdrawn credential must be refused.
	RevocationTimeout time.Duration
	// StallTime is how long a replica without a member stands still.
	StallTime time.Duration
	// GracePeriod is how long a node may take to stop.
	GracePeriod time.Duration
}

// Ports are what the node needs of its platform.
type Ports struct {
	Store *follower.Store
	// CatalogKind and RunnerKind are the kinds of the objects that hold the
	// configuration and the runners; CatalogName is the configuration's object.
	CatalogKind string
	CatalogName string
	RunnerKind  string
	// DecodeCatalog reads a configuration.
	DecodeCatalog func(spec []byte) (*matcher.Catalog, error)
	// DecodeRunner reads a runner's entry.
	DecodeRunner func(id string, spec []byte) (*tracker.Runner, error)
	Send         former.Send
	Probe        func(ctx context.Context, m former.Member) former.Presence
	Wire         *relayer.Wire
	// ParseRequest reads a caller's request, without its body.
	ParseRequest func(r *http.Request) *admitter.Incoming
	// WriteFailure tells a caller that its request did not complete.
	WriteFailure func(w http.ResponseWriter, f *responder.Failure)
	// ReadyPath is asked to see whether the node takes connections.
	ReadyPath string
}
