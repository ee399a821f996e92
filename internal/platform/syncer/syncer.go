// Package syncer keeps the board's configuration and list of VMs in step with
// the platform.
//
// A few nodes of each data centre hold a watch; the others learn changes from
// them. A node starts a watch of its own when no live peer has one. A watch that
// ends because its revision is too old is followed by a snapshot, which the
// board takes only if it is newer than what it has.
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
	watchWait = 10 * time.Second
	// watchers is the number of nodes of a data centre that hold a watch.
	watchers     = 2
	idlePause    = 250 * time.Millisecond
	minRetry     = 200 * time.Millisecond
	maxRetry     = 2 * time.Second
	watcherList  = time.Second
	otherList    = 5 * time.Second
	startupGrace = 2 * time.Second
)

var (
	snapshots     = metrics.NewCounter(`marjorammoor_config_snapshots_total`)
	watchFailures = metrics.NewCounter(`marjorammoor_platform_watch_failures_total`)
	listFailures  = metrics.NewCounter(`marjorammoor_platform_list_failures_total`)
)

// Syncer follows the platform. Set Board, Platform, Self and DataCenter before
// Run.
type Syncer struct {
	Board      *recorder.Board
	Platform   *client.Client
	Self       string
	DataCenter string
	Log        *slog.Logger

	watching atomic.Bool
	started  time.Time
}

// Run follows the platform until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	if s.Log == nil {
		s.Log = slog.Default()
	}
	s.started = time.Now()
	go s.listVMs(ctx)
	retry := minRetry
	for ctx.Err() == nil {
		if !s.isWatcher() {
			s.setWatching(false)
			repeater.Pause(ctx, idlePause)
			continue
		}
		if err := s.follow(ctx); err != nil {
			watchFailures.Inc()
			s.lost(err)
			repeater.Pause(ctx, rand.N(retry))
			retry = min(2*retry, maxRetry)
			continue
		}
		retry = minRetry
	}
}

// Watching reports whether the last watch worked.
func (s *Syncer) Watching() bool { return s.watching.Load() }

func (s *Syncer) setWatching(is bool) {
	if s.watching.Swap(is) == is {
		return
	}
	s.Board.Nodes.Update(s.Self, func(n recorder.Node, ok bool) (recorder.Node, bool) {
		n.Watching = is
		return n, ok
	})
	s.Log.Info("watch on the platform changed", "watching", is)
}

func (s *Syncer) lost(err error) {
	if s.Watching() {
		s.Log.Warn("platform lost", "error", err)
	}
	s.setWatching(false)
}

// isWatcher reports whether this node should hold a watch: because that falls
// to it, or because no live peer has one.
func (s *Syncer) isWatcher() bool {
	names, peerWatches := []string{}, false
	for _, n := range s.Board.LiveNodes(s.DataCenter, prober.DefaultLifetime) {
		names = append(names, n.Name)
		peerWatches = peerWatches || n.Watching && n.Name != s.Self
	}
	if ranker.Among("watch "+s.DataCenter, s.Self, names, watchers) {
		return true
	}
	return !peerWatches && time.Since(s.started) > startupGrace
}

// follow takes one step: a snapshot if the board has nothing, else a watch.
func (s *Syncer) follow(ctx context.Context) error {
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
		repeater.Pause(ctx, idlePause)
		return nil
	}
	s.setWatching(true)
	return s.Board.ApplyConfig(recorder.ConfigUpdate{To: l.Revision, Full: true, Objects: l.Objects})
}

// listVMs reads the list of VMs at an interval, the watchers more often.
func (s *Syncer) listVMs(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := s.Platform.ListVMs(ctx, s.DataCenter, s.Board.VMRevision())
		switch {
		case err != nil:
			listFailures.Inc()
		case !l.Unchanged:
			s.Board.SetVMs(*l, time.Now())
		}
		pause := otherList
		if s.Watching() || s.Board.VMRevision() < 0 {
			pause = watcherList
		}
		repeater.Pause(ctx, pause/2+rand.N(pause))
	}
}
