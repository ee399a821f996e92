package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// groupSize is the number of runners of a group, and loadTime, warmTime and rejoinTime are how
	// long a join takes, by what the host and the runner hold.
	groupSize  = 2
	loadTime   = 2 * time.Second
	warmTime   = 300 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	openTime   = 50 * time.Millisecond
	// firstEventTime is the time until the first event of an answer, and eventTime that between two.
	firstEventTime = 60 * time.Millisecond
	eventTime      = 20 * time.Millisecond
	eventCount     = 8
	modelName      = "m0"
)

// membership is a runner's part in a group.
type membership struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// order is the body of an order.
type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        int64    `json:"epoch"`
	ModelID      string   `json:"model_id"`
	Participants []string `json:"participants"`
	FencingToken int64    `json:"fencing_token"`
}

// modelRunner is a stand-in of a runner of a service with models. It holds its address and what its
// host has staged when it starts again.
type modelRunner struct {
	id, zone, domain, address string
	store                     *store
	// begin is called when a request begins to run. If it returns false, the runner ends.
	begin func(r *modelRunner, id, body string) (goesOn bool)

	mu       sync.Mutex
	staged   string
	isAlive  bool
	born     int64
	group    *membership
	members  []string
	last     string
	epoch    int64
	fence    int64
	sequence int64
	server   *http.Server
}

// addModelRunners starts the runners of a number of domains in each zone.
func addModelRunners(s *store, domains, runners int, begin func(r *modelRunner, id, body string) bool) error {
	for _, zone := range []string{"charlotte", "atlanta", "knoxville"} {
		for i := range domains {
			for j := range runners {
				r := &modelRunner{id: fmt.Sprintf("i-%s-%d%02d", zone, i, j), zone: zone, domain: fmt.Sprintf("%s-d%d", zone, i), store: s, begin: begin}
				if err := r.start(); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// start begins a new life of the runner, at the address that it had.
func (r *modelRunner) start() error {
	at := r.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return fmt.Errorf("start %s: %w", r.id, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address, r.born, r.isAlive = l.Addr().String(), time.Now().UnixMilli(), true
	r.group, r.members, r.last, r.epoch, r.fence, r.sequence = nil, nil, "", 0, 0, 0
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	server := r.server
	go func() { _ = server.Serve(l) }()
	r.publish()
	return nil
}

// crash ends the life of the runner at once, and reports whether it was alive.
func (r *modelRunner) crash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isAlive {
		return false
	}
	r.isAlive = false
	server := r.server
	go func() { _ = server.Close() }()
	return true
}

// publish writes the runner's entry. r.mu must be held.
func (r *modelRunner) publish() {
	e := r.report()
	e["service"], e["address"], e["zone"], e["version"], e["state"] = "pool", r.address, r.zone, "v1", "ready"
	e["batch_slots"], e["cold_remaining_ms"], e["failure_domain"], e["sequence"] = runnerSlots, 0, r.domain, r.sequence
	e["preloaded"] = []string{}
	if r.staged != "" {
		e["preloaded"] = []string{r.staged}
	}
	r.store.put("servers", r.id, e)
}

// report returns what the runner says of itself. r.mu must be held.
func (r *modelRunner) report() map[string]any {
	models := []any{}
	if r.group != nil && r.group.State != "joining" {
		models = append(models, map[string]any{"name": modelName, "version": 1, "adapter_ids": []string{}})
	}
	e := map[string]any{"phase": "combined", "models": models, "busy": false, "sequence": r.sequence, "born": r.born}
	if r.group != nil {
		e["group"] = *r.group
	}
	return e
}

// after changes the runner later, if it is still in the same life and part of the same group.
func (r *modelRunner) after(d time.Duration, change func()) {
	born, group := r.born, r.group
	time.AfterFunc(d, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.isAlive && r.born == born && r.group == group {
			change()
			r.publish()
		}
	})
}

// obey carries an order out and returns the status of the answer.
func (r *modelRunner) obey(o *order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.FencingToken < r.fence || o.Operation == "join" && o.Epoch < r.epoch {
		return http.StatusPreconditionFailed
	}
	r.fence = o.FencingToken
	isOwn := r.group != nil && r.group.Name == o.Group && r.group.Epoch == o.Epoch
	switch o.Operation {
	case "phase":
		return r.stage(o)
	case "join":
		return r.join(o, isOwn)
	case "open":
		return r.open(isOwn)
	case "close":
		if !isOwn || r.group.State != "open" {
			return http.StatusConflict
		}
		r.group.State = "ready"
	case "leave":
		if isOwn {
			r.group, r.members = nil, nil
		}
	default:
		return http.StatusBadRequest
	}
	r.sequence++
	r.publish()
	return http.StatusOK
}

func (r *modelRunner) stage(o *order) int {
	if r.staged == o.ModelID {
		return http.StatusOK
	}
	r.sequence++
	born := r.born
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.isAlive && r.born == born {
			r.staged = o.ModelID
			r.publish()
		}
	})
	return http.StatusAccepted
}

func (r *modelRunner) join(o *order, isOwn bool) int {
	if isOwn && slices.Equal(r.members, o.Participants) {
		return http.StatusOK
	}
	if isOwn {
		return http.StatusPreconditionFailed
	}
	wait := loadTime
	switch {
	case r.last == o.ModelID:
		wait = rejoinTime
	case r.staged == o.ModelID:
		wait = warmTime
	}
	r.sequence++
	r.epoch, r.members = o.Epoch, o.Participants
	r.group = &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Participants, r.id), State: "joining"}
	r.publish()
	r.after(wait, func() { r.group.State, r.last, r.staged = "ready", o.ModelID, o.ModelID })
	return http.StatusAccepted
}

func (r *modelRunner) open(isOwn bool) int {
	switch {
	case isOwn && r.group.State == "open":
		return http.StatusOK
	case !isOwn || r.group.Rank != 0 || r.group.State != "ready":
		return http.StatusConflict
	}
	r.sequence++
	r.after(openTime, func() { r.group.State = "open" })
	return http.StatusAccepted
}

// ServeHTTP implements http.Handler.
func (r *modelRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	id := q.Header.Get("Marjorammoor-Attempt-Id")
	if id != "" {
		h.Set("Marjorammoor-Attempt-Id", id)
	}
	if e := q.Header.Get("Marjorammoor-Expect-Instance"); e != "" && e != r.id {
		h.Set("Marjorammoor-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/marjorammoor/order":
		o := &order{}
		if err := json.NewDecoder(q.Body).Decode(o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(r.obey(o))
	case "/marjorammoor/report":
		r.mu.Lock()
		b, err := json.Marshal(r.report())
		r.mu.Unlock()
		if err != nil {
			panic(err)
		}
		h.Set("Content-Type", "application/json")
		_, _ = w.Write(b)
	case "/healthz":
		h.Set("Marjorammoor-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	default:
		r.serve(w, q, id)
	}
}

// serve answers a request with a stream, if the runner is the head of an open group.
func (r *modelRunner) serve(w http.ResponseWriter, q *http.Request, id string) {
	r.mu.Lock()
	isHead := r.group != nil && r.group.Rank == 0
	isOpen := isHead && r.group.State == "open"
	r.mu.Unlock()
	if !isOpen || id == "" {
		w.Header().Set("Marjorammoor-Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if !isHead {
			status = http.StatusMisdirectedRequest
		}
		w.WriteHeader(status)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	time.Sleep(firstEventTime)
	if !r.begin(r, id, string(body)) {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Marjorammoor-Response-Signature", "s."+r.id+"."+id)
	h.Set("Marjorammoor-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := range eventCount {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}
