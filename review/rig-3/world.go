package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	attemptHeader  = "Marjorammoor-Attempt-Id"
	deadlineHeader = "Marjorammoor-Deadline-Ms"
	partsHeader    = "Marjorammoor-Prompt-Prefix"
	host           = "ficu95.example"
	// postPath is of a route whose requests run once, checkPath of one whose requests may be repeated.
	postPath   = "/puxa403/2f"
	checkPath  = "/cufi504/2f"
	callerPort = ":8227"
	// requestTime is how long callers wait that don't leave early.
	requestTime = 4 * time.Second
	// memoryMB is the memory of a machine.
	memoryMB = 284
	// program is what the deploy file runs.
	program = "target/marjorammoor"
	// nodeCount and runnerCount are the numbers of nodes and runners.
	nodeCount   = 6
	runnerCount = 6
	readyTime   = 15 * time.Second
	// tenantName is the caller's tenant, and key its key.
	tenantName = "hule930"
	key        = "n2ctnfzs989anu6wsjnb"
	// crashBody is the body of the request that crashes runners.
	crashBody = "post 4711"
)

// world is a small deployment.
type world struct {
	record  *record
	dir     string
	subnet  string
	store   *store
	runners []*runner
	nodes   []*node
	version int
	// path is that of the requests, prompt their header with the parts of the prompt, or empty, and
	// patience how long their callers wait.
	path, prompt string
	patience     time.Duration
	// hasModels is set if the configuration has a service with models.
	hasModels bool
	// crashDelay is the time from the start of a request to the crash of its runner.
	crashDelay time.Duration

	mu      sync.Mutex
	crashes []time.Time
	sent    int
}

// node is a process of the system.
type node struct {
	world  *world
	name   string
	ip     string
	cmd    *exec.Cmd
	exited chan struct{}
}

// newWorld starts the store, the runners and the nodes.
func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, path: postPath, patience: requestTime, crashDelay: 20 * time.Millisecond}
	for i := 0; w.store == nil; i++ {
		if i > 100 {
			return nil, errors.New("no free loopback addresses")
		}
		w.subnet = fmt.Sprintf("127.%d.%d", 60+os.Getpid()%100, 1+i)
		if w.store, err = newStore(w.subnet + ".1:8223"); err != nil {
			w.store = nil
		}
	}
	return w, nil
}

// start writes the first configuration and starts runners and nodes.
func (w *world) start() error {
	w.configure([]tenant{{Name: tenantName, Keys: []string{key}}})
	for i := range runnerCount {
		r := &runner{world: w, id: fmt.Sprintf("i-%02d", i+1), address: fmt.Sprintf("%s.%d:8080", w.subnet, 100+i)}
		w.runners = append(w.runners, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for i := range nodeCount {
		n := &node{world: w, name: fmt.Sprintf("edge-east-%d", i+1), ip: fmt.Sprintf("%s.%d", w.subnet, 10+i)}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// poolService is a service with models.
var poolService = map[string]any{
	"name": "pool", "health_check": "/healthz", "max_connections": 268, "protocol": "h1", "tls": false,
	"backend": map[string]any{
		"batch_slots": 17, "kv_capacity_tokens": 1860000, "steps_per_pass": 5, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096,
		"read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "loads_per_s": 5.0, "loads_at_once": 7, "formation_ms": 300.0,
		"usual":  map[string]any{"prompt": 979, "answer": 154},
		"models": []map[string]any{{"name": "rada7437b5", "size": 2, "initial_share": 1.0, "pace": 0.6, "load_time_s": 12.0, "warmup_s": 1.1}},
	},
}

// tenant is one of the configuration.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// configure writes the next version of the configuration. The store's answer acknowledges it.
func (w *world) configure(tenants []tenant) {
	w.version += 3
	services := []map[string]any{{"name": "desk", "health_check": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}}
	if w.hasModels {
		services = append(services, poolService)
	}
	spec, _ := json.Marshal(map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			{"name": "post", "hostname": "ficu95.example", "path_prefix": "/puxa403/", "type": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "desk", "max_attempts": 2, "public": false},
			{"name": "check", "hostname": "ficu95.example", "path_prefix": "/cufi504/", "type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "desk", "max_attempts": 3, "public": false},
		},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	})
	w.store.put("config", "main", spec, 0, false)
	w.record.note("the store has acknowledged version %d of the configuration: %s", w.version, spec)
}

func (w *world) recordCrash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, time.Now())
}

func (w *world) crashTimes() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time{}, w.crashes...)
}

// settings is the settings file of a node.
const settings = `node_name = %q
zone = "east"
region = "east"
ip = %q
port_range = [7340,7355]
seed_nodes = []
bootstrap = true
heartbeat_interval_ms = 1200
[listen]
frontend = "%s:8227"
readiness = "%s:8220"
[limits]
cpu_quota = 0.4
cpu_cores = 1
memory_mb = %d
max_open_files = 4200
[bounds]
stability_window_ms = 3000
drain_timeout_ms = 2000
grace_period_s = 8
config_propagation_ms = 2000
revoke_fail_closed = true
revocation_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_burst = 103
stall_timeout_ms = 4000
origin_window_s = 5
origin_overshoot = 1.1
[platform]
address = "%s.1:8223"
`

// start starts the process as the deploy file does.
func (n *node) start() error {
	path := filepath.Join(n.world.dir, n.name+".toml")
	text := fmt.Sprintf(settings, n.name, n.ip, n.ip, n.ip, memoryMB, n.world.subnet)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck
	n.cmd = exec.Command(program, "serve", "--platform")
	n.cmd.Env = append(os.Environ(), "MARJORAMMOOR_SETTINGS="+path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
	n.world.record.note("node %s has started", n.name)
	return nil
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
	n.world.record.note("node %s was killed", n.name)
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ip + ":8220/marjorammoor/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (w *world) awaitReady() error {
	end := time.Now().Add(readyTime)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.note("all nodes are ready")
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// nextID returns the ID of the next request.
func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	return fmt.Sprintf("9c41d07b%08x", w.sent)
}

// arrivals returns the requests that have reached runners.
func (w *world) arrivals() []arrival {
	list := []arrival{}
	for _, r := range w.runners {
		list = append(list, r.arrived()...)
	}
	return list
}

// post sends a request on a new connection and returns its ID and the status of the answer, or 0.
func (w *world) post(n *node, body, credential string) (id string, status int) {
	id = w.nextID()
	q, err := http.NewRequest(http.MethodPost, "http://"+n.ip+callerPort+w.path, bytes.NewBufferString(body))
	if err != nil {
		return id, 0
	}
	q.Host = host
	q.Header.Set(attemptHeader, id)
	q.Header.Set(deadlineHeader, strconv.FormatInt(requestTime.Milliseconds(), 10))
	if w.prompt != "" {
		q.Header.Set(partsHeader, w.prompt)
	}
	q.Header.Set("Authorization", "Bearer "+credential)
	c := http.Client{Timeout: w.patience, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		w.record.note("request %s to %s has no answer: %v", id, n.name, err)
		return id, 0
	}
	defer r.Body.Close() //nolint:errcheck
	b, _ := io.ReadAll(r.Body)
	w.record.note("request %s to %s with key %s is answered with %d, Retry-After %q, %q", id, n.name, credential, r.StatusCode, r.Header.Get("Retry-After"), b)
	return id, r.StatusCode
}
