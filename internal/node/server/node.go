package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"marjorammoor/internal/fleet/former"
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
	"marjorammoor/internal/store/sequencer"
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
	// memoryLimitShare is the fraction of Bounds.MemoryBytes that is set as the Go
	// memory limit. Goroutine stacks and buffers need the rest.
	memoryLimitShare = 0.7
	gcPercent        = 200
	// requestMemoryShare and responseMemoryShare are the fractions of Bounds.MemoryBytes that the
	// bodies of all requests, and of all responses, may take.
	requestMemoryShare  = 0.2
	responseMemoryShare = 0.15
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
	unhandledLog   unhandledLog
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
	debug.SetMemoryLimit(n.memoryShare(memoryLimitShare))
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
	readyListener, err := n.listen(n.Settings.ReadyAddress)
	if err != nil {
		return err
	}
	failed := make(chan error, 5)
	n.startBackground(work, failed)
	readyServer := &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerTimeout}
	deliveryListener, err := n.listen(n.Settings.PeerAddress)
	if err != nil {
		return err
	}
	deliveryListener = &watchedListener{Listener: deliveryListener, record: n.recordUnhandled}
	callers, deliveries := &port{n.callerServer(), callerListener}, &port{n.deliveryServer(), deliveryListener}
	go serve(readyServer, readyListener, failed)
	go callers.serve(failed)
	go deliveries.serve(failed)
	if n.Settings.MetricsAddress != "" {
		if l, err := n.listen(n.Settings.MetricsAddress); err != nil {
			n.Log.Warn("cannot listen on metrics address, running without metrics", "error", err)
		} else {
			go serve(&http.Server{Handler: metricsHandler(), ReadHeaderTimeout: headerTimeout}, l, failed)
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

// memoryShare returns a fraction of the memory that the process may have, in bytes. Without such a
// setting there is no bound.
func (n *Node) memoryShare(share float64) int64 {
	if n.bounds().MemoryBytes <= 0 {
		return math.MaxInt64
	}
	return int64(float64(n.bounds().MemoryBytes) * share)
}

func (n *Node) listenToCallers() (net.Listener, error) {
	l, err := n.listen(n.Settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	return &callerListener{Listener: l, limits: n.callerLimits, record: n.recordUnhandled}, nil
}

func (n *Node) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func serve(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// build creates the components and connects them.
func (n *Node) build() {
	s, p := n.Settings, n.Platform
	n.signals = newStopSignals()
	if n.Client == nil {
		n.Client = &requester.Client{}
	}
	n.observer = n.newObserver()
	n.Client.Observer = n.observer
	n.deliverer = &deliverer.Deliverer{Self: s.Name, Peers: n.deliveryPeers, Client: &requester.Client{LocalIP: n.Client.LocalIP}}
	n.suspects = map[string]time.Time{}
	n.tracker = &tracker.Tracker{}
	n.balancer = &balancer.Balancer{View: n.tracker.View, DataCenter: s.DataCenter, Self: s.Name, Suspected: n.recordSuspect}
	n.balancer.IsConnected = func(t balancer.Target) bool { return n.Client.HasIdle(t.Address) }
	n.balancer.Limited = n.logLimit
	n.balancer.Reach = n.reach
	n.balancer.Nodes = func(dataCenter string) []string { return n.beater.Nodes(dataCenter) }
	n.tracker.Changed = n.balancer.Dispatch
	n.breaker = &breaker.Breaker{HasEnded: n.hasEnded, MayTry: n.triesBlocked, Log: n.Log}
	n.requestMemory = &reserver.Reserver{Limit: func() int64 { return n.memoryShare(requestMemoryShare) }}
	n.relayer = &relayer.Relayer{
		Balancer: n.balancer, Breaker: n.breaker, Client: n.Client, Peers: n.deliverer, Leaving: n.recordLeaving, Wire: p.Wire, Budget: n.budget, StopsAt: n.stopsAt, Log: n.Log,
		Memory: &reserver.Reserver{Limit: func() int64 { return n.memoryShare(responseMemoryShare) }},
	}
	n.catalogs = &follower.Follower{
		Kind: p.CatalogKind, Store: p.Store, Wait: catalogWait, Log: n.Log,
		Replace: n.replaceCatalogs, Update: n.applyCatalogs, MayConfirm: n.mayConfirmCatalog,
	}
	n.runners = &follower.Follower{
		Kind: p.RunnerKind, Store: p.Store, Wait: runnersWait, MinInterval: runnersInterval, Log: n.Log,
		Replace: n.replaceRunners, Update: n.updateRunners,
		OnOutage: func(outage time.Duration) { n.expectReregistration(follower.Listing{Outage: outage}) },
	}
	for _, f := range []*follower.Follower{n.catalogs, n.runners} {
		f.IsWatchedByPeer = func() bool { return n.isWatchedByPeer(f) }
		f.OnChanges = n.publish
		f.Eras = p.Eras
		f.OnRestoredList = func(objects []follower.Object, at sequencer.Position) { n.publishList(f.Kind, objects, at) }
	}
	n.admitter = &admitter.Admitter{Catalog: n.catalog.Load, Age: n.catalogs.Age, MayDeny: n.mayDeny, RevocationTimeout: func() time.Duration { return n.bounds().RevocationTimeout }}
	n.beater = &beater.Beater{Self: s.Name, DataCenter: s.DataCenter, Fill: n.fillHeartbeat, OnHeartbeat: n.receiveHeartbeat, OnChanges: n.applyPeerChanges, OnListPart: n.applyPeerList, OnObject: n.receiveObject, OnGrant: n.receiveGrant, Log: n.Log}
	n.announcer = &announcer.Announcer{
		Self:  announcer.Node{Name: s.Name, Address: s.PeerAddress, DataCenter: s.DataCenter},
		Store: p.Store, Era: p.Eras.Newest, Found: n.beater.AddPeer, Log: n.Log,
	}
	n.former = &former.Controller{
		View:               n.tracker.View,
		ViewAt:             n.runners.ConfirmedAt,
		Services:           n.services,
		Store:              p.Store,
		Send:               p.Send,
		Probe:              n.probeMember,
		Ask:                p.Ask,
		Eras:               p.Eras,
		InFlight:           n.balancer.InFlight,
		HasWaiting:         n.balancer.HasWaiting,
		Owns:               n.owns,
		CreatesAssignments: n.createsAssignments,
		Suspects:           n.recentSuspects,
		AnswersPeers:       n.answeredPeer,
		PeerLoads:          n.peerLoads,
		StoreFailed:        n.recordStoreFailure,
		IsStartup:          n.isBeforeTraffic,
		LoadsPerWindow:     n.loadsPerWindow,
		StallTime:          func() time.Duration { return n.bounds().StallTime },
		Log:                n.Log,
	}
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
