package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// membership is a runner's place in a group.
type membership struct {
	name    string
	epoch   int64
	members string
}

// order is the body of an order.
type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        int64    `json:"epoch"`
	ModelID      string   `json:"model_id"`
	Participants []string `json:"participants"`
	CloseMode    string   `json:"close_mode"`
	FencingToken int64    `json:"fencing_token"`
}

// pool is the set of all runners. Its mutex guards their state.
type pool struct {
	mu      sync.Mutex
	record  *record
	store   *store
	config  *config
	runners map[string]*runner
}

// runner is a model runner as PROTOCOL.md describes it.
type runner struct {
	pool                      *pool
	id, zone, domain, address string
	link                      *link
	born                      int64

	staged, lastModel, model string
	membership               membership
	rank                     int
	state                    string
	// breaksAt is when the group of a head that has lost a member breaks, or zero.
	breaksAt time.Time
	maxEpoch int64
	fence    int64
	sequence int64
	active   int
	// isCutFromStore is set while the runner can't write its entry.
	isCutFromStore bool
}

func (p *pool) add(id, zone, domain, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r := &runner{pool: p, id: id, zone: zone, domain: domain, address: address, link: &link{Listener: l}, born: time.Now().UnixMilli()}
	p.mu.Lock()
	p.runners[id] = r
	p.mu.Unlock()
	go func() { _ = http.Serve(r.link, r) }()
	r.publish()
	return nil
}

// list returns the runners, ordered by ID.
func (p *pool) list() []*runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []*runner{}
	for _, id := range slices.Sorted(maps.Keys(p.runners)) {
		list = append(list, p.runners[id])
	}
	return list
}

// group returns the membership as the entry and the report tell it. pool.mu must be held.
func (r *runner) group() any {
	if r.membership.name == "" {
		return nil
	}
	return map[string]any{"name": r.membership.name, "epoch": r.membership.epoch, "rank": r.rank, "state": r.state}
}

func (r *runner) models() []any {
	if r.membership.name == "" || r.state == "joining" {
		return []any{}
	}
	return []any{map[string]any{"name": r.model, "version": 1, "adapter_ids": []string{}}}
}

// publish writes the runner's entry to the store.
func (r *runner) publish() {
	r.pool.mu.Lock()
	if r.isCutFromStore {
		r.pool.mu.Unlock()
		return
	}
	preloaded := []string{}
	if r.staged != "" {
		preloaded = append(preloaded, r.staged)
	}
	entry := map[string]any{
		"service": poolService, "address": r.address, "zone": r.zone, "version": "1", "batch_slots": batchSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born, "failure_domain": r.domain, "preloaded": preloaded,
		"phase": "combined", "models": r.models(), "group": r.group(),
	}
	r.pool.mu.Unlock()
	r.pool.store.set("servers", r.id, entry)
}

// cutFromStore partitions the runner from the store for a time. Its entry is removed after
// three heartbeat intervals of silence.
func (r *runner) cutFromStore(d time.Duration) {
	r.pool.mu.Lock()
	r.isCutFromStore = true
	r.pool.mu.Unlock()
	time.AfterFunc(min(entryLifetime, d), func() {
		r.pool.store.remove("servers", r.id)
		r.pool.record.write("entry of %s is removed", r.id)
	})
	time.AfterFunc(d, func() {
		r.pool.mu.Lock()
		r.isCutFromStore = false
		r.pool.mu.Unlock()
		r.publish()
		r.pool.record.write("%s reaches the store again", r.id)
	})
}

// restart has the runner crash and start again under its ID. It then knows nothing of before;
// its host keeps the staged weights.
func (r *runner) restart() {
	r.pool.mu.Lock()
	r.pool.record.write("%s of group %s crashes and starts again", r.id, r.membership.name)
	r.pool.loseMember(r, r.membership)
	r.born = time.Now().UnixMilli()
	r.membership, r.state, r.model, r.lastModel, r.breaksAt = membership{}, "", "", "", time.Time{}
	r.maxEpoch, r.fence, r.sequence = 0, 0, 0
	r.pool.mu.Unlock()
	r.publish()
}

// ServeHTTP answers an order, a report or a client's request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expect := q.Header.Get("Marjorammoor-Expect-Instance"); expect != "" && expect != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/marjorammoor/order":
		r.serveOrder(w, q)
	case "/marjorammoor/report":
		r.pool.mu.Lock()
		report := map[string]any{
			"phase": "combined", "models": r.models(), "group": r.group(), "born": r.born, "busy": r.state == "joining", "sequence": r.sequence,
			"queued": 0, "active": r.active, "kv_used_blocks": 0, "kv_total_blocks": 90000, "sessions": 0, "pace": 1,
		}
		r.pool.mu.Unlock()
		writeJSON(w, http.StatusOK, report)
	default:
		r.serveRequest(w, q)
	}
}

func (r *runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	o := order{}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.execute(o)
	r.pool.record.write("order %s to %s (group %s, epoch %d, model %s): %d", o.Operation, r.id, o.Group, o.Epoch, o.ModelID, status)
	r.publish()
	w.WriteHeader(status)
}

// execute carries an order out and returns the status of the answer.
func (r *runner) execute(o order) int {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if o.FencingToken < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = o.FencingToken
	isMember := r.membership.name == o.Group && r.membership.epoch == o.Epoch
	switch o.Operation {
	case "phase":
		if r.staged == o.ModelID {
			return http.StatusOK
		}
		r.sequence++
		r.stage(o.ModelID)
		return http.StatusAccepted
	case "join":
		return r.join(o)
	case "open":
		switch {
		case isMember && r.state == "open":
			return http.StatusOK
		case !isMember || r.rank != 0 || r.state != "ready":
			return http.StatusConflict
		}
		r.sequence++
		r.after(r.pool.config.formation(), func() { r.state = "open" })
		return http.StatusAccepted
	case "close":
		if !isMember || r.state != "open" {
			return http.StatusConflict
		}
		r.sequence++
		r.state = "ready"
		return http.StatusAccepted
	case "leave":
		if isMember {
			r.pool.loseMember(r, r.membership)
			r.sequence++
			r.membership, r.state, r.model, r.breaksAt = membership{}, "", "", time.Time{}
		}
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// stage loads the weights of a model onto the host. pool.mu must be held.
func (r *runner) stage(model string) {
	load, _ := r.pool.config.times(model)
	time.AfterFunc(load, func() {
		r.pool.mu.Lock()
		r.staged = model
		r.pool.mu.Unlock()
		r.publish()
	})
}

// join makes the runner a member of a group. pool.mu must be held.
func (r *runner) join(o order) int {
	next := membership{o.Group, o.Epoch, strings.Join(o.Participants, ",")}
	switch {
	case next == r.membership:
		return http.StatusOK
	case o.Epoch < r.maxEpoch, o.Group == r.membership.name && o.Epoch == r.membership.epoch:
		return http.StatusPreconditionFailed
	}
	if r.membership.name != "" {
		r.checkHead(next)
		r.pool.loseMember(r, r.membership)
	}
	r.maxEpoch = o.Epoch
	load, warm := r.pool.config.times(o.ModelID)
	wait := warm
	switch {
	case r.lastModel == o.ModelID:
		wait = rejoinTime
	case r.staged != o.ModelID:
		r.stage(o.ModelID)
		wait = load
	}
	r.membership, r.rank, r.model, r.lastModel = next, slices.Index(o.Participants, r.id), o.ModelID, o.ModelID
	r.state, r.breaksAt = "joining", time.Time{}
	r.sequence++
	r.after(wait, func() { r.state = "ready" })
	return http.StatusAccepted
}

// checkHead checks rule TWO when the runner takes a join of another group. pool.mu must be
// held.
func (r *runner) checkHead(next membership) {
	head := r.pool.runners[strings.Split(r.membership.members, ",")[0]]
	if head == nil || head.membership != r.membership || head.isBroken() {
		return
	}
	isStill := !head.breaksAt.IsZero() && (head.state == "open" || head.state == "closing")
	if head.state == "open" || head.state == "closing" || isStill {
		r.pool.record.fail("TWO", "%s takes a join of group %s while the head %s of its group %s is %s", r.id, next.name, head.id, r.membership.name, head.state)
	}
}

// isBroken reports whether the stall timeout has passed since the head lost a member.
// pool.mu must be held.
func (r *runner) isBroken() bool {
	return r.state == "broken" || !r.breaksAt.IsZero() && time.Now().After(r.breaksAt)
}

// loseMember has the head of a group stand still, which has lost a member. p.mu must be
// held.
func (p *pool) loseMember(lost *runner, m membership) {
	for _, r := range p.runners {
		if r == lost || r.rank != 0 || r.membership != m || !r.breaksAt.IsZero() || r.state == "" {
			continue
		}
		r.breaksAt = time.Now().Add(stallTimeout)
		r.after(stallTimeout, func() {
			r.state = "broken"
			p.record.write("group %s of %s is broken", m.name, r.id)
		})
	}
}

// after calls do after a time, unless the membership has changed by then, and publishes the
// entry. pool.mu must be held.
func (r *runner) after(wait time.Duration, do func()) {
	m := r.membership
	time.AfterFunc(wait, func() {
		r.pool.mu.Lock()
		if r.membership == m {
			do()
		}
		r.pool.mu.Unlock()
		r.publish()
	})
}

// admit takes a slot, or returns the status of the refusal.
func (r *runner) admit(model string) int {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	switch {
	case r.isBroken(), r.active >= batchSlots:
		return http.StatusServiceUnavailable
	case r.state != "open" || r.rank != 0 || r.model != model:
		return http.StatusMisdirectedRequest
	}
	r.active++
	return http.StatusOK
}

// serveRequest streams the answer to a client's request.
func (r *runner) serveRequest(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, id)
	if status := r.admit(q.Header.Get("Marjorammoor-Model-Id")); status != http.StatusOK {
		w.Header().Set("Marjorammoor-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		r.pool.mu.Lock()
		r.active--
		r.pool.mu.Unlock()
	}()
	r.pool.record.write("run %s at %s", id, r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Marjorammoor-Response-Signature", r.id+"."+id)
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= eventsPerAnswer; n++ {
		select {
		case <-time.After(eventInterval):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
