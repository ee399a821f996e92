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

// parallelScripts is how many scripts run in parallel unless -test.parallel is set.
const parallelScripts = "3"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("test.parallel").Value.String() == flag.Lookup("test.parallel").DefValue {
		_ = flag.Set("test.parallel", parallelScripts)
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
			"pass":           forCluster(pass),
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

// clusters holds the cluster of each running script. lock is a channel used as a
// mutex.
var clusters = struct {
	byScript map[*testscript.TestScript]*cluster
	lock     chan struct{}
}{map[*testscript.TestScript]*cluster{}, make(chan struct{}, 1)}

func setCluster(ts *testscript.TestScript, c *cluster) {
	clusters.lock <- struct{}{}
	clusters.byScript[ts] = c
	<-clusters.lock
}

// forCluster returns a script command that calls run with the script's cluster. An
// argument that ends in ".json" is replaced by the content of that file.
func forCluster(run func(c *cluster, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		clusters.lock <- struct{}{}
		c := clusters.byScript[ts]
		<-clusters.lock
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
	p.markStopped()
	return p.kill()
}

func (c *cluster) freezeProcess(p *process) error {
	p.isFrozen.Store(true)
	p.markStopped()
	return p.signal(syscall.SIGSTOP)
}

func (c *cluster) thawProcess(p *process) error {
	c.markRunning(p)
	p.isFrozen.Store(false)
	return p.signal(syscall.SIGCONT)
}

func (c *cluster) startProcess(p *process) error {
	c.markRunning(p)
	return p.start(c)
}

func (c *cluster) stopProcess(p *process) error {
	return p.terminate(30 * time.Second)
}

func (p *process) markStopped() { p.stoppedAt = time.Now() }

func (c *cluster) markRunning(p *process) {
	if !p.stoppedAt.IsZero() {
		c.endedOutages = append(c.endedOutages, outage{vm: p.name, from: p.stoppedAt, to: time.Now()})
		p.stoppedAt = time.Time{}
	}
}

func (c *cluster) status(node string) (adminserver.Status, error) {
	s := adminserver.Status{}
	return s, c.getJSON(c.procs[node].admin, "/v1/status", "", &s)
}

// serving NODE DEPLOYMENT COUNT WITHIN: waits until the node reports that COUNT
// replicas of the deployment serve.
func serving(c *cluster, args []string) error {
	wanted, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	within, err := time.ParseDuration(args[3])
	if err != nil {
		return err
	}
	startedAt := time.Now()
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
	c.log("%d replicas of %s serving after %s", wanted, args[1], time.Since(startedAt).Round(10*time.Millisecond))
	return err
}

// ready NODE WITHIN: waits until the node's readiness probe succeeds.
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
		if !p.isReady.Load() {
			return fmt.Errorf("%s is not ready", p.name)
		}
		return nil
	})
}

// cut FROM TO [up|down|both]: drops data on the links from FROM to TO.
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

// forget_changes: makes the platform drop its changes, so that a watch from any
// earlier revision fails.
func forgetChanges(c *cluster, _ []string) error {
	return call(http.MethodPost, c.platform, "/control/drop_changes", "", nil, nil)
}

// runner VM FAULTS: replaces the injected faults of a runner.
func runnerFaults(c *cluster, args []string) error {
	p, err := c.process(args[0])
	if err != nil {
		return err
	}
	return call(http.MethodPost, p.address, "/control", "", json.RawMessage(args[1]), nil)
}

// vm leaving|staying|remove|add NAME: changes the VM's entry in the platform's list.
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

// traffic start FILE: starts callers as FILE describes.
// traffic end: stops them and logs the number of operations by outcome.
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

// check whole|once|exclusive|served|answered: runs the check of that name.
// check quiet VM PERIOD: the VM started no request within the last PERIOD.
// check completed KIND PERCENT PERIOD: see checkCompleted.
// check none KIND OUTCOME: no operation of the kind ended with the outcome.
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
		period, err := time.ParseDuration(args[2])
		if err != nil {
			return err
		}
		return c.checkQuiet(args[1], time.Now().Add(-period))
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

// checkCompleted checks that at least a percentage of the operations that started
// within the last period completed, and that there was at least one.
func (c *cluster) checkCompleted(kind, percent, period string) error {
	wanted, err := strconv.ParseFloat(percent, 64)
	if err != nil {
		return err
	}
	within, err := time.ParseDuration(period)
	if err != nil {
		return err
	}
	total, completed := 0, 0
	for _, o := range c.traffic.operations() {
		if o.kind == kind && time.Since(o.from) < within {
			total++
			if o.outcome == responder.Completed {
				completed++
			}
		}
	}
	if total == 0 || 100*float64(completed)/float64(total) < wanted {
		return fmt.Errorf("%d of %d completed", completed, total)
	}
	return nil
}

// checkAnswered checks that every operation completed, except those whose connection
// was refused because the node was not listening.
func (c *cluster) checkAnswered() error {
	for _, o := range c.traffic.operations() {
		isRefused := o.reason == "no response" && o.isConnRefused
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

func pass(_ *cluster, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// metric NODE NAME MIN: checks that the sum of all series whose text starts with NAME
// is at least MIN.
func metric(c *cluster, args []string) error {
	resp, err := directClient.Get("http://" + c.procs[args[0]].admin + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck
	text := &strings.Builder{}
	if err := resp.Write(text); err != nil {
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
