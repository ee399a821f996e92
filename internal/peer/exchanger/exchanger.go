package exchanger

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/health/prober"
	"marjorammoor/internal/network/dialer"
	"marjorammoor/internal/peer/encoder"
	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/state/ranker"
	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/timing/repeater"
)

// Defaults of the exchange.
const (
	// DefaultHeartbeatInterval is the time between two heartbeats on a stream.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// wakeDelay is the time between a wake-up and the heartbeat that it causes, so that
	// changes that follow each other closely are sent in one heartbeat.
	wakeDelay = 20 * time.Millisecond
	// ackTimeout is the time without an acknowledgement after which a stream is closed.
	ackTimeout = 3 * time.Second
	// linkInterval is the time between two updates of the set of streams.
	linkInterval = 500 * time.Millisecond
	// linkNodes is the number of nodes of a data centre that keep streams to another
	// data centre, and linkTargets the number of nodes there that each of them reaches.
	linkNodes      = 2
	linkTargets    = 2
	reconnectDelay = 500 * time.Millisecond
	// nodeRetention is how long a node that is not in the platform's list stays on the
	// board after it was last heard.
	nodeRetention = 60 * time.Second
	// snapshotLifetime is how long the result of ownSightings is reused.
	snapshotLifetime = 50 * time.Millisecond
	// callTimeout is the maximum time of a call to a peer, without the wait that the
	// request asks for.
	callTimeout = 2 * time.Second
)

var (
	beatsSent      = metrics.NewCounter(`marjorammoor_peer_beats_total{direction="sent"}`)
	beatsReceived  = metrics.NewCounter(`marjorammoor_peer_beats_total{direction="taken"}`)
	beatBytes      = metrics.NewCounter(`marjorammoor_peer_beat_bytes_total{direction="sent"}`)
	streamsLost    = metrics.NewCounter(`marjorammoor_peer_streams_lost_total`)
	streamsStale   = metrics.NewCounter(`marjorammoor_peer_streams_stale_total`)
	configBehind   = metrics.NewCounter(`marjorammoor_peer_config_behind_total`)
	rejectedTokens = metrics.NewCounter(`marjorammoor_peer_refused_total{reason="bad_token"}`)
)

// ClaimFunc answers a peer's claim on an idempotency key.
type ClaimFunc func(ctx context.Context, r *encoder.ClaimRequest) (*encoder.ClaimReply, error)

// FetchFunc answers a peer that asks for the result of a request that ran here.
type FetchFunc func(ctx context.Context, r *encoder.FetchRequest) (*encoder.FetchReply, error)

// Exchanger keeps the streams of one node. Set Board, Self, DataCenter and Token
// before use.
type Exchanger struct {
	Board *recorder.Board
	// Self and DataCenter are the names of this node and of its data centre.
	Self       string
	DataCenter string
	// Token authenticates nodes to each other.
	Token string
	// Seeds are the peer addresses to connect to until the nodes there are on the board.
	Seeds []string
	// Dial opens connections; nil means a Dialer without an address map.
	Dial *dialer.Dialer
	// HeartbeatInterval is the time between heartbeats; 0 means
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// ShareWithin is the maximum age of a sighting that is sent to peers; 0 means two
	// and a half times the default probe interval.
	ShareWithin time.Duration
	// Free, if set, returns how many more requests each deployment of this data centre
	// could take.
	Free func() map[string]int
	// OnClaim and OnFetch serve peers' calls. If nil, the calls are refused.
	OnClaim ClaimFunc
	OnFetch FetchFunc
	Log     *slog.Logger

	mu sync.Mutex
	// links holds the outgoing streams by peer address.
	links map[string]*link
	// currentStreams holds the ID of the newest incoming stream by node name.
	currentStreams map[string]uint64
	lastStreamID   uint64
	// snapshot is the last result of ownSightings, built at snapshotAt.
	snapshot   []ownSighting
	snapshotAt time.Time
	// directSummaries holds, by data centre, the time of the last summary that was
	// received from a node of that data centre.
	directSummaries map[string]time.Time
	// identities holds the node that answered at a peer address.
	identities map[string]recorder.Node
}

// Run keeps the node's streams until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	x.setDefaults()
	repeater.NowAndEvery(ctx, linkInterval, func() {
		x.updateLinks(ctx)
		x.removeStale()
	})
}

func (x *Exchanger) setDefaults() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.links != nil {
		return
	}
	x.links = map[string]*link{}
	x.currentStreams = map[string]uint64{}
	x.directSummaries = map[string]time.Time{}
	x.identities = map[string]recorder.Node{}
	if x.HeartbeatInterval == 0 {
		x.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if x.ShareWithin == 0 {
		x.ShareWithin = 5 * prober.DefaultInterval / 2
	}
	if x.Dial == nil {
		x.Dial = &dialer.Dialer{}
	}
	if x.Log == nil {
		x.Log = slog.Default()
	}
}

// Wake makes all streams send a heartbeat with what has changed.
func (x *Exchanger) Wake() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.links {
		l.wakeUp()
	}
}

// updateLinks stops the streams that are no longer wanted and starts the missing ones.
func (x *Exchanger) updateLinks(ctx context.Context) {
	wanted := x.wantedLinks()
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, l := range x.links {
		if _, ok := wanted[address]; !ok {
			l.stop()
			delete(x.links, address)
		}
	}
	for address, isLocal := range wanted {
		if x.links[address] == nil {
			c, cancel := context.WithCancel(ctx)
			l := &link{exchanger: x, address: address, isLocal: isLocal, stop: cancel, wake: make(chan struct{}, 1)}
			x.links[address] = l
			go l.run(c)
		}
	}
}

// wantedLinks returns the peer addresses to keep streams to, and whether each is
// in this data centre.
func (x *Exchanger) wantedLinks() map[string]bool {
	wanted := map[string]bool{}
	remote := map[string][]recorder.Node{}
	known := map[string]bool{}
	x.Board.Nodes.Each(func(name string, n recorder.Node) bool {
		known[n.PeerAddress] = true
		switch {
		case name == x.Self:
		case n.DataCenter == x.DataCenter:
			wanted[n.PeerAddress] = true
		default:
			remote[n.DataCenter] = append(remote[n.DataCenter], n)
		}
		return true
	})
	for _, address := range x.Seeds {
		if !known[address] {
			wanted[address] = x.isLocalSeed(address)
		}
	}
	local := []string{}
	for _, n := range x.Board.LiveNodes(x.DataCenter, prober.DefaultLifetime) {
		local = append(local, n.Name)
	}
	for dataCenter, nodes := range remote {
		if ranker.IsAmongFirst("link "+dataCenter, x.Self, local, linkNodes) {
			x.addRemoteLinks(wanted, nodes)
		}
	}
	return wanted
}

// isLocalSeed reports whether a seed answered as a node of this data centre.
func (x *Exchanger) isLocalSeed(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.identities[address].DataCenter == x.DataCenter
}

// addRemoteLinks adds the linkTargets nodes of another data centre that rank highest
// for this node. Leaving nodes are left out.
func (x *Exchanger) addRemoteLinks(wanted map[string]bool, nodes []recorder.Node) {
	names, byName := []string{}, map[string]recorder.Node{}
	for _, n := range nodes {
		if !n.Leaving {
			names = append(names, n.Name)
			byName[n.Name] = n
		}
	}
	for _, name := range names {
		if ranker.IsAmongFirst("to "+x.Self, name, names, linkTargets) {
			wanted[byName[name].PeerAddress] = false
		}
	}
}

// removeStale removes from the board the nodes that have not been heard for
// nodeRetention and are not in the platform's list, and the sightings of nodes that
// are not on the board. It adds nodes that only the platform's list has.
func (x *Exchanger) removeStale() {
	listed := map[string]bool{}
	vms, _, _ := x.Board.VMs(client.RoleEntry)
	for _, v := range vms {
		listed[v.Name] = true
		x.recordListedNode(v)
	}
	x.Board.Nodes.Each(func(name string, n recorder.Node) bool {
		if name != x.Self && !listed[name] && time.Since(n.HeardAt) > nodeRetention {
			x.Board.Nodes.Delete(name)
		}
		return true
	})
	x.Board.Sightings.Each(func(vm string, list []recorder.Sighting) bool {
		for _, s := range list {
			if _, ok := x.Board.Nodes.Get(s.Watcher); !ok {
				x.Board.DropSighting(vm, s.Watcher)
			}
		}
		return true
	})
}

// recordListedNode adds an entry node from the platform's list to the board if the
// board does not have it.
func (x *Exchanger) recordListedNode(v client.VM) {
	x.Board.Nodes.Update(v.Name, func(old recorder.Node, ok bool) (recorder.Node, bool) {
		if ok {
			return old, true
		}
		return recorder.Node{Name: v.Name, DataCenter: v.DataCenter, PeerAddress: v.Address}, true
	})
}

// Protocols returns the protocols that the listener for peers accepts.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP1(true)
	return p
}

// client returns a client that shares no connection with other clients, so that a
// broken connection is not reused, and a function that closes its idle connections.
func (x *Exchanger) client(address string) (encoder.PeerServiceClient, func()) {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	t := &http.Transport{DialContext: x.Dial.DialContext, Protocols: p}
	c := encoder.NewPeerServiceClient(&http.Client{Transport: t}, "http://"+address)
	return c, t.CloseIdleConnections
}

// Claim asks the node at a peer address for a claim on an idempotency key.
func (x *Exchanger) Claim(ctx context.Context, address string, r *encoder.ClaimRequest) (*encoder.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, release := x.client(address)
	defer release()
	q := connect.NewRequest(r)
	q.Header().Set(tokenHeader, x.Token)
	a, err := c.Claim(ctx, q)
	if err != nil {
		return nil, classify(err)
	}
	return a.Msg, nil
}

// Fetch asks the node at a peer address for the result of a request that ran there.
func (x *Exchanger) Fetch(ctx context.Context, address string, r *encoder.FetchRequest) (*encoder.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(r.WaitMs)*time.Millisecond)
	defer cancel()
	c, release := x.client(address)
	defer release()
	q := connect.NewRequest(r)
	q.Header().Set(tokenHeader, x.Token)
	a, err := c.Fetch(ctx, q)
	if err != nil {
		return nil, classify(err)
	}
	return a.Msg, nil
}
