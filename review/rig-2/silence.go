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

// The case silence: the open connections of the machines to the store go silent, without a reset,
// while new ones work. A change of the configuration is acknowledged soon after.

const (
	silenceCount = 6
	// changeDelay is the time from the silence to the change, and observedTime how long requests are
	// observed after it.
	changeDelay  = 300 * time.Millisecond
	observedTime = 8 * time.Second
	calmTime     = 2 * time.Second
	// propagationTime is config_propagation_ms.
	propagationTime = 2 * time.Second
	// lookInterval is the time between two requests on a route to a machine.
	lookInterval = 100 * time.Millisecond
	lookPatience = 600 * time.Millisecond
)

// silencePaths are paths of the routes that the changes move.
var silencePaths = []string{"/a/x", "/p/x"}

// silenceConfig is a version of the configuration in which both routes go to a service.
func silenceConfig(version int, service string) map[string]any {
	route := func(name, prefix string, isPublic bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": caseHost, "path_prefix": prefix, "type": "idempotent", "timeout_ms": 600, "target_latency_ms": 100,
			"priority": 2, "service": service, "max_attempts": 2, "public": isPublic, "session_affinity": false, "resumable": false,
		}
	}
	c := repeatConfig()
	c["version"] = version
	c["routes"] = append(c["routes"].([]any), route("r-a", "/a/", false), route("r-p", "/p/", true))
	c["services"] = append(
		c["services"].([]any),
		map[string]any{"name": "one", "health_check": "/healthz", "max_connections": 96},
		map[string]any{"name": "two", "health_check": "/healthz", "max_connections": 96},
	)
	return c
}

// look is a request that shows which configuration is in force.
type look struct {
	id, machine, path, status string
	sent                      time.Time
}

// silentTime is a time after the connections of all machines went silent.
type silentTime struct {
	began, acknowledged time.Time
	// former is the service of the routes before the change.
	former string
}

// silenceWorld is what clients and runners of the case have seen.
type silenceWorld struct {
	record *record
	store  *store
	runs   atomic.Int64

	mu    sync.Mutex
	looks []look
	// ranAt is the service that has run a request, by ID.
	ranAt map[string]string
	times []silentTime
}

func silence(r *record) (holds bool, err error) {
	s := newStore()
	address, err := s.start()
	if err != nil {
		return false, err
	}
	c := &silenceWorld{record: r, store: s, ranAt: map[string]string{}}
	if err := c.addRunners(); err != nil {
		return false, err
	}
	s.put("config", "main", silenceConfig(1, "one"))
	links := []*link{}
	addresses := []string{}
	zones := []string{"charlotte", "charlotte", "charlotte", "atlanta", "knoxville", "knoxville"}
	for range zones {
		k, err := newLink(address)
		if err != nil {
			return false, err
		}
		links, addresses = append(links, k), append(addresses, k.address())
	}
	f, err := newFleet(zones, addresses...)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // the time from the start of the machines to the traffic
	r.line("6 machines are ready")
	ctx, stop := context.WithCancel(context.Background())
	for _, n := range f.nodes {
		for _, path := range silencePaths {
			go c.load(ctx, n, path)
		}
	}
	services := []string{"one", "two"}
	for i := range silenceCount {
		time.Sleep(calmTime)
		c.change(links, i+2, services[i%2], services[(i+1)%2])
		time.Sleep(observedTime)
	}
	stop()
	time.Sleep(lookPatience)
	return c.judge(), nil
}

// addRunners starts a runner of each plain service in each zone, and those of the model service.
func (c *silenceWorld) addRunners() error {
	if err := addModelRunners(c.store, 2, 10, func(*modelRunner, string, string) bool { return true }); err != nil {
		return err
	}
	for _, service := range []string{"one", "two"} {
		for _, zone := range []string{"charlotte", "atlanta", "knoxville"} {
			r := &runner{id: "i-" + service + "-" + zone, service: service, zone: zone, work: 10 * time.Millisecond, runs: &c.runs}
			r.begin = func(q *http.Request) bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.ranAt[q.Header.Get("Marjorammoor-Attempt-Id")] = service
				return true
			}
			if err := r.start(c.store); err != nil {
				return err
			}
		}
	}
	return nil
}

// change makes the connections silent, if that is the trouble, and has the operator move the routes.
func (c *silenceWorld) change(links []*link, version int, from, to string) {
	t := silentTime{began: time.Now(), former: from}
	counts := []int{}
	for _, k := range links {
		if hasTrouble() {
			counts = append(counts, k.silence())
		}
	}
	time.Sleep(changeDelay)
	c.store.put("config", "main", silenceConfig(version, to))
	t.acknowledged = time.Now()
	c.record.line("silent connections of the machines: %v; version %d, which moves the routes from %s to %s, is acknowledged", counts, version, from, to)
	c.times = append(c.times, t)
}

// load sends requests on a route to a machine until ctx ends.
func (c *silenceWorld) load(ctx context.Context, n *node, path string) {
	for ctx.Err() == nil {
		go c.look(n, path)
		time.Sleep(lookInterval)
	}
}

func (c *silenceWorld) look(n *node, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), lookPatience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.frontend+path, nil)
	if err != nil {
		panic(err)
	}
	l := look{id: fmt.Sprintf("%016x", requestCount.Add(1)), machine: n.name, path: path, status: "none", sent: time.Now()}
	q.Host = caseHost
	q.Header.Set("Marjorammoor-Attempt-Id", l.id)
	q.Header.Set("Marjorammoor-Deadline-Ms", strconv.FormatInt(lookPatience.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer key1")
	if a, err := http.DefaultClient.Do(q); err == nil {
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		l.status = strconv.Itoa(a.StatusCode)
	}
	c.mu.Lock()
	c.looks = append(c.looks, l)
	c.mu.Unlock()
}

// judge reports for each silence what has run by the older version although the machine was in
// touch and the time to bring the newer one into force was over.
func (c *silenceWorld) judge() (holds bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.looks, func(x, y look) int { return x.sent.Compare(y.sent) })
	for _, l := range c.looks {
		c.record.write(fmt.Sprintf("%8.3f  %s %s to %s: %s, ran at %q", c.record.seconds(l.sent), l.id, l.path, l.machine, l.status, c.ranAt[l.id]))
	}
	holds = true
	for _, t := range c.times {
		late, last := map[string]int{}, time.Duration(0)
		from := t.acknowledged.Add(propagationTime)
		if inTouch := t.began.Add(stabilityWindow); inTouch.After(from) {
			from = inTouch
		}
		for _, l := range c.looks {
			if l.sent.After(from) && l.sent.Before(t.began.Add(observedTime)) && c.ranAt[l.id] == t.former {
				late[l.machine]++
				last = l.sent.Sub(t.acknowledged)
			}
		}
		holds = holds && len(late) == 0
		c.record.line("silence at %.3f, acknowledgement %.3f: run by the former service later than %.3f: %v, the last sent %.2f s after the acknowledgement",
			c.record.seconds(t.began), c.record.seconds(t.acknowledged), c.record.seconds(from), sum(late), last.Seconds())
	}
	return holds
}
