package server

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"marjorammoor/internal/fleet/former"
	"marjorammoor/internal/memory/divider"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/observer"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/announcer"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/state/sharder"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/timing/repeater"
)

const (
	// catalogWait and runnersWait are how long one watch call waits for a change.
	// They bound the age of the local copy while nothing changes.
	catalogWait = 700 * time.Millisecond
	runnersWait = 700 * time.Millisecond
	// runnersInterval is the minimum time between two watch calls for runners, so
	// that changes which come close together share one call.
	runnersInterval = 200 * time.Millisecond
	stallInterval   = 100 * time.Millisecond
	formInterval    = 100 * time.Millisecond
	expireInterval  = 250 * time.Millisecond
	// unusedInterval is the time between two rounds in which connections are closed that are
	// not used any more.
	unusedInterval = time.Second
	// maxReadyCatalogAge is the age of the configuration copy from which the node
	// reports that it is not ready. The admitter stops accepting credentials at
	// about the same age.
	maxReadyCatalogAge = 3500 * time.Millisecond
	// maxStoreAge is the age of the configuration or runner copy from which the node
	// regards the store as unreachable.
	maxStoreAge = 2500 * time.Millisecond
	// maxTrustedOutage is the longest time without a confirmed runner list after
	// which runners that are missing from the next list are removed at once. Runner
	// entries expire after three missed heartbeats, so after a longer outage a
	// running runner may be missing too.
	maxTrustedOutage = 1200 * time.Millisecond
	// reregisterGrace is how long runners need, with a margin, to write their entries
	// again after a store outage in which the entries expired.
	reregisterGrace = 2200 * time.Millisecond
	gcPercent       = 200
	// headerTimeout applies to other nodes and to checks of readiness.
	headerTimeout = 3 * time.Second
)

// Node is one serving process. Set Settings, Platform and Log before use.
type Node struct {
	Settings *Settings
	Platform *Platform
	Log      *slog.Logger
	// Client sends requests to runners; nil means that the node creates one.
	Client *requester.Client

	catalog atomic.Pointer[matcher.Catalog]
	// catalogMu is held while the configuration is replaced.
	catalogMu sync.Mutex
	versions  catalogVersions
	tracker   *tracker.Tracker
	balancer  *balancer.Balancer
	breaker   *breaker.Breaker
	relayer   *relayer.Relayer
	admitter  *admitter.Admitter
	beater    *beater.Beater
	former    *former.Controller
	announcer *announcer.Announcer
	catalogs  *follower.Follower
	runners   *follower.Follower
	observer  *observer.Observer
	deliverer *deliverer.Deliverer
	budgets   sharder.Map[string, *retrier.SharedBudget]

	// doubts wakes watchTargets.
	doubts chan struct{}
	// reachTargets are the targets of the last view, for watchReach only.
	reachTargets targetList
	// unreached are the runners that were out of reach at the last check, and
	// unreachedGroups the names of the groups. Only watchReach uses them.
	unreached       map[string]bool
	unreachedGroups []string

	startedAt          time.Time
	hasReceivedRequest atomic.Bool
	// stopTimes is nil unless the node stops.
	stopTimes      atomic.Pointer[stopTimes]
	signals        stopSignals
	hasRunnerList  atomic.Bool
	activeRequests atomic.Int64
	connections    openConnections
	unhandledLog   boundedLog
	givenWayLog    boundedLog
	indirectProbes indirectProbes
	runnerSummary  runnerSummary
	sights         storeSights
	rejections     follower.Rejections
	peerQuestions  peerQuestions
	// suspects holds the time of the last suspicion by runner ID.
	suspectsMu sync.Mutex
	suspects   map[string]time.Time
	// reregisterUntil is the end of the grace period for removed runners and
	// storeFailedAt the time of the last failed store call, both in nanoseconds on
	// the clock of follower.Now; 0 means that there was none.
	reregisterUntil atomic.Int64
	storeFailedAt   atomic.Int64
	storeNodes      atomic.Pointer[storeNodes]
	// reloadedBounds are the bounds of the last reload; nil means Settings.Bounds.
	reloadedBounds atomic.Pointer[Bounds]
	// requestMemory bounds what is kept of requests' bodies.
	requestMemory *reserver.Reserver
	// heldLimits is nil if no limit of callers was lowered.
	heldLimits atomic.Pointer[heldLimits]
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.startedAt = time.Now()
	debug.SetMemoryLimit(n.shares().Bytes(divider.Heap))
	debug.SetGCPercent(gcPercent)
	n.build()
	n.Log.Info("node starting", "data_center", n.Settings.DataCenter, "callers", n.Settings.CallerAddress,
		"first_start", n.Settings.IsFirstStart)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	callerListener, err := n.listenToCallers()
	if err != nil {
		return err
	}
	deliveryListener, err := n.listenToNodes()
	if err != nil {
		return err
	}
	readyListener, err := n.listen(n.Settings.ReadyAddress, readinessPort, divider.Checks)
	if err != nil {
		return err
	}
	failed := make(chan error, 5)
	n.startBackground(work, failed)
	callers, deliveries := &port{n.callerServer(), callerListener}, &port{n.deliveryServer(), deliveryListener}
	go serve(checkServer(n.readyHandler()), readyListener, failed)
	go callers.serve(failed)
	go deliveries.serve(failed)
	if n.Settings.MetricsAddress != "" {
		if l, err := n.listen(n.Settings.MetricsAddress, metricsPort, divider.Checks); err != nil {
			n.Log.Warn("cannot listen on metrics address, running without metrics", "error", err)
		} else {
			go serve(checkServer(metricsHandler()), l, failed)
		}
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("run the node: %w", err)
	}
	n.stop(callers, deliveries)
	return nil
}

// startBackground starts the work that runs beside the HTTP servers.
func (n *Node) startBackground(ctx context.Context, failed chan<- error) {
	go n.catalogs.Run(ctx)
	go n.runners.Run(ctx)
	go n.announcer.Run(ctx)
	go func() {
		if err := n.beater.Run(ctx, n.Settings.PeerAddress); err != nil {
			failed <- err
		}
	}()
	go n.watchTargets(ctx)
	go repeater.Every(ctx, breaker.JudgeInterval, n.breaker.Judge)
	go repeater.Every(ctx, formInterval, func() { n.former.Step(ctx) })
	go repeater.Every(ctx, expireInterval, func() {
		n.sights.record(n.runners.ConfirmedAt())
		n.tracker.Expire()
	})
	go repeater.Every(ctx, peerSummaryInterval, n.logPeers)
	go repeater.Every(ctx, unusedInterval, n.closeUnused)
}

// isBeforeTraffic reports whether the whole system started less than
// TimeToFirstRequest ago and this node has received no request yet.
func (n *Node) isBeforeTraffic() bool {
	return n.Settings.IsFirstStart && !n.hasReceivedRequest.Load() && time.Since(n.startedAt) < n.Settings.TimeToFirstRequest
}

func (n *Node) services() map[string]*matcher.Service {
	if c := n.catalog.Load(); c != nil {
		return c.Services
	}
	return nil
}

// loadsPerWindow returns the maximum number of weight loads that may begin within
// Bounds.LoadWindow in all domains together.
func (n *Node) loadsPerWindow() float64 {
	rate := 0.0
	for _, s := range n.services() {
		if s.Engine != nil {
			rate = max(rate, s.Engine.LoadsPerSecond)
		}
	}
	return rate * n.bounds().LoadWindow.Seconds() * n.bounds().LoadOvershoot
}

// hasEnded reports whether a runner accepts no connections any more. One that this node has
// lost together with others may serve on, as far as this node can tell.
func (n *Node) hasEnded(r breaker.Runner) bool {
	if n.probeResult(r.ID, r.Address) != former.Refused {
		return false
	}
	if isAlone := len(n.beater.Nodes("")) == 1; isAlone || !n.observer.IsGroupLost(r.Address) {
		return true
	}
	return n.peerQuestions.ask(r.ID, r.Address)
}

// sign returns what this node has learned of a runner since a time without asking it. The entries
// show a later start under the same ID.
func (n *Node) sign(r breaker.Runner, since time.Time) breaker.Sign {
	listed, ok := n.tracker.View().Runner(r.ID)
	if !ok {
		return breaker.Unknown
	}
	hasSent, hasRequests := n.observer.Heard(r.Address, since)
	switch {
	case r.BootTime != 0 && listed.BootTime > r.BootTime:
		return breaker.Ended
	case hasSent:
		return breaker.Alive
	case hasRequests:
		return breaker.Watched
	}
	return breaker.Unknown
}

// probeResult probes a runner and returns what came of it in time.
func (n *Node) probeResult(id, address string) former.ProbeResult {
	ctx, stop := context.WithTimeout(context.Background(), indirectProbeTimeout)
	defer stop()
	return n.probeMember(ctx, former.Member{ID: id, Address: address})
}

// probeMember probes a runner. One that has just asked for a pause is not probed: it lives.
func (n *Node) probeMember(ctx context.Context, m former.Member) former.ProbeResult {
	if n.balancer.IsPaused(m.ID) {
		return former.Reachable
	}
	return n.Platform.Probe(ctx, m)
}

// recordLeaving records that a target has said in a response that it leaves.
func (n *Node) recordLeaving(t balancer.Target) {
	if n.tracker.Leave(t.ID, t.BootTime, true) {
		n.Log.Info("runner says that it leaves", "runner", t.ID, "replica", t.Replica, "boot_time", t.BootTime)
	}
}

// triesBlocked reports whether this node is the one that tries a blocked key again when
// its block is over.
func (n *Node) triesBlocked(key string) bool {
	names := []string{n.Settings.Name}
	for _, p := range n.beater.Live() {
		if !p.Leaving {
			names = append(names, p.Node)
		}
	}
	return ranker.First(key, names) == n.Settings.Name
}

// answeredPeer reports whether another node recently got an answer from a runner.
func (n *Node) answeredPeer(id string) bool { return n.indirectProbes.answeredPeer(id) }

// peerLoads returns the number of weight loads that other nodes have ordered and
// that are still running.
func (n *Node) peerLoads() int {
	loads := 0
	for _, p := range n.beater.Live() {
		loads += p.Loads
	}
	return loads
}

// recordSuspect logs a target that has made no progress for idle, and records it as
// suspected.
func (n *Node) recordSuspect(t balancer.Target, idle time.Duration) {
	n.Log.Warn("target is suspected", "runner", t.ID, "replica", t.Replica, "model", t.Model, "idle_ms", idle.Milliseconds())
	n.addSuspect(t.ID)
}

// suspectLifetime is how long a suspected runner is probed after the last report.
const suspectLifetime = 2500 * time.Millisecond

func (n *Node) addSuspect(id string) {
	n.suspectsMu.Lock()
	n.suspects[id] = time.Now()
	n.suspectsMu.Unlock()
}

// recentSuspects returns the runners that this node or another one has suspected
// within suspectLifetime.
func (n *Node) recentSuspects() map[string]bool {
	n.suspectsMu.Lock()
	defer n.suspectsMu.Unlock()
	list := map[string]bool{}
	for id, at := range n.suspects {
		if time.Since(at) > suspectLifetime {
			delete(n.suspects, id)
			continue
		}
		list[id] = true
	}
	return list
}
