// Command world runs a small deployment on loopback addresses for a review case: the
// platform's store, model runners, clients, and the project's own program as one process for
// each entry VM. It checks the rules from what the runners and clients see.
//
// # Usage
//
//	world -program target/marjorammoor -record record.txt -trouble 1
//
// It exits with 1 if a rule was broken, with 0 if all held, and with 2 if the case could not
// run.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	attemptHeader = "Marjorammoor-Attempt-Id"
	poolService   = "drafting"
	batchSlots    = 17
	// runnersPerDomain is the number of runners of a failure domain. Each zone has one domain,
	// with a spare runner.
	runnersPerDomain = 7
	nodesPerZone     = 3
	rejoinTime       = 200 * time.Millisecond
	stallTimeout     = 4 * time.Second
	heartbeat        = 1200 * time.Millisecond
	// entryLifetime is how long a runner's entry stays without a heartbeat.
	entryLifetime   = 3 * heartbeat
	eventsPerAnswer = 30
	eventInterval   = 60 * time.Millisecond
	// startupTime is the time until the clients begin, and settledTime the time until the
	// disruption.
	startupTime = 11 * time.Second
	settledTime = 9 * time.Second
	// restTime is how long the clients go on after a disruption.
	restTime = 6 * time.Second
	// crashDelay is the time between crashes while entry VMs are partitioned from the store,
	// lossDelay the time until the store is lost, lastCrash the time of the last crash before
	// that, lossTime how long the store is lost, and maxReturn the longest time until an entry
	// is back after that, less up to returnSpread.
	crashDelay   = 3 * time.Second
	lossDelay    = 9 * time.Second
	lossTime     = 5600 * time.Millisecond
	lastCrash    = 200 * time.Millisecond
	maxReturn    = 1900 * time.Millisecond
	returnSpread = 400 * time.Millisecond
	disruptions  = 3
	// losses is the number of disruptions in the scenario that loses the store.
	losses = 4
	// minServed is the share of the clients' requests outside disruptions that must be
	// served for a case to count as run.
	minServed = 0.2
)

var zones = []string{"charlotte", "atlanta"}

// scenario is a disruption of the head of an open group.
type scenario struct {
	// storeTime is how long it is partitioned from the store; 0 means not at all.
	storeTime time.Duration
	// delay is the time from then until it is out of reach of all entry VMs, and cutTime how
	// long it is.
	delay, cutTime time.Duration
	// isStoreLoss is set for the scenario that cuts entry VMs off from the store, and then
	// loses the store itself, in place of the above.
	isStoreLoss bool
}

var scenarios = map[string]scenario{
	"reach":           {cutTime: 8 * time.Second},
	"store-loss":      {isStoreLoss: true},
	"reach-and-store": {storeTime: 10 * time.Second, delay: time.Second, cutTime: 4800 * time.Millisecond},
}

// record collects what was sent, answered and run, and the broken rules.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken int
}

// write adds a line.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fail adds a broken rule.
func (r *record) fail(rule, format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.write("BROKEN "+rule+": "+format, args...)
}

// world is the whole deployment.
type world struct {
	dir, logs, subnet, program string
	record                     *record
	store                      *store
	pool                       *pool
	clients                    *clients
	nodes                      []*exec.Cmd
	// storeLinks are the links of the entry VMs to the store.
	storeLinks []*link
}

func main() {
	program := flag.String("program", "target/marjorammoor", "the program of the entry VMs")
	path := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Int("trouble", 1, "0 leaves the disruption out")
	name := flag.String("scenario", "reach", "the disruption: reach, reach-and-store or store-loss")
	logs := flag.String("logs", "", "an existing folder to keep the logs of the entry VMs in; empty keeps none")
	flag.Parse()
	// The entry VMs' processes end with the thread that has started them.
	runtime.LockOSThread()
	code, err := run(*program, *path, *name, *logs, *trouble != 0)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "world:", err)
	}
	os.Exit(code)
}

// run plays the case and returns the exit status.
func run(program, path, name, logs string, trouble bool) (int, error) {
	s, ok := scenarios[name]
	if !ok {
		return 2, fmt.Errorf("no scenario %q", name)
	}
	f, err := os.Create(path)
	if err != nil {
		return 2, fmt.Errorf("create record: %w", err)
	}
	defer f.Close() //nolint:errcheck
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2, fmt.Errorf("create folder: %w", err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck
	w := &world{dir: dir, logs: cmp.Or(logs, dir), program: program, record: &record{file: f, start: time.Now()}}
	defer w.stop()
	if err := w.startAll(); err != nil {
		return 2, err
	}
	time.Sleep(startupTime)
	w.clients.start()
	time.Sleep(settledTime)
	if w.openHead() == nil {
		return 2, fmt.Errorf("no group is open after %v", startupTime+settledTime)
	}
	if s.isStoreLoss {
		for i := range losses {
			w.loseStore(i%nodesPerZone, trouble)
		}
	} else {
		for range disruptions {
			w.disrupt(s, trouble)
		}
	}
	w.clients.stop()
	served, sent := w.clients.counts()
	w.record.write("clients: %d of %d requests served", served, sent)
	switch {
	case w.record.broken > 0:
		return 1, nil
	case float64(served) < minServed*float64(sent) || sent == 0:
		return 2, fmt.Errorf("%d of %d requests served", served, sent)
	}
	return 0, nil
}

// disrupt plays a scenario once for the head of an open group, if trouble is set. Its links to
// the other runners stay.
func (w *world) disrupt(s scenario, trouble bool) {
	head := w.openHead()
	isHit := trouble && head != nil
	if isHit && s.storeTime > 0 {
		w.record.write("%s, head of %s, is partitioned from the store", head.id, head.membership.name)
		head.cutFromStore(s.storeTime)
	}
	time.Sleep(s.delay)
	if isHit {
		w.record.write("%s is out of reach of the entry VMs", head.id)
		head.link.cut()
	}
	time.Sleep(s.cutTime)
	if isHit {
		head.link.heal()
		w.record.write("%s is in reach again", head.id)
	}
	time.Sleep(max(s.storeTime-s.delay-s.cutTime, 0) + restTime)
}

// loseStore partitions the i-th entry VM of each zone from the store, has runners of each
// domain crash, so that groups change, and then takes the store away from all, if trouble is
// set. Entries lapse meanwhile, and are back within two seconds of the store's return.
func (w *world) loseStore(i int, trouble bool) {
	cut := w.storeLinks[i*len(zones) : (i+1)*len(zones)]
	if trouble {
		w.record.write("entry VMs %d and %d are partitioned from the store", i*len(zones)+1, (i+1)*len(zones))
		for _, l := range cut {
			l.cut()
		}
	}
	for range 2 {
		time.Sleep(crashDelay)
		w.crashMembers()
	}
	time.Sleep(lossDelay - 2*crashDelay - lastCrash)
	w.crashMembers()
	time.Sleep(lastCrash)
	if trouble {
		w.record.write("the store is down")
		for _, l := range w.storeLinks {
			l.cut()
		}
		for _, r := range w.pool.list() {
			r.cutFromStore(lossTime + maxReturn - rand.N(returnSpread))
		}
	}
	time.Sleep(lossTime)
	if trouble {
		for _, l := range w.storeLinks {
			l.heal()
		}
		w.record.write("the store is back")
	}
	time.Sleep(restTime)
}

// crashMembers has one member of an open group, not its head, crash in each domain.
func (w *world) crashMembers() {
	hit := map[string]bool{}
	for _, r := range w.pool.list() {
		w.pool.mu.Lock()
		isMember := r.rank == 1 && r.state == "ready" && len(r.membership.members) > len(r.id) && !hit[r.domain]
		w.pool.mu.Unlock()
		if isMember {
			hit[r.domain] = true
			r.restart()
		}
	}
}

// openHead returns the head of an open group, or nil.
func (w *world) openHead() *runner {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	var first *runner
	for _, r := range w.pool.runners {
		if r.rank == 0 && r.state == "open" && (first == nil || r.id < first.id) {
			first = r
		}
	}
	return first
}

// startAll starts the store, the runners and the entry VMs.
func (w *world) startAll() error {
	w.store = newStore()
	if err := w.listenStore(); err != nil {
		return err
	}
	c := newConfig()
	w.store.set("config", "main", c)
	w.pool = &pool{record: w.record, store: w.store, config: c, runners: map[string]*runner{}}
	for i := range len(zones) * runnersPerDomain {
		zone := zones[i%len(zones)]
		id, address := fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("%s.3:%d", w.subnet, 20001+i)
		if err := w.pool.add(id, zone, zone+"-d0", address); err != nil {
			return fmt.Errorf("start runner: %w", err)
		}
	}
	w.clients = &clients{world: w}
	for i := range len(zones) * nodesPerZone {
		if err := w.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// listenStore listens at the store's addresses, one for each entry VM, in a part of the
// loopback network that nothing else uses.
func (w *world) listenStore() error {
	for n := range 100 {
		w.subnet = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, n+1)
		first, err := net.Listen("tcp4", w.storeAddress(0))
		if err != nil {
			continue
		}
		listeners := []net.Listener{first}
		for i := 1; i < len(zones)*nodesPerZone; i++ {
			l, err := net.Listen("tcp4", w.storeAddress(i))
			if err != nil {
				return fmt.Errorf("listen for the store: %w", err)
			}
			listeners = append(listeners, l)
		}
		for _, l := range listeners {
			x := &link{Listener: l}
			w.storeLinks = append(w.storeLinks, x)
			go func() { _ = http.Serve(x, w.store) }()
		}
		return nil
	}
	return fmt.Errorf("no free loopback address for the store")
}

// storeAddress returns the address at which the i-th entry VM reaches the store.
func (w *world) storeAddress(i int) string { return fmt.Sprintf("%s.1:%d", w.subnet, 7000+i) }

const settings = `node_name = "edge-%[1]d"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "%[3]s"
region = "southeast"
port_range = [7340,7355]
seed_nodes = []
bootstrap = true
heartbeat_interval_ms = 1200
[listen]
frontend = "%[2]s:8227"
readiness = "%[2]s:8220"
[limits]
cpu_quota = 0.4
cpu_cores = 1
memory_mb = 284
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
fencing_required = true
origin_window_s = 5
origin_overshoot = 1.1
[platform]
address = "%[4]s"
form = "objects"
`

// nodeIP returns the address of the i-th entry VM.
func (w *world) nodeIP(i int) string { return fmt.Sprintf("%s.%d", w.subnet, 10+i) }

// startNode starts the process of the i-th entry VM with the command of the deploy file.
func (w *world) startNode(i int) error {
	path := filepath.Join(w.dir, fmt.Sprintf("edge-%d.toml", i+1))
	text := fmt.Sprintf(settings, i+1, w.nodeIP(i), zones[i%len(zones)], w.storeAddress(i))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(w.logs, fmt.Sprintf("edge-%d.log", i+1)))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer log.Close() //nolint:errcheck
	cmd := exec.Command(w.program, "serve", "--platform")
	cmd.Env = append(os.Environ(), "MARJORAMMOOR_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	w.nodes = append(w.nodes, cmd)
	return nil
}

// stop ends all processes that were started.
func (w *world) stop() {
	for _, n := range w.nodes {
		_ = n.Process.Kill()
		_ = n.Wait()
	}
}
