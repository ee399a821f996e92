package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPath = "/marjorammoor/objects/"

// meta is the metadata of a store object.
type meta struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"`
}

// object is an object of the store.
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// change is one entry of the store's history.
type change struct {
	kind    string
	object  object
	deleted bool
}

// event is a change as a watch returns it.
type event struct {
	Resource object `json:"resource"`
	Deleted  bool   `json:"deleted"`
}

// store is the platform's metadata store. Its calls are linearizable, and its history is
// never dropped.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put creates or replaces an object and returns it with the status of the answer.
func (s *store) put(kind string, o object, creates bool) (object, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case creates && exists:
		return old, http.StatusConflict
	case !creates && !exists:
		return old, http.StatusNotFound
	case !creates && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return old, http.StatusConflict
	case exists && string(old.Spec) == string(o.Spec):
		return old, http.StatusOK
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.append(change{kind: kind, object: o})
	return o, http.StatusOK
}

// set creates or replaces an object whatever its revision.
func (s *store) set(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	o := object{Metadata: meta{Name: name}, Spec: b}
	if _, status := s.put(kind, o, false); status == http.StatusNotFound {
		s.put(kind, o, true)
	}
}

// remove deletes an object and reports whether there was one.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.append(change{kind: kind, object: o, deleted: true})
	return true
}

// append adds a change to the history and wakes the watches. s.mu must be held.
func (s *store) append(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	if r.Method == http.MethodDelete {
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	in := object{}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, status := s.put(kind, in, r.Method == http.MethodPost)
	writeJSON(w, status, o)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	if since := query.Get("subscription"); since != "" {
		s.watch(w, r, kind, since, query.Get("wait_timeout_ms"))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
		return
	}
	list := []object{}
	for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if n > query.Get("after") {
			list = append(list, s.objects[kind][n])
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": list, "has_more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, since, wait string) {
	from, err := strconv.ParseInt(since, 10, 64)
	ms, waitErr := strconv.Atoi(wait)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for isWaiting := true; ; {
		events, at, changed := s.eventsAfter(kind, from)
		if len(events) > 0 || !isWaiting {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isWaiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes of a kind after a revision, the present revision, and a
// channel that is closed at the next change.
func (s *store) eventsAfter(kind string, from int64) ([]event, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []event{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Revision > from {
			events = append(events, event{Resource: c.object, Deleted: c.deleted})
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
