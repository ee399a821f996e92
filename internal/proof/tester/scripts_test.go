package tester

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	adminserver "marjorammoor/internal/admin/server"
	"marjorammoor/internal/cli/commander"
	"marjorammoor/internal/cli/starter"
	"marjorammoor/internal/gateway/responder"
)

// atOnce is how many scripts run at the same time.
const atOnce = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("test.parallel").Value.String() == flag.Lookup("test.parallel").DefValue {
		_ = flag.Set("test.parallel", atOnce)
	}
	testscript.Main(m, map[string]func(){
		"marjorammoor": func() { os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":      func() { os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cluster":        startCluster,
			"serving":        forCluster(serving),
			"crash":          forCluster(eachProcess((*cluster).killProcess)),
			"freeze":         forCluster(eachProcess((*cluster).freezeProcess)),
			"thaw":           forCluster(eachProcess((*cluster).thawProcess)),
			"start":          forCluster(eachProcess((*cluster).startProcess)),
			"terminate":      forCluster(eachProcess((*cluster).stopProcess)),
			"cut":            forCluster(cut),
			"heal":           forCluster(heal),
			"platform":       forCluster(platformFaults),
			"runner":         forCluster(runnerFaults),
			"vm":             forCluster(changeVM),
			"traffic":        forCluster(runTraffic),
			"check":          forCluster(check),
			"pass":           forCluster(waitTime),
			"metric":         forCluster(metric),
			"race":           forCluster(race),
			"in_force":       forCluster(inForce),
			"forget_changes": forCluster(forgetChanges),
			"refused":        forCluster(refused),
			"ready":          forCluster(ready),
			"slow_headers":   forCluster(slowHeaders),
		},
	})
}

func startCluster(ts *testscript.TestScript, _ bool, args []string) {
	l := layout{}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &l))
	c := newCluster(l, ts.MkAbs("."), ts.Getenv("PATH"), ts.Logf)
	ts.Defer(func() {
		c.close()
		for _, f := range c.failures.list {
			ts.Fatalf("%s", f)
		}
	})
	setCluster(ts, c)
	ts.Check(c.start())
	for name, p := range c.procs {
		ts.Setenv(strings.ReplaceAll(name, "-", "_")+"_admin", p.admin)
		ts.Setenv(strings.ReplaceAll(name, "-", "_")+"_peer", p.peer)
		ts.Setenv(strings.ReplaceAll(name, "-", "_"), p.address)
	}
}

var running = struct {
	byScript map[*testscript.TestScript]*cluster
	guard    chan struct{}
}{map[*testscript.TestScript]*cluster{}, make(chan struct{}, 1)}

func setCluster(ts *testscript.TestScript, c *cluster) {
	running.guard <- struct{}{}
	running.byScript[ts] = c
	<-running.guard
}

// forCluster makes a script command of a function that returns an error.
func forCluster(run func(c *cluster, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		running.guard <- struct{}{}
		c := running.byScript[ts]
		<-running.guard
		for i, a := range args {
			if strings.HasSuffix(a, ".json") {
				args[i] = ts.ReadFile(a)
			}
		}
		err := run(c, args)
		switch {
		case neg && err == nil:
			ts.Fatalf("unexpected success")
		case neg:
			ts.Logf("failed as expected: %v", err)
		default:
			ts.Check(err)
		}
	}
}

func eachProcess(do func(*cluster, *process) error) func(*cluster, []string) error {
	return func(c *cluster, names []string) error {
		for _, name := range names {
			p, err := c.process(name)
			if err == nil {
				err = do(c, p)
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
}

func (c *cluster) killProcess(p *process) error {
	p.down()
	return p.kill()
}

func (c *cluster) freezeProcess(p *process) error {
	p.frozen.Store(true)
	p.down()
	return p.signal(syscall.SIGSTOP)
}

func (c *cluster) thawProcess(p *process) error {
	c.up(p)
	p.frozen.Store(false)
	return p.signal(syscall.SIGCONT)
}

func (c *cluster) startProcess(p *process) error {
	c.up(p)
	return p.start(c)
}

func (c *cluster) stopProcess(p *process) error {
	return p.terminate(30 * time.Second)
}

func (p *process) down() { p.downAt = time.Now() }

func (c *cluster) up(p *process) {
	if !p.downAt.IsZero() {
		c.downs = append(c.downs, outage{vm: p.name, from: p.downAt, to: time.Now()})
		p.downAt = time.Time{}
	}
}

func (c *cluster) status(node string) (adminserver.Status, error) {
	s := adminserver.Status{}
	return s, c.getJSON(c.procs[node].admin, "/v1/status", "", &s)
}

// serving waits: serving NODE DEPLOYMENT COUNT WITHIN.
func serving(c *cluster, args []string) error {
	wanted, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	within, err := time.ParseDuration(args[3])
	if err != nil {
		return err
	}
	began := time.Now()
	err = waitFor(within, func() error {
		s, err := c.status(args[0])
		if err != nil {
			return err
		}
		for _, d := range s.Deployments {
			if d.Name == args[1] && d.Serving == wanted {
				return nil
			}
		}
		return fmt.Errorf("status %+v", s.Deployments)
	})
	c.log("%d replicas of %s serving after %s", wanted, args[1], time.Since(began).Round(10*time.Millisecond))
	return err
}

// ready NODE WITHIN: waits until the balancer would send callers to the node.
func ready(c *cluster, args []string) error {
	within, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	p, err := c.process(args[0])
	if err != nil {
		return err
	}
	return waitFor(within, func() error {
		if !p.ready.Load() {
			return fmt.Errorf("%s is not ready", p.name)
		}
		return nil
	})
}

// cut FROM TO [up|down|both]
func cut(c *cluster, args []string) error {
	direction := "both"
	if len(args) > 2 {
		direction = args[2]
	}
	return c.cut(args[0], args[1], direction)
}

func heal(c *cluster, args []string) error {
	c.heal(args[0], args[1])
	return nil
}

func platformFaults(c *cluster, args []string) error {
	return call(http.MethodPost, c.platform, "/control", "", json.RawMessage(args[0]), nil)
}

// forget_changes makes every watch's revision too old.
func forgetChanges(c *cluster, _ []string) error {
	return call(http.MethodPost, c.platform, "/control/drop_changes", "", nil, nil)
}

// runner VM FAULTS
func runnerFaults(c *cluster, args []string) error {
	p, err := c.process(args[0])
	if err != nil {
		return err
	}
	return call(http.MethodPost, p.address, "/control", "", json.RawMessage(args[1]), nil)
}

// vm leaving|staying|remove|add NAME
func changeVM(c *cluster, args []string) error {
	p, err := c.process(args[1])
	if err != nil {
		return err
	}
	v := p.vm
	switch args[0] {
	case "remove":
		return call(http.MethodDelete, c.platform, "/control/vms/"+v.Name, "", nil, nil)
	case "leaving":
		v.Leaving = true
	}
	return c.putVM(v)
}

// traffic start FILE, traffic end
func runTraffic(c *cluster, args []string) error {
	if args[0] == "end" {
		c.traffic.stop()
		counts := map[string]int{}
		for _, o := range c.traffic.operations() {
			counts[fmt.Sprintf("%s %s %s", o.kind, o.outcome, o.reason)]++
		}
		c.log("traffic: %v", counts)
		return nil
	}
	s := trafficSpec{}
	if err := json.Unmarshal([]byte(args[1]), &s); err != nil {
		return err
	}
	c.traffic = c.startTraffic(s)
	return nil
}

// check whole|once|exclusive|served|answered, check quiet VM BACK,
// check completed KIND PERCENT BACK, check none KIND OUTCOME
func check(c *cluster, args []string) error {
	switch args[0] {
	case "whole":
		return c.checkWhole()
	case "once":
		return c.checkOnce()
	case "exclusive":
		return c.checkExclusive()
	case "served":
		return c.checkServed()
	case "quiet":
		back, err := time.ParseDuration(args[2])
		if err != nil {
			return err
		}
		return c.checkQuiet(args[1], time.Now().Add(-back))
	case "completed":
		return c.checkCompleted(args[1], args[2], args[3])
	case "answered":
		return c.checkAnswered()
	case "none":
		return c.checkNone(args[1], responder.Outcome(args[2]))
	default:
		return fmt.Errorf("no check %s", args[0])
	}
}

// checkCompleted makes sure that of the operations that began within a time
// before now at least a percentage completed.
func (c *cluster) checkCompleted(kind, percent, back string) error {
	wanted, err := strconv.ParseFloat(percent, 64)
	if err != nil {
		return err
	}
	within, err := time.ParseDuration(back)
	if err != nil {
		return err
	}
	all, done := 0, 0
	for _, o := range c.traffic.operations() {
		if o.kind == kind && time.Since(o.from) < within {
			all++
			if o.outcome == responder.Completed {
				done++
			}
		}
	}
	if all == 0 || 100*float64(done)/float64(all) < wanted {
		return fmt.Errorf("%d of %d completed", done, all)
	}
	return nil
}

// checkAnswered makes sure that every call that a node took was answered: a
// caller may at worst find no node listening.
func (c *cluster) checkAnswered() error {
	for _, o := range c.traffic.operations() {
		isRefused := o.reason == "no answer" && o.refused
		if o.outcome != responder.Completed && !isRefused {
			return fmt.Errorf("%s %s at %s: %s %s", o.kind, o.id, o.node, o.outcome, o.reason)
		}
	}
	return nil
}

func (c *cluster) checkNone(kind string, outcome responder.Outcome) error {
	for _, o := range c.traffic.operations() {
		if o.kind == kind && o.outcome == outcome {
			return fmt.Errorf("%s %s at %s: %s %s", o.kind, o.id, o.node, o.outcome, o.reason)
		}
	}
	return nil
}

func waitTime(_ *cluster, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// metric NODE NAME MIN: the sum of all series of a name.
func metric(c *cluster, args []string) error {
	a, err := direct.Get("http://" + c.procs[args[0]].admin + "/metrics")
	if err != nil {
		return err
	}
	defer a.Body.Close() //nolint:errcheck
	text := &strings.Builder{}
	if err := a.Write(text); err != nil {
		return err
	}
	sum := 0.0
	for _, line := range strings.Split(text.String(), "\n") {
		if strings.HasPrefix(line, args[1]) {
			fields := strings.Fields(line)
			v, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			sum += v
		}
	}
	least, err := strconv.ParseFloat(args[2], 64)
	if err == nil && sum < least {
		err = fmt.Errorf("%s is %v", args[1], sum)
	}
	return err
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
