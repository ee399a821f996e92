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

// Faults are the platform faults that a test or an operator can inject.
type Faults struct {
	// Outage closes each connection without a response.
	Outage bool `json:"outage"`
	// Refuse responds to each call with status 503.
	Refuse bool `json:"refuse"`
	// SlowMS delays each response.
	SlowMS int `json:"slow_ms"`
	// LoseWriteAnswers applies each write and then closes the connection without a
	// response.
	LoseWriteAnswers bool `json:"lose_write_answers"`
	// StaleRevisions is how many revisions snapshots and watches are behind.
	StaleRevisions int64 `json:"stale_revisions"`
	// ListLagMS is the minimum age of the list of VMs.
	ListLagMS int `json:"list_lag_ms"`
}

// Counts are the numbers of calls that the platform received, and of those that it
// refused because of a rate limit or the Refuse fault.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// Server serves a Store over HTTP. The zero value is ready to use.
type Server struct {
	Store Store
	// ReadsPerSecond and WritesPerSecond limit the calls; 0 means 2000 and 400.
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
	maxLists      = 256
)

// Handler returns the platform's HTTP handler.
func (s *Server) Handler() http.Handler {
	s.reads = newLimiter(s.ReadsPerSecond, defaultReads)
	s.writes = newLimiter(s.WritesPerSecond, defaultWrites)
	r := chi.NewRouter()
	r.Post("/control", s.putFaults)
	r.Get("/control", s.getCounts)
	r.Get("/control/changes", s.listChanges)
	r.Post("/control/drop_changes", func(http.ResponseWriter, *http.Request) { s.Store.DropChanges() })
	r.Put("/control/vms/{name}", s.putVM)
	r.Delete("/control/vms/{name}", s.deleteVM)
	r.Group(func(r chi.Router) {
		r.Use(s.withFaults)
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

func newLimiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetVM adds a VM to the list or replaces it.
func (s *Server) SetVM(v client.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vms == nil {
		s.vms = map[string]client.VM{}
	}
	s.vms[v.Name] = v
	s.appendList()
}

// RemoveVM removes a VM from the list.
func (s *Server) RemoveVM(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, name)
	s.appendList()
}

// appendList saves the current VMs as the next revision of the list. The caller
// holds the lock.
func (s *Server) appendList() {
	l := client.VMList{Revision: int64(len(s.lists) + 1)}
	if n := len(s.lists); n > 0 {
		l.Revision = s.lists[n-1].list.Revision + 1
	}
	for _, v := range s.vms {
		l.VMs = append(l.VMs, v)
	}
	slices.SortFunc(l.VMs, func(a, b client.VM) int { return strings.Compare(a.Name, b.Name) })
	s.lists = append(s.lists, datedList{at: time.Now(), list: l})
	if len(s.lists) > maxLists {
		s.lists = slices.Clone(s.lists[len(s.lists)-maxLists:])
	}
}

// laggedList returns the newest list that is at least ListLagMS old.
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

// withFaults applies the injected faults and the rate limits to each call.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
		isWrite := r.Method != http.MethodGet
		if f.Outage {
			abortConnection()
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
			next.ServeHTTP(&discardWriter{}, r)
			abortConnection()
		}
		next.ServeHTTP(w, r)
	})
}

// abortConnection closes the client's connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }

// discardWriter is an http.ResponseWriter that drops the response.
type discardWriter struct{ header http.Header }

// Header returns headers that are never sent.
func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}

// Write drops p.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d *discardWriter) WriteHeader(int) {}

// admit counts a call and reports whether its rate limit allows it.
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
	o, err := s.Store.Get(requestKey(r))
	writeResponse(w, o, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(body) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	o := requestObject(r)
	o.Body = body
	v, err := ifVersion(r)
	if err != nil {
		writeResponse(w, o, err)
		return
	}
	stored, err := s.Store.Put(o, v)
	writeResponse(w, stored, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	v, err := ifVersion(r)
	if err != nil {
		writeResponse(w, parser.Object{}, err)
		return
	}
	stored, err := s.Store.Delete(requestObject(r), v)
	writeResponse(w, stored, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kinds := []parser.Kind{parser.Kind(chi.URLParam(r, "kind"))}
	l := client.ObjectList{}
	l.Objects, l.Revision = s.Store.List(kinds, r.URL.Query().Get("prefix"))
	writeResponse(w, l, nil)
}

func (s *Server) snapshot(w http.ResponseWriter, _ *http.Request) {
	l := client.ObjectList{}
	if lag := s.currentFaults().StaleRevisions; lag > 0 {
		l.Objects, l.Revision = s.Store.ListStale(parser.ConfigKinds, lag)
	} else {
		l.Objects, l.Revision = s.Store.List(parser.ConfigKinds, "")
	}
	writeResponse(w, l, nil)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeResponse(w, nil, trace.BadParameter("after: expected a revision"))
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		changes, revision, changed, err := s.Store.Changes(after)
		changes, revision = hideNewest(changes, revision, s.currentFaults().StaleRevisions)
		if err != nil || len(changes) > 0 {
			writeResponse(w, client.ObjectList{Revision: revision, Objects: changes}, err)
			return
		}
		select {
		case <-changed:
		case <-expired:
			writeResponse(w, client.ObjectList{Revision: revision, Objects: []parser.Object{}}, nil)
			return
		case <-r.Context().Done():
			return
		}
		if s.currentFaults().Outage {
			abortConnection()
		}
	}
}

// hideNewest removes the changes of the hidden newest revisions and returns the
// revision before them.
func hideNewest(changes []parser.Object, revision, hidden int64) ([]parser.Object, int64) {
	revision -= hidden
	return slices.DeleteFunc(changes, func(o parser.Object) bool { return o.Version > revision }), revision
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	l := s.laggedList()
	if r.URL.Query().Get("after") == strconv.FormatInt(l.Revision, 10) {
		writeResponse(w, client.VMList{Revision: l.Revision, Unchanged: true}, nil)
		return
	}
	dataCenter := r.URL.Query().Get("data_center")
	vms := []client.VM{}
	for _, v := range l.VMs {
		if dataCenter == "" || v.DataCenter == dataCenter || v.Role == client.RoleEntry {
			vms = append(vms, v)
		}
	}
	writeResponse(w, client.VMList{Revision: l.Revision, VMs: vms}, nil)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, s.Counts(), nil)
}

// listChanges responds with all changes of configuration and assignments.
func (s *Server) listChanges(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, client.ObjectList{Objects: s.Store.History()}, nil)
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

func requestKey(r *http.Request) parser.Key {
	return parser.Key{Kind: parser.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
}

func requestObject(r *http.Request) parser.Object {
	k := requestKey(r)
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

func writeResponse(w http.ResponseWriter, value any, err error) {
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
