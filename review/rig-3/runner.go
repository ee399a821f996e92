package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	runnerSlots = 6
	// workTime is how long a runner works on a request.
	workTime = 15 * time.Millisecond
	// restartTime is how long a runner is away that has crashed.
	restartTime = 2500 * time.Millisecond
)

// arrival is a request that has reached a runner.
type arrival struct {
	at         time.Time
	runner, id string
	body       string
}

// runner stands in for a runner without models. It crashes when it begins to run a request with
// the body crashBody.
type runner struct {
	world   *world
	id      string
	address string

	mu        sync.Mutex
	server    *http.Server
	sequence  int
	starts    int
	isCrashed bool
	arrivals  []arrival
}

// start listens and writes the entry.
func (r *runner) start() error {
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.starts++
	r.isCrashed = false
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	entry, err := json.Marshal(map[string]any{
		"service": "desk", "address": r.address, "zone": "east", "version": "v1", "batch_slots": runnerSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	r.world.store.put("servers", r.id, entry, 0, false)
	return nil
}

// crash ends the runner and starts it again later under its ID.
func (r *runner) crash() {
	r.mu.Lock()
	isFirst := !r.isCrashed
	r.isCrashed = true
	server := r.server
	r.mu.Unlock()
	if !isFirst {
		return
	}
	_ = server.Close()
	r.world.record.note("runner %s has crashed", r.id)
	r.world.recordCrash()
	time.AfterFunc(restartTime, func() {
		if err := r.start(); err != nil {
			r.world.record.note("runner %s cannot start again: %v", r.id, err)
		}
	})
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(attemptHeader)
	if id != "" {
		w.Header().Set(attemptHeader, id)
	}
	if expected := q.Header.Get("Marjorammoor-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Marjorammoor-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/healthz":
		w.Header().Set("Marjorammoor-Instance-Id", r.id)
		return
	case q.URL.Path == "/marjorammoor/report":
		answer(w, http.StatusOK, map[string]any{"phase": "combined", "models": []string{}, "busy": false, "sequence": 0, "queued": 0, "active": 0})
		return
	case id == "":
		w.Header().Set("Marjorammoor-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.sequence++
	number := r.sequence
	r.arrivals = append(r.arrivals, arrival{at: time.Now(), runner: r.id, id: id, body: string(body)})
	r.mu.Unlock()
	if string(body) == crashBody {
		r.world.record.note("request %s has reached runner %s and crashes it", id, r.id)
		time.Sleep(r.world.crashDelay)
		r.crash()
		return
	}
	time.Sleep(workTime)
	w.Header().Set("Marjorammoor-Response-Signature", fmt.Sprintf("%s.%d", r.id, number))
	_, _ = fmt.Fprintf(w, "done by %s", r.id)
}

// arrived returns the requests that have reached the runner.
func (r *runner) arrived() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival{}, r.arrivals...)
}
