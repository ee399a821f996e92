package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case repeats: one request for a model crashes each runner that begins to run it. It comes
// again and again, with the same path, caller and body, one at a time, at one machine after the other.

const (
	repeatPeriod = 5 * time.Second
	repeatCount  = 10
	// runnersPerDomain is the number of runners of a domain: six groups in all.
	runnersPerDomain = 4
	// systemPart is the part of the prompt that all requests share.
	systemPart = "5c1e07a2:800"
	streamPath = "/s/draft"
	badPrompt  = "the prompt that crashes runners"
)

// repeatCase is what differs between the cases of requests for a model that crash runners.
type repeatCase struct {
	// shared returns the shared parts of the prompt of a sound or a bad request.
	shared func(isBad bool) string
	// body returns the body of a bad request.
	body func() string
	// counted is the number of the crash from which on retries count.
	counted int
}

// repeatConfig is a configuration with a route to a model service.
func repeatConfig() map[string]any {
	route := map[string]any{
		"name": "r-s", "hostname": caseHost, "path_prefix": "/s/", "type": "streaming", "timeout_ms": 6000, "target_latency_ms": 300,
		"target_gap_ms": 300, "priority": 1, "service": "pool", "max_attempts": 2, "public": false, "session_affinity": true, "resumable": true,
	}
	engine := map[string]any{
		"batch_slots": runnerSlots, "kv_capacity_tokens": 1860000, "steps_per_pass": 5, "step_ms": 7.8, "per_seq_ms": 0.05, "context_per_k": 0.01,
		"read_per_s": 45900, "pairs_per_m": 0.1, "chunk": 8192, "loads_per_s": 5, "loads_at_once": 7, "formation_ms": openTime.Milliseconds(),
		"usual":  map[string]any{"prompt": 1000, "answer": 40},
		"models": []any{map[string]any{"name": modelName, "size": groupSize, "initial_share": 1.0, "pace": 1.0, "load_time_s": loadTime.Seconds(), "warmup_s": warmTime.Seconds()}},
	}
	return map[string]any{
		"version": 1, "routes": []any{route},
		"services": []any{map[string]any{"name": "pool", "health_check": "/healthz", "max_connections": 428, "backend": engine}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{"key1"}}},
	}
}

// repeatWorld is what the runners of the case have seen.
type repeatWorld struct {
	record *record
	store  *store
	repeatCase

	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	parts    int
}

// begin records the bad request and crashes its runner, if that is the trouble. The runner is back
// after restartTime.
func (c *repeatWorld) begin(r *modelRunner, id, body string) (goesOn bool) {
	if !strings.HasPrefix(body, badPrompt) {
		return true
	}
	at := time.Now()
	c.record.line("request %s begins to run at %s", id, r.id)
	c.mu.Lock()
	c.arrivals = append(c.arrivals, at)
	c.mu.Unlock()
	if !hasTrouble() || !r.crash() {
		return !hasTrouble()
	}
	c.mu.Lock()
	c.crashes = append(c.crashes, at)
	c.mu.Unlock()
	time.AfterFunc(restartTime, func() {
		if err := r.start(); err != nil {
			c.record.line("a runner is not back: %v", err)
		}
	})
	return false
}

// repeats is the case of one request that comes again.
func repeats(r *record) (holds bool, err error) {
	return playRepeats(r, repeatCase{
		shared:  func(bool) string { return systemPart },
		body:    func() string { return badPrompt },
		counted: 3,
	})
}

// playRepeats has bad requests come at one machine after the other.
func playRepeats(r *record, k repeatCase) (holds bool, err error) {
	s := newStore()
	address, err := s.start()
	if err != nil {
		return false, err
	}
	c := &repeatWorld{record: r, store: s, repeatCase: k}
	if err := addModelRunners(s, 1, runnersPerDomain, c.begin); err != nil {
		return false, err
	}
	s.put("config", "main", repeatConfig())
	f, err := newFleet([]string{"charlotte", "charlotte", "charlotte", "atlanta", "knoxville", "knoxville"}, address)
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
	defer stop()
	sound := &watch{answers: map[string]int{}}
	for _, n := range f.nodes {
		go c.soundLoad(ctx, n, sound)
	}
	time.Sleep(4 * time.Second) // stability_window_ms and more
	for i := range repeatCount {
		n := f.nodes[i%len(f.nodes)]
		r.line("the request comes at %s; sound requests since: %s", n.name, sum(sound.takeAnswers()))
		r.line("%s answers the request: %s", n.name, c.send(n, c.shared(true), c.body()))
		time.Sleep(repeatPeriod)
	}
	return c.judge(), nil
}

// judge counts the arrivals of the bad request at runners.
func (c *repeatWorld) judge() (holds bool) {
	late := c.late()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.line("%d crashes, %d arrivals; such a request reached runners %d times later than %v after crash %d, %d are allowed",
		len(c.crashes), len(c.arrivals), late, stabilityWindow, c.counted, maxRetries)
	return late <= maxRetries
}

// late returns how often a bad request has reached a runner later than the stability window after
// the crash from which on that counts.
func (c *repeatWorld) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < c.counted {
		return 0
	}
	slices.SortFunc(c.crashes, time.Time.Compare)
	from := c.crashes[c.counted-1].Add(stabilityWindow)
	n := 0
	for _, at := range c.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}

// soundLoad sends sound requests of the same caller to a machine.
func (c *repeatWorld) soundLoad(ctx context.Context, n *node, w *watch) {
	for ctx.Err() == nil {
		go func() { w.count(c.send(n, c.shared(false), "a sound prompt")) }()
		time.Sleep(soundInterval)
	}
}

// ownPart returns a part of a prompt that belongs to one request.
func (c *repeatWorld) ownPart() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts++
	return fmt.Sprintf("%08x:200", 0x10000000+c.parts)
}

// send sends one request and returns what came of it.
func (c *repeatWorld) send(n *node, shared, prompt string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontend+streamPath, strings.NewReader(prompt))
	if err != nil {
		panic(err)
	}
	q.Host = caseHost
	q.Header.Set("Marjorammoor-Attempt-Id", fmt.Sprintf("%016x", requestCount.Add(1)))
	q.Header.Set("Marjorammoor-Deadline-Ms", strconv.Itoa(6000))
	q.Header.Set("Marjorammoor-Model-Id", modelName)
	q.Header.Set("Marjorammoor-Token-Usage", "1000,40")
	q.Header.Set("Marjorammoor-Prompt-Prefix", shared+","+c.ownPart())
	q.Header.Set("Authorization", "Bearer key1")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return "none"
	}
	_, err = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	if err != nil {
		return strconv.Itoa(a.StatusCode) + " broken off"
	}
	return strconv.Itoa(a.StatusCode)
}
