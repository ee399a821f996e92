// Package prober watches runner VMs. Each VM of a data centre is watched by a
// few of its entry nodes, which ask it for its identity at an interval and
// record what they see on the board; peers learn it from them.
//
// A refused connection proves that the runner's process is gone, and is
// recorded at once. Silence proves nothing: the sighting lapses when it is
// older than the lifetime.
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
	// DefaultLifetime is how long a sighting proves anything.
	DefaultLifetime = 2500 * time.Millisecond
	// DefaultWatchers is the number of nodes that watch each VM.
	DefaultWatchers = 2
	replanInterval  = time.Second
)

var (
	probes         = metrics.NewCounter(`marjorammoor_probes_total`)
	probesRefused  = metrics.NewCounter(`marjorammoor_probe_failures_total{reason="refused"}`)
	probesTimedOut = metrics.NewCounter(`marjorammoor_probe_failures_total{reason="no_answer"}`)
	sightingsGone  = metrics.NewCounter(`marjorammoor_sightings_lapsed_total`)
)

// Prober watches the VMs that fall to this node. Set Board, Self and DataCenter
// before Run.
type Prober struct {
	Board      *recorder.Board
	Self       string
	DataCenter string
	// Interval is the time between probes of one VM; 0 means DefaultInterval.
	Interval time.Duration
	// Lifetime is how long a sighting lasts; 0 means DefaultLifetime.
	Lifetime time.Duration
	// Watchers is how many nodes watch a VM; 0 means DefaultWatchers.
	Watchers int
	// Identity asks a runner who it is; nil means over HTTP.
	Identity func(ctx context.Context, address string) (*caller.Identity, error)
	Log      *slog.Logger

	mu      sync.Mutex
	watched map[string]*watch
}

type watch struct {
	address string
	stop    context.CancelFunc
}

// Run watches until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.setDefaults()
	repeater.Now(ctx, replanInterval, func() { p.Replan(ctx) })
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

// Replan starts to watch the VMs that fall to this node now and stops watching
// the others.
func (p *Prober) Replan(ctx context.Context) {
	wanted := p.wanted()
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

// wanted returns the addresses of the VMs that this node watches: those of the
// platform's list, which lags, and those of the assignments.
func (p *Prober) wanted() map[string]string {
	all := map[string]string{}
	for _, a := range p.Board.Assignments(p.DataCenter) {
		for _, r := range a.Replicas {
			for _, m := range r.Members {
				all[m.VM] = m.Address
			}
		}
	}
	list, _, _ := p.Board.VMs(client.RoleRunner)
	for _, v := range list {
		all[v.Name] = v.Address
	}
	names := []string{}
	for _, n := range p.Board.LiveNodes(p.DataCenter, p.Lifetime) {
		names = append(names, n.Name)
	}
	for vm := range all {
		if !ranker.Among(vm, p.Self, names, p.Watchers) {
			delete(all, vm)
		}
	}
	return all
}

func (p *Prober) watch(ctx context.Context, vm, address string) {
	defer p.Board.DropSighting(vm, p.Self)
	repeater.Now(ctx, p.Interval, func() { p.Probe(ctx, vm, address) })
}

// Probe asks one VM for its identity and records the outcome.
func (p *Prober) Probe(ctx context.Context, vm, address string) {
	asked := time.Now()
	probes.Inc()
	id, err := p.Identity(ctx, address)
	switch {
	case ctx.Err() != nil:
	case err == nil && id.VM == vm:
		p.record(vm, address, asked, id)
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		probesRefused.Inc()
		p.Board.SetSighting(vm, recorder.Sighting{Watcher: p.Self, Address: address, ConfirmedAt: asked, Gone: true})
	default:
		probesTimedOut.Inc()
		p.lapse(vm)
	}
}

// record stores a sighting. It is dated when the question was sent, because the
// runner may have answered at any time since.
func (p *Prober) record(vm, address string, asked time.Time, id *caller.Identity) {
	if id.Leaving {
		p.Board.MarkLeaving(vm, recorder.LeavingMark{Since: asked, Reason: "runner", BootID: id.BootID})
	}
	s := recorder.Sighting{Watcher: p.Self, Address: address, ConfirmedAt: asked, Identity: *id}
	p.Board.SetSighting(vm, s)
}

// lapse drops this node's sighting of a VM when it is older than the lifetime.
func (p *Prober) lapse(vm string) {
	list, _ := p.Board.Sightings.Get(vm)
	for _, s := range list {
		if s.Watcher == p.Self && time.Since(s.ConfirmedAt) > p.Lifetime {
			sightingsGone.Inc()
			p.Board.DropSighting(vm, p.Self)
		}
	}
}
