package deliverer

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/network/requester"
)

const (
	// avoidTime is how long a node gets no requests after one could not be handed over to it.
	avoidTime = time.Second
	// maxMisses is the number of nodes of a data centre that may fail to be connected, with no
	// response of another one since, before none of them is tried for avoidTime.
	maxMisses = 3
	// remoteFactor is how much the load of a node of another data centre counts.
	remoteFactor = 2
)

var requestsDelivered = metrics.NewCounter(`marjorammoor_requests_delivered_total`)

// Evidence is what speaks for a node reaching runners. Less is better.
type Evidence int

// The evidence.
const (
	// Answered: a runner of the service has just answered the node.
	Answered Evidence = iota
	// NotMissed: the node has run for a while, and misses none of the runners.
	NotMissed
	// Unheard: the node has not shown that it has heard of this one, and may refuse.
	Unheard
)

// Peer is a node that may take a request over.
type Peer struct {
	Name string
	// Address is where it takes requests from other nodes, as ip:port.
	Address    string
	DataCenter string
	// IsRemote is set if the node is in another data centre.
	IsRemote bool
	// Evidence speaks for the node reaching runners that this one does not reach.
	Evidence Evidence
	// Load is the number of requests that it has in flight, as it last reported.
	Load int
	// Age is how long its process has sent heartbeats, and HeartbeatAge the time since the
	// last one was received.
	Age, HeartbeatAge time.Duration
}

// Deliverer hands requests over to other nodes. Set Self, Peers and Client before use.
type Deliverer struct {
	// Self is the name of this node.
	Self string
	// Peers returns the nodes that reach runners which can serve a model.
	Peers  func(service, model string) []Peer
	Client *requester.Client

	mu sync.Mutex
	// delivered is the number of requests that are handed over now, by node.
	delivered map[string]int
	// avoidedUntil is until when a node gets no requests.
	avoidedUntil map[string]time.Time
	// missed are the nodes that could not be connected, by data centre, since a node there has
	// responded. cutUntil is until when a data centre gets no requests.
	missed   map[string]map[string]bool
	cutUntil map[string]time.Time
}

// HasPeer reports whether another node can take a request for a model of a service.
func (d *Deliverer) HasPeer(service, model string) bool {
	_, ok := d.Choose(service, model, nil)
	return ok
}

// Choose returns the node that takes a request for a model of a service over: of two drawn at random
// among those for which most speaks, the one with less load. Those tried before are left out.
func (d *Deliverer) Choose(service, model string, tried []string) (Peer, bool) {
	if d == nil {
		return Peer{}, false
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	list := slices.DeleteFunc(d.Peers(service, model), func(p Peer) bool {
		return now.Before(d.avoidedUntil[p.Name]) || now.Before(d.cutUntil[p.DataCenter]) || slices.Contains(tried, p.Name)
	})
	if len(list) == 0 {
		return Peer{}, false
	}
	best := slices.MinFunc(list, func(x, y Peer) int { return cmp.Compare(x.Evidence, y.Evidence) }).Evidence
	list = slices.DeleteFunc(list, func(p Peer) bool { return p.Evidence > best })
	x, y := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if d.load(y) < d.load(x) {
		return y, true
	}
	return x, true
}

// load returns the load of a node for the choice. d.mu must be held.
func (d *Deliverer) load(p Peer) int {
	n := p.Load + d.delivered[p.Name] + 1
	if p.IsRemote {
		n *= remoteFactor
	}
	return n
}

// Send hands a request over. The error is as from requester.Client.Do: it tells whether the
// node may have got the request. The response must be closed.
func (d *Deliverer) Send(ctx context.Context, p Peer, r *requester.Request, about Delivery) (*requester.Response, error) {
	about.Node = d.Self
	r.Address = p.Address
	about.setHeader(r.Header)
	requestsDelivered.Inc()
	response, err := d.Client.Do(ctx, r)
	if err == nil {
		d.recordResponse(p)
	}
	if err != nil && ctx.Err() == nil {
		d.Avoid(p)
	}
	if err != nil && ctx.Err() == nil && !requester.MaySent(err) {
		d.recordMiss(p)
	}
	if err != nil {
		return nil, fmt.Errorf("hand over to %s: %w", p.Name, err)
	}
	return response, nil
}

// Begin records that a request is handed over to a node, until the returned function is
// called.
func (d *Deliverer) Begin(p Peer) (end func()) {
	d.add(p, 1)
	return func() { d.add(p, -1) }
}

func (d *Deliverer) add(p Peer, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delivered == nil {
		d.delivered = map[string]int{}
	}
	if d.delivered[p.Name] += n; d.delivered[p.Name] == 0 {
		delete(d.delivered, p.Name)
	}
}

// Avoid keeps requests away from a node for a while.
func (d *Deliverer) Avoid(p Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoidedUntil == nil {
		d.avoidedUntil = map[string]time.Time{}
	}
	d.avoidedUntil[p.Name] = time.Now().Add(avoidTime)
}

// recordMiss records that a node could not be connected. Its data centre may be cut off, although
// the last heartbeats from there are recent.
func (d *Deliverer) recordMiss(p Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.missed == nil {
		d.missed, d.cutUntil = map[string]map[string]bool{}, map[string]time.Time{}
	}
	if d.missed[p.DataCenter] == nil {
		d.missed[p.DataCenter] = map[string]bool{}
	}
	d.missed[p.DataCenter][p.Name] = true
	if len(d.missed[p.DataCenter]) >= maxMisses {
		d.cutUntil[p.DataCenter] = time.Now().Add(avoidTime)
	}
}

func (d *Deliverer) recordResponse(p Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.missed, p.DataCenter)
	delete(d.cutUntil, p.DataCenter)
}
