package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marjorammoor/internal/network/dialer"
	"marjorammoor/internal/state/sharder"
)

// State is the state of a runner.
type State string

// The states of a runner.
const (
	StateIdle    State = "idle"
	StateLoading State = "loading"
	StateReady   State = "ready"
	// StateBroken means that another member of the replica failed, so the replica
	// cannot serve until it is loaded again.
	StateBroken State = "broken"
)

// Identity is a runner's report of its VM, its state and the model it has loaded.
type Identity struct {
	// VM is the name of the VM.
	VM string `json:"vm"`
	// BootID changes each time the runner starts.
	BootID string `json:"boot_id"`
	State  State  `json:"state"`
	// Replica, Deployment, Model and ModelVersion are copied from the last load
	// order and empty when the runner is idle. Epoch is that of the last order.
	Replica      string `json:"replica,omitempty"`
	Deployment   string `json:"deployment,omitempty"`
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	Epoch        int64  `json:"epoch,omitempty"`
	// Head is set on the replica's first member, which takes its requests.
	Head bool `json:"head,omitempty"`
	// Leaving is set when the VM is about to be taken away.
	Leaving bool `json:"leaving,omitempty"`
	Load    Load `json:"load"`
}

// Load is the load that a runner reports, which lags behind the actual load.
type Load struct {
	// InFlight is the number of requests that run.
	InFlight int `json:"in_flight"`
	// Queued is the number of requests that wait.
	Queued int `json:"queued"`
	// TokenMicros is the recent time between tokens in microseconds.
	TokenMicros int `json:"token_micros"`
}

// OrderType is the action that an order asks for.
type OrderType string

// The types of orders.
const (
	OrderLoad   OrderType = "load"
	OrderUnload OrderType = "unload"
)

// Order tells a runner to load or unload a model as a member of a replica.
type Order struct {
	Type         OrderType `json:"type"`
	Replica      string    `json:"replica"`
	Deployment   string    `json:"deployment"`
	Model        string    `json:"model,omitempty"`
	ModelVersion string    `json:"model_version,omitempty"`
	// Epoch is the replica's epoch, which serves as the fencing number of the order.
	Epoch int64 `json:"epoch"`
	// Members are the addresses of the replica's runners, the head first.
	Members []string `json:"members,omitempty"`
	// BootID is the boot identity for which the order was made; a runner with
	// another one refuses the order.
	BootID string `json:"boot_id"`
}

// The headers of the runners' protocol.
const (
	// HeaderAttempt carries the ID of one attempt at a request. A runner copies it
	// into its response.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderEpoch carries the epoch of the replica to which a request is sent.
	HeaderEpoch = "X-Replica-Epoch"
	// HeaderNotRun is set by a runner that refused a request without running any
	// part of it; its value is the reason.
	HeaderNotRun = "X-Not-Run"
)

// DefaultTimeout limits a call to a runner's control interface.
const DefaultTimeout = time.Second

const (
	maxResponseBytes   = 64 << 10
	idleConnsPerRunner = 2
)

// Caller calls the control interface of runners. The zero value is ready for use.
type Caller struct {
	// HTTP sends the calls; nil means a client with kept-alive connections that
	// follows no redirects.
	HTTP *http.Client
	// Timeout limits each call; 0 means DefaultTimeout.
	Timeout time.Duration

	once   sync.Once
	client *http.Client
	// identities caches the last identity from each address, for requests with
	// If-None-Match.
	identities sharder.Map[string, cachedIdentity]
}

// Identity reads the identity of the runner at address (host:port). A runner whose
// identity has not changed since this caller's last read responds with 304 Not
// Modified and no body, and the cached identity is returned.
func (c *Caller) Identity(ctx context.Context, address string) (*Identity, error) {
	cached, _ := c.identities.Get(address)
	fresh := cachedIdentity{}
	err := c.call(ctx, request{method: http.MethodGet, address: address, path: "/v1/identity", etag: cached.etag}, &fresh.identity, &fresh.etag)
	switch {
	case errors.Is(err, errNotModified):
		id := cached.identity
		return &id, nil
	case err != nil:
		return nil, fmt.Errorf("get identity of %s: %w", address, err)
	}
	if fresh.etag != "" {
		c.identities.Set(address, fresh)
	}
	return &fresh.identity, nil
}

// cachedIdentity is a runner's identity with the ETag of the response.
type cachedIdentity struct {
	etag     string
	identity Identity
}

// errNotModified is returned when the runner's identity still has the ETag that was
// sent.
var errNotModified = trace.AlreadyExists("identity is unchanged")

// request is one call to a runner.
type request struct {
	method, address, path string
	// etag is sent as If-None-Match unless it is empty.
	etag string
	body []byte
}

// Order sends an order to the runner at address and returns its identity after the
// order. Errors: trace.CompareFailed when the runner refuses the order because its
// fencing number is old or its boot identity is not the runner's.
func (c *Caller) Order(ctx context.Context, address string, o Order) (*Identity, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	id := &Identity{}
	q := request{method: http.MethodPost, address: address, path: "/v1/orders", body: body}
	if err := c.call(ctx, q, id, nil); err != nil {
		return nil, fmt.Errorf("send %s order to %s: %w", o.Type, address, err)
	}
	return id, nil
}

// call sends a request, decodes the response body into target and stores the
// response's ETag in *etag unless etag is nil.
func (c *Caller) call(ctx context.Context, q request, target any, etag *string) error {
	c.once.Do(c.initClient)
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+q.path, bytes.NewReader(q.body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	// An empty value stops net/http from sending its default User-Agent.
	r.Header.Set("User-Agent", "")
	if q.etag != "" {
		r.Header.Set("If-None-Match", q.etag)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "call runner")
	}
	defer resp.Body.Close() //nolint:errcheck
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "read runner's response")
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return errNotModified
	case http.StatusConflict:
		return trace.CompareFailed("runner refused the request: %s", respBody)
	default:
		return trace.ConnectionProblem(nil, "runner responded with status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(respBody, target); err != nil {
		return trace.BadParameter("decode runner's response: %v", err)
	}
	if etag != nil {
		*etag = resp.Header.Get("Etag")
	}
	return nil
}

func (c *Caller) initClient() {
	if c.HTTP != nil {
		c.client = c.HTTP
		return
	}
	c.client = (&dialer.Dialer{}).HTTPClient(idleConnsPerRunner)
}

func (c *Caller) timeout() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}
