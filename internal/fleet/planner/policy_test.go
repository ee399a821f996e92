package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// outage is one failure of a VM in a failure trace.
type outage struct {
	vm string
	// at is the start of the outage, relative to the start of the trace.
	at       time.Duration
	duration time.Duration
	// keepsBootID is true if the VM is only unreachable. Otherwise it boots again
	// at the end of the outage.
	keepsBootID bool
}

// failureTrace returns random failures of VMs in one fabric domain within a period.
// On average, a third are silences of 3 to 62 s, a third restarts of 30 to 89 s and
// a third failures of 5 to 14 minutes.
func failureTrace(seed uint64, vms int, period time.Duration, failures int) []outage {
	r := rand.New(rand.NewPCG(seed, 1))
	list := []outage{}
	for range failures {
		o := outage{vm: fmt.Sprintf("vm-%d", r.IntN(vms)), at: time.Duration(r.Int64N(int64(period)))}
		switch r.IntN(3) {
		case 0:
			o.duration, o.keepsBootID = time.Duration(3+r.IntN(60))*time.Second, true
		case 1:
			o.duration = time.Duration(30+r.IntN(60)) * time.Second
		default:
			o.duration = time.Duration(5+r.IntN(10)) * time.Minute
		}
		list = append(list, o)
	}
	return list
}

// losses are the losses under one policy: the seconds of replica downtime, the
// seconds of VMs outside serving replicas, and their weighted sum.
type losses struct{ downtime, stranded, cost float64 }

// replay simulates one policy with a failure trace in steps of one second.
func replay(trace []outage, vms, size, replicas int, weights parser.Weights, reload time.Duration, isBaseline bool, period time.Duration) losses {
	s := newSimulation(vms, size, replicas)
	s.deployment.Weights = weights
	readyAt := map[string]time.Duration{}
	l := losses{}
	for now := time.Duration(0); now < period; now += step {
		for _, o := range trace {
			vm := s.vms[o.vm]
			switch now {
			case o.at.Truncate(step):
				vm.reachable, vm.alive = false, o.keepsBootID
			case (o.at + o.duration).Truncate(step):
				vm.reachable = true
				if !vm.alive {
					vm.alive = true
					vm.boot()
				}
			}
		}
		s.planOnce(isBaseline, reload)
		s.executeOrdersAt(readyAt, now, reload)
		serving := s.countReachable()
		l.downtime += float64(replicas - serving)
		l.stranded += float64(vms - serving*size)
	}
	l.cost = l.downtime*weights.GroupDowntime + l.stranded*weights.StrandedAccelerators
	return l
}

// planOnce plans with the stored assignment and stores the result unconditionally.
func (s *simulation) planOnce(isBaseline bool, reload time.Duration) {
	view := &s.views[0]
	in := Input{
		DataCenter: "vake", Assignments: map[string]parser.AssignmentSpec{"vake--a": s.stored}, InStateFor: view.inStateFor,
		VMs: map[string]*VM{}, Deployments: map[string]*parser.DeploymentSpec{"mat": s.deployment}, Baseline: isBaseline,
		NewID:  func() string { s.lastID++; return fmt.Sprint(s.lastID) },
		Timing: Timing{LoadTime: reload, SilentReturn: 30 * time.Second, ReplacementTime: 5 * time.Minute},
	}
	for name, vm := range s.vms {
		seen := vm.alive && vm.reachable
		view.silentFor[name] += step
		if seen {
			view.silentFor[name] = 0
		}
		in.VMs[name] = &VM{
			Name: name, Address: name, Domain: "a", Pool: "press", Listed: true, Observed: seen || !vm.alive, Down: !vm.alive,
			Identity: vm.id, SilentFor: view.silentFor[name],
		}
	}
	if next, ok := Plan(in).Changed["vake--a"]; ok {
		s.stored = next
	}
	for _, r := range s.stored.Replicas {
		view.inStateFor[r.ID] += step
	}
}

// executeOrdersAt lets all reachable VMs execute the orders of the stored assignment
// at the simulated time now. A VM becomes ready after the reload time, or at once if
// it was ready before and thus holds the weights already. readyAt holds, by VM, when
// its load finishes.
func (s *simulation) executeOrdersAt(readyAt map[string]time.Duration, now, reload time.Duration) {
	for _, r := range s.stored.Replicas {
		for _, m := range r.Members {
			v := s.vms[m.VM]
			if !v.alive || !v.reachable || v.id.BootID != m.BootID {
				continue
			}
			if r.State == parser.ReplicaReleasing {
				v.id = caller.Identity{VM: v.name, BootID: v.id.BootID, State: caller.StateIdle, Epoch: r.Epoch}
				continue
			}
			if v.id.Replica != r.ID || v.id.Epoch != r.Epoch {
				readyAt[v.name] = now + reload
				if v.id.State == caller.StateReady {
					readyAt[v.name] = now
				}
				v.id.Replica, v.id.Epoch, v.id.State = r.ID, r.Epoch, caller.StateLoading
			}
			if now >= readyAt[v.name] {
				v.id.State = caller.StateReady
			}
		}
	}
}

// countReachable returns the number of assigned replicas whose members are all
// reachable and ready.
func (s *simulation) countReachable() int {
	n := 0
	for _, r := range s.stored.Replicas {
		isServing := r.State == parser.ReplicaAssigned
		for _, m := range r.Members {
			v := s.vms[m.VM]
			isServing = isServing && v.alive && v.reachable && v.id.BootID == m.BootID && v.id.Epoch == r.Epoch && v.id.State == caller.StateReady
		}
		if isServing {
			n++
		}
	}
	return n
}

// BenchmarkPolicies reports the group downtime and the stranded VM seconds of four
// hours with 40 failures in one fabric domain. It compares the baseline policy with
// the weights of two users, threshold and piedmont, and reports the mean of the same
// 20 traces for each.
func BenchmarkPolicies(b *testing.B) {
	const period = 4 * time.Hour
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
		name       string
		weights    parser.Weights
		isBaseline bool
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
						l := replay(failureTrace(seed, s.vms, period, 40), s.vms, s.size, s.replicas, p.weights, s.reload, p.isBaseline, period)
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
