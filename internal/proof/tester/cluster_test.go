package tester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marjorammoor/internal/platform/client"
)

// layout is the content of a script's cluster.json.
type layout struct {
	DataCenters map[string]struct {
		Nodes int `json:"nodes"`
		// Domains is the number of VMs by fabric domain and pool.
		Domains map[string]map[string]int `json:"domains"`
	} `json:"data_centers"`
	ChecksFencing bool           `json:"checks_fencing"`
	RunnerArgs    []string       `json:"runner_args"`
	Settings      map[string]any `json:"settings"`
}

// process is one process of a cluster: the platform, a runner or a node.
type process struct {
	name       string
	dataCenter string
	args       []string
	isNode     bool
	// address receives requests directly from the test, without a proxy. Only nodes
	// have admin and peer addresses.
	address, admin, peer string
	vm                   client.VM
	// recordPath is the file to which a runner appends its executions; "" for other
	// processes.
	recordPath string

	mu        sync.Mutex
	cmd       *exec.Cmd
	stoppedAt time.Time
	running   bool
	isFrozen  atomic.Bool
	// isReady is whether the node's last readiness probe succeeded, so that a load
	// balancer would send requests to it.
	isReady atomic.Bool
	exited  chan struct{}
	// isStopping is whether the test has stopped the process, so that its exit is
	// not a failure.
	isStopping atomic.Bool
}

// link is the proxy through which one process connects to another.
type link struct {
	from, to string
	proxy    *toxiproxy.Proxy
	listen   string
}

// cluster is the set of processes that one script runs, and what it observes.
type cluster struct {
	layout layout
	// dir holds settings, logs and recorded executions.
	dir string
	// programPath is the search path for the programs, as in PATH.
	programPath string
	// octet is the second octet of all addresses of the cluster.
	octet int

	platform     string
	procs        map[string]*process
	startOrder   []string
	links        []*link
	api          *toxiproxy.ApiServer
	proxyCount   int
	log          func(format string, args ...any)
	failures     failures
	traffic      *traffic
	stopMonitors context.CancelFunc
	monitors     sync.WaitGroup
	endedOutages []outage
}

// outage is a period during which a VM was killed or frozen.
type outage struct {
	vm       string
	from, to time.Time
}

// failures collects the violations that monitors find while a script runs.
type failures struct {
	mu   sync.Mutex
	list []string
}

func (f *failures) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

var clusterCount atomic.Int32

// freeOctet returns the second octet of loopback addresses that no other cluster
// uses, including a cluster whose processes outlived a killed test.
func freeOctet() int {
	for {
		octet := 20 + (os.Getpid()*7+int(clusterCount.Add(1)))%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:7000", octet))
		if err == nil {
			_ = l.Close()
			return octet
		}
	}
}

func newCluster(l layout, dir, path string, log func(string, ...any)) *cluster {
	c := &cluster{layout: l, dir: dir, programPath: path, octet: freeOctet(), procs: map[string]*process{}, log: log}
	c.api = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	return c
}

// ip returns the n-th loopback address of a kind: 1 for the platform, 10 and above
// for the nodes of each data centre, 50 for runners and 100 for proxies.
func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.octet, kind, n) }

// start starts the platform, the runners, the nodes and the monitors.
func (c *cluster) start() error {
	c.platform = c.ip(1, 1) + ":7000"
	c.add(&process{name: "platform", args: []string{"standin", "platform", "--address", c.platform}, address: c.platform})
	if err := c.procs["platform"].start(c); err != nil {
		return err
	}
	if err := waitFor(5*time.Second, func() error { return c.getJSON(c.platform, "/control", "", &struct{}{}) }); err != nil {
		return err
	}
	c.addProcesses()
	for _, name := range c.startOrder {
		p := c.procs[name]
		if name == "platform" {
			continue
		}
		if err := c.putVM(p.vm); err != nil {
			return err
		}
		if p.isNode {
			if err := c.writeSettings(p); err != nil {
				return err
			}
		}
		if err := p.start(c); err != nil {
			return err
		}
	}
	for _, p := range c.procs {
		if !p.isNode {
			continue
		}
		isUp := func() error { return call(http.MethodGet, p.admin, "/healthz", "", nil, nil) }
		if err := waitFor(10*time.Second, isUp); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stopMonitors = cancel
	c.monitors.Go(func() { c.watchRevisions(ctx) })
	c.monitors.Go(func() { c.probeReadiness(ctx) })
	return nil
}

// addProcesses adds the nodes and runners of the layout, without starting them.
func (c *cluster) addProcesses() {
	runners := 0
	for d, name := range sortedKeys(c.layout.DataCenters) {
		dc := c.layout.DataCenters[name]
		for i := range dc.Nodes {
			c.addNode(name, d, i+1)
		}
		for _, domain := range sortedKeys(dc.Domains) {
			for _, pool := range sortedKeys(dc.Domains[domain]) {
				for i := range dc.Domains[domain][pool] {
					runners++
					c.addRunner(name, domain, pool, i+1, runners)
				}
			}
		}
	}
}

func (c *cluster) addNode(dataCenter string, d, i int) *process {
	ip := c.ip(10+d, i)
	p := &process{
		name: fmt.Sprintf("%s-n%d", dataCenter, i), dataCenter: dataCenter, isNode: true,
		address: ip + ":8080", peer: ip + ":7900", admin: ip + ":9901",
	}
	p.vm = client.VM{Name: p.name, Address: p.peer, DataCenter: dataCenter, Role: client.RoleEntry}
	p.args = []string{"marjorammoor", "serve", "--settings", filepath.Join(c.dir, p.name+".json")}
	c.add(p)
	return p
}

// addRunner adds the i-th runner of a pool in a domain, which is the n-th runner of
// the cluster.
func (c *cluster) addRunner(dataCenter, domain, pool string, i, n int) {
	p := &process{name: fmt.Sprintf("%s-%s-%d", domain, pool, i), dataCenter: dataCenter, address: fmt.Sprintf("%s:9000", c.ip(50, n))}
	p.vm = client.VM{Name: p.name, Address: p.address, DataCenter: dataCenter, Domain: domain, Pool: pool, Role: client.RoleRunner}
	p.recordPath = filepath.Join(c.dir, p.name+".jsonl")
	p.args = append([]string{"standin", "runner", "--vm", p.name, "--address", p.address, "--record", p.recordPath}, c.layout.RunnerArgs...)
	if c.layout.ChecksFencing {
		p.args = append(p.args, "--checks-fencing")
	}
	c.add(p)
}

func (c *cluster) add(p *process) {
	c.procs[p.name] = p
	c.startOrder = append(c.startOrder, p.name)
}

// writeSettings writes a node's settings file. The node reaches every other process
// through a separate proxy.
func (c *cluster) writeSettings(p *process) error {
	peers, addresses := []string{}, map[string]string{}
	for _, name := range c.startOrder {
		other := c.procs[name]
		switch {
		case other == p:
		case other.isNode:
			peers = append(peers, other.peer)
			addresses[other.peer] = c.link(p, other, other.peer)
			addresses[other.address] = c.link(p, other, other.address)
		default:
			addresses[other.address] = c.link(p, other, other.address)
		}
	}
	s := map[string]any{
		"name": p.name, "data_center": p.dataCenter, "caller_address": p.address, "peer_address": p.peer,
		"admin_address": p.admin, "platform_url": "http://" + c.platform, "peer_token": "secret", "peers": peers,
		"address_map": addresses, "balancer_delay_ms": 300, "reload_ms": 1000, "silent_return_ms": 2000, "gone_return_ms": 60000,
	}
	for k, v := range c.layout.Settings {
		s[k] = v
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.dir, p.name+".json"), b, 0o600)
}

// link returns the address of the proxy from one process to an address of another,
// and starts the proxy if there is none yet.
func (c *cluster) link(from, to *process, upstream string) string {
	for _, l := range c.links {
		if l.from == from.name && l.to == to.name && l.proxy.Upstream == upstream {
			return l.listen
		}
	}
	c.proxyCount++
	listen := fmt.Sprintf("%s:%d", c.ip(100, 1), 10000+c.proxyCount)
	l := &link{from: from.name, to: to.name, listen: listen, proxy: toxiproxy.NewProxy(c.api, listen, listen, upstream)}
	if err := l.proxy.Start(); err != nil {
		c.failures.add("proxy %s: %v", listen, err)
	}
	c.links = append(c.links, l)
	return listen
}

// matches reports whether a name selects a process: it is the name of the process,
// its data centre or its fabric domain, or "nodes" for all nodes.
func (c *cluster) matches(name, process string) bool {
	p := c.procs[process]
	return name == process || p.dataCenter == name || p.vm.Domain == name || name == "nodes" && p.isNode
}

// cut drops all data on the links from one side to the other, without closing
// connections. direction is "up" (requests), "down" (responses) or "both".
func (c *cluster) cut(from, to, direction string) error {
	n := 0
	for _, l := range c.links {
		if !c.matches(from, l.from) || !c.matches(to, l.to) || from == to {
			continue
		}
		n++
		for _, stream := range []string{"upstream", "downstream"} {
			if direction == "up" && stream != "upstream" || direction == "down" && stream != "downstream" {
				continue
			}
			toxic := fmt.Sprintf(`{"name":"cut_%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, stream, stream)
			if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil && !strings.Contains(err.Error(), "already exists") {
				return err
			}
		}
	}
	if n == 0 {
		return fmt.Errorf("no link from %s to %s", from, to)
	}
	return nil
}

// heal ends the cuts of the links from one side to the other.
func (c *cluster) heal(from, to string) {
	for _, l := range c.links {
		if c.matches(from, l.from) && c.matches(to, l.to) {
			l.proxy.Toxics.ResetToxics(context.Background())
		}
	}
}

func (p *process) start(c *cluster) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck
	program, err := findProgram(c.programPath, p.args[0])
	if err != nil {
		return err
	}
	cmd := exec.Command(program, p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = ownSession(true)
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.running = cmd, true
	p.isStopping.Store(false)
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		err := cmd.Wait()
		if !p.isStopping.Load() {
			c.failures.add("%s (pid %d) exited unexpectedly: %s (%v); its last output:\n%s",
				p.name, cmd.Process.Pid, cmd.ProcessState, err, lastOutput(log.Name()))
		}
		close(exited)
	}()
	return nil
}

// maxOutputBytes is how much of a process's output a failure shows.
const maxOutputBytes = 8 << 10

// lastOutput returns the end of a log file.
func lastOutput(path string) []byte {
	b, err := os.ReadFile(path)
	if err != nil {
		return []byte(err.Error())
	}
	return b[max(len(b)-maxOutputBytes, 0):]
}

func findProgram(path, name string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		full := filepath.Join(dir, name)
		if _, err := os.Stat(full); err == nil {
			return full, nil
		}
	}
	return "", fmt.Errorf("no program %s", name)
}

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s was not started", p.name)
	}
	return p.cmd.Process.Signal(s)
}

// kill sends SIGKILL to a process and waits until it has exited.
func (p *process) kill() error {
	p.isStopping.Store(true)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// terminate sends SIGTERM to a process and waits until it has exited.
func (p *process) terminate(timeout time.Duration) error {
	p.isStopping.Store(true)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s has not stopped within %s", p.name, timeout)
	}
}

// close stops the traffic, the monitors, every process and every proxy of the
// cluster.
func (c *cluster) close() {
	if c.traffic != nil {
		c.traffic.stop()
	}
	if c.stopMonitors != nil {
		c.stopMonitors()
		c.monitors.Wait()
	}
	for _, p := range c.procs {
		p.mu.Lock()
		p.isStopping.Store(true)
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			p.mu.Unlock()
			<-p.exited
			continue
		}
		p.mu.Unlock()
	}
	for _, l := range c.links {
		l.proxy.Stop()
	}
}

// probeReadiness probes the readiness of every node, like the platform's load
// balancer.
func (c *cluster) probeReadiness(ctx context.Context) {
	probeClient := &http.Client{Timeout: 200 * time.Millisecond}
	for ctx.Err() == nil {
		for _, p := range c.procs {
			if p.isNode {
				resp, err := probeClient.Get("http://" + p.admin + "/readyz")
				p.isReady.Store(err == nil && resp.StatusCode == http.StatusOK)
				if err == nil {
					_ = resp.Body.Close()
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// process returns a process by its name.
func (c *cluster) process(name string) (*process, error) {
	p := c.procs[name]
	if p == nil {
		return nil, fmt.Errorf("no process %s", name)
	}
	return p, nil
}

// directClient sends requests from the test without a proxy.
var directClient = &http.Client{Timeout: 5 * time.Second}

func (c *cluster) getJSON(address, path, token string, target any) error {
	if token == "" {
		token, _ = c.layout.Settings["admin_token"].(string)
	}
	return call(http.MethodGet, address, path, token, nil, target)
}

func call(method, address, path, token string, body, target any) error {
	b := &bytes.Buffer{}
	if body != nil {
		if err := json.NewEncoder(b).Encode(body); err != nil {
			return err
		}
	}
	r, err := http.NewRequest(method, "http://"+address+path, b)
	if err != nil {
		return err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := directClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(target)
}

func (c *cluster) putVM(v client.VM) error {
	return call(http.MethodPut, c.platform, "/control/vms/"+v.Name, "", v, nil)
}

// waitFor repeats check until it succeeds or the timeout expires.
func waitFor(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %s: %w", timeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
