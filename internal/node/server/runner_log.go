package server

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/serving/balancer"
)

// runnerSummaryInterval is the shortest time between two summaries of changed runners.
const runnerSummaryInterval = 5 * time.Second

var (
	runnersAdded   = metrics.NewCounter(`marjorammoor_runner_changes_total{change="new"}`)
	runnersChanged = metrics.NewCounter(`marjorammoor_runner_changes_total{change="changed"}`)
	runnersRemoved = metrics.NewCounter(`marjorammoor_runner_changes_total{change="gone"}`)
	runnersLimited = metrics.NewCounter(`marjorammoor_runner_limits_total`)
)

// logLimit logs that a runner has named or lifted a limit of its requests per second.
func (n *Node) logLimit(t balancer.Target, perSecond, share float64) {
	if perSecond > 0 {
		runnersLimited.Inc()
	}
	n.Log.Info("limit of a runner has changed", "runner", t.ID, "replica", t.Replica, "per_second", perSecond, "share", share)
}

// runnerSummary counts the changes of runners that this node has learned from another
// one. The node that watches the store for the data centre logs each of them; the
// others log only how many there were, so that the volume of the logs does not grow
// with the number of nodes times that of runners.
type runnerSummary struct {
	mu                   sync.Mutex
	loggedAt             time.Time
	added, changed, gone int
}

// record adds changes and logs a summary if one is due.
func (s *runnerSummary) record(log *slog.Logger, added, changed, gone int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.added += added
	s.changed += changed
	s.gone += gone
	if s.added+s.changed+s.gone == 0 || time.Since(s.loggedAt) < runnerSummaryInterval {
		return
	}
	log.Info("runners have changed", "new", s.added, "changed", s.changed, "gone", s.gone)
	s.added, s.changed, s.gone, s.loggedAt = 0, 0, 0, time.Now()
}
