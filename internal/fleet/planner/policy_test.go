package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// outage is one failure of a trace.
type outage struct {
	vm   string
	at   time.Duration
	long time.Duration
	// keepsBoot says that the VM was only silent.
	keepsBoot bool
}

// failureTrace draws a day's failures of a fabric domain: a third are silences
// of seconds, a third restarts of a minute, and a third failures of ten minutes.
func failureTrace(seed uint64, vms int, day time.Duration, failures int) []outage {
	r := rand.New(rand.NewPCG(seed, 1))
	list := []outage{}
	for range failures {
		o := outage{vm: fmt.Sprintf("vm-%d", r.IntN(vms)), at: time.Duration(r.Int64N(int64(day)))}
		switch r.IntN(3) {
		case 0:
			o.long, o.keepsBoot = time.Duration(3+r.IntN(60))*time.Second, true
		case 1:
			o.long = time.Duration(30+r.IntN(60)) * time.Second
		default:
			o.long = time.Duration(5+r.IntN(10)) * time.Minute
		}
		list = append(list, o)
	}
	return list
}

// losses are what a policy cost.
type losses struct{ downtime, stranded, price float64 }

// replay runs one policy against a trace, a second at a time.
func replay(trace []outage, vms, size, replicas int, weights parser.Weights, reload time.Duration, isPlain bool, day time.Duration) losses {
	w := newWorld(vms, size, replicas)
	w.deployment.Weights = weights
	ready := map[string]time.Duration{}
	l := losses{}
	for now := time.Duration(0); now < day; now += step {
		for _, o := range trace {
			m := w.vms[o.vm]
			switch now {
			case o.at.Truncate(step):
				m.reachable, m.alive = false, o.keepsBoot
			case (o.at + o.long).Truncate(step):
				m.reachable = true
				if !m.alive {
					m.alive = true
					m.boot()
				}
			}
		}
		w.planOnce(isPlain, reload)
		w.load(ready, now, reload)
		serving := w.servingNow()
		l.downtime += float64(replicas - serving)
		l.stranded += float64(vms - serving*size)
	}
	l.price = l.downtime*weights.GroupDowntime + l.stranded*weights.StrandedAccelerators
	return l
}

func (w *world) planOnce(isPlain bool, reload time.Duration) {
	v := &w.views[0]
	in := Input{
		DataCenter: "vake", Assignments: map[string]parser.AssignmentSpec{"vake--a": w.stored}, Since: v.since,
		VMs: map[string]*VM{}, Deployments: map[string]*parser.DeploymentSpec{"mat": w.deployment}, Plain: isPlain,
		NewID:  func() string { w.ids++; return fmt.Sprint(w.ids) },
		Timing: Timing{Reload: reload, SilentReturn: 30 * time.Second, GoneReturn: 5 * time.Minute},
	}
	for name, m := range w.vms {
		seen := m.alive && m.reachable
		v.silent[name] += step
		if seen {
			v.silent[name] = 0
		}
		in.VMs[name] = &VM{
			Name: name, Address: name, Domain: "a", Pool: "press", Listed: true, Fresh: seen || !m.alive, Gone: !m.alive,
			Identity: m.id, SilentFor: v.silent[name],
		}
	}
	if next, ok := Plan(in).Changed["vake--a"]; ok {
		w.stored = next
	}
	for _, r := range w.stored.Replicas {
		v.since[r.ID] += step
	}
}

// load has VMs obey, and be ready a reload later unless they hold the weights.
func (w *world) load(ready map[string]time.Duration, now, reload time.Duration) {
	for _, r := range w.stored.Replicas {
		for _, m := range r.Members {
			v := w.vms[m.VM]
			if !v.alive || !v.reachable || v.id.BootID != m.BootID {
				continue
			}
			if r.State == parser.ReplicaReleasing {
				v.id = caller.Identity{VM: v.name, BootID: v.id.BootID, State: caller.StateIdle, Epoch: r.Epoch}
				continue
			}
			if v.id.Replica != r.ID || v.id.Epoch != r.Epoch {
				ready[v.name] = now + reload
				if v.id.State == caller.StateReady {
					ready[v.name] = now
				}
				v.id.Replica, v.id.Epoch, v.id.State = r.ID, r.Epoch, caller.StateLoading
			}
			if now >= ready[v.name] {
				v.id.State = caller.StateReady
			}
		}
	}
}

func (w *world) servingNow() int {
	n := 0
	for _, r := range w.stored.Replicas {
		whole := r.State == parser.ReplicaAssigned
		for _, m := range r.Members {
			v := w.vms[m.VM]
			whole = whole && v.alive && v.reachable && v.id.BootID == m.BootID && v.id.Epoch == r.Epoch && v.id.State == caller.StateReady
		}
		if whole {
			n++
		}
	}
	return n
}

// BenchmarkPolicies reports the group downtime and the stranded VM seconds of a
// day with 40 failures in one fabric domain, for the weights of both users and
// the plainest policy, on the same 20 traces.
func BenchmarkPolicies(b *testing.B) {
	const day = 4 * time.Hour
	sizes := []struct {
		name                string
		vms, size, replicas int
		reload              time.Duration
	}{
		{"8_VMs,2_spares,reload_60s", 34, 8, 4, time.Minute},
		{"8_VMs,no_spare,reload_60s", 32, 8, 4, time.Minute},
		{"8_VMs,2_spares,reload_5m", 34, 8, 4, 5 * time.Minute},
		{"4_VMs,no_spare,reload_30s", 32, 4, 8, 30 * time.Second},
	}
	policies := []struct {
		name    string
		weights parser.Weights
		isPlain bool
	}{
		{"plain", parser.Weights{GroupDowntime: 1, StrandedAccelerators: 1}, true},
		{"threshold", parser.Weights{GroupDowntime: 20, StrandedAccelerators: 1}, false},
		{"piedmont", parser.Weights{GroupDowntime: 1, StrandedAccelerators: 2}, false},
	}
	for _, s := range sizes {
		for _, p := range policies {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				total := losses{}
				for b.Loop() {
					total = losses{}
					for seed := range uint64(20) {
						l := replay(failureTrace(seed, s.vms, day, 40), s.vms, s.size, s.replicas, p.weights, s.reload, p.isPlain, day)
						total.downtime += l.downtime / 20
						total.stranded += l.stranded / 20
					}
				}
				b.ReportMetric(total.downtime, "downtime_s")
				b.ReportMetric(total.stranded, "stranded_VM_s")
			})
		}
	}
}
