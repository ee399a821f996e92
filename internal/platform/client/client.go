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

// MustNotExist as Write.IfVersion makes a write succeed only if the object does
// not exist.
const MustNotExist int64 = 0

const (
	defaultTimeout  = 3 * time.Second
	watchSlack      = 5 * time.Second
	maxAnswerBytes  = 64 << 20
	idleConns       = 4
	headerChangedBy = "X-Changed-By"
	headerChangeID  = "X-Change-Id"
)

// Role tells entry VMs from runner VMs in the platform's list.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleRunner Role = "runner"
)

// VM is one entry of the platform's list, which lags.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCenter string `json:"data_center"`
	Domain     string `json:"domain,omitempty"`
	Pool       string `json:"pool,omitempty"`
	Role       Role   `json:"role"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// VMList is the platform's list of VMs at a revision.
type VMList struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
	// Unchanged says that the list is still that of the revision asked for.
	Unchanged bool `json:"unchanged,omitempty"`
}

// ObjectList is a collection at a revision.
type ObjectList struct {
	Revision int64           `json:"revision"`
	Objects  []parser.Object `json:"objects"`
}

// Write is a conditional write of one object.
type Write struct {
	Key parser.Key
	// IfVersion is the version that must be stored now, or MustNotExist.
	IfVersion int64
	// ChangeID identifies this write when its answer is lost.
	ChangeID  string
	ChangedBy string
	Body      json.RawMessage
}

// UnknownError is returned when a write may have taken effect although no
// answer arrived.
type UnknownError struct{ Err error }

// Error describes the lost answer.
func (e *UnknownError) Error() string { return "outcome of write unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// IsUnknown reports whether a write may have taken effect despite its error.
func IsUnknown(err error) bool {
	var u *UnknownError
	return errors.As(err, &u)
}

// Client calls the platform over HTTP. Set BaseURL before use.
type Client struct {
	// BaseURL is the platform's address, such as "http://127.0.0.1:7000".
	BaseURL string
	// HTTP sends the calls; nil means a client of its own transport.
	HTTP *http.Client
	// Timeout bounds each call but watches; 0 means 3 s.
	Timeout time.Duration
	// Admit is asked before each call and returns an error to refuse it; nil
	// admits all.
	Admit func(ctx context.Context, class Class) error
	// Count is told of each call that is sent; nil ignores them.
	Count func(class Class, err error)
}

// Put writes an object conditionally and returns it as stored. Errors:
// trace.CompareFailed when the condition does not hold, UnknownError when the
// answer was lost, trace.ConnectionProblem when nothing was sent.
func (c *Client) Put(ctx context.Context, class Class, w Write) (*parser.Object, error) {
	h := conditions(w)
	o := &parser.Object{}
	err := c.call(ctx, class, http.MethodPut, objectPath(w.Key), h, w.Body, o)
	if err != nil {
		return nil, fmt.Errorf("put %s: %w", w.Key, err)
	}
	return o, nil
}

// Delete removes an object conditionally. Errors are those of Put.
func (c *Client) Delete(ctx context.Context, class Class, w Write) (*parser.Object, error) {
	o := &parser.Object{}
	err := c.call(ctx, class, http.MethodDelete, objectPath(w.Key), conditions(w), nil, o)
	if err != nil {
		return nil, fmt.Errorf("delete %s: %w", w.Key, err)
	}
	return o, nil
}

// Get reads one object; trace.NotFound if there is none.
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

// Watch waits for changes after a revision in the kinds that nodes hold and
// returns them in order; an empty list after wait. trace.IsNotFound means that
// the revision is too old, so that the caller has to list again.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (*ObjectList, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	l := &ObjectList{}
	path := fmt.Sprintf("/v1/watch?after=%d&wait_ms=%d", after, wait.Milliseconds())
	if err := c.call(ctx, ClassWatch, http.MethodGet, path, nil, nil, l); err != nil {
		return nil, fmt.Errorf("watch after %d: %w", after, err)
	}
	return l, nil
}

// Snapshot lists all objects of the kinds that nodes hold at one revision.
func (c *Client) Snapshot(ctx context.Context) (*ObjectList, error) {
	l := &ObjectList{}
	if err := c.call(ctx, ClassConfig, http.MethodGet, "/v1/snapshot", nil, nil, l); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return l, nil
}

// ListVMs reads the platform's list of the runner VMs of a data centre and of all
// entry VMs, or of all VMs if dataCenter is empty, unless it is still that of the
// revision after. An entry VM's address is its peer address.
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

func conditions(w Write) http.Header {
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
	// Without GetBody the transport cannot send a write twice by itself.
	r.GetBody = nil
	isWrite := method != http.MethodGet
	a, err := c.client().Do(r)
	if err != nil {
		return lost(isWrite, trace.ConnectionProblem(err, "call platform"))
	}
	defer a.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return lost(isWrite, trace.ConnectionProblem(err, "read answer"))
	}
	if a.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, target); err != nil {
			return lost(isWrite, trace.BadParameter("platform's answer: %v", err))
		}
		return nil
	}
	return statusError(a.StatusCode, isWrite, b)
}

func lost(isWrite bool, err error) error {
	if isWrite {
		return &UnknownError{Err: err}
	}
	return err
}

// statusError maps the platform's refusals to error classes. A refusal is proof
// that the write did not take effect, but for 500, 502 and 504.
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
		return lost(isWrite, trace.ConnectionProblem(nil, "platform: status %d: %s", status, text))
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

var defaultClient = (&dialer.Dialer{}).HTTPClient(idleConns)
