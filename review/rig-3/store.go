package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePath begins the paths of objects.
const storePath = "/marjorammoor/objects/"

// metadata is that of an object.
type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is one change.
type event struct {
	Deleted  bool   `json:"deleted"`
	Resource object `json:"resource"`

	kind     string
	revision int64
}

// store stands in for the platform's store. It is always up and keeps its whole history.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return s, nil
}

// put stores an object. It reports false if it has another revision than expected, unless that is 0.
func (s *store) put(kind, name string, spec []byte, expected int64, mustBeNew bool) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	if ok && mustBeNew || expected != 0 && old.Metadata.Revision != expected {
		return old, false
	}
	if ok && string(old.Spec) == string(spec) {
		return old, true
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.append(event{Resource: o, kind: kind, revision: s.revision})
	return o, true
}

// find returns an object.
func (s *store) find(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.revision++
	delete(s.objects[kind], name)
	s.append(event{Deleted: true, Resource: o, kind: kind, revision: s.revision})
	return true
}

// append adds a change to the history. s.mu must be held.
func (s *store) append(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, storePath), "/")
	in := object{}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("subscription"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && hasName:
		o, ok := s.find(kind, name)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodPost:
		o, ok := s.put(kind, in.Metadata.Name, in.Spec, 0, true)
		answerWrite(w, o, ok)
	case r.Method == http.MethodPut:
		o, ok := s.put(kind, name, in.Spec, in.Metadata.Revision, false)
		answerWrite(w, o, ok)
	case r.Method == http.MethodDelete && s.remove(kind, name):
		answer(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	entries := []object{}
	for _, o := range s.objects[kind] {
		entries = append(entries, o)
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(entries, func(x, y object) int { return strings.Compare(x.Metadata.Name, y.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("subscription"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_timeout_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answerWrite(w http.ResponseWriter, o object, ok bool) {
	if !ok {
		answer(w, http.StatusConflict, o)
		return
	}
	answer(w, http.StatusOK, o)
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
