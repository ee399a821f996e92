package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case crashes: one request crashes each runner that begins to run it. It comes at all machines
// within a moment, and again some seconds later.

const (
	// burstPeriod is the time between two moments at which the request comes, and burstCount their number.
	burstPeriod = 8 * time.Second
	burstCount  = 3
	// restartTime is the time after which a runner that has crashed is back, and lapseTime that
	// after which its former entry is removed: three heartbeat intervals.
	restartTime = 3 * time.Second
	lapseTime   = 3600 * time.Millisecond
	// spread is the time between the first and the last machine at which the request comes.
	spread = 30 * time.Millisecond
	// maxRetries is the number of retries that the rule allows.
	maxRetries = 3
	// soundInterval is the time between two sound requests to a machine.
	soundInterval = 200 * time.Millisecond
	badPath       = "/b/report"
	badBody       = "the same body each time"
)

// crashRoutes are the routes of the case.
func crashRoutes() []any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": caseHost, "path_prefix": prefix, "type": kind, "timeout_ms": 4000, "target_latency_ms": 300,
			"priority": 2, "service": "app", "max_attempts": 2, "public": false, "session_affinity": false, "resumable": false,
		}
	}
	return []any{route("r-a", "/a/", "idempotent"), route("r-b", "/b/", "non_idempotent")}
}

// arrival is the arrival of the bad request at a runner.
type arrival struct {
	runner string
	at     time.Time
}

// crashWorld is the runners of the case and what they have seen.
type crashWorld struct {
	record *record
	store  *store
	runs   atomic.Int64

	mu       sync.Mutex
	next     int
	arrivals []arrival
	crashes  []time.Time
}

// addRunner starts a runner of a zone under a new ID.
func (c *crashWorld) addRunner(zone string) error {
	c.mu.Lock()
	id := fmt.Sprintf("i-%04d", c.next)
	c.next++
	c.mu.Unlock()
	r := &runner{id: id, service: "app", zone: zone, work: 20 * time.Millisecond, runs: &c.runs}
	r.begin = func(q *http.Request) bool { return c.begin(r, q) }
	return r.start(c.store)
}

// begin records the bad request and crashes its runner, if that is the trouble.
func (c *crashWorld) begin(r *runner, q *http.Request) (goesOn bool) {
	if !strings.HasPrefix(q.URL.Path, badPath) {
		return true
	}
	at := time.Now()
	c.record.line("request %s begins to run at %s", q.Header.Get("Marjorammoor-Attempt-Id"), r.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, arrival{runner: r.id, at: at})
	if !hasTrouble() {
		return true
	}
	if !r.isLeaving.CompareAndSwap(false, true) {
		return false // it has crashed already
	}
	c.crashes = append(c.crashes, at)
	go func() { _ = r.server.Close() }()
	time.AfterFunc(lapseTime, func() { c.store.remove("servers", r.id) })
	time.AfterFunc(restartTime, func() {
		if err := c.addRunner(r.zone); err != nil {
			c.record.line("a runner is not back: %v", err)
		}
	})
	return false
}

func crashes(r *record) (holds bool, err error) {
	s := newStore()
	address, err := s.start()
	if err != nil {
		return false, err
	}
	c := &crashWorld{record: r, store: s}
	for _, zone := range []string{"charlotte", "atlanta", "knoxville"} {
		for range 3 {
			if err := c.addRunner(zone); err != nil {
				return false, err
			}
		}
	}
	config := departureConfig()
	config["routes"] = crashRoutes()
	s.put("config", "main", config)
	f, err := newFleet([]string{"charlotte", "charlotte", "charlotte", "atlanta", "knoxville", "knoxville"}, address)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(10 * time.Second); err != nil {
		return false, err
	}
	r.line("6 machines are ready, 9 runners of one service")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sound := &watch{answers: map[string]int{}}
	for _, n := range f.nodes {
		go c.soundLoad(ctx, n, sound)
	}
	time.Sleep(4 * time.Second) // stability_window_ms and more
	for i := range burstCount {
		r.line("the request comes at each machine; sound requests since: %s", sum(sound.takeAnswers()))
		c.burst(f.nodes)
		if i < burstCount-1 {
			time.Sleep(burstPeriod)
		}
	}
	return c.judge(), nil
}

// burst sends the bad request to each machine, within a moment.
func (c *crashWorld) burst(nodes []*node) {
	wg := sync.WaitGroup{}
	for i, n := range nodes {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * spread / time.Duration(len(nodes)-1))
			sent := time.Now()
			status := c.send(n, http.MethodPost, badPath, badBody)
			c.record.line("%s answers the request, sent at %.3f: %s", n.name, c.record.seconds(sent), status)
		})
	}
	wg.Wait()
}

// soundLoad sends sound requests of the same caller to a machine.
func (c *crashWorld) soundLoad(ctx context.Context, n *node, w *watch) {
	for i := 0; ctx.Err() == nil; i++ {
		go func() { w.count(c.send(n, http.MethodGet, fmt.Sprintf("/a/%d", i%50), "")) }()
		time.Sleep(soundInterval)
	}
}

// send sends one request and returns the status of the answer, or "none".
func (c *crashWorld) send(n *node, method, path, body string) string {
	ctx, cancel := context.WithTimeout(context.Background(), departurePatience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = caseHost
	q.Header.Set("Marjorammoor-Attempt-Id", fmt.Sprintf("%016x", requestCount.Add(1)))
	q.Header.Set("Marjorammoor-Deadline-Ms", strconv.FormatInt(departurePatience.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer key1")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return "none"
	}
	_ = a.Body.Close()
	return strconv.Itoa(a.StatusCode)
}

// judge counts the arrivals of the bad request later than the stability window after its third crash.
func (c *crashWorld) judge() (holds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < maxRetries {
		c.record.line("%d crashes, %d arrivals of the request", len(c.crashes), len(c.arrivals))
		return true
	}
	slices.SortFunc(c.crashes, time.Time.Compare)
	from := c.crashes[2].Add(stabilityWindow)
	late := 0
	for _, a := range c.arrivals {
		if a.at.After(from) {
			late++
		}
	}
	c.record.line("%d crashes, the third at %.3f; the request reached runners %d times later than %.3f, %d are allowed",
		len(c.crashes), c.record.seconds(c.crashes[2]), late, c.record.seconds(from), maxRetries)
	return late <= maxRetries
}
