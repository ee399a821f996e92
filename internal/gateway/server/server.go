// Package server is the HTTP interface of a node for callers: an OpenAI-compatible
// API for models, and a proxy to plain services.
//
//	POST /v1/completions, /v1/chat/completions   "model" names the deployment
//	ANY  /services/{deployment}/...              forwarded to the plain service
//	GET  /v1/models                              the model deployments
//
// A handler authenticates the request, parses it, applies the team's limits, and
// passes it to the forwarder, which writes the response.
//
// # Usage
//
//	s := &server.Server{Board: board, Allocator: a, Forwarder: f}
//	http.Serve(listener, s.Handler())
package server

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
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
	"marjorammoor/internal/gateway/discarder"
	"marjorammoor/internal/gateway/forwarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/routing/picker"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/state/sharder"
)

// Defaults and limits of the interface for callers.
const (
	// DefaultMaxBodyBytes bounds a request's body.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultTimeout bounds a request that names no time limit.
	DefaultTimeout = 10 * time.Minute
	bodyTimeout    = 30 * time.Second
	// bytesPerToken is used to estimate the number of tokens of a prompt.
	bytesPerToken = 4
	// defaultMaxTokens is the expected output of a request without max_tokens, and
	// plainCallTokens the cost of a call to a plain service.
	defaultMaxTokens = 256
	plainCallTokens  = 1
	maxKeyBytes      = 255
	maxTimeoutMS     = 86_400_000
	// requestIDBase is the number base of the counter in a request ID.
	requestIDBase = 36

	notReadyMessage = "the node has no configuration yet"
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
	// ServeOnce runs a call with an idempotency key at most once. If it is nil, such
	// calls are refused, unless they are idempotent.
	ServeOnce func(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure
	// Ready reports whether the node may serve; until then requests are refused. nil
	// means always.
	Ready func() bool
	// Incarnation is the prefix that makes request IDs unique across nodes and
	// restarts.
	Incarnation string
	// PeerToken authenticates nodes that forward requests; if it is empty, they are
	// refused.
	PeerToken string
	// MaxBodyBytes bounds a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Memory bounds what is kept of requests' bodies; nil means that nothing does.
	Memory *reserver.Reserver

	lastRequest    atomic.Int64
	activeRequests atomic.Int64
	closing        atomic.Bool
	// teamRequests is the number of requests in progress by team.
	teamRequests sharder.Map[string, int]
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/completions", s.serveModel)
	r.Post("/v1/chat/completions", s.serveModel)
	r.Get("/v1/models", s.listModels)
	r.HandleFunc("/services/{deployment}/*", s.serveService)
	unknownPath := func(w http.ResponseWriter, r *http.Request) {
		discarder.Leave(w, r)
		responder.Error(w, s.refusal(http.StatusNotFound, responder.ReasonUnknownPath, "no such path"))
	}
	r.NotFound(unknownPath)
	r.MethodNotAllowed(unknownPath)
	return r
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.activeRequests.Load() }

// Close makes the server refuse new requests. Requests in progress continue.
func (s *Server) Close() { s.closing.Store(true) }

// refusal returns a failure for a request that is refused before it becomes a call.
func (s *Server) refusal(status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: s.newRequestID(),
	}
}

func (s *Server) newRequestID() string {
	return s.Incarnation + "-" + strconv.FormatInt(s.lastRequest.Add(1), requestIDBase)
}

// completionRequest holds the fields of a model call that routing and limits use.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (s *Server) serveModel(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.handle(w, r, func(c *forwarder.Call) *responder.Failure {
		c.Deployment = chi.URLParam(r, "deployment")
		c.Path = strings.TrimPrefix(r.URL.RequestURI(), "/services/"+c.Deployment)
		c.ExpectedTokens = plainCallTokens
		return s.findDeployment(c, parser.TypeService)
	})
}

// findDeployment sets the deployment's spec and whether the call is idempotent. The
// caller's header can forbid retries but cannot allow them.
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

// hasPathPrefix reports whether the segments of a path begin with those of prefix. It
// returns false for a path with dot segments, escapes or empty segments, because the
// service may resolve it to another path.
func hasPathPrefix(path, prefix string) bool {
	path, _, _ = strings.Cut(path, "?")
	if strings.Contains(path, "/.") || strings.Contains(path, "%") || strings.Contains(path, "//") {
		return false
	}
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// fail returns a failure of a call that was not run.
func fail(c *forwarder.Call, status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: c.RequestID, Attempts: c.Attempts}
}

// handle serves one request. parse sets the call's deployment, path and expected
// tokens. If the call fails, handle writes the failure as the response.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, parse func(*forwarder.Call) *responder.Failure) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	requests.Inc()
	c := &forwarder.Call{RequestID: s.newRequestID(), Method: r.Method, Header: r.Header, OriginalPath: r.URL.RequestURI()}
	failure := s.serve(w, r, c, parse)
	if failure == nil {
		completed.Inc()
		return
	}
	if c.FromPeer {
		markForPeer(w.Header(), c, failure)
	}
	if failure.Outcome == responder.NotRun {
		// Its body may not have been read to the end.
		discarder.Leave(w, r)
	}
	responder.Error(w, failure)
}

// markForPeer sets the headers by which the node that forwarded the request recognises
// its attempt, and whether the request was not run.
func markForPeer(h http.Header, c *forwarder.Call, failure *responder.Failure) {
	h.Set(caller.HeaderAttempt, c.PeerAttempt)
	if failure.Outcome == responder.NotRun {
		h.Set(caller.HeaderNotRun, string(failure.Reason))
	}
}

// serve authenticates, reads and parses a request, and passes it on to admit.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, c *forwarder.Call, parse func(*forwarder.Call) *responder.Failure) *responder.Failure {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
		return fail(c, http.StatusServiceUnavailable, responder.ReasonShuttingDown, "the node is shutting down")
	}
	if s.Ready != nil && !s.Ready() {
		return fail(c, http.StatusServiceUnavailable, responder.ReasonNotReady, notReadyMessage)
	}
	if failure := s.authenticate(r, c); failure != nil {
		return failure
	}
	ctx, cancel, failure := withTimeout(r, c)
	if failure != nil {
		return failure
	}
	defer cancel()
	control := http.NewResponseController(w)
	// Without a port in it, the address is the sender as it stands.
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	memory := s.Memory.Reserve(c.Team+" "+cmp.Or(host, r.RemoteAddr), func() { _ = control.SetReadDeadline(time.Now()) })
	defer memory.Release()
	if failure := s.readBody(w, r, c, memory); failure != nil {
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

// authenticate sets the team of a call, from the credential of a caller or from the
// header of a peer with the right token.
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

// withTimeout returns the context of the request, bounded by the time limit in the
// caller's header or by DefaultTimeout.
func withTimeout(r *http.Request, c *forwarder.Call) (context.Context, context.CancelFunc, *responder.Failure) {
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

// readBody reads the body within MaxBodyBytes and bodyTimeout, if there is memory for it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *forwarder.Call, memory *reserver.Reservation) *responder.Failure {
	limit := s.MaxBodyBytes
	if limit == 0 {
		limit = DefaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := memory.ReadRequest(r.Context(), http.MaxBytesReader(w, r.Body, limit), min(r.ContentLength, limit+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fail(c, http.StatusRequestEntityTooLarge, responder.ReasonBodyTooLarge, "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, reserver.ErrFull), errors.Is(err, reserver.ErrRevoked):
		return fail(c, http.StatusServiceUnavailable, responder.ReasonOutOfMemory, err.Error())
	case err != nil:
		return fail(c, http.StatusBadRequest, responder.ReasonBodyNotRead, "the body could not be read")
	}
	_ = control.SetReadDeadline(time.Time{})
	c.Body = body
	return nil
}

// admit applies the team's limits and runs the call. Requests from a peer were
// checked against the team's rates by that node.
func (s *Server) admit(ctx context.Context, w http.ResponseWriter, c *forwarder.Call) *responder.Failure {
	s.Allocator.Meter.Add(c.Team, c.Deployment, c.ExpectedTokens)
	if !s.addTeamRequest(c.Team) {
		return fail(c, http.StatusTooManyRequests, responder.ReasonTooManyStreams, "the team has too many requests in progress here")
	}
	defer s.teamRequests.Update(c.Team, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
	if !c.FromPeer {
		if failure := s.checkRate(c); failure != nil {
			return failure
		}
		defer func() { s.Allocator.Limiter.Settle(c.Team, float64(c.ExpectedTokens), float64(chargedTokens(c))) }()
	}
	if c.Key == "" || c.Idempotent || c.FromPeer {
		return s.Forwarder.Serve(ctx, w, c)
	}
	if s.ServeOnce == nil {
		return fail(c, http.StatusServiceUnavailable, responder.ReasonClaimsUnavailable, "idempotency keys are not available")
	}
	return s.ServeOnce(ctx, w, c)
}

// chargedTokens returns the tokens that the team is charged after the call. For a
// response that was not streamed it is the expected number.
func chargedTokens(c *forwarder.Call) int {
	if c.Stream && c.ReceivedTokens > 0 {
		return c.ReceivedTokens
	}
	return c.ExpectedTokens
}

// addTeamRequest counts a request of a team, or returns false if the team has as many
// in progress as it may.
func (s *Server) addTeamRequest(team string) bool {
	limit := parser.DefaultMaxStreams
	if spec, ok := s.Board.Team(team); ok && spec.MaxStreams > 0 {
		limit = spec.MaxStreams
	}
	taken := false
	s.teamRequests.Update(team, func(n int, _ bool) (int, bool) {
		taken = n < limit
		if taken {
			n++
		}
		return n, true
	})
	return taken
}

// checkRate takes a request from the team's rate limits. It returns a failure if the
// team exceeds one of them.
func (s *Server) checkRate(c *forwarder.Call) *responder.Failure {
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
