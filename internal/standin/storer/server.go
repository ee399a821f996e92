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
