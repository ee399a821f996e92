package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// runnerSlots is the number of requests that a runner works on at once, as on the sheet of
// pdca-reminders.
const runnerSlots = 17

// runner is a stand-in of a runner of a service without models.
type runner struct {
	id, service, zone string
	work              time.Duration
	// runs counts the requests that all runners of the case have begun.
	runs *atomic.Int64
	// begin, if set, is called when a request begins to run. If it returns false, the runner ends.
	begin func(q *http.Request) (goesOn bool)

	address   string
	born      int64
	isLeaving atomic.Bool
	server    *http.Server
}

// start listens at a free port and writes the runner's entry.
func (r *runner) start(s *store) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start %s: %w", r.id, err)
	}
	r.address, r.born = l.Addr().String(), time.Now().UnixMilli()
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }()
	s.put("servers", r.id, r.entry())
	return nil
}

// drain reports in the store and from then on in all answers that the runner leaves.
func (r *runner) drain(s *store) {
	r.isLeaving.Store(true)
	s.put("servers", r.id, r.entry())
}

// end ends the runner after it has left, with all its connections.
func (r *runner) end(s *store) {
	s.remove("servers", r.id)
	_ = r.server.Close()
}

// entry is what the runner writes into the store about itself.
func (r *runner) entry() map[string]any {
	state := "ready"
	if r.isLeaving.Load() {
		state = "draining"
	}
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "batch_slots": runnerSlots,
		"state": state, "cold_remaining_ms": 0, "sequence": 0, "born": r.born,
	}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	id := q.Header.Get("Marjorammoor-Attempt-Id")
	if id != "" {
		h.Set("Marjorammoor-Attempt-Id", id)
	}
	if r.isLeaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	expected := q.Header.Get("Marjorammoor-Expect-Instance")
	switch {
	case expected != "" && expected != r.id:
		h.Set("Marjorammoor-Instance-Id", r.id)
		h.Set("Marjorammoor-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case q.URL.Path == "/healthz", q.URL.Path == "/marjorammoor/report":
		h.Set("Marjorammoor-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	case id == "":
		h.Set("Marjorammoor-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.runs.Add(1)
	if r.begin != nil && !r.begin(q) {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	body := fmt.Sprintf("%s ran %s\n", r.id, id)
	h.Set("Marjorammoor-Response-Signature", "s."+r.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, body)
}
