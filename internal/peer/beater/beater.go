// Package beater exchanges short-lived facts between the nodes in datagrams:
// who lives, what each has in flight at which runner, which runners stand still
// and whether the platform's store is in reach.
//
// Every fact is sent again with the next beat, so a lost datagram does no harm
// and there is no connection that can go silent. Nothing that must last or be
// agreed on travels this way.
//
// # Usage
//
//	b := &beater.Beater{Self: "n1", Fill: fill, Received: received}
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
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"marjorammoor/internal/timing/repeater"
)

const (
	// DefaultInterval is the time between two beats.
	DefaultInterval = 150 * time.Millisecond
	// liveFor is how long a node counts as live after its last beat.
	liveFor = 1500 * time.Millisecond
	// forgetAfter is when a silent node is no longer sent to.
	forgetAfter = 60 * time.Second
	maxDatagram = 60 << 10
)

var (
	bytesSent     = metrics.NewCounter(`marjorammoor_beat_bytes_total{direction="sent"}`)
	bytesReceived = metrics.NewCounter(`marjorammoor_beat_bytes_total{direction="received"}`)
	badDatagrams  = metrics.NewCounter(`marjorammoor_beat_errors_total`)
)

// Beat is what a node tells the others.
type Beat struct {
	Node       string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCenter string `cbor:"3,keyasint"`
	// Start is when the node started, in Unix milliseconds.
	Start    int64  `cbor:"4,keyasint"`
	Sequence uint64 `cbor:"5,keyasint"`
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	// HasStore says that the platform's store was in reach lately.
	HasStore bool `cbor:"7,keyasint"`
	// InFlight are the node's requests by runner.
	InFlight map[string]int `cbor:"8,keyasint,omitempty"`
	// Suspects are runners that stand still.
	Suspects []string `cbor:"9,keyasint,omitempty"`
	// Doubts are runners that do not answer the node, with their addresses.
	Doubts map[string]string `cbor:"10,keyasint,omitempty"`
	// Alive are runners that other nodes doubt and that answered the node.
	Alive []string `cbor:"11,keyasint,omitempty"`
	// Loads is how many loads of weights the node has ordered that are under way.
	Loads int `cbor:"12,keyasint,omitempty"`
}

// Peer is another node as its last beat described it.
type Peer struct {
	Beat
	SeenAt time.Time
}

// Beater sends and receives beats. Set Self, Fill and Log before use.
type Beater struct {
	Self string
	// Interval is the time between two beats; 0 means DefaultInterval.
	Interval time.Duration
	// Fill sets the facts of the next beat.
	Fill func(b *Beat)
	// Received is told of each beat that is newer than the last of its node.
	Received func(b *Beat)
	Log      *slog.Logger

	mu       sync.Mutex
	sequence uint64
	start    int64
	addrs    map[string]*net.UDPAddr
	peers    map[string]*Peer
	added    map[string]time.Time
}

// AddPeer names a node to send to.
func (b *Beater) AddPeer(name, address string) {
	if name == b.Self {
		return
	}
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		b.Log.Warn("a node's address cannot be read", "peer", name, "address", address, "error", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(name, a)
}

func (b *Beater) addLocked(name string, a *net.UDPAddr) {
	if b.addrs == nil {
		b.addrs, b.peers, b.added = map[string]*net.UDPAddr{}, map[string]*Peer{}, map[string]time.Time{}
	}
	if old, ok := b.addrs[name]; ok && old.String() == a.String() {
		return
	}
	b.addrs[name] = a
	b.added[name] = time.Now()
	b.Log.Info("node is known", "peer", name, "address", a.String())
}

// Live returns the nodes heard lately, without this one.
func (b *Beater) Live() []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Peer{}
	for _, p := range b.peers {
		if time.Since(p.SeenAt) < liveFor {
			list = append(list, *p)
		}
	}
	return list
}

// Run sends and receives until ctx ends.
func (b *Beater) Run(ctx context.Context, address string) error {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return fmt.Errorf("read the address for beats: %w", err)
	}
	conn, err := net.ListenUDP("udp4", a)
	if err != nil {
		return fmt.Errorf("listen for beats: %w", err)
	}
	b.start = time.Now().UnixMilli()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go b.receive(conn)
	interval := b.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	repeater.Now(ctx, interval, func() { b.send(conn) })
	return nil
}

func (b *Beater) send(conn *net.UDPConn) {
	beat := Beat{Node: b.Self, Address: conn.LocalAddr().String(), Start: b.start}
	b.Fill(&beat)
	b.mu.Lock()
	b.sequence++
	beat.Sequence = b.sequence
	to := make([]*net.UDPAddr, 0, len(b.addrs))
	for name, a := range b.addrs {
		seen := b.added[name]
		if p, ok := b.peers[name]; ok && p.SeenAt.After(seen) {
			seen = p.SeenAt
		}
		if time.Since(seen) > forgetAfter {
			delete(b.addrs, name)
			continue
		}
		to = append(to, a)
	}
	b.mu.Unlock()
	message, err := cbor.Marshal(&beat)
	if err != nil {
		badDatagrams.Inc()
		b.Log.Error("cannot encode a beat", "error", err)
		return
	}
	for _, a := range to {
		if _, err := conn.WriteToUDP(message, a); err != nil {
			badDatagrams.Inc()
			continue
		}
		bytesSent.Add(len(message))
	}
}

func (b *Beater) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			badDatagrams.Inc()
			continue
		}
		bytesReceived.Add(n)
		beat := &Beat{}
		if err := cbor.Unmarshal(buffer[:n], beat); err != nil || beat.Node == "" {
			badDatagrams.Inc()
			continue
		}
		if b.note(beat, from) && b.Received != nil {
			b.Received(beat)
		}
	}
}

// note keeps a beat and reports whether it is news.
func (b *Beater) note(beat *Beat, from *net.UDPAddr) bool {
	if beat.Node == b.Self {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addLocked(beat.Node, from)
	old, ok := b.peers[beat.Node]
	if ok && old.Start == beat.Start && old.Sequence >= beat.Sequence {
		return false
	}
	if !ok || time.Since(old.SeenAt) > liveFor {
		b.Log.Info("node is live", "peer", beat.Node, "address", from.String(), "start", beat.Start)
	}
	b.peers[beat.Node] = &Peer{Beat: *beat, SeenAt: time.Now()}
	return true
}
