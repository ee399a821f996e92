package storer

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"marjorammoor/internal/objects/parser"
)

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

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
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

// hideNewest removes the changes of the hidden newest revisions and returns the
// revision before them.
func hideNewest(changes []parser.Object, revision, hidden int64) ([]parser.Object, int64) {
	revision -= hidden
	return slices.DeleteFunc(changes, func(o parser.Object) bool { return o.Version > revision }), revision
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
