// Package syncer updates the node's in-memory state (recorder.Board) with the
// configuration and the list of VMs that it reads from the platform.
//
// A few nodes of each data centre hold a watch on the platform; the other nodes
// receive the changes from these peers. A node also starts a watch when no live peer
// has a working one. When the platform answers that the revision of a watch is too
// old, the node reads a snapshot, which the board applies only if it is newer than
// its own configuration.
//
// # Usage
//
//	s := &syncer.Syncer{Board: board, Platform: p, Self: "node-1", DataCenter: "vake"}
//	go s.Run(ctx)
package syncer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"marjorammoor/internal/health/prober"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/timing/repeater"
)

const (
	// watchWait is how long the platform holds a watch request without changes.
	watchWait = 10 * time.Second
	// watchersPerDataCenter is the number of nodes of a data centre that hold a
	// watch.
	watchersPerDataCenter = 2
	// recheckInterval is the pause of a node that need not watch before it checks
	// again, and of a watcher whose platform holds no objects yet.
	recheckInterval = 250 * time.Millisecond
	minRetryDelay   = 200 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	// watcherListInterval and otherListInterval are the mean times between two reads
	// of the list of VMs, by nodes with and without a working watch.
	watcherListInterval = time.Second
	otherListInterval   = 5 * time.Second
	// startupDelay is how long a started node waits to hear from watching peers
	// before it watches in their place.
	startupDelay = 2 * time.Second
)

var (
	snapshots     = metrics.NewCounter(`marjorammoor_config_snapshots_total`)
	watchFailures = metrics.NewCounter(`marjorammoor_platform_watch_failures_total`)
	listFailures  = metrics.NewCounter(`marjorammoor_platform_list_failures_total`)
)

// Syncer reads configuration and VMs from the platform into Board. Set Board,
// Platform, Self and DataCenter before Run.
type Syncer struct {
	Board    *recorder.Board
	Platform *client.Client
	// Self is the name of this node.
	Self string
	// DataCenter is the data centre of this node.
	DataCenter string
	// Log is slog.Default if nil.
	Log *slog.Logger

	// watching is set while the last watch or snapshot succeeded.
	watching atomic.Bool
	started  time.Time
}

// Run updates the board until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	if s.Log == nil {
		s.Log = slog.Default()
	}
	s.started = time.Now()
	go s.listVMs(ctx)
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if !s.isWatcher() {
			s.setWatching(false)
			repeater.Sleep(ctx, recheckInterval)
			continue
		}
		if err := s.syncOnce(ctx); err != nil {
			watchFailures.Inc()
			s.watchFailed(err)
			repeater.Sleep(ctx, rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
	}
}

// Watching reports whether this node has a working watch: its last watch or snapshot
// succeeded.
func (s *Syncer) Watching() bool { return s.watching.Load() }

func (s *Syncer) setWatching(watching bool) {
	if s.watching.Swap(watching) == watching {
		return
	}
	s.Board.Nodes.Update(s.Self, func(n recorder.Node, ok bool) (recorder.Node, bool) {
		n.Watching = watching
		return n, ok
	})
	s.Log.Info("platform watch started or stopped", "watching", watching)
}

func (s *Syncer) watchFailed(err error) {
	if s.Watching() {
		s.Log.Warn("platform lost", "error", err)
	}
	s.setWatching(false)
}

// isWatcher reports whether this node should hold a watch: because it is among the
// highest-ranked live nodes of its data centre, or because no live peer there has a
// working watch and startupDelay has passed.
func (s *Syncer) isWatcher() bool {
	names, hasWatchingPeer := []string{}, false
	for _, n := range s.Board.LiveNodes(s.DataCenter, prober.DefaultLifetime) {
		names = append(names, n.Name)
		hasWatchingPeer = hasWatchingPeer || n.Watching && n.Name != s.Self
	}
	if ranker.IsAmongFirst("watch "+s.DataCenter, s.Self, names, watchersPerDataCenter) {
		return true
	}
	return !hasWatchingPeer && time.Since(s.started) > startupDelay
}

// syncOnce performs one watch, or reads a snapshot if the board has no configuration
// or its revision is too old for a watch, and applies the result to the board.
func (s *Syncer) syncOnce(ctx context.Context) error {
	after := s.Board.Revision()
	if after == 0 {
		return s.snapshot(ctx)
	}
	l, err := s.Platform.Watch(ctx, after, watchWait)
	switch {
	case trace.IsNotFound(err):
		return s.snapshot(ctx)
	case err != nil:
		return err
	}
	s.setWatching(true)
	return s.Board.ApplyConfig(recorder.ConfigUpdate{From: after, To: l.Revision, Objects: l.Objects})
}

func (s *Syncer) snapshot(ctx context.Context) error {
	snapshots.Inc()
	l, err := s.Platform.Snapshot(ctx)
	if err != nil {
		return err
	}
	if l.Revision == 0 {
		s.setWatching(true)
		repeater.Sleep(ctx, recheckInterval)
		return nil
	}
	s.setWatching(true)
	return s.Board.ApplyConfig(recorder.ConfigUpdate{To: l.Revision, Full: true, Objects: l.Objects})
}

// listVMs reads the list of VMs periodically until ctx ends. Nodes with a working
// watch, and nodes that have no list yet, read it more often.
func (s *Syncer) listVMs(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := s.Platform.ListVMs(ctx, s.DataCenter, s.Board.VMRevision())
		switch {
		case err != nil:
			listFailures.Inc()
		case !l.Unchanged:
			s.Board.SetVMs(*l, time.Now())
		}
		pause := otherListInterval
		if s.Watching() || s.Board.VMRevision() < 0 {
			pause = watcherListInterval
		}
		repeater.Sleep(ctx, pause/2+rand.N(pause))
	}
}
