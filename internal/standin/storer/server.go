package storer

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
)

const maxValueBytes = 1 << 20

// Faults are the platform's faults that a test or an operator can switch on.
type Faults struct {
	// Outage closes each connection without an answer.
	Outage bool `json:"outage"`
	// Refuse answers each call with 503.
	Refuse bool `json:"refuse"`
	// SlowMS delays each answer.
	SlowMS int `json:"slow_ms"`
	// LoseWriteAnswers closes the connection after a write took effect.
	LoseWriteAnswers bool `json:"lose_write_answers"`
	// StaleRevisions makes snapshots and watches as old as so many revisions.
	StaleRevisions int64 `json:"stale_revisions"`
	// ListLagMS is the age of the list of VMs.
	ListLagMS int `json:"list_lag_ms"`
}

// Counts are the calls that the platform received.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// Server serves a Store over HTTP. The zero value is ready.
type Server struct {
	Store Store
	// ReadsPerSecond and WritesPerSecond bound the calls; 0 means 2000 and 400.
	ReadsPerSecond, WritesPerSecond float64

	mu     sync.Mutex
	faults Faults
	vms    map[string]client.VM
	lists  []datedList

	reads, writes                               *rate.Limiter
	readCount, writeCount, watchCount, refusals atomic.Int64
}

type datedList struct {
	at   time.Time
	list client.VMList
}

const (
	defaultReads  = 2000
	defaultWrites = 400
	keptLists     = 256
)

// Handler returns the platform's HTTP interface.
func (s *Server) Handler() http.Handler {
	s.reads = limiter(s.ReadsPerSecond, defaultReads)
	s.writes = limiter(s.WritesPerSecond, defaultWrites)
	r := chi.NewRouter()
	r.Post("/control", s.control)
	r.Get("/control", s.report)
	r.Get("/control/changes", s.changes)
	r.Post("/control/drop_changes", func(http.ResponseWriter, *http.Request) { s.Store.DropChanges() })
	r.Put("/control/vms/{name}", s.putVM)
	r.Delete("/control/vms/{name}", s.deleteVM)
	r.Group(func(r chi.Router) {
		r.Use(s.faulty)
		r.Get("/v1/objects/{kind}/{name}", s.get)
		r.Put("/v1/objects/{kind}/{name}", s.put)
		r.Delete("/v1/objects/{kind}/{name}", s.remove)
		r.Get("/v1/objects/{kind}", s.list)
		r.Get("/v1/snapshot", s.snapshot)
		r.Get("/v1/watch", s.watch)
		r.Get("/v1/vms", s.listVMs)
	})
	return r
}

func limiter(perSecond, otherwise float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = otherwise
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetVM adds a VM to the list or changes it.
func (s *Server) SetVM(v client.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vms == nil {
		s.vms = map[string]client.VM{}
	}
	s.vms[v.Name] = v
	s.keepList()
}

// RemoveVM takes a VM off the list.
func (s *Server) RemoveVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, name)
	s.keepList()
}

func (s *Server) keepList() {
	l := client.VMList{Revision: int64(len(s.lists) + 1)}
	if n := len(s.lists); n > 0 {
		l.Revision = s.lists[n-1].list.Revision + 1
	}
	for _, v := range s.vms {
		l.VMs = append(l.VMs, v)
	}
	slices.SortFunc(l.VMs, func(a, b client.VM) int { return strings.Compare(a.Name, b.Name) })
	s.lists = append(s.lists, datedList{at: time.Now(), list: l})
	if len(s.lists) > keptLists {
		s.lists = slices.Clone(s.lists[len(s.lists)-keptLists:])
	}
}

// laggedList returns the newest list that is at least as old as the lag.
func (s *Server) laggedList() client.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-time.Duration(s.faults.ListLagMS) * time.Millisecond)
	for i := len(s.lists) - 1; i >= 0; i-- {
		if !s.lists[i].at.After(limit) {
			return s.lists[i].list
		}
	}
	return client.VMList{}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// faulty applies the faults and the rate limits to a call.
func (s *Server) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
		isWrite := r.Method != http.MethodGet
		if f.Outage {
			hangUp()
		}
		if f.Refuse || !s.admit(r) {
			s.refusals.Add(1)
			status := http.StatusTooManyRequests
			if f.Refuse {
				status = http.StatusServiceUnavailable
			}
			http.Error(w, "refused", status)
			return
		}
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		if isWrite && f.LoseWriteAnswers {
			next.ServeHTTP(&discarder{}, r)
			hangUp()
		}
		next.ServeHTTP(w, r)
	})
}

// hangUp closes the caller's connection without an answer.
func hangUp() { panic(http.ErrAbortHandler) }

type discarder struct{ header http.Header }

// Header returns headers that are never sent.
func (d *discarder) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}

// Write drops p.
func (d *discarder) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d *discarder) WriteHeader(int) {}

func (s *Server) admit(r *http.Request) bool {
	switch {
	case r.Method != http.MethodGet:
		s.writeCount.Add(1)
		return s.writes.Allow()
	case r.URL.Path == "/v1/watch":
		s.watchCount.Add(1)
	default:
		s.readCount.Add(1)
	}
	return s.reads.Allow()
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Store.Get(key(r))
	answer(w, o, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(body) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	o := object(r)
	o.Body = body
	v, err := ifVersion(r)
	if err != nil {
		answer(w, o, err)
		return
	}
	stored, err := s.Store.Put(o, v)
	answer(w, stored, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	v, err := ifVersion(r)
	if err != nil {
		answer(w, parser.Object{}, err)
		return
	}
	stored, err := s.Store.Delete(object(r), v)
	answer(w, stored, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kinds := []parser.Kind{parser.Kind(chi.URLParam(r, "kind"))}
	l := client.ObjectList{}
	l.Objects, l.Revision = s.Store.List(kinds, r.URL.Query().Get("prefix"))
	answer(w, l, nil)
}

func (s *Server) snapshot(w http.ResponseWriter, _ *http.Request) {
	l := client.ObjectList{}
	if behind := s.currentFaults().StaleRevisions; behind > 0 {
		l.Objects, l.Revision = s.Store.ListAt(parser.ConfigKinds, behind)
	} else {
		l.Objects, l.Revision = s.Store.List(parser.ConfigKinds, "")
	}
	answer(w, l, nil)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		answer(w, nil, trace.BadParameter("after: expected a revision"))
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		changes, revision, changed, err := s.Store.Changes(after)
		changes, revision = hideNewest(changes, revision, s.currentFaults().StaleRevisions)
		if err != nil || len(changes) > 0 {
			answer(w, client.ObjectList{Revision: revision, Objects: changes}, err)
			return
		}
		select {
		case <-changed:
		case <-expired:
			answer(w, client.ObjectList{Revision: revision, Objects: []parser.Object{}}, nil)
			return
		case <-r.Context().Done():
			return
		}
		if s.currentFaults().Outage {
			hangUp()
		}
	}
}

// hideNewest drops the changes of the newest revisions.
func hideNewest(changes []parser.Object, revision, hidden int64) ([]parser.Object, int64) {
	revision -= hidden
	return slices.DeleteFunc(changes, func(o parser.Object) bool { return o.Version > revision }), revision
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	l := s.laggedList()
	if r.URL.Query().Get("after") == strconv.FormatInt(l.Revision, 10) {
		answer(w, client.VMList{Revision: l.Revision, Unchanged: true}, nil)
		return
	}
	wanted := r.URL.Query().Get("data_center")
	vms := []client.VM{}
	for _, v := range l.VMs {
		if wanted == "" || v.DataCenter == wanted || v.Role == client.RoleEntry {
			vms = append(vms, v)
		}
	}
	answer(w, client.VMList{Revision: l.Revision, VMs: vms}, nil)
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Counts(), nil)
}

// changes answers with all changes of configuration and assignments.
func (s *Server) changes(w http.ResponseWriter, _ *http.Request) {
	answer(w, client.ObjectList{Objects: s.Store.History()}, nil)
}

// Counts returns the calls received so far.
func (s *Server) Counts() Counts {
	return Counts{
		Reads: s.readCount.Load(), Writes: s.writeCount.Load(),
		Watches: s.watchCount.Load(), Refused: s.refusals.Load(),
	}
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	v := client.VM{}
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.Name = chi.URLParam(r, "name")
	s.SetVM(v)
}

func (s *Server) deleteVM(_ http.ResponseWriter, r *http.Request) {
	s.RemoveVM(chi.URLParam(r, "name"))
}

func key(r *http.Request) parser.Key {
	return parser.Key{Kind: parser.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
}

func object(r *http.Request) parser.Object {
	k := key(r)
	return parser.Object{
		Kind: k.Kind, Name: k.Name,
		ChangeID:  r.Header.Get("X-Change-Id"),
		ChangedBy: r.Header.Get("X-Changed-By"),
	}
}

func ifVersion(r *http.Request) (int64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return client.MustNotExist, nil
	}
	v, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil || v == client.MustNotExist {
		return 0, trace.BadParameter("If-Match: expected a version")
	}
	return v, nil
}

func answer(w http.ResponseWriter, value any, err error) {
	w.Header().Set("Content-Type", "application/json")
	switch {
	case err == nil:
	case trace.IsNotFound(err):
		w.WriteHeader(http.StatusNotFound)
	case trace.IsCompareFailed(err):
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
	if err != nil {
		_, _ = io.WriteString(w, err.Error())
		return
	}
	_ = json.NewEncoder(w).Encode(value)
}
