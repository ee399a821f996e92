package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The case departures: runners leave and new ones come, over and over, while the load stays the
// same. Each machine has to go on taking connections.

const (
	departureRunners = 60
	// departureWork is the time of a request at its runner, about that of a stream on the sheet.
	departureWork = 2 * time.Second
	// keptClients is the number of clients of a machine that keep a connection open, each with a
	// request every departureInterval.
	keptClients       = 900
	departureInterval = 3800 * time.Millisecond
	departurePatience = 4 * time.Second
	// departureTime is how long the load lasts, and quietTime how long before the first runner leaves.
	departureTime = 104 * time.Second
	quietTime     = 5 * time.Second
	// scaleInPeriod is the time between two departures of scaleInRunners, a quarter of all. Beside
	// that one runner is replaced each second.
	scaleInPeriod  = 5
	scaleInRunners = departureRunners / 4
	// drainTime is how long a runner serves after it has reported that it leaves: drain_timeout_ms
	// and the time of the requests that it has.
	drainTime = 4500 * time.Millisecond
	// newClients is the number of clients of a machine that open a connection each second. Each
	// allows its request connectPatience to be read.
	newClients      = 10
	connectPatience = time.Second
	// stabilityWindow and minClients are those of the rule.
	stabilityWindow = 3 * time.Second
	minClients      = 7
)

// caseHost is the host of all routes.
const caseHost = "app.example"

// departureConfig is a configuration with one public route to one service.
func departureConfig() map[string]any {
	route := map[string]any{
		"name": "r-a", "hostname": caseHost, "path_prefix": "/a/", "type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 3000,
		"priority": 2, "service": "app", "max_attempts": 2, "public": true, "session_affinity": false, "resumable": false,
	}
	return map[string]any{
		"version": 1, "routes": []any{route},
		"services": []any{map[string]any{"name": "app", "health_check": "/healthz", "max_connections": 428}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"key1"}}},
	}
}

// pool is the runners of the case.
type pool struct {
	store *store
	live  []*runner
	next  int
	runs  atomic.Int64
}

func (p *pool) add(count int) error {
	for range count {
		zones := []string{"charlotte", "atlanta"}
		r := &runner{id: fmt.Sprintf("i-%04d", p.next), service: "app", zone: zones[p.next%len(zones)], work: departureWork, runs: &p.runs}
		p.next++
		if err := r.start(p.store); err != nil {
			return err
		}
		p.live = append(p.live, r)
	}
	return nil
}

// replace adds new runners and has the oldest ones leave.
func (p *pool) replace(count int) error {
	if err := p.add(count); err != nil {
		return err
	}
	leaving := slices.Clone(p.live[:count])
	p.live = p.live[count:]
	for _, r := range leaving {
		r.drain(p.store)
	}
	time.AfterFunc(drainTime, func() {
		for _, r := range leaving {
			r.end(p.store)
		}
	})
	return nil
}

// connectTry is one attempt of a client to have a request read on a new connection.
type connectTry struct {
	client   int
	at       time.Time
	answered bool
}

// watch is what clients and the platform see of one machine.
type watch struct {
	node *node

	mu       sync.Mutex
	answers  map[string]int
	tries    []connectTry
	notReady []time.Time
}

func departures(r *record) (holds bool, err error) {
	s := newStore()
	address, err := s.start()
	if err != nil {
		return false, err
	}
	p := &pool{store: s}
	if err := p.add(departureRunners); err != nil {
		return false, err
	}
	s.put("config", "main", departureConfig())
	f, err := newFleet([]string{"charlotte", "atlanta"}, address)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(10 * time.Second); err != nil {
		return false, err
	}
	r.line("2 machines are ready, %d runners; each machine has %d clients with a request every %v; a request takes %v", departureRunners, keptClients, departureInterval, departureWork)
	ctx, stop := context.WithCancel(context.Background())
	watches := []*watch{}
	for _, n := range f.nodes {
		w := &watch{node: n, answers: map[string]int{}}
		watches = append(watches, w)
		go w.load(ctx)
		go w.askReady(ctx)
		for i := range newClients {
			go w.connect(ctx, r, i)
		}
	}
	err = play(r, p, watches)
	stop()
	if err != nil {
		return false, err
	}
	return judge(r, watches), nil
}

// play has runners leave until the time is over, or until the rule is broken at each machine.
func play(r *record, p *pool, watches []*watch) error {
	for second := 1; second <= int(departureTime/time.Second); second++ {
		time.Sleep(time.Second)
		if hasTrouble() && time.Duration(second)*time.Second >= quietTime {
			count := 1
			if second%scaleInPeriod == 0 {
				count += scaleInRunners
			}
			if err := p.replace(count); err != nil {
				return err
			}
		}
		isOver := true
		for _, w := range watches {
			r.line("%s: %d descriptors; answers in the last second: %s; runners came %d, runs in all %d", w.node.name, w.node.openFiles(), sum(w.takeAnswers()), p.next, p.runs.Load())
			_, broken := w.longestRefusal()
			isOver = isOver && broken
		}
		if isOver {
			return nil
		}
	}
	return nil
}

// judge reports for each machine the longest time in which it took no connection, and whether the
// rule held at all.
func judge(r *record, watches []*watch) bool {
	holds := true
	for _, w := range watches {
		gap, broken := w.longestRefusal()
		r.line("%s said that it is ready all the while, and took no new connection for %.1f s at most (%d clients tried, from %.1f s on): broken %t",
			w.node.name, gap.length.Seconds(), gap.clients, r.seconds(gap.from), broken)
		holds = holds && !broken
	}
	return holds
}

// refusal is a time in which no new connection was taken.
type refusal struct {
	from    time.Time
	length  time.Duration
	clients int
}

// longestRefusal returns the longest time between the starts of tries, all unanswered, in which the
// machine said that it was ready, and whether it breaks the rule.
func (w *watch) longestRefusal() (longest refusal, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tries := slices.SortedFunc(slices.Values(w.tries), func(x, y connectTry) int { return x.at.Compare(y.at) })
	clients := map[int]bool{}
	current := refusal{}
	for _, t := range tries {
		if t.answered || w.wasNotReady(current.from, t.at) {
			current, clients = refusal{}, map[int]bool{}
			continue
		}
		if current.from.IsZero() {
			current.from = t.at
		}
		clients[t.client] = true
		current.length, current.clients = t.at.Sub(current.from), len(clients)
		if current.length > longest.length {
			longest = current
		}
		broken = broken || current.length >= stabilityWindow && current.clients >= minClients
	}
	return longest, broken
}

func (w *watch) wasNotReady(from, to time.Time) bool {
	return slices.ContainsFunc(w.notReady, func(t time.Time) bool { return !from.IsZero() && t.After(from) && !t.After(to) })
}

func (w *watch) count(answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[answer]++
}

func (w *watch) takeAnswers() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	answers := w.answers
	w.answers = map[string]int{}
	return answers
}

var requestCount atomic.Int64

// request returns a request to the machine, with an ID of its own.
func (w *watch) request(ctx context.Context) *http.Request {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.node.frontend+"/a/x", nil)
	if err != nil {
		panic(err)
	}
	q.Host = caseHost
	q.Header.Set("Marjorammoor-Attempt-Id", fmt.Sprintf("%016x", requestCount.Add(1)))
	q.Header.Set("Marjorammoor-Deadline-Ms", strconv.FormatInt(departurePatience.Milliseconds(), 10))
	return q
}

// load sends the requests of the clients that keep their connections.
func (w *watch) load(ctx context.Context) {
	for range keptClients {
		go w.keep(ctx)
		time.Sleep(departureInterval / keptClients)
	}
}

// keep sends the requests of one client.
func (w *watch) keep(ctx context.Context) {
	c := &http.Client{Transport: &http.Transport{}}
	t := time.NewTicker(departureInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		w.send(ctx, c)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (w *watch) send(ctx context.Context, c *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, departurePatience)
	defer cancel()
	a, err := c.Do(w.request(ctx))
	if err != nil {
		w.count("none")
		return
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	w.count(strconv.Itoa(a.StatusCode))
}

// askReady asks the machine once a second whether it is ready, as the platform does.
func (w *watch) askReady(ctx context.Context) {
	c := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if at := time.Now(); !w.node.isReady(c) {
			w.mu.Lock()
			w.notReady = append(w.notReady, at)
			w.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// connect opens a new connection each second and sends a request. A machine that gives any answer
// within the work of the request has taken the connection.
func (w *watch) connect(ctx context.Context, r *record, client int) {
	time.Sleep(time.Duration(client) * time.Second / newClients)
	for ctx.Err() == nil {
		go w.try(ctx, r, client)
		time.Sleep(time.Second)
	}
}

func (w *watch) try(ctx context.Context, r *record, client int) {
	ctx, cancel := context.WithTimeout(ctx, departureWork+connectPatience)
	defer cancel()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	t := connectTry{client: client, at: time.Now()}
	a, err := c.Do(w.request(ctx))
	answer := "no answer"
	if err == nil {
		_ = a.Body.Close()
		answer, t.answered = strconv.Itoa(a.StatusCode), true
	}
	if ctx.Err() != nil && context.Cause(ctx) != context.DeadlineExceeded {
		return // the case has ended
	}
	r.write(fmt.Sprintf("%8.3f  %s: client %d opens a connection: %s", r.seconds(t.at), w.node.name, client, answer))
	w.mu.Lock()
	w.tries = append(w.tries, t)
	w.mu.Unlock()
}
