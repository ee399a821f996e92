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
	"marjorammoor/internal/store/sequencer"
)

// Settings are the settings of one node. Those outside Bounds are read at the start
// only.
type Settings struct {
	Name       string
	DataCenter string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the addresses
	// on which the node listens, as ip:port. An empty MetricsAddress opens no
	// listener for metrics.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// IsFirstStart is true when the whole system starts for the first time.
	IsFirstStart bool
	// TimeToFirstRequest is the expected time from the first start to the first request.
	TimeToFirstRequest time.Duration
	Bounds
}

// Bounds are the settings that can be reloaded while a node runs.
type Bounds struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Sockets is the number of sockets that the process may have open; 0 is any number.
	Sockets int64
	// RetryRatio is the number of retries allowed per request, and RetryBurst the
	// number of retries allowed at once, both for all nodes together.
	RetryRatio float64
	RetryBurst float64
	// RetryWindow is the time over which retries and requests are counted.
	RetryWindow time.Duration
	// LoadWindow and LoadOvershoot bound the weight loads that begin within one
	// window: the engine's LoadsPerSecond times LoadWindow times LoadOvershoot.
	LoadWindow    time.Duration
	LoadOvershoot float64
	// RevocationTimeout is the time after which a revoked credential must be refused.
	RevocationTimeout time.Duration
	// StallTime is how long a replica that misses a member makes no progress before
	// it breaks.
	StallTime time.Duration
	// GracePeriod is the time that the platform gives a node to stop.
	GracePeriod time.Duration
}

// Platform holds the platform-specific functions and names that a node uses.
type Platform struct {
	Store *follower.Store
	// Eras keeps the newest era that the store or another node has named.
	Eras *sequencer.Eras
	// CatalogKind and RunnerKind are the object kinds of the configuration and of
	// the runner entries. CatalogName is the name of the configuration object.
	CatalogKind   string
	CatalogName   string
	RunnerKind    string
	DecodeCatalog func(spec []byte) (*matcher.Catalog, error)
	DecodeRunner  func(id string, spec []byte) (*tracker.Runner, error)
	// Send sends an order to a runner.
	Send former.Send
	// Probe checks whether a runner answers.
	Probe func(ctx context.Context, m former.Member) former.ProbeResult
	// ProbeAnew reports whether a runner's address answers on a new connection.
	ProbeAnew func(ctx context.Context, m former.Member) bool
	// Ask asks a runner for its report.
	Ask func(ctx context.Context, m former.Member) (former.Report, bool)
	// Wire builds requests to runners and reads their responses.
	Wire *relayer.Wire
	// ParseRequest parses a caller's request without reading its body.
	ParseRequest func(r *http.Request) *admitter.Incoming
	// WriteFailure writes the response to a request that did not complete.
	WriteFailure func(w http.ResponseWriter, f *responder.Failure)
	// ReadyPath is the path of the readiness check on ReadyAddress.
	ReadyPath string
}
