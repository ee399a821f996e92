package assembler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	adminserver "marjorammoor/internal/admin/server"
	"marjorammoor/internal/admission/allocator"
	"marjorammoor/internal/claims/claimer"
	"marjorammoor/internal/claims/executor"
	"marjorammoor/internal/config/loader"
	"marjorammoor/internal/fleet/controller"
	"marjorammoor/internal/fleet/planner"
	"marjorammoor/internal/gateway/forwarder"
	gatewayserver "marjorammoor/internal/gateway/server"
	"marjorammoor/internal/health/prober"
	"marjorammoor/internal/health/verifier"
	"marjorammoor/internal/memory/divider"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/acceptor"
	"marjorammoor/internal/network/dialer"
	"marjorammoor/internal/peer/exchanger"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/platform/syncer"
	"marjorammoor/internal/routing/director"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// waitingCallers is how many connections of callers may wait to be accepted.
	waitingCallers    = 512
	maxHeaderBytes    = 32 << 10
	drainPollInterval = 20 * time.Millisecond
	// bodyMemoryBytes is what the bodies of all requests, and of all responses, may take. Further
	// requests are refused, further responses relayed as they arrive.
	bodyMemoryBytes = 256 << 20
	// runnerIdleConns and controlIdleConns are the numbers of idle connections that
	// are kept to each address, for requests and for control traffic.
	runnerIdleConns  = 64
	controlIdleConns = 4
	// shareHalfIntervals is the age, in halves of the probe interval, up to which a
	// sighting of a VM is shared with peers.
	shareHalfIntervals = 5
	// firstPeerTimeout is how long a node waits after its start to hear from a peer
	// before it becomes ready without one.
	firstPeerTimeout = 5 * time.Second
	// peerPingTimeout is how long a peer connection may be idle before a ping is
	// sent, and how long the answer to the ping may take.
	peerPingTimeout = 3 * time.Second
	// announceInterval is the time between two updates of this node's own entry on
	// the board.
	announceInterval = 500 * time.Millisecond
)

var (
	gracefulStops = metrics.NewCounter(`marjorammoor_stops_total{kind="graceful"}`)
	timedOutStops = metrics.NewCounter(`marjorammoor_stops_total{kind="drain_timeout"}`)
)

// Node is one serving process.
type Node struct {
	Settings *loader.Settings
	// Incarnation is a random ID that changes at each start of the process.
	Incarnation string
	Log         *slog.Logger

	board     *recorder.Board
	platform  *client.Client
	verifier  *verifier.Verifier
	director  *director.Director
	allocator *allocator.Allocator
	forwarder *forwarder.Forwarder
	gateway   *gatewayserver.Server
	admin     *adminserver.Server
	syncer    *syncer.Syncer
	prober    *prober.Prober
	fleet     *controller.Controller
	exchanger *exchanger.Exchanger
	claimer   *claimer.Claimer
	executor  *executor.Executor

	draining atomic.Bool
	// caughtUp is set when the node first becomes ready. From then on its revision is
	// no longer compared with the peers'.
	caughtUp  atomic.Bool
	started   time.Time
	stop      chan struct{}
	stopOnce  sync.Once
	listeners []net.Listener
	servers   []*http.Server
}

// New creates a node and opens its listeners. An error names the address on which
// the node could not listen.
func New(s *loader.Settings, log *slog.Logger) (*Node, error) {
	n := &Node{Settings: s, Incarnation: uuid.NewString()[:8], Log: log, stop: make(chan struct{}), started: time.Now()}
	n.build()
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{s.CallerAddress, n.gateway.Handler()},
		{s.AdminAddress, n.admin.Handler()},
		{s.PeerAddress, n.exchanger.Handler()},
	}
	for _, h := range handlers {
		if err := n.listen(h.address, h.handler); err != nil {
			n.closeListeners()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) listen(address string, handler http.Handler) error {
	open := net.Listen
	if address == n.Settings.CallerAddress {
		open = n.listenToCallers
	}
	l, err := open("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	n.listeners = append(n.listeners, l)
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug),
		// OPTIONS * is routed as all requests are.
		DisableGeneralOptionsHandler: true,
	}
	if address == n.Settings.CallerAddress {
		server.ConnState = acceptor.Track
	}
	if address == n.Settings.PeerAddress {
		server.Protocols = exchanger.Protocols()
		server.HTTP2 = &http.HTTP2Config{SendPingTimeout: peerPingTimeout, PingTimeout: peerPingTimeout}
	}
	n.servers = append(n.servers, server)
	return nil
}

// listenToCallers returns a listener on which connections give way to new ones beyond the limit.
func (n *Node) listenToCallers(network, address string) (net.Listener, error) {
	buffers := acceptor.Buffers{ReceiveBytes: divider.ReceiveBufferBytes, Waiting: waitingCallers}
	l, err := acceptor.Listen(context.Background(), network, address, buffers)
	if err != nil {
		return nil, err
	}
	return &acceptor.Listener{
		Listener: l,
		Max:      func() int { return n.Settings.MaxConnections },
		OnGiveWay: func(_ *acceptor.Conn, reason acceptor.Reason) {
			metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_connections_given_way_total{port="callers",reason=%q}`, string(reason))).Inc()
		},
	}, nil
}

func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

// build creates the components and connects them.
func (n *Node) build() {
	s := n.Settings
	lifetime := loader.Millis(s.ProofLifetimeMS)
	dial := &dialer.Dialer{Map: s.AddressMap}
	runners := countingDialer(s, "runner").HTTPClient(controlIdleConns)
	probes := &caller.Caller{HTTP: runners, Timeout: loader.Millis(s.ProbeIntervalMS)}
	orders := &caller.Caller{HTTP: runners}
	n.board = &recorder.Board{}
	budget := &client.Budget{CallsPerSecond: s.PlatformCallsPerSecond}
	n.platform = &client.Client{BaseURL: s.PlatformURL, HTTP: countingDialer(s, "platform").HTTPClient(controlIdleConns), Admit: budget.Admit, Count: countPlatformCall}
	n.verifier = &verifier.Verifier{Board: n.board, Self: s.Name, Lifetime: lifetime}
	n.director = &director.Director{Board: n.board, Verifier: n.verifier, DataCenter: s.DataCenter}
	n.allocator = &allocator.Allocator{Board: n.board, Director: n.director, Self: s.Name, DataCenter: s.DataCenter}
	n.director.AfterRefresh = n.allocator.UpdateSlots
	n.forwarder = &forwarder.Forwarder{
		Director: n.director, Allocator: n.allocator, PeerToken: s.PeerToken,
		Client: dial.HTTPClient(runnerIdleConns), FreshClient: dial.HTTPClient(-1),
		Memory: &reserver.Reserver{Limit: func() int64 { return bodyMemoryBytes }},
	}
	n.gateway = &gatewayserver.Server{
		Board: n.board, Allocator: n.allocator, Forwarder: n.forwarder,
		Ready: n.mayServe, Incarnation: s.Name + "-" + n.Incarnation, PeerToken: s.PeerToken, MaxBodyBytes: int64(s.MaxBodyBytes),
		Memory: &reserver.Reserver{Limit: func() int64 { return bodyMemoryBytes }},
	}
	n.syncer = &syncer.Syncer{Board: n.board, Platform: n.platform, Self: s.Name, DataCenter: s.DataCenter, Log: n.Log}
	n.prober = &prober.Prober{
		Board: n.board, Self: s.Name, DataCenter: s.DataCenter, Lifetime: lifetime,
		Interval: loader.Millis(s.ProbeIntervalMS), Identity: probes.Identity, Watchers: s.ProbeWatchers, Log: n.Log,
	}
	n.fleet = &controller.Controller{
		Board: n.board, Platform: n.platform, Verifier: n.verifier, Self: s.Name, DataCenter: s.DataCenter, Log: n.Log,
		Order: orders.Order,
		Timing: planner.Timing{
			LoadTime: loader.Millis(s.ReloadMS), SilentReturn: loader.Millis(s.SilentReturnMS), ReplacementTime: loader.Millis(s.GoneReturnMS),
		},
	}
	n.exchanger = &exchanger.Exchanger{
		Board: n.board, Self: s.Name, DataCenter: s.DataCenter, Token: s.PeerToken, Seeds: s.Peers, Dial: countingDialer(s, "peer"), Log: n.Log,
		ShareWithin: shareHalfIntervals * loader.Millis(s.ProbeIntervalMS) / 2, Free: n.freeCapacity,
	}
	n.forwarder.Remote = n.pickRemoteNode
	n.buildClaims()
	n.admin = &adminserver.Server{
		Board: n.board, Platform: n.platform, Token: s.AdminToken,
		Ready: n.isReady, Drain: n.Stop, Status: n.status,
	}
}

// countingDialer returns a dialer for control traffic that counts the bytes in both
// directions.
func countingDialer(s *loader.Settings, to string) *dialer.Dialer {
	in := metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_control_bytes_total{to=%q,direction="in"}`, to))
	out := metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_control_bytes_total{to=%q,direction="out"}`, to))
	return &dialer.Dialer{Map: s.AddressMap, Count: func(read, written int) {
		in.Add(read)
		out.Add(written)
	}}
}

func countPlatformCall(class client.Class, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_platform_calls_total{class=%q,outcome=%q}`, class, outcome)).Inc()
}

// isReady reports whether the load balancer should send callers to this node. After
// its start the node becomes ready when it has heard from a peer, or from none within
// firstPeerTimeout, and its configuration is not older than that of any peer.
// Otherwise it could serve with an outdated configuration.
func (n *Node) isReady() bool {
	if n.draining.Load() || n.board.Revision() == 0 {
		return false
	}
	if n.caughtUp.Load() {
		return true
	}
	newest, heard := n.newestRevision()
	isAlone := len(n.Settings.Peers) == 0 || time.Since(n.started) >= firstPeerTimeout
	if !heard && !isAlone || n.board.Revision() < newest {
		return false
	}
	n.caughtUp.Store(true)
	return true
}

// mayServe reports whether requests are served. A draining node still serves until
// the load balancer sends no new requests.
func (n *Node) mayServe() bool { return n.draining.Load() || n.isReady() }

// newestRevision returns the highest configuration revision that a peer has reported,
// and whether any peer was heard after the node started.
func (n *Node) newestRevision() (newest int64, heard bool) {
	n.board.Nodes.Each(func(name string, x recorder.Node) bool {
		newest = max(newest, x.Revision)
		heard = heard || name != n.Settings.Name && x.HeardAt.After(n.started)
		return true
	})
	for _, s := range n.freshSummaries() {
		newest = max(newest, s.MinRevision)
	}
	return newest, heard
}

// Stop requests a graceful stop. It returns at once and can be called repeatedly.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }

// Run serves until ctx ends or Stop is called, and then stops gracefully. It returns
// an error if a listener fails or the drain timeout expires.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.board.Start(runCtx, watermill.NopLogger{})
	n.announce()
	if err := n.startControllers(runCtx); err != nil {
		return fmt.Errorf("start controllers: %w", err)
	}
	failed := make(chan error, len(n.servers))
	for i, s := range n.servers {
		go func() { failed <- s.Serve(n.listeners[i]) }()
	}
	n.Log.Info("node started", "data_center", n.Settings.DataCenter,
		"incarnation", n.Incarnation, "callers", n.Settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-n.stop:
	case err := <-failed:
		if !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
	}
	return n.drain()
}

// announce updates this node's entry on its own board.
func (n *Node) announce() {
	n.board.Nodes.Update(n.Settings.Name, func(old recorder.Node, _ bool) (recorder.Node, bool) {
		old.Name, old.Incarnation, old.DataCenter = n.Settings.Name, n.Incarnation, n.Settings.DataCenter
		old.PeerAddress, old.CallerAddress = n.Settings.PeerAddress, n.Settings.CallerAddress
		old.HeardAt, old.Leaving, old.Revision = time.Now(), n.draining.Load(), n.board.Revision()
		return old, true
	})
}

// drain stops the node: it accepts requests for the balancer delay, then refuses new
// ones and lets those in progress finish within the drain timeout.
func (n *Node) drain() error {
	n.draining.Store(true)
	n.announce()
	n.exchanger.Wake()
	n.Log.Info("node draining", "active", n.gateway.Active())
	time.Sleep(loader.Millis(n.Settings.BalancerDelayMS))
	ctx, cancel := context.WithTimeout(context.Background(), loader.Millis(n.Settings.DrainTimeoutMS))
	defer cancel()
	n.gateway.Close()
	for n.gateway.Active() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	err := n.shutDown(ctx)
	if err != nil {
		timedOutStops.Inc()
		n.Log.Warn("drain timeout expired, node stopped with requests in progress", "active", n.gateway.Active())
		return fmt.Errorf("drain: %w", err)
	}
	gracefulStops.Inc()
	n.Log.Info("node stopped")
	return nil
}

// shutDown closes the servers. Those of callers and operators first finish their
// requests. The peer server, which alone sets Protocols, is closed at once, because
// peer streams do not end by themselves.
func (n *Node) shutDown(ctx context.Context) error {
	var err error
	for _, s := range n.servers {
		if s.Protocols != nil {
			_ = s.Close()
			continue
		}
		err = errors.Join(err, s.Shutdown(ctx))
	}
	return err
}
