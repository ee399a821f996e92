// Package beater sends heartbeats between the nodes as UDP datagrams. A heartbeat
// holds short-lived facts: that the node is live, its requests in flight at each
// runner, the runners that it suspects to be stalled, and whether it reaches the
// platform's store.
//
// Each heartbeat repeats all facts, so the next heartbeat makes up for a lost
// datagram and there is no connection that can break unnoticed. Facts that must be
// durable or agreed on are not sent in heartbeats.
//
// Publish also sends changes in the store to the nodes of the same data centre. A
// receiver detects missing changes by the revisions in the next heartbeat.
//
// # Usage
//
//	b := &beater.Beater{Self: "n1", Fill: fill, OnHeartbeat: onHeartbeat, Log: log}
//	go b.Run(ctx, "10.1.0.4:7340")
//	b.AddPeer("n2", "10.2.0.9:7340")
package beater

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/network/checker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/timing/repeater"
)

const (
	// forgetAfter is the time without a heartbeat from a node after which no more
	// heartbeats are sent to it.
	forgetAfter = 60 * time.Second
	maxDatagram = 60 << 10
	// maxFullHeartbeatNodes is the number of other nodes above which a heartbeat to
	// another data centre holds only requests in flight at runners there.
	maxFullHeartbeatNodes = 12
	// reductionLogInterval is the time between two log lines on heartbeats that are too large.
	reductionLogInterval = 10 * time.Second
)

// The first byte of a datagram is its kind.
const (
	beatKind    = 1
	changesKind = 3
	relayKind   = 4
	grantKind   = 5
	listKind    = 6
	objectKind  = 7
	// introductionKind is that of a datagram with the addresses of nodes.
	introductionKind = 8
	// echoBytes is the length of the echo that precedes the encoded heartbeat: SentAt and
	// Start of the last heartbeat that the sender received from this receiver.
	echoBytes = 16
)

var (
	bytesSent      = metrics.NewCounter(`marjorammoor_beat_bytes_total{direction="sent"}`)
	bytesReceived  = metrics.NewCounter(`marjorammoor_beat_bytes_total{direction="received"}`)
	datagramErrors = metrics.NewCounter(`marjorammoor_beat_errors_total`)
	beatsReduced   = metrics.NewCounter(`marjorammoor_beats_reduced_total`)
)

// Beater sends and receives heartbeats. Set Self, Fill and Log before use.
type Beater struct {
	// Self is the name of this node.
	Self string
	// Interval is the time between two heartbeats; 0 means DefaultInterval.
	Interval time.Duration
	// DataCenter is the name of this node's data centre.
	DataCenter string
	// Fill sets the facts of the next heartbeat to the nodes of a data centre. A limited
	// heartbeat must hold only requests in flight at runners there.
	Fill func(b *Heartbeat, dataCenter string, limited bool)
	// OnHeartbeat, if set, is called with each heartbeat that is newer than the last
	// one of its node.
	OnHeartbeat func(b *Heartbeat)
	// OnChanges, if set, is called with changes in the store that another node sent.
	OnChanges func(c follower.Changes)
	// OnListPart, if set, is called with the parts of a list that another node has read.
	OnListPart func(p follower.ListPart)
	// OnObject, if set, is called with an object that another node has sent to this one
	// because the store may have lost it.
	OnObject func(o follower.Object)
	// OnGrant, if set, is called with the retries that another node has given.
	OnGrant func(g Grant)
	// Transmit sends a datagram; nil means from the socket of Run.
	Transmit func(message []byte, to *net.UDPAddr) error
	Log      *slog.Logger

	conn     atomic.Pointer[net.UDPConn]
	mu       sync.Mutex
	sequence uint64
	// start is when Run began, in Unix milliseconds, and address where it listens.
	start   int64
	address string
	// addrs, peers and addedAt are by node name. addedAt is when the address was set.
	addrs   map[string]*net.UDPAddr
	peers   map[string]*Peer
	addedAt map[string]time.Time
	// waiting are the nodes that get a heartbeat whatever their turn is: those whose address
	// is new, and those that seem to have received none of this process.
	waiting map[string]bool
	// newcomers are the nodes whose processes are new since the last heartbeat.
	newcomers map[string]bool
	grants    grantLog
	// published holds the changes that were published last, by kind.
	published map[string]follower.Changes
	// relayed counts the datagrams that were sent by way of other nodes.
	relayed atomic.Uint64
	// idle decides which heartbeats that would hold nothing are sent. Only send uses it.
	idle idleLog
	// reductionLoggedAt is when a heartbeat was last logged of which facts were left out.
	reductionLoggedAt time.Time
}

// AddPeer adds a node to send heartbeats to. It ignores this node's own name, and the address
// of a live node, since the list that has it may be older than the node's heartbeats.
func (b *Beater) AddPeer(name, address string) {
	if name == b.Self {
		return
	}
	if err := checker.Check(address); err != nil {
		b.Log.Warn("invalid peer address; peer is not added", "peer", name, "error", err)
		return
	}
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		b.Log.Warn("invalid peer address; peer is not added", "peer", name, "address", address, "error", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.peers[name]; ok && p.isLive(time.Now()) {
		return // its heartbeats show where it is
	}
	b.addLocked(name, a)
}

// addLocked sets the address of a peer. The caller holds b.mu.
func (b *Beater) addLocked(name string, a *net.UDPAddr) {
	if b.addrs == nil {
		b.addrs, b.peers, b.addedAt = map[string]*net.UDPAddr{}, map[string]*Peer{}, map[string]time.Time{}
		b.waiting, b.newcomers = map[string]bool{}, map[string]bool{}
	}
	old, ok := b.addrs[name]
	if ok && old.String() == a.String() {
		return
	}
	b.addrs[name] = a
	b.addedAt[name] = time.Now()
	b.waiting[name] = true
	if ok {
		b.Log.Info("peer has another address", "peer", name, "address", a.String(), "before", old.String())
	}
}

// Live returns the other nodes that have sent a heartbeat in time.
func (b *Beater) Live() []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Peer{}
	now := time.Now()
	for _, p := range b.peers {
		if p.isLive(now) {
			list = append(list, *p)
		}
	}
	return list
}

// Address returns the address from which a node sends heartbeats, as ip:port.
func (b *Beater) Address(name string) (string, bool) {
	a, ok := b.peerAddress(name)
	if !ok {
		return "", false
	}
	return a.String(), true
}

func (b *Beater) peerAddress(name string) (a *net.UDPAddr, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok = b.addrs[name]
	return a, ok
}

// Knows reports whether a node of a name is known to have an IP address, from its heartbeats or
// from the store.
func (b *Beater) Knows(name, ip string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.addrs[name]
	return ok && a.IP.String() == ip
}

// KnowsAddress reports whether some node is known to have an IP address.
func (b *Beater) KnowsAddress(ip string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.addrs {
		if a.IP.String() == ip {
			return true
		}
	}
	return false
}

// PeerCount returns the number of other nodes that heartbeats are sent to, live or
// not. A node is removed after forgetAfter without a heartbeat from it.
func (b *Beater) PeerCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.addrs)
}

// Nodes returns the names of the nodes in a data centre, or in all of them if its name is
// empty: this one and those that heartbeats are sent to, live or not. A node whose data
// centre is not known yet is in each.
func (b *Beater) Nodes(dataCenter string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := []string{}
	if dataCenter == "" || dataCenter == b.DataCenter {
		names = append(names, b.Self)
	}
	for name := range b.addrs {
		if p, ok := b.peers[name]; !ok || dataCenter == "" || p.DataCenter == dataCenter {
			names = append(names, name)
		}
	}
	return names
}

// Run sends and receives heartbeats at an address of this node until ctx ends.
func (b *Beater) Run(ctx context.Context, address string) error {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return fmt.Errorf("resolve the address for heartbeats: %w", err)
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return fmt.Errorf("listen for heartbeats: %w", err)
	}
	b.start, b.address = time.Now().UnixMilli(), conn.LocalAddr().String()
	b.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go b.receive(conn)
	repeater.NowAndEvery(ctx, b.interval(), b.send)
	return nil
}

func (b *Beater) interval() time.Duration {
	if b.Interval == 0 {
		return DefaultInterval
	}
	return b.Interval
}

func (b *Beater) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			datagramErrors.Inc()
			continue
		}
		bytesReceived.Add(n)
		if err := b.handleDatagram(buffer[:n], from); err != nil {
			datagramErrors.Inc()
			b.Log.Debug("datagram cannot be decoded; it is dropped", "from", from.String(), "error", err)
		}
	}
}
