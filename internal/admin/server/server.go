// Package server is the HTTP administration interface of a node, for operators.
//
//	GET    /healthz, /readyz, /metrics           without a token
//	GET    /v1/objects/{kind}                    all objects of a kind
//	GET    /v1/objects/{kind}/{name}             one object
//	PUT    /v1/objects/{kind}/{name}             create, or change with If-Match
//	DELETE /v1/objects/{kind}/{name}             delete with If-Match
//	GET    /v1/watch?after=N                     wait for a revision after N
//	GET    /v1/status                            configuration and replicas in use
//	POST   /v1/drain                             stop this node gracefully
//
// A write is accepted once the platform has stored it; the response holds the object
// with its new version. A write whose If-Match is not the stored version fails with
// a conflict, and the response holds the stored object. Reads, watches and the status
// come from the node's memory.
//
// # Usage
//
//	s := &server.Server{Board: board, Platform: p, Token: token, Ready: ready, Drain: drain, Status: status}
//	http.Serve(listener, s.Handler())
package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"marjorammoor/internal/gateway/authenticator"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/state/recorder"
)

const (
	maxBodyBytes = 1 << 20
	// maxWatchWait is how long a watch request without changes is held.
	maxWatchWait = 30 * time.Second
	// watchPollInterval is the time between two reads of the revision for a watch.
	watchPollInterval = 100 * time.Millisecond
	// HeaderOperator carries the name of the operator who makes a change.
	HeaderOperator = "X-Operator"
)

var (
	acceptedChanges = metrics.NewCounter(`marjorammoor_changes_total{outcome="accepted"}`)
	conflicts       = metrics.NewCounter(`marjorammoor_changes_total{outcome="conflict"}`)
	invalidChanges  = metrics.NewCounter(`marjorammoor_changes_total{outcome="invalid"}`)
	unstoredChanges = metrics.NewCounter(`marjorammoor_changes_total{outcome="not_stored"}`)
	unknownOutcomes = metrics.NewCounter(`marjorammoor_changes_total{outcome="unknown"}`)
	readBacks       = metrics.NewCounter(`marjorammoor_changes_read_back_total`)
	badTokens       = metrics.NewCounter(`marjorammoor_admin_refused_total{reason="bad_token"}`)
)

// Server serves the administration interface. Set all fields but Token before use.
type Server struct {
	// Board is the node's in-memory state.
	Board    *recorder.Board
	Platform *client.Client
	// Token authenticates operators; empty allows every request.
	Token string
	// Ready reports whether the node can serve callers.
	Ready func() bool
	// Drain stops the node gracefully.
	Drain func()
	// Status returns the status of the node and the system.
	Status func() Status
}

// Failure is the body of an error response.
type Failure struct {
	Error string `json:"error"`
	// Reason is "invalid", "conflict", "not_found", "platform_unavailable",
	// "unauthorized", or "unknown" for a change that may or may not be stored.
	Reason string `json:"reason"`
	// Stored is the object that the platform holds, if a change conflicts with it or
	// the outcome of the change is unknown.
	Stored *parser.Object `json:"stored,omitempty"`
}

// Handler returns the HTTP handler of the administration interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", s.ready)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get("/v1/objects/{kind}", s.listObjects)
		r.Get("/v1/objects/{kind}/{name}", s.getObject)
		r.Put("/v1/objects/{kind}/{name}", s.putObject)
		r.Delete("/v1/objects/{kind}/{name}", s.deleteObject)
		r.Get("/v1/watch", s.watch)
		r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Status()) })
		r.Post("/v1/drain", s.drain)
	})
	return r
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Token != "" && !authenticator.Equal(authenticator.Bearer(r), s.Token) {
			badTokens.Inc()
			writeJSON(w, http.StatusUnauthorized, Failure{Error: "wrong or missing token", Reason: "unauthorized"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	go s.Drain()
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	list := s.Board.Objects(parser.Kind(chi.URLParam(r, "kind")))
	slices.SortFunc(list, func(a, b parser.Object) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, client.ObjectList{Revision: s.Board.Revision(), Objects: list})
}

func objectKey(r *http.Request) parser.Key {
	return parser.Key{Kind: parser.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	o, ok := s.Board.Object(objectKey(r))
	if !ok {
		writeJSON(w, http.StatusNotFound, Failure{Error: objectKey(r).String() + " does not exist", Reason: "not_found"})
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	change, err := parseChange(r)
	if err == nil {
		err = parser.Name(change.Key.Name)
	}
	if err == nil {
		change.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	}
	if err == nil {
		err = parser.Body(change.Key.Kind, change.Body)
	}
	if err != nil {
		invalidChanges.Inc()
		writeJSON(w, http.StatusBadRequest, Failure{Error: err.Error(), Reason: "invalid"})
		return
	}
	s.writeObject(w, r, change, s.Platform.Put)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	change, err := parseChange(r)
	if err != nil || change.IfVersion == client.MustNotExist {
		invalidChanges.Inc()
		writeJSON(w, http.StatusBadRequest, Failure{Error: "If-Match: expected the version to delete", Reason: "invalid"})
		return
	}
	s.writeObject(w, r, change, s.Platform.Delete)
}

// parseChange reads the object's key, the operator's name and If-Match from a
// request. It does not read the body.
func parseChange(r *http.Request) (client.Write, error) {
	c := client.Write{Key: objectKey(r), ChangeID: uuid.NewString(), ChangedBy: r.Header.Get(HeaderOperator)}
	if c.ChangedBy == "" {
		c.ChangedBy = "operator at " + r.RemoteAddr
	}
	switch c.Key.Kind {
	case parser.KindTeam, parser.KindPool, parser.KindDeployment:
	default:
		return c, trace.BadParameter("kind: %q: expected team, pool or deployment", c.Key.Kind)
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return c, nil
	}
	v, err := strconv.ParseInt(match, 10, 64)
	if err != nil || v <= 0 {
		return c, trace.BadParameter("If-Match: %q: expected a version", match)
	}
	c.IfVersion = v
	return c, nil
}

// writeFunc is client.Client.Put or client.Client.Delete.
type writeFunc func(ctx context.Context, class client.Class, w client.Write) (*parser.Object, error)

// writeObject writes a change to the platform and responds with its outcome.
func (s *Server) writeObject(w http.ResponseWriter, r *http.Request, c client.Write, write writeFunc) {
	o, err := write(r.Context(), client.ClassOperator, c)
	if client.IsUnknown(err) {
		o, err = s.readBack(r.Context(), c, err)
	}
	switch {
	case err == nil:
		acceptedChanges.Inc()
		s.Board.ApplyObject(*o)
		writeJSON(w, http.StatusOK, o)
	case trace.IsCompareFailed(err):
		conflicts.Inc()
		f := Failure{Error: "the object was changed by somebody else", Reason: "conflict"}
		if stored, err := s.Platform.Get(r.Context(), client.ClassOperator, c.Key); err == nil {
			f.Stored = stored
		}
		writeJSON(w, http.StatusConflict, f)
	case trace.IsNotFound(err):
		writeJSON(w, http.StatusNotFound, Failure{Error: err.Error(), Reason: "not_found"})
	case client.IsUnknown(err):
		unknownOutcomes.Inc()
		writeJSON(w, http.StatusGatewayTimeout, Failure{
			Error: "the platform's answer was lost; read the object before trying again", Reason: "unknown", Stored: o,
		})
	default:
		unstoredChanges.Inc()
		writeJSON(w, http.StatusServiceUnavailable, Failure{Error: "nothing was changed: " + err.Error(), Reason: "platform_unavailable"})
	}
}

// readBack reads the object to find out whether a write with unknown outcome took
// effect. It returns cause if that remains unknown.
func (s *Server) readBack(ctx context.Context, c client.Write, cause error) (*parser.Object, error) {
	readBacks.Inc()
	o, err := s.Platform.Get(ctx, client.ClassOperator, c.Key)
	isDelete := c.Body == nil
	switch {
	case err == nil && o.ChangeID == c.ChangeID:
		return o, nil
	case err == nil && o.Version != c.IfVersion:
		// Another writer has changed the object, maybe after this change.
		return o, cause
	case trace.IsNotFound(err) && isDelete:
		return &parser.Object{Kind: c.Key.Kind, Name: c.Key.Name, Version: c.IfVersion, Deleted: true}, nil
	default:
		// The write may still reach the platform and take effect.
		return nil, cause
	}
}

// watch waits until the node's revision is newer than the one in the query, or
// maxWatchWait has passed, and responds with the objects that changed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Failure{Error: "after: expected a revision", Reason: "invalid"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxWatchWait)
	defer cancel()
	t := time.NewTicker(watchPollInterval)
	defer t.Stop()
	for s.Board.Revision() <= after && ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	u := s.Board.ConfigSince(after)
	if u.To <= after {
		u.Objects = nil
	}
	writeJSON(w, http.StatusOK, client.ObjectList{Revision: u.To, Objects: u.Objects})
}
