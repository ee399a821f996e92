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

// maxServedAfterLoss is how long after the loss of a VM its replica may still run
// new requests: the lifetime of a proof and one refresh of the routing.
const maxServedAfterLoss = 2600 * time.Millisecond

// executions returns the requests that each runner ran, by the runner's name.
func (c *cluster) executions() (map[string][]engine.Execution, error) {
	all := map[string][]engine.Execution{}
	for _, p := range c.procs {
		if p.recordPath == "" {
			continue
		}
		f, err := os.Open(p.recordPath)
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
				break // The process was killed while it wrote this line.
			}
			all[p.name] = append(all[p.name], x)
		}
		_ = f.Close()
	}
	return all, nil
}

// checkWhole checks that no caller received a wrong or silently truncated response.
func (c *cluster) checkWhole() error {
	for _, o := range c.traffic.operations() {
		if o.problem != "" {
			return fmt.Errorf("%s %s at %s: %s", o.kind, o.id, o.node, o.problem)
		}
	}
	return nil
}

// checkOnce checks that no order ran twice, that an order did not run if every
// attempt ended as "not run", and that a completed order ran.
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
			return fmt.Errorf("order %s was reported as completed but did not run", o.id)
		}
	}
	for id, count := range ran {
		if count > 1 {
			return fmt.Errorf("order %s ran %d times", id, count)
		}
		if may, ok := mayHaveRun[id]; ok && !may {
			return fmt.Errorf("order %s ran although every attempt was reported as not run", id)
		}
	}
	return c.checkKeyed()
}

// checkKeyed checks for each idempotency key that all completed attempts were
// answered by the same execution.
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

// keyModel is a write-once register per key, set by the first execution.
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

// assignments returns every version of every assignment that was ever stored, parsed
// and as stored objects, in the same order.
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

// checkExclusive checks that no version of an assignment has a VM in two replicas,
// that epochs never decrease, and that no VM moved from one replica to another
// without being released or restarting with a new boot ID.
func (c *cluster) checkExclusive() error {
	specs, objects, err := c.assignments()
	if err != nil {
		return err
	}
	previous := map[string]parser.AssignmentSpec{}
	for i, a := range specs {
		replicas := map[string]parser.ReplicaRef{}
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				if o, ok := replicas[m.VM]; ok {
					return fmt.Errorf("version %d: VM %s is in replicas %s and %s", objects[i].Version, m.VM, o.ID, r.ID)
				}
				replicas[m.VM] = r
			}
		}
		if old := previous[a.Domain]; a.LastEpoch < old.LastEpoch {
			return fmt.Errorf("version %d: epoch decreased from %d to %d", objects[i].Version, old.LastEpoch, a.LastEpoch)
		}
		if err := checkMoves(previous[a.Domain], replicas, objects[i].Version); err != nil {
			return err
		}
		previous[a.Domain] = a
	}
	return nil
}

// checkMoves checks that a VM that is now in another replica was released by the old
// one or has a new boot ID. replicas has the current replica of each VM.
func checkMoves(old parser.AssignmentSpec, replicas map[string]parser.ReplicaRef, version int64) error {
	for _, r := range old.Replicas {
		for _, m := range r.Members {
			current, ok := replicas[m.VM]
			if !ok || current.ID == r.ID || r.State == parser.ReplicaReleasing || current.State == parser.ReplicaReleasing {
				continue
			}
			for _, x := range current.Members {
				if x.VM == m.VM && x.BootID == m.BootID {
					return fmt.Errorf("version %d: VM %s moved from %s to %s without being released", version, m.VM, r.ID, current.ID)
				}
			}
		}
	}
	return nil
}

// checkServed checks that no replica ran a new request while one of its VMs had been
// stopped for longer than maxServedAfterLoss.
func (c *cluster) checkServed() error {
	all, err := c.executions()
	if err != nil {
		return err
	}
	specs, _, err := c.assignments()
	if err != nil {
		return err
	}
	type replicaKey struct {
		head  string
		epoch string
	}
	members := map[replicaKey]map[string]bool{}
	for _, a := range specs {
		for _, r := range a.Replicas {
			s := replicaKey{r.Members[0].VM, fmt.Sprint(r.Epoch)}
			members[s] = map[string]bool{}
			for _, m := range r.Members {
				members[s][m.VM] = true
			}
		}
	}
	for head, list := range all {
		for _, x := range list {
			for _, d := range c.outages() {
				if members[replicaKey{head, x.Epoch}][d.vm] && x.At.After(d.from.Add(maxServedAfterLoss)) && x.At.Before(d.to) {
					return fmt.Errorf("%s ran %s at epoch %s, %s after its VM %s was lost", head, x.Attempt, x.Epoch, x.At.Sub(d.from), d.vm)
				}
			}
		}
	}
	return nil
}

// outages returns the periods during which VMs were killed or frozen. A period that
// has not ended lasts until now.
func (c *cluster) outages() []outage {
	list := append([]outage{}, c.endedOutages...)
	for _, p := range c.procs {
		if !p.stoppedAt.IsZero() {
			list = append(list, outage{vm: p.name, from: p.stoppedAt, to: time.Now()})
		}
	}
	return list
}

// checkQuiet checks that a runner started no request after a time.
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

// watchRevisions polls the configuration of every node and records a failure for
// each object version or revision that decreases on a node.
func (c *cluster) watchRevisions(ctx context.Context) {
	seen := map[string]map[parser.Key]int64{}
	for ctx.Err() == nil {
		for _, p := range c.procs {
			if p.isNode {
				c.checkNode(p, seen)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkNode compares the object versions and the revision on a node with those of the
// previous read. Reads while the node is not ready or restarts are skipped.
func (c *cluster) checkNode(p *process, seen map[string]map[parser.Key]int64) {
	if p.isFrozen.Load() || c.readyIncarnation(p) == "" {
		return
	}
	for _, kind := range []parser.Kind{parser.KindTeam, parser.KindDeployment, parser.KindPool} {
		incarnation := c.readyIncarnation(p)
		l := client.ObjectList{}
		if err := c.getJSON(p.admin, "/v1/objects/"+string(kind), "", &l); err != nil || l.Revision == 0 {
			return
		}
		if incarnation == "" || c.readyIncarnation(p) != incarnation {
			return // The node is not ready, or restarted during the read.
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

// readyIncarnation returns the incarnation of a node that is ready, or "".
func (c *cluster) readyIncarnation(p *process) string {
	s := adminserver.Status{}
	if err := c.getJSON(p.admin, "/v1/status", "", &s); err != nil || !s.Ready {
		return ""
	}
	return s.Incarnation
}
