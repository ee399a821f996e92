package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	kind, name string
	revision   int64
	created    int64
	spec       json.RawMessage
}

// change is an event of a watch.
type change struct {
	revision int64
	object   object
	deleted  bool
}

// store is a stand-in of the platform's store. It serves the calls that PROTOCOL names for
// objects, answers linearizably and loses nothing.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]*object
	changes  []change
	changed  chan struct{}
	server   *http.Server
}

func newStore() *store {
	return &store{objects: map[string]*object{}, changed: make(chan struct{})}
}

// start listens at a free port and returns the address.
func (s *store) start() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

// put creates or replaces an object, as its writer does.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, b)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *store) set(kind, name string, spec json.RawMessage) *object {
	key := kind + "/" + name
	old := s.objects[key]
	if old != nil && string(old.spec) == string(spec) {
		return old
	}
	s.revision++
	o := &object{kind: kind, name: name, revision: s.revision, created: s.revision, spec: spec}
	if old != nil {
		o.created = old.created
	}
	s.objects[key] = o
	s.record(change{revision: s.revision, object: *o})
	return o
}

func (s *store) drop(kind, name string) bool {
	old := s.objects[kind+"/"+name]
	if old == nil {
		return false
	}
	delete(s.objects, kind+"/"+name)
	s.revision++
	gone := *old
	gone.revision = s.revision
	s.record(change{revision: s.revision, object: gone, deleted: true})
	return true
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (o *object) json() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deletion_pending": false},
		"spec":     o.spec, "status": nil,
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/marjorammoor/objects/")
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("subscription"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	entries, at := []any{}, s.revision
	names := []string{}
	for key := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	for _, key := range names {
		entries = append(entries, s.objects[key].json())
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "at": max(at, 1)})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind+"/"+name]
	s.mu.Unlock()
	if o == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o.json())
}

// watch returns the changes after a revision as soon as there is one, or none after the wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("subscription"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_timeout_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		events, at, changed := []any{}, s.revision, s.changed
		for _, c := range s.changes {
			if c.revision > since && c.object.kind == kind {
				events = append(events, map[string]any{"resource": c.object.json(), "deleted": c.deleted})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": max(at, 1)})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	in := struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}{}
	_ = json.NewDecoder(r.Body).Decode(&in)
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && old != nil:
		reply(w, http.StatusConflict, old.json())
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.set(kind, name, in.Spec).json())
	case old == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case in.Metadata.Revision != 0 && in.Metadata.Revision != old.revision:
		reply(w, http.StatusConflict, old.json())
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.set(kind, name, in.Spec).json())
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusMethodNotAllowed, map[string]any{})
	}
}
