// Package server is the operators' interface of a node.
//
//	GET    /healthz, /readyz, /metrics           without a token
//	GET    /v1/objects/{kind}                    the objects of a kind
//	GET    /v1/objects/{kind}/{name}             one object
//	PUT    /v1/objects/{kind}/{name}             create or change, conditionally
//	DELETE /v1/objects/{kind}/{name}             delete, conditionally
//	GET    /v1/watch?after=N                     waits for a newer revision
//	GET    /v1/status                            what is in force and achieved
//	POST   /v1/drain                             stop this node gracefully
//
// A write is accepted when the platform has stored it; the answer gives the
// version. A write that loses a race gets a conflict with the object that won.
//
// # Usage
//
//	s := &server.Server{Board: board, Platform: p, Token: token}
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
	maxWatchWait = 30 * time.Second
	watchPoll    = 100 * time.Millisecond
	// HeaderOperator names who makes a change.
	HeaderOperator = "X-Operator"
)

var (
	accepted   = metrics.NewCounter(`marjorammoor_changes_total{outcome="accepted"}`)
	conflicts  = metrics.NewCounter(`marjorammoor_changes_total{outcome="conflict"}`)
	invalid    = metrics.NewCounter(`marjorammoor_changes_total{outcome="invalid"}`)
	notStored  = metrics.NewCounter(`marjorammoor_changes_total{outcome="not_stored"}`)
	undecided  = metrics.NewCounter(`marjorammoor_changes_total{outcome="unknown"}`)
	readBacks  = metrics.NewCounter(`marjorammoor_changes_read_back_total`)
	badOpToken = metrics.NewCounter(`marjorammoor_admin_refused_total{reason="bad_token"}`)
)

// Server serves operators. Set Board and Platform before use.
type Server struct {
	Board    *recorder.Board
	Platform *client.Client
	// Token authenticates operators; empty allows all.
	Token string
	// Ready reports whether the node can serve callers.
	Ready func() bool
	// Drain stops the node gracefully.
	Drain func()
	// Status describes the node and the system.
	Status func() Status
}

// Failure is the body of an answer to a change that was not accepted.
type Failure struct {
	Error string `json:"error"`
	// Reason is "invalid", "conflict", "not_found", "platform_unavailable" or
	// "unknown".
	Reason string `json:"reason"`
	// Stored is the object that is stored now, after a conflict.
	Stored *parser.Object `json:"stored,omitempty"`
}

// Handler returns the operators' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.Get("/readyz", s.ready)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	r.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get("/v1/objects/{kind}", s.list)
		r.Get("/v1/objects/{kind}/{name}", s.get)
		r.Put("/v1/objects/{kind}/{name}", s.put)
		r.Delete("/v1/objects/{kind}/{name}", s.remove)
		r.Get("/v1/watch", s.watch)
		r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.Status()) })
		r.Post("/v1/drain", s.drain)
	})
	return r
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Token != "" && !authenticator.Equal(authenticator.Bearer(r), s.Token) {
			badOpToken.Inc()
			answer(w, http.StatusUnauthorized, Failure{Error: "wrong or missing token", Reason: "unauthorized"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, value any) {
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
	answer(w, http.StatusAccepted, struct{}{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list := s.Board.Objects(parser.Kind(chi.URLParam(r, "kind")))
	slices.SortFunc(list, func(a, b parser.Object) int { return strings.Compare(a.Name, b.Name) })
	answer(w, http.StatusOK, client.ObjectList{Revision: s.Board.Revision(), Objects: list})
}

func key(r *http.Request) parser.Key {
	return parser.Key{Kind: parser.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, ok := s.Board.Object(key(r))
	if !ok {
		answer(w, http.StatusNotFound, Failure{Error: key(r).String() + " does not exist", Reason: "not_found"})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
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
		invalid.Inc()
		answer(w, http.StatusBadRequest, Failure{Error: err.Error(), Reason: "invalid"})
		return
	}
	s.store(w, r, change, s.Platform.Put)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	change, err := parseChange(r)
	if err != nil || change.IfVersion == client.MustNotExist {
		invalid.Inc()
		answer(w, http.StatusBadRequest, Failure{Error: "If-Match: expected the version to delete", Reason: "invalid"})
		return
	}
	s.store(w, r, change, s.Platform.Delete)
}

func parseChange(r *http.Request) (client.Write, error) {
	c := client.Write{Key: key(r), ChangeID: uuid.NewString(), ChangedBy: r.Header.Get(HeaderOperator)}
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

type writeFunc func(ctx context.Context, class client.Class, w client.Write) (*parser.Object, error)

// store writes a change and tells the operator how it ended.
func (s *Server) store(w http.ResponseWriter, r *http.Request, c client.Write, write writeFunc) {
	o, err := write(r.Context(), client.ClassOperator, c)
	if client.IsUnknown(err) {
		o, err = s.readBack(r.Context(), c, err)
	}
	switch {
	case err == nil:
		accepted.Inc()
		s.Board.Learn(*o)
		answer(w, http.StatusOK, o)
	case trace.IsCompareFailed(err):
		conflicts.Inc()
		f := Failure{Error: "the object was changed by somebody else", Reason: "conflict"}
		if stored, err := s.Platform.Get(r.Context(), client.ClassOperator, c.Key); err == nil {
			f.Stored = stored
		}
		answer(w, http.StatusConflict, f)
	case trace.IsNotFound(err):
		answer(w, http.StatusNotFound, Failure{Error: err.Error(), Reason: "not_found"})
	case client.IsUnknown(err):
		undecided.Inc()
		answer(w, http.StatusGatewayTimeout, Failure{
			Error: "the platform's answer was lost; read the object before trying again", Reason: "unknown", Stored: o,
		})
	default:
		notStored.Inc()
		answer(w, http.StatusServiceUnavailable, Failure{Error: "nothing was changed: " + err.Error(), Reason: "platform_unavailable"})
	}
}

// readBack finds out whether a write whose answer was lost took effect.
func (s *Server) readBack(ctx context.Context, c client.Write, cause error) (*parser.Object, error) {
	readBacks.Inc()
	o, err := s.Platform.Get(ctx, client.ClassOperator, c.Key)
	isDelete := c.Body == nil
	switch {
	case err == nil && o.ChangeID == c.ChangeID:
		return o, nil
	case err == nil && o.Version != c.IfVersion:
		// Somebody else has written since, possibly on top of this change.
		return o, cause
	case trace.IsNotFound(err) && isDelete:
		return &parser.Object{Kind: c.Key.Kind, Name: c.Key.Name, Version: c.IfVersion, Deleted: true}, nil
	default:
		// A write that has not arrived yet may still take effect.
		return nil, cause
	}
}

// watch waits until the node's revision passes the one given.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, Failure{Error: "after: expected a revision", Reason: "invalid"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxWatchWait)
	defer cancel()
	t := time.NewTicker(watchPoll)
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
	answer(w, http.StatusOK, client.ObjectList{Revision: u.To, Objects: u.Objects})
}
