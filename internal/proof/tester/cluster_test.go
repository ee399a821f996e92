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

// layout is what a script's cluster.json says.
type layout struct {
	DataCenters map[string]struct {
		Nodes int `json:"nodes"`
		// Domains gives the number of VMs of each pool in each fabric domain.
		Domains map[string]map[string]int `json:"domains"`
	} `json:"data_centers"`
	ChecksFencing bool           `json:"checks_fencing"`
	RunnerArgs    []string       `json:"runner_args"`
	Settings      map[string]any `json:"settings"`
}

// process is one program under test.
type process struct {
	name       string
	dataCenter string
	args       []string
	isNode     bool
	// address takes callers or runners' requests, straight from the test.
	address, admin, peer string
	vm                   client.VM
	// record is the file to which a runner appends its executions.
	record string

	mu      sync.Mutex
	cmd     *exec.Cmd
	downAt  time.Time
	running bool
	frozen  atomic.Bool
	// ready says that the balancer sends callers to the node.
	ready  atomic.Bool
	exited chan struct{}
	// ending says that the test has asked the process to end.
	ending atomic.Bool
}

// link is the proxy from one process to another.
type link struct {
	from, to string
	proxy    *toxiproxy.Proxy
	listen   string
}

type cluster struct {
	layout layout
	dir    string
	path   string
	base   int

	platform string
	procs    map[string]*process
	order    []string
	links    []*link
	api      *toxiproxy.ApiServer
	ports    int
	log      func(format string, args ...any)
	failures failures
	traffic  *traffic
	stop     context.CancelFunc
	watching sync.WaitGroup
	downs    []outage
}

// outage is a time during which a VM did not run.
type outage struct {
	vm       string
	from, to time.Time
}

// failures collects what monitors find.
type failures struct {
	mu   sync.Mutex
	list []string
}

func (f *failures) add(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

var clusters atomic.Int32

// freeBase returns the second number of loopback addresses that no other cluster
// uses, not even one that a killed test has left behind.
func freeBase() int {
	for {
		base := 20 + (os.Getpid()*7+int(clusters.Add(1)))%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:7000", base))
		if err == nil {
			_ = l.Close()
			return base
		}
	}
}

func newCluster(l layout, dir, path string, log func(string, ...any)) *cluster {
	c := &cluster{layout: l, dir: dir, path: path, base: freeBase(), procs: map[string]*process{}, log: log}
	c.api = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	return c
}

func (c *cluster) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.base, kind, n) }

// start starts the platform, the runners and the nodes.
func (c *cluster) start() error {
	c.platform = c.ip(1, 1) + ":7000"
	c.add(&process{name: "platform", args: []string{"standin", "platform", "--address", c.platform}, address: c.platform})
	if err := c.procs["platform"].start(c); err != nil {
		return err
	}
	if err := waitFor(5*time.Second, func() error { return c.getJSON(c.platform, "/control", "", &struct{}{}) }); err != nil {
		return err
	}
	c.describe()
	for _, name := range c.order {
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
	c.stop = cancel
	c.watching.Go(func() { c.watchRevisions(ctx) })
	c.watching.Go(func() { c.balance(ctx) })
	return nil
}

// describe plans the processes of the layout.
func (c *cluster) describe() {
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

// addRunner adds the i-th runner of a pool in a domain, the n-th of all.
func (c *cluster) addRunner(dataCenter, domain, pool string, i, n int) {
	p := &process{name: fmt.Sprintf("%s-%s-%d", domain, pool, i), dataCenter: dataCenter, address: fmt.Sprintf("%s:9000", c.ip(50, n))}
	p.vm = client.VM{Name: p.name, Address: p.address, DataCenter: dataCenter, Domain: domain, Pool: pool, Role: client.RoleRunner}
	p.record = filepath.Join(c.dir, p.name+".jsonl")
	p.args = append([]string{"standin", "runner", "--vm", p.name, "--address", p.address, "--record", p.record}, c.layout.RunnerArgs...)
	if c.layout.ChecksFencing {
		p.args = append(p.args, "--checks-fencing")
	}
	c.add(p)
}

func (c *cluster) add(p *process) {
	c.procs[p.name] = p
	c.order = append(c.order, p.name)
}

// writeSettings writes a node's settings, in which every other process is
// reached through a proxy of its own.
func (c *cluster) writeSettings(p *process) error {
	peers, addresses := []string{}, map[string]string{}
	for _, name := range c.order {
		o := c.procs[name]
		switch {
		case o == p:
		case o.isNode:
			peers = append(peers, o.peer)
			addresses[o.peer] = c.link(p, o, o.peer)
			addresses[o.address] = c.link(p, o, o.address)
		default:
			addresses[o.address] = c.link(p, o, o.address)
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

// link returns the address of a proxy from one process to an address of another.
func (c *cluster) link(from, to *process, upstream string) string {
	for _, l := range c.links {
		if l.from == from.name && l.to == to.name && l.proxy.Upstream == upstream {
			return l.listen
		}
	}
	c.ports++
	listen := fmt.Sprintf("%s:%d", c.ip(100, 1), 10000+c.ports)
	l := &link{from: from.name, to: to.name, listen: listen, proxy: toxiproxy.NewProxy(c.api, listen, listen, upstream)}
	if err := l.proxy.Start(); err != nil {
		c.failures.add("proxy %s: %v", listen, err)
	}
	c.links = append(c.links, l)
	return listen
}

// matches reports whether a process is meant by a name, which can be a data
// centre's, a fabric domain's or "nodes".
func (c *cluster) matches(name, process string) bool {
	p := c.procs[process]
	return name == process || p.dataCenter == name || p.vm.Domain == name || name == "nodes" && p.isNode
}

// cut makes the links from one side to the other silent in a direction: "up",
// "down" or "both". The other side's links are cut too if mutual.
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

// heal ends cuts between two sides.
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
	program, err := findProgram(c.path, p.args[0])
	if err != nil {
		return err
	}
	cmd := exec.Command(program, p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.running = cmd, true
	p.ending.Store(false)
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		err := cmd.Wait()
		if !p.ending.Load() {
			c.failures.add("%s (pid %d) ended by itself: %s (%v); its last output:\n%s",
				p.name, cmd.Process.Pid, cmd.ProcessState, err, lastOutput(log.Name()))
		}
		close(exited)
	}()
	return nil
}

// maxOutput is how many bytes of a process's output a failure shows.
const maxOutput = 8 << 10

// lastOutput returns the end of a file of logs.
func lastOutput(path string) []byte {
	b, err := os.ReadFile(path)
	if err != nil {
		return []byte(err.Error())
	}
	return b[max(len(b)-maxOutput, 0):]
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

// kill ends a process at once and waits until it is gone.
func (p *process) kill() error {
	p.ending.Store(true)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// terminate asks a process to stop and waits until it has.
func (p *process) terminate(timeout time.Duration) error {
	p.ending.Store(true)
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

// close ends every process that this cluster started.
func (c *cluster) close() {
	if c.traffic != nil {
		c.traffic.stop()
	}
	if c.stop != nil {
		c.stop()
		c.watching.Wait()
	}
	for _, p := range c.procs {
		p.mu.Lock()
		p.ending.Store(true)
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

// balance asks every node whether it is ready, as the platform's balancer does.
func (c *cluster) balance(ctx context.Context) {
	quick := &http.Client{Timeout: 200 * time.Millisecond}
	for ctx.Err() == nil {
		for _, p := range c.procs {
			if p.isNode {
				a, err := quick.Get("http://" + p.admin + "/readyz")
				p.ready.Store(err == nil && a.StatusCode == http.StatusOK)
				if err == nil {
					_ = a.Body.Close()
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

var direct = &http.Client{Timeout: 5 * time.Second}

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
	a, err := direct.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close() //nolint:errcheck
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, path, a.StatusCode)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(a.Body).Decode(target)
}

func (c *cluster) putVM(v client.VM) error {
	return call(http.MethodPut, c.platform, "/control/vms/"+v.Name, "", v, nil)
}

// waitFor repeats check until it succeeds or time runs out.
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
