// Package prober probes runner VMs. Each VM of a data centre is watched by a few of
// its entry nodes. They request its identity at an interval and record the result as
// a sighting on the board, from which other nodes receive it.
//
// A refused connection, or an answer from another VM at the address, proves that the
// runner is gone, and is recorded at once. A probe without an answer proves nothing:
// the last sighting stays until it is older than the lifetime.
//
// # Usage
//
//	p := &prober.Prober{Board: board, Self: "node-1", DataCenter: "vake"}
//	p.Run(ctx)
package prober

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/timing/repeater"
)

// Defaults of the prober.
const (
	DefaultInterval = 500 * time.Millisecond
	// DefaultLifetime is how long a sighting is valid after its confirmation.
	DefaultLifetime = 2500 * time.Millisecond
	// DefaultWatchers is the number of nodes that watch each VM.
	DefaultWatchers = 2
	// replanInterval is the time between two computations of the VMs to watch.
	replanInterval = time.Second
)

var (
	probes           = metrics.NewCounter(`marjorammoor_probes_total`)
	probesRefused    = metrics.NewCounter(`marjorammoor_probe_failures_total{reason="refused"}`)
	probesTimedOut   = metrics.NewCounter(`marjorammoor_probe_failures_total{reason="no_answer"}`)
	sightingsExpired = metrics.NewCounter(`marjorammoor_sightings_lapsed_total`)
)

// Prober watches the VMs that are assigned to this node. Set Board, Self and
// DataCenter before Run.
type Prober struct {
	Board *recorder.Board
	// Self is the name of this node.
	Self       string
	DataCenter string
	// Interval is the time between probes of one VM; 0 means DefaultInterval.
	Interval time.Duration
	// Lifetime is how long a sighting is valid; 0 means DefaultLifetime.
	Lifetime time.Duration
	// Watchers is how many nodes watch a VM; 0 means DefaultWatchers.
	Watchers int
	// Identity requests the identity of the runner at address; nil means over HTTP.
	Identity func(ctx context.Context, address string) (*caller.Identity, error)
	Log      *slog.Logger

	mu sync.Mutex
	// watched holds the running watches by the name of the VM.
	watched map[string]*watch
}

// watch is a running series of probes of one VM.
type watch struct {
	address string
	stop    context.CancelFunc
}

// Run watches VMs until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.setDefaults()
	repeater.NowAndEvery(ctx, replanInterval, func() { p.Replan(ctx) })
}

func (p *Prober) setDefaults() {
	if p.Interval == 0 {
		p.Interval = DefaultInterval
	}
	if p.Lifetime == 0 {
		p.Lifetime = DefaultLifetime
	}
	if p.Watchers == 0 {
		p.Watchers = DefaultWatchers
	}
	if p.Log == nil {
		p.Log = slog.Default()
	}
	if p.Identity == nil {
		c := &caller.Caller{Timeout: p.Interval}
		p.Identity = c.Identity
	}
}

// Replan starts watches of the VMs that are newly assigned to this node, and stops
// the watches of VMs that are no longer assigned to it or have another address.
func (p *Prober) Replan(ctx context.Context) {
	wanted := p.vmsToWatch()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched == nil {
		p.watched = map[string]*watch{}
	}
	for vm, w := range p.watched {
		if wanted[vm] != w.address {
			w.stop()
			delete(p.watched, vm)
		}
	}
	for vm, address := range wanted {
		if p.watched[vm] == nil {
			c, cancel := context.WithCancel(ctx)
			p.watched[vm] = &watch{address: address, stop: cancel}
			go p.watch(c, vm, address)
		}
	}
}

// vmsToWatch returns the address of each VM that rendezvous hashing assigns to this
// node. The VMs come from the assignments as well as from the platform's list,
// because the list lags.
func (p *Prober) vmsToWatch() map[string]string {
	addresses := map[string]string{}
	for _, a := range p.Board.Assignments(p.DataCenter) {
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				addresses[m.VM] = m.Address
			}
		}
	}
	list, _, _ := p.Board.VMs(client.RoleRunner)
	for _, v := range list {
		addresses[v.Name] = v.Address
	}
	names := []string{}
	for _, n := range p.Board.LiveNodes(p.DataCenter, p.Lifetime) {
		names = append(names, n.Name)
	}
	for vm := range addresses {
		if !ranker.IsAmongFirst(vm, p.Self, names, p.Watchers) {
			delete(addresses, vm)
		}
	}
	return addresses
}

// watch probes a VM every Interval until ctx ends, and then drops this node's
// sighting.
func (p *Prober) watch(ctx context.Context, vm, address string) {
	defer p.Board.DropSighting(vm, p.Self)
	repeater.NowAndEvery(ctx, p.Interval, func() { p.Probe(ctx, vm, address) })
}

// Probe requests the identity of one VM's runner and records the result.
func (p *Prober) Probe(ctx context.Context, vm, address string) {
	sentAt := time.Now()
	probes.Inc()
	id, err := p.Identity(ctx, address)
	switch {
	case ctx.Err() != nil:
	case err == nil && id.VM == vm:
		p.record(vm, address, sentAt, id)
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		probesRefused.Inc()
		p.Board.SetSighting(vm, recorder.Sighting{Watcher: p.Self, Address: address, ConfirmedAt: sentAt, Down: true})
	default:
		probesTimedOut.Inc()
		p.expire(vm)
	}
}

// record stores a sighting. It is dated when the probe was sent, because the runner
// may have answered at any time since.
func (p *Prober) record(vm, address string, sentAt time.Time, id *caller.Identity) {
	if id.Leaving {
		p.Board.MarkLeaving(vm, recorder.LeavingMark{Since: sentAt, Source: "runner", BootID: id.BootID})
	}
	s := recorder.Sighting{Watcher: p.Self, Address: address, ConfirmedAt: sentAt, Identity: *id}
	p.Board.SetSighting(vm, s)
}

// expire drops this node's sighting of a VM if it is older than the lifetime.
func (p *Prober) expire(vm string) {
	list, _ := p.Board.Sightings.Get(vm)
	for _, s := range list {
		if s.Watcher == p.Self && time.Since(s.ConfirmedAt) > p.Lifetime {
			sightingsExpired.Inc()
			p.Board.DropSighting(vm, p.Self)
		}
	}
}
