package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// machineLimits is max_open_files of the sheet of pdca-reminders.
const machineLimits = "ulimit -n 4200"

// settingsFormat is a settings file as DEPLOY.md shows it, with the figures of the sheet of
// pdca-reminders.
const settingsFormat = `node_name = %q
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "southeast"
port_range = [%d,%d]
seed_nodes = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
ingress = "vip"
heartbeat_interval_ms = 1200
[listen]
frontend = %q
readiness = %q
[limits]
cpu_quota = 0.4
cpu_cores = 1
memory_mb = 284
max_open_files = 4200
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
seed_staleness_s = 3
address_reuse_s = 2
stability_window_ms = 3000
ack_timeout_ms = 4000
sync_timeout_s = 4
drain_timeout_ms = 2000
grace_period_s = 8
failure_slack_ms = 200
config_propagation_ms = 2000
downgrade_slack_ms = 250
partition_bound_ms = 5000
revoke_fail_closed = true
revocation_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_burst = 103
recovery_s = 12
step_time_ms = 120
retry_after_s = 0
stall_timeout_ms = 4000
fencing_required = true
origin_window_s = 5
origin_overshoot = 1.1
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`

// node is a process of the system on a machine with an address of its own.
type node struct {
	name, zone, ip      string
	frontend, readiness string
	settings            string
	command             *exec.Cmd
	log                 *os.File
}

// fleet is a set of nodes with the same ports.
type fleet struct {
	dir   string
	nodes []*node
}

// newFleet returns the nodes of the zones, one for each, which use a store. If there are several
// addresses of it, each node uses its own.
func newFleet(zones []string, storeAddresses ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	f := &fleet{dir: dir}
	ips := []string{}
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%200, i+1))
	}
	base := freePorts(ips)
	for i, zone := range zones {
		n := &node{
			name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ips[i],
			frontend: fmt.Sprintf("%s:%d", ips[i], base), readiness: fmt.Sprintf("%s:%d", ips[i], base+1),
		}
		n.settings = filepath.Join(dir, n.name+".toml")
		text := fmt.Sprintf(settingsFormat, n.name, n.ip, n.zone, base+2, base+6, n.frontend, n.readiness, storeAddresses[i%len(storeAddresses)])
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// portStep is the number of ports that a fleet may use.
const portStep = 10

// freePorts returns the first of portStep ports that are free on all addresses.
func freePorts(ips []string) int {
	base := 20000 + os.Getpid()%1000*portStep
	for !areFree(ips, base) {
		base += portStep
	}
	return base
}

func areFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+portStep; port++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// start starts all processes and waits until each says that it is ready.
func (f *fleet) start(limit time.Duration) error {
	for _, n := range f.nodes {
		if err := n.start(f.dir); err != nil {
			return fmt.Errorf("start %s: %w", n.name, err)
		}
	}
	end := time.Now().Add(limit)
	for _, n := range f.nodes {
		for !n.isReady(http.DefaultClient) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", n.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.command == nil {
			continue
		}
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
		_ = n.log.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// start starts the process with the command of the deploy file, under the limit of its machine.
func (n *node) start(dir string) error {
	log, err := os.Create(filepath.Join(dir, n.name+".log"))
	if err != nil {
		return err
	}
	c := exec.Command("/bin/sh", "-c", machineLimits+"; exec target/marjorammoor serve --platform")
	c.Env = []string{"MARJORAMMOOR_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.log = log
	if err := c.Start(); err != nil {
		return err
	}
	n.command = c
	return nil
}

// isReady asks the process as the platform does. The client keeps its connection.
func (n *node) isReady(c *http.Client) bool {
	r, err := c.Get("http://" + n.readiness + "/marjorammoor/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// openFiles returns the number of descriptors of the process.
func (n *node) openFiles() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}
