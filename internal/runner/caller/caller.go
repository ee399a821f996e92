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

// State is what a runner does with its VM.
type State string

// The states of a runner.
const (
	StateIdle    State = "idle"
	StateLoading State = "loading"
	StateReady   State = "ready"
	// StateBroken means that another member of the replica has gone.
	StateBroken State = "broken"
)

// Identity is what a runner reports of itself.
type Identity struct {
	VM     string `json:"vm"`
	BootID string `json:"boot_id"`
	State  State  `json:"state"`
	// Replica, Deployment, Model, ModelVersion and Epoch are those of the last
	// load order; empty when idle.
	Replica      string `json:"replica,omitempty"`
	Deployment   string `json:"deployment,omitempty"`
	Model        string `json:"model,omitempty"`
	ModelVersion string `json:"model_version,omitempty"`
	Epoch        int64  `json:"epoch,omitempty"`
	Head         bool   `json:"head,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"`
	Load         Load   `json:"load"`
}

// Load is a runner's lagging report of its work.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// TokenMicros is the recent time between tokens in microseconds.
	TokenMicros int `json:"token_micros"`
}

// OrderType tells what an order asks for.
type OrderType string

// The types of orders.
const (
	OrderLoad   OrderType = "load"
	OrderUnload OrderType = "unload"
)

// Order tells a runner to load or unload.
type Order struct {
	Type         OrderType `json:"type"`
	Replica      string    `json:"replica"`
	Deployment   string    `json:"deployment"`
	Model        string    `json:"model,omitempty"`
	ModelVersion string    `json:"model_version,omitempty"`
	// Epoch is the fencing number.
	Epoch int64 `json:"epoch"`
	// Members are the addresses of the replica's runners, the head first.
	Members []string `json:"members,omitempty"`
	// BootID is the boot identity that the order is meant for.
	BootID string `json:"boot_id"`
}

// The headers of the runners' protocol.
const (
	// HeaderAttempt names one attempt at a request; a runner repeats it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderEpoch carries the epoch of the replica that a request is meant for.
	HeaderEpoch = "X-Replica-Epoch"
	// HeaderNotRun is set by a runner that refused a request without running
	// any of it; its value is the reason.
	HeaderNotRun = "X-Not-Run"
)

// DefaultTimeout bounds a call to a runner's control interface.
const DefaultTimeout = time.Second

const (
	maxAnswerBytes = 64 << 10
	idlePerRunner  = 2
)

// Caller calls runners. The zero value is ready.
type Caller struct {
	// HTTP sends the calls; nil means a client with kept-alive connections that
	// follows no redirects.
	HTTP *http.Client
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout time.Duration

	once   sync.Once
	client *http.Client
	// known holds the identity that each address last told.
	known sharder.Map[string, told]
}

// Identity asks the runner at address (host:port) who it is. A runner whose
// identity is still the one that it last told this caller answers without a body.
func (c *Caller) Identity(ctx context.Context, address string) (*Identity, error) {
	last, _ := c.known.Get(address)
	next := told{}
	err := c.call(ctx, request{method: http.MethodGet, address: address, path: "/v1/identity", tag: last.tag}, &next.identity, &next.tag)
	switch {
	case errors.Is(err, errUnchanged):
		id := last.identity
		return &id, nil
	case err != nil:
		return nil, fmt.Errorf("identity of %s: %w", address, err)
	}
	if next.tag != "" {
		c.known.Set(address, next)
	}
	return &next.identity, nil
}

// told is an identity as a runner told it, with its entity tag.
type told struct {
	tag      string
	identity Identity
}

// errUnchanged says that a runner's identity is that of the tag sent.
var errUnchanged = trace.AlreadyExists("identity is unchanged")

// request is one call to a runner.
type request struct {
	method, address, path string
	tag                   string
	body                  []byte
}

// Order gives an order to the runner at address. Errors: trace.CompareFailed
// when the runner refuses an old fencing number or another boot identity.
func (c *Caller) Order(ctx context.Context, address string, o Order) (*Identity, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	id := &Identity{}
	q := request{method: http.MethodPost, address: address, path: "/v1/orders", body: body}
	if err := c.call(ctx, q, id, nil); err != nil {
		return nil, fmt.Errorf("order %s to %s: %w", o.Type, address, err)
	}
	return id, nil
}

// call sends a request and decodes the answer into target, and its entity tag
// into tag if that is set.
func (c *Caller) call(ctx context.Context, q request, target any, tag *string) error {
	c.once.Do(c.start)
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+q.path, bytes.NewReader(q.body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	// An empty value keeps the transport from sending its own.
	r.Header.Set("User-Agent", "")
	if q.tag != "" {
		r.Header.Set("If-None-Match", q.tag)
	}
	a, err := c.client.Do(r)
	if err != nil {
		return trace.ConnectionProblem(err, "call runner")
	}
	defer a.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return trace.ConnectionProblem(err, "read runner's answer")
	}
	switch a.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return errUnchanged
	case http.StatusConflict:
		return trace.CompareFailed("runner refuses: %s", b)
	default:
		return trace.ConnectionProblem(nil, "runner: status %d", a.StatusCode)
	}
	if err := json.Unmarshal(b, target); err != nil {
		return trace.BadParameter("runner's answer: %v", err)
	}
	if tag != nil {
		*tag = a.Header.Get("Etag")
	}
	return nil
}

func (c *Caller) start() {
	if c.HTTP != nil {
		c.client = c.HTTP
		return
	}
	c.client = (&dialer.Dialer{}).HTTPClient(idlePerRunner)
}

func (c *Caller) timeout() time.Duration {
	if c.Timeout == 0 {
		return DefaultTimeout
	}
	return c.Timeout
}
