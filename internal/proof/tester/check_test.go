package tester

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/anishathalye/porcupine"

	adminserver "marjorammoor/internal/admin/server"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/standin/engine"
)

// servedBound is how long after a VM is lost its replica may still be sent new
// requests: the lifetime of a proof and one refresh of the routing.
const servedBound = 2600 * time.Millisecond

// executions returns what each runner has run, by runner.
func (c *cluster) executions() (map[string][]engine.Execution, error) {
	all := map[string][]engine.Execution{}
	for _, p := range c.procs {
		if p.record == "" {
			continue
		}
		f, err := os.Open(p.record)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			x := engine.Execution{}
			if err := json.Unmarshal(lines.Bytes(), &x); err != nil {
				break // The process was killed in the middle of a line.
			}
			all[p.name] = append(all[p.name], x)
		}
		_ = f.Close()
	}
	return all, nil
}

// checkWhole makes sure that no caller saw a wrong or silently short answer.
func (c *cluster) checkWhole() error {
	for _, o := range c.traffic.operations() {
		if o.problem != "" {
			return fmt.Errorf("%s %s at %s: %s", o.kind, o.id, o.node, o.problem)
		}
	}
	return nil
}

// checkOnce makes sure that no order ran twice, that an order whose every
// attempt was told "not run" did not run, and that completed ones ran.
func (c *cluster) checkOnce() error {
	all, err := c.executions()
	if err != nil {
		return err
	}
	ran := map[string]int{}
	for _, list := range all {
		for _, x := range list {
			b := struct {
				Order string `json:"order"`
			}{}
			if json.Unmarshal([]byte(x.Body), &b) == nil && b.Order != "" {
				ran[b.Order]++
			}
		}
	}
	mayHaveRun := map[string]bool{}
	for _, o := range c.traffic.operations() {
		if o.kind != "order" {
			continue
		}
		if o.outcome != responder.NotRun {
			mayHaveRun[o.id] = true
		} else if _, ok := mayHaveRun[o.id]; !ok {
			mayHaveRun[o.id] = false
		}
		if o.outcome == responder.Completed && ran[o.id] == 0 {
			return fmt.Errorf("order %s was told completed but did not run", o.id)
		}
	}
	for id, n := range ran {
		if n > 1 {
			return fmt.Errorf("order %s ran %d times", id, n)
		}
		if may, ok := mayHaveRun[id]; ok && !may {
			return fmt.Errorf("order %s ran although every attempt was told not run", id)
		}
	}
	return c.checkKeyed()
}

// checkKeyed checks the history of each key: all attempts that completed were
// answered by one and the same execution.
func (c *cluster) checkKeyed() error {
	history := []porcupine.Operation{}
	for i, o := range c.traffic.operations() {
		if o.kind == "order" && o.outcome == responder.Completed && c.traffic.spec.Keyed {
			history = append(history, porcupine.Operation{
				ClientId: i, Input: o.id, Output: o.attempt, Call: o.from.UnixNano(), Return: o.to.UnixNano(),
			})
		}
	}
	if !porcupine.CheckOperations(keyModel, history) {
		return fmt.Errorf("attempts with one key were answered by different executions")
	}
	return nil
}

// keyModel is a register per key that is written once, by the first execution.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		return partition(history, func(o porcupine.Operation) string { return o.Input.(string) })
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		return state == "" || state == output, output
	},
}

func partition(history []porcupine.Operation, key func(porcupine.Operation) string) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, o := range history {
		parts[key(o)] = append(parts[key(o)], o)
	}
	list := [][]porcupine.Operation{}
	for _, p := range parts {
		list = append(list, p)
	}
	return list
}

// assignments returns every version of every assignment that was ever stored.
func (c *cluster) assignments() ([]parser.AssignmentSpec, []parser.Object, error) {
	l := client.ObjectList{}
	if err := c.getJSON(c.platform, "/control/changes", "", &l); err != nil {
		return nil, nil, err
	}
	specs, objects := []parser.AssignmentSpec{}, []parser.Object{}
	for _, o := range l.Objects {
		if o.Kind != parser.KindAssignment {
			continue
		}
		a, err := parser.Assignment(o.Body)
		if err != nil {
			return nil, nil, err
		}
		specs, objects = append(specs, *a), append(objects, o)
	}
	return specs, objects, nil
}

// checkExclusive makes sure that no version of an assignment has a VM in two
// replicas, that epochs only grow, and that no VM left a replica for another
// without having been released or having a new boot identity.
func (c *cluster) checkExclusive() error {
	specs, objects, err := c.assignments()
	if err != nil {
		return err
	}
	before := map[string]parser.AssignmentSpec{}
	for i, a := range specs {
		holder := map[string]parser.ReplicaRef{}
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				if o, ok := holder[m.VM]; ok {
					return fmt.Errorf("version %d: VM %s is in replicas %s and %s", objects[i].Version, m.VM, o.ID, r.ID)
				}
				holder[m.VM] = r
			}
		}
		if old := before[a.Domain]; a.LastEpoch < old.LastEpoch {
			return fmt.Errorf("version %d: epoch fell from %d to %d", objects[i].Version, old.LastEpoch, a.LastEpoch)
		}
		if err := checkMoves(before[a.Domain], holder, objects[i].Version); err != nil {
			return err
		}
		before[a.Domain] = a
	}
	return nil
}

// checkMoves makes sure that a VM that is in another replica than before was
// released before, or has a new boot identity.
func checkMoves(old parser.AssignmentSpec, holder map[string]parser.ReplicaRef, version int64) error {
	for _, r := range old.Replicas {
		for _, m := range r.Members {
			now, ok := holder[m.VM]
			if !ok || now.ID == r.ID || r.State == parser.ReplicaReleasing || now.State == parser.ReplicaReleasing {
				continue
			}
			for _, x := range now.Members {
				if x.VM == m.VM && x.BootID == m.BootID {
					return fmt.Errorf("version %d: VM %s went from %s to %s without being released", version, m.VM, r.ID, now.ID)
				}
			}
		}
	}
	return nil
}

// checkServed makes sure that no replica ran a new request while one of its VMs
// had been gone for longer than the bound.
func (c *cluster) checkServed() error {
	all, err := c.executions()
	if err != nil {
		return err
	}
	specs, _, err := c.assignments()
	if err != nil {
		return err
	}
	type serving struct {
		head  string
		epoch string
	}
	members := map[serving]map[string]bool{}
	for _, a := range specs {
		for _, r := range a.Replicas {
			s := serving{r.Members[0].VM, fmt.Sprint(r.Epoch)}
			members[s] = map[string]bool{}
			for _, m := range r.Members {
				members[s][m.VM] = true
			}
		}
	}
	for head, list := range all {
		for _, x := range list {
			for _, d := range c.outages() {
				if members[serving{head, x.Epoch}][d.vm] && x.At.After(d.from.Add(servedBound)) && x.At.Before(d.to) {
					return fmt.Errorf("%s ran %s at epoch %s, %s after its VM %s was lost", head, x.Attempt, x.Epoch, x.At.Sub(d.from), d.vm)
				}
			}
		}
	}
	return nil
}

// outages returns the times during which VMs did not run, until now for those
// that still do not.
func (c *cluster) outages() []outage {
	list := append([]outage{}, c.downs...)
	for _, p := range c.procs {
		if !p.downAt.IsZero() {
			list = append(list, outage{vm: p.name, from: p.downAt, to: time.Now()})
		}
	}
	return list
}

// checkQuiet makes sure that a runner ran nothing new in a time.
func (c *cluster) checkQuiet(vm string, from time.Time) error {
	all, err := c.executions()
	if err != nil {
		return err
	}
	for _, x := range all[vm] {
		if x.At.After(from) {
			return fmt.Errorf("%s ran %s at %s, %s too late", vm, x.Attempt, x.At, x.At.Sub(from))
		}
	}
	return nil
}

// watchRevisions reads every node's configuration again and again, and notes
// each object or revision that goes back on a node.
func (c *cluster) watchRevisions(ctx context.Context) {
	seen := map[string]map[parser.Key]int64{}
	for ctx.Err() == nil {
		for _, p := range c.procs {
			if p.isNode {
				c.watchNode(p, seen)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) watchNode(p *process, seen map[string]map[parser.Key]int64) {
	if p.frozen.Load() || c.readyAs(p) == "" {
		return
	}
	for _, kind := range []parser.Kind{parser.KindTeam, parser.KindDeployment, parser.KindPool} {
		before := c.readyAs(p)
		l := client.ObjectList{}
		if err := c.getJSON(p.admin, "/v1/objects/"+string(kind), "", &l); err != nil || l.Revision == 0 {
			return
		}
		if before == "" || c.readyAs(p) != before {
			return // The node was restarted in between, or is not ready.
		}
		if seen[p.name] == nil {
			seen[p.name] = map[parser.Key]int64{}
		}
		present := map[parser.Key]bool{}
		for _, o := range l.Objects {
			present[o.Key()] = true
			if o.Version < seen[p.name][o.Key()] {
				c.failures.add("%s: %s went back from version %d to %d", p.name, o.Key(), seen[p.name][o.Key()], o.Version)
			}
			seen[p.name][o.Key()] = o.Version
		}
		for k := range seen[p.name] {
			if k.Kind == kind && !present[k] {
				delete(seen[p.name], k)
			}
		}
		key := parser.Key{Kind: "revision"}
		if l.Revision < seen[p.name][key] {
			c.failures.add("%s: revision went back from %d to %d", p.name, seen[p.name][key], l.Revision)
		}
		seen[p.name][key] = l.Revision
	}
}

// readyAs returns what a node that is ready calls its incarnation, or "".
func (c *cluster) readyAs(p *process) string {
	s := adminserver.Status{}
	if err := c.getJSON(p.admin, "/v1/status", "", &s); err != nil || !s.Ready {
		return ""
	}
	return s.Incarnation
}
