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
	// DefaultBeatInterval is the time between two beats on a stream.
	DefaultBeatInterval = 500 * time.Millisecond
	// minBeatGap merges changes that come shortly after each other.
	minBeatGap = 20 * time.Millisecond
	// ackTimeout is how long a stream may go without an acknowledgement.
	ackTimeout = 3 * time.Second
	// linkInterval is how often the set of streams is reconsidered.
	linkInterval = 500 * time.Millisecond
	// linkNodes is the number of nodes that keep streams to another data centre,
	// and linkTargets the number of nodes there that each of them reaches.
	linkNodes   = 2
	linkTargets = 2
	redialPause = 500 * time.Millisecond
	// forgetNode is how long a node that is not listed is remembered.
	forgetNode    = 60 * time.Second
	snapshotReuse = 50 * time.Millisecond
	callTimeout   = 2 * time.Second
)

var (
	beatsSent     = metrics.NewCounter(`marjorammoor_peer_beats_total{direction="sent"}`)
	beatsTaken    = metrics.NewCounter(`marjorammoor_peer_beats_total{direction="taken"}`)
	beatBytes     = metrics.NewCounter(`marjorammoor_peer_beat_bytes_total{direction="sent"}`)
	streamsLost   = metrics.NewCounter(`marjorammoor_peer_streams_lost_total`)
	streamsStale  = metrics.NewCounter(`marjorammoor_peer_streams_stale_total`)
	configBehind  = metrics.NewCounter(`marjorammoor_peer_config_behind_total`)
	badPeerTokens = metrics.NewCounter(`marjorammoor_peer_refused_total{reason="bad_token"}`)
)

// ClaimFunc answers a peer's claim on an idempotency key.
type ClaimFunc func(ctx context.Context, r *encoder.ClaimRequest) (*encoder.ClaimReply, error)

// FetchFunc tells a peer how a request ended here.
type FetchFunc func(ctx context.Context, r *encoder.FetchRequest) (*encoder.FetchReply, error)

// Exchanger keeps the streams of one node. Set Board, Self, DataCenter and Token
// before use.
type Exchanger struct {
	Board      *recorder.Board
	Self       string
	DataCenter string
	// Token authenticates nodes to each other.
	Token string
	// Seeds are peer addresses to start from.
	Seeds []string
	// Dial opens connections; the zero value translates nothing.
	Dial *dialer.Dialer
	// BeatInterval is the time between beats; 0 means DefaultBeatInterval.
	BeatInterval time.Duration
	// ShareWithin is how recently a VM must have been seen for its sighting to
	// be shared; 0 means twice the default probe interval and a little.
	ShareWithin time.Duration
	// Free returns how many requests each deployment could take here.
	Free func() map[string]int
	// OnClaim and OnFetch serve peers' calls; nil refuses them.
	OnClaim ClaimFunc
	OnFetch FetchFunc
	Log     *slog.Logger

	mu       sync.Mutex
	links    map[string]*link
	streams  map[string]uint64
	counter  uint64
	snapshot []ownSighting
	takenAt  time.Time
	// direct holds when a summary last came from its own data centre.
	direct map[string]time.Time
	// identities holds who answered at an address.
	identities map[string]recorder.Node
}

// Run keeps streams until ctx ends.
func (x *Exchanger) Run(ctx context.Context) {
	x.setDefaults()
	repeater.Now(ctx, linkInterval, func() {
		x.relink(ctx)
		x.forget()
	})
}

func (x *Exchanger) setDefaults() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.links != nil {
		return
	}
	x.links = map[string]*link{}
	x.streams = map[string]uint64{}
	x.direct = map[string]time.Time{}
	x.identities = map[string]recorder.Node{}
	if x.BeatInterval == 0 {
		x.BeatInterval = DefaultBeatInterval
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

// Wake has all streams send what has changed.
func (x *Exchanger) Wake() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range x.links {
		l.wakeUp()
	}
}

// relink starts and stops streams so that they reach the wanted nodes.
func (x *Exchanger) relink(ctx context.Context) {
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
		if ranker.Among("link "+dataCenter, x.Self, local, linkNodes) {
			x.addRemote(wanted, nodes)
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

// addRemote wants streams to the first few nodes of another data centre,
// preferring those that are heard of.
func (x *Exchanger) addRemote(wanted map[string]bool, nodes []recorder.Node) {
	names, byName := []string{}, map[string]recorder.Node{}
	for _, n := range nodes {
		if !n.Leaving {
			names = append(names, n.Name)
			byName[n.Name] = n
		}
	}
	for _, name := range names {
		if ranker.Among("to "+x.Self, name, names, linkTargets) {
			wanted[byName[name].PeerAddress] = false
		}
	}
}

// forget drops nodes that were not heard for long and are not in the platform's
// list, and sightings of watchers that are gone.
func (x *Exchanger) forget() {
	listed := map[string]bool{}
	vms, _, _ := x.Board.VMs(client.RoleEntry)
	for _, v := range vms {
		listed[v.Name] = true
		x.learnListed(v)
	}
	x.Board.Nodes.Each(func(name string, n recorder.Node) bool {
		if name != x.Self && !listed[name] && time.Since(n.HeardAt) > forgetNode {
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

// learnListed adds an entry node that only the platform's list names so far.
func (x *Exchanger) learnListed(v client.VM) {
	x.Board.Nodes.Update(v.Name, func(old recorder.Node, ok bool) (recorder.Node, bool) {
		if ok {
			return old, true
		}
		return recorder.Node{Name: v.Name, DataCenter: v.DataCenter, PeerAddress: v.Address}, true
	})
}

// Protocols returns the protocols that the peers' listener and clients speak.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP1(true)
	return p
}

// client returns a client with connections of its own, so that a broken one is
// never used again.
func (x *Exchanger) client(address string) (encoder.PeerServiceClient, func()) {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	t := &http.Transport{DialContext: x.Dial.DialContext, Protocols: p}
	c := encoder.NewPeerServiceClient(&http.Client{Transport: t}, "http://"+address)
	return c, t.CloseIdleConnections
}

// Claim asks the node at a peer address for a claim.
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

// Fetch asks the node at a peer address how a request ended there.
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
