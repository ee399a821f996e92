// Package server is the callers' interface of a node: model calls in the
// OpenAI-compatible form and calls to plain services.
//
//	POST /v1/completions, /v1/chat/completions   "model" names the deployment
//	ANY  /services/{deployment}/...              passed on to the plain service
//	GET  /v1/models                              the model deployments
//
// A handler parses the request, checks it, has it carried out and answers.
//
// # Usage
//
//	s := &server.Server{Board: board, Allocator: a, Forwarder: f}
//	http.Serve(listener, s.Handler())
package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"marjorammoor/internal/admission/allocator"
	"marjorammoor/internal/admission/limiter"
	"marjorammoor/internal/gateway/authenticator"
	"marjorammoor/internal/gateway/forwarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/routing/picker"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/state/sharder"
)

// Defaults of the callers' interface.
const (
	// DefaultMaxBodyBytes bounds a request's body.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultTimeout bounds a request that names no time limit.
	DefaultTimeout = 10 * time.Minute
	bodyTimeout    = 30 * time.Second
	// bytesPerToken estimates a prompt's tokens.
	bytesPerToken     = 4
	defaultMaxTokens  = 256
	plainCallTokens   = 1
	maxKeyBytes       = 255
	maxTimeoutMS      = 86_400_000
	requestIDAlphabet = 36
)

var (
	requests  = metrics.NewCounter(`marjorammoor_requests_total`)
	completed = metrics.NewCounter(`marjorammoor_completed_total`)
)

// Server serves callers. Set Board, Allocator and Forwarder before use.
type Server struct {
	Board     *recorder.Board
	Allocator *allocator.Allocator
	Forwarder *forwarder.Forwarder
	// Once carries a call with an idempotency key out at most once; nil means
	// that such calls are refused.
	Once func(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure
	// Ready reports whether the node's configuration is in force; nil means that
	// it is. Requests are refused until then.
	Ready func() bool
	// Incarnation makes request identities unique across nodes and restarts.
	Incarnation string
	// PeerToken is that of nodes that pass requests on; empty refuses them.
	PeerToken string
	// MaxBodyBytes bounds a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64

	sequence atomic.Int64
	active   atomic.Int64
	closed   atomic.Bool
	streams  sharder.Map[string, int]
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", s.model)
	r.Post("/v1/chat/completions", s.model)
	r.Get("/v1/models", s.models)
	r.HandleFunc("/services/{deployment}/*", s.service)
	unknownPath := func(w http.ResponseWriter, _ *http.Request) {
		responder.Error(w, s.refusal(http.StatusNotFound, responder.ReasonUnknownPath, "no such path"))
	}
	r.NotFound(unknownPath)
	r.MethodNotAllowed(unknownPath)
	return r
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Close refuses new requests from now on. Requests in progress go on.
func (s *Server) Close() { s.closed.Store(true) }

func (s *Server) refusal(status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: s.newID(),
	}
}

func (s *Server) newID() string {
	return s.Incarnation + "-" + strconv.FormatInt(s.sequence.Add(1), requestIDAlphabet)
}

// completionRequest is what routing needs to know of a model call.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, func(c *forwarder.Call) *responder.Failure {
		q := completionRequest{}
		if err := json.Unmarshal(c.Body, &q); err != nil {
			return fail(c, http.StatusBadRequest, responder.ReasonMalformedJSON, "the body is not a JSON object: "+err.Error())
		}
		if q.MaxTokens < 0 {
			return fail(c, http.StatusBadRequest, responder.ReasonMalformedJSON, "max_tokens: expected a positive number")
		}
		c.Deployment, c.Stream = q.Model, q.Stream
		c.Path = r.URL.RequestURI()
		prompt := string(q.Prompt) + string(q.Messages)
		if q.MaxTokens == 0 {
			q.MaxTokens = defaultMaxTokens
		}
		c.ExpectedTokens = len(prompt)/bytesPerToken + q.MaxTokens
		c.PrefixHash, c.HasPrefix = picker.HashPrefix(prompt), true
		return s.findDeployment(c, parser.TypeModel)
	})
}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, func(c *forwarder.Call) *responder.Failure {
		c.Deployment = chi.URLParam(r, "deployment")
		c.Path = strings.TrimPrefix(r.URL.RequestURI(), "/services/"+c.Deployment)
		c.ExpectedTokens = plainCallTokens
		return s.findDeployment(c, parser.TypeService)
	})
}

// findDeployment sets the deployment's spec and whether the call may be
// repeated; a caller can only be stricter than the deployment.
func (s *Server) findDeployment(c *forwarder.Call, wanted parser.DeploymentType) *responder.Failure {
	spec, ok := s.Board.Deployment(c.Deployment)
	if !ok || spec.Type != wanted {
		return fail(c, http.StatusNotFound, responder.ReasonUnknownDeployment, "no such "+string(wanted)+" deployment")
	}
	c.Spec = spec
	c.Idempotent = spec.Idempotent
	for _, p := range spec.IdempotentPaths {
		c.Idempotent = c.Idempotent || hasPathPrefix(c.Path, p)
	}
	if strings.EqualFold(c.Header.Get(forwarder.HeaderIdempotent), "false") {
		c.Idempotent = false
	}
	return nil
}

// hasPathPrefix compares whole segments of a path that has no dot segments.
func hasPathPrefix(path, prefix string) bool {
	path, _, _ = strings.Cut(path, "?")
	if strings.Contains(path, "/.") || strings.Contains(path, "%") || strings.Contains(path, "//") {
		return false
	}
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

func fail(c *forwarder.Call, status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: c.RequestID, Attempts: c.Attempts}
}

// handle does what all calls have in common.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, parse func(*forwarder.Call) *responder.Failure) {
	s.active.Add(1)
	defer s.active.Add(-1)
	requests.Inc()
	c := &forwarder.Call{RequestID: s.newID(), Method: r.Method, Header: r.Header, OriginalPath: r.URL.RequestURI()}
	failure := s.serve(w, r, c, parse)
	if failure == nil {
		completed.Inc()
		return
	}
	if c.FromPeer {
		tellPeer(w.Header(), c, failure)
	}
	responder.Error(w, failure)
}

// tellPeer marks a failure for the node that passed the request on.
func tellPeer(h http.Header, c *forwarder.Call, failure *responder.Failure) {
	h.Set(caller.HeaderAttempt, c.PeerAttempt)
	if failure.Outcome == responder.NotRun {
		h.Set(caller.HeaderNotRun, string(failure.Reason))
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, c *forwarder.Call, parse func(*forwarder.Call) *responder.Failure) *responder.Failure {
	if s.closed.Load() {
		w.Header().Set("Connection", "close")
		return fail(c, http.StatusServiceUnavailable, responder.ReasonShuttingDown, "the node is shutting down")
	}
	if s.Ready != nil && !s.Ready() {
		return fail(c, http.StatusServiceUnavailable, responder.ReasonNotReady, "the node has no configuration yet")
	}
	if failure := s.authenticate(r, c); failure != nil {
		return failure
	}
	ctx, cancel, failure := deadline(r, c)
	if failure != nil {
		return failure
	}
	defer cancel()
	if failure := s.readBody(w, r, c); failure != nil {
		return failure
	}
	if failure := parse(c); failure != nil {
		return failure
	}
	if c.Key = r.Header.Get(forwarder.HeaderIdempotencyKey); len(c.Key) > maxKeyBytes {
		return fail(c, http.StatusBadRequest, responder.ReasonBadHeader, "Idempotency-Key: expected at most 255 bytes")
	}
	return s.admit(ctx, w, c)
}

func (s *Server) authenticate(r *http.Request, c *forwarder.Call) *responder.Failure {
	if token := r.Header.Get(authenticator.HeaderPeerToken); token != "" {
		c.FromPeer = authenticator.Equal(token, s.PeerToken)
		c.Team = r.Header.Get(forwarder.HeaderForwardedTeam)
		c.PeerAttempt = r.Header.Get(caller.HeaderAttempt)
		if c.FromPeer {
			return nil
		}
	} else if team, ok := authenticator.Team(r, s.Board.TeamByCredential); ok {
		c.Team = team
		return nil
	}
	return fail(c, http.StatusUnauthorized, responder.ReasonUnknownCredential, "the credential belongs to no team")
}

// deadline bounds the request by the time that the caller gives it.
func deadline(r *http.Request, c *forwarder.Call) (context.Context, context.CancelFunc, *responder.Failure) {
	timeout := DefaultTimeout
	if given := r.Header.Get(forwarder.HeaderTimeout); given != "" {
		ms, err := strconv.Atoi(given)
		if err != nil || ms > maxTimeoutMS {
			return nil, nil, fail(c, http.StatusBadRequest, responder.ReasonBadHeader, forwarder.HeaderTimeout+": expected milliseconds, at most a day")
		}
		if ms <= 0 {
			return nil, nil, fail(c, http.StatusGatewayTimeout, responder.ReasonDeadline, "the deadline has passed")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *forwarder.Call) *responder.Failure {
	limit := s.MaxBodyBytes
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fail(c, http.StatusRequestEntityTooLarge, responder.ReasonBodyTooLarge, "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return fail(c, http.StatusBadRequest, responder.ReasonBodyNotRead, "the body could not be read")
	}
	_ = control.SetReadDeadline(time.Time{})
	c.Body = body
	return nil
}

// admit applies the team's limits and has the call carried out.
func (s *Server) admit(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure {
	s.Allocator.Meter.Add(c.Team, c.Deployment, c.ExpectedTokens)
	if !s.takeStream(c.Team) {
		return fail(c, http.StatusTooManyRequests, responder.ReasonTooManyStreams, "the team has too many requests in progress here")
	}
	defer s.streams.Update(c.Team, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
	if !c.FromPeer {
		if failure := s.limit(c); failure != nil {
			return failure
		}
		defer func() { s.Allocator.Limiter.Settle(c.Team, float64(c.ExpectedTokens), float64(used(c))) }()
	}
	if c.Key == "" || c.Idempotent || c.FromPeer {
		return s.Forwarder.Serve(ctx, w, c)
	}
	if s.Once == nil {
		return fail(c, http.StatusServiceUnavailable, responder.ReasonClaimsUnavailable, "idempotency keys are not available")
	}
	return s.Once(ctx, w, c)
}

// used returns the tokens that a call is charged for in the end. A call that
// was not streamed is charged what was expected.
func used(c *forwarder.Call) int {
	if c.Stream && c.ReceivedTokens > 0 {
		return c.ReceivedTokens
	}
	return c.ExpectedTokens
}

func (s *Server) takeStream(team string) bool {
	limit := parser.DefaultMaxStreams
	if spec, ok := s.Board.Team(team); ok && spec.MaxStreams > 0 {
		limit = spec.MaxStreams
	}
	taken := false
	s.streams.Update(team, func(n int, _ bool) (int, bool) {
		taken = n < limit
		if taken {
			n++
		}
		return n, true
	})
	return taken
}

func (s *Server) limit(c *forwarder.Call) *responder.Failure {
	verdict, wait := s.Allocator.Limiter.Admit(c.Team, float64(c.ExpectedTokens))
	if verdict == limiter.Admitted {
		return nil
	}
	failure := fail(c, http.StatusTooManyRequests, responder.ReasonRateRequests, "the team exceeds its requests per second")
	if verdict == limiter.OverTokens {
		failure.Reason, failure.Message = responder.ReasonRateTokens, "the team exceeds its tokens per second"
	}
	failure.RetryAfter = max(wait, time.Second)
	return failure
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	if _, ok := authenticator.Team(r, s.Board.TeamByCredential); !ok {
		responder.Error(w, s.refusal(http.StatusUnauthorized, responder.ReasonUnknownCredential, "the credential belongs to no team"))
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for name, d := range s.Board.Deployments() {
		if d.Type == parser.TypeModel {
			list.Data = append(list.Data, modelInfo{ID: name, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
