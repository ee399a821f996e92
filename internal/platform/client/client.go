package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"marjorammoor/internal/network/dialer"
	"marjorammoor/internal/objects/parser"
)

// MustNotExist is the value of Write.IfVersion for a write that succeeds only if the
// object does not exist.
const MustNotExist int64 = 0

const (
	defaultTimeout = 3 * time.Second
	// watchTimeoutMargin is added to the time for which the platform holds a watch
	// request open.
	watchTimeoutMargin = 5 * time.Second
	maxResponseBytes   = 64 << 20
	maxIdleConns       = 4
	headerChangedBy    = "X-Changed-By"
	headerChangeID     = "X-Change-Id"
)

// Role is the role of a VM in the platform's list.
type Role string

// The roles of VMs: an entry VM runs a node, a runner VM runs a runner.
const (
	RoleEntry  Role = "entry"
	RoleRunner Role = "runner"
)

// VM is one entry of the platform's list of VMs, which lags behind the actual state.
type VM struct {
	Name string `json:"name"`
	// Address is the ip:port of a runner, or the peer address of an entry VM's node.
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
	// Domain is the fabric domain of a runner VM.
	Domain string `json:"domain,omitempty"`
	// Pool is the accelerator pool of a runner VM.
	Pool string `json:"pool,omitempty"`
	Role Role   `json:"role"`
	// Leaving is set when the platform is about to take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}

// VMList is the platform's list of VMs at one revision.
type VMList struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
	// Unchanged is set, and VMs is empty, when the list has not changed since the
	// revision given in the request.
	Unchanged bool `json:"unchanged,omitempty"`
}

// ObjectList holds objects as of one revision.
type ObjectList struct {
	Revision int64           `json:"revision"`
	Objects  []parser.Object `json:"objects"`
}

// Write is a conditional write of one object.
type Write struct {
	Key parser.Key
	// IfVersion is the version that the stored object must have, or MustNotExist.
	IfVersion int64
	// ChangeID is stored with the object, so that a writer whose response is lost
	// can find out whether this write took effect.
	ChangeID string
	// ChangedBy names the operator or node that makes the write.
	ChangedBy string
	// Body is empty for a deletion.
	Body json.RawMessage
}

// UnknownError is the error of a write that may have taken effect although no usable
// response arrived.
type UnknownError struct{ Err error }

// Error describes why the outcome is unknown.
func (e *UnknownError) Error() string { return "outcome of write unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// IsUnknown reports whether the write that returned err may have taken effect.
func IsUnknown(err error) bool {
	var u *UnknownError
	return errors.As(err, &u)
}

// Client calls the platform over HTTP. Set BaseURL before use.
type Client struct {
	// BaseURL is the platform's address, such as "http://127.0.0.1:7000".
	BaseURL string
	// HTTP sends the calls; nil means a default client that all Clients share.
	HTTP *http.Client
	// Timeout limits each call except Watch; 0 means 3 s.
	Timeout time.Duration
	// Admit is called before each call and returns an error to refuse it; nil
	// admits all calls.
	Admit func(ctx context.Context, class Class) error
	// Count is called after each admitted call with its result; nil counts nothing.
	Count func(class Class, err error)
}

// Put writes an object conditionally and returns it as stored. Errors:
// trace.CompareFailed when the condition does not hold, UnknownError when the write
// may have taken effect, trace.ConnectionProblem when the platform answers that it
// is unavailable, trace.LimitExceeded when the budget or the platform refuses the
// call.
func (c *Client) Put(ctx context.Context, class Class, w Write) (*parser.Object, error) {
	h := writeHeaders(w)
	o := &parser.Object{}
	err := c.call(ctx, class, http.MethodPut, objectPath(w.Key), h, w.Body, o)
	if err != nil {
		return nil, fmt.Errorf("put %s: %w", w.Key, err)
	}
	return o, nil
}

// Delete removes an object conditionally. It returns the same errors as Put.
func (c *Client) Delete(ctx context.Context, class Class, w Write) (*parser.Object, error) {
	o := &parser.Object{}
	err := c.call(ctx, class, http.MethodDelete, objectPath(w.Key), writeHeaders(w), nil, o)
	if err != nil {
		return nil, fmt.Errorf("delete %s: %w", w.Key, err)
	}
	return o, nil
}

// Get reads one object. It returns trace.NotFound if the object does not exist.
func (c *Client) Get(ctx context.Context, class Class, k parser.Key) (*parser.Object, error) {
	o := &parser.Object{}
	if err := c.call(ctx, class, http.MethodGet, objectPath(k), nil, nil, o); err != nil {
		return nil, fmt.Errorf("get %s: %w", k, err)
	}
	return o, nil
}

// List reads all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, class Class, kind parser.Kind, prefix string) (*ObjectList, error) {
	l := &ObjectList{}
	path := "/v1/objects/" + string(kind) + "?prefix=" + url.QueryEscape(prefix)
	if err := c.call(ctx, class, http.MethodGet, path, nil, nil, l); err != nil {
		return nil, fmt.Errorf("list %s: %w", kind, err)
	}
	return l, nil
}

// Watch waits for changes after a revision to objects of parser.ConfigKinds and
// returns them in order, or an empty list when wait has passed without a change.
// trace.NotFound means that the platform no longer holds the changes since that
// revision, so the caller has to call Snapshot.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (*ObjectList, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	l := &ObjectList{}
	path := fmt.Sprintf("/v1/watch?after=%d&wait_ms=%d", after, wait.Milliseconds())
	if err := c.call(ctx, ClassWatch, http.MethodGet, path, nil, nil, l); err != nil {
		return nil, fmt.Errorf("watch after %d: %w", after, err)
	}
	return l, nil
}

// Snapshot lists all objects of parser.ConfigKinds at one revision.
func (c *Client) Snapshot(ctx context.Context) (*ObjectList, error) {
	l := &ObjectList{}
	if err := c.call(ctx, ClassConfig, http.MethodGet, "/v1/snapshot", nil, nil, l); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return l, nil
}

// ListVMs lists the runner VMs of a data centre and the entry VMs of all data
// centres, or all VMs if dataCenter is empty. If the list has not changed since the
// revision after, the result has Unchanged set and no VMs.
func (c *Client) ListVMs(ctx context.Context, dataCenter string, after int64) (*VMList, error) {
	l := &VMList{}
	path := fmt.Sprintf("/v1/vms?data_center=%s&after=%d", url.QueryEscape(dataCenter), after)
	if err := c.call(ctx, ClassVMs, http.MethodGet, path, nil, nil, l); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return l, nil
}

func objectPath(k parser.Key) string {
	return "/v1/objects/" + string(k.Kind) + "/" + url.PathEscape(k.Name)
}

func writeHeaders(w Write) http.Header {
	h := http.Header{}
	h.Set(headerChangeID, w.ChangeID)
	h.Set(headerChangedBy, w.ChangedBy)
	if w.IfVersion == MustNotExist {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", strconv.FormatInt(w.IfVersion, 10))
	}
	return h
}

func (c *Client) call(ctx context.Context, class Class, method, path string, h http.Header, body []byte, target any) (err error) {
	if c.Admit != nil {
		if err := c.Admit(ctx, class); err != nil {
			return fmt.Errorf("admit call: %w", err)
		}
	}
	if c.Count != nil {
		defer func() { c.Count(class, err) }()
	}
	if class != ClassWatch {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout())
		defer cancel()
	}
	return c.send(ctx, method, path, h, body, target)
}

func (c *Client) send(ctx context.Context, method, path string, h http.Header, body []byte, target any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	for k, v := range h {
		r.Header[k] = v
	}
	// Without GetBody the transport cannot send a write a second time on its own.
	r.GetBody = nil
	isWrite := method != http.MethodGet
	resp, err := c.client().Do(r)
	if err != nil {
		return asUnknownIfWrite(isWrite, trace.ConnectionProblem(err, "call platform"))
	}
	defer resp.Body.Close() //nolint:errcheck
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return asUnknownIfWrite(isWrite, trace.ConnectionProblem(err, "read answer"))
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(respBody, target); err != nil {
			return asUnknownIfWrite(isWrite, trace.BadParameter("platform's answer: %v", err))
		}
		return nil
	}
	return statusError(resp.StatusCode, isWrite, respBody)
}

// asUnknownIfWrite wraps the error of a write in UnknownError.
func asUnknownIfWrite(isWrite bool, err error) error {
	if isWrite {
		return &UnknownError{Err: err}
	}
	return err
}

// statusError turns an HTTP error status into an error. The statuses listed here
// prove that a write did not take effect; after any other status, such as 500, 502
// or 504, its outcome is unknown.
func statusError(status int, isWrite bool, body []byte) error {
	text := string(body[:min(len(body), 200)])
	switch status {
	case http.StatusNotFound, http.StatusGone:
		return trace.NotFound("platform: %s", text)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return trace.CompareFailed("platform: %s", text)
	case http.StatusTooManyRequests:
		return trace.LimitExceeded("platform: %s", text)
	case http.StatusServiceUnavailable:
		return trace.ConnectionProblem(nil, "platform refuses: %s", text)
	case http.StatusBadRequest:
		return trace.BadParameter("platform: %s", text)
	default:
		return asUnknownIfWrite(isWrite, trace.ConnectionProblem(nil, "platform: status %d: %s", status, text))
	}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return c.Timeout
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return defaultClient
	}
	return c.HTTP
}

var defaultClient = (&dialer.Dialer{}).HTTPClient(maxIdleConns)
