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
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"marjorammoor/internal/store/follower"
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
	// nodesPerRemoteBeat is for how many nodes one more beat is left out
	// between two that go to other data centers.
	nodesPerRemoteBeat = 20
	// manyNodes is above how many nodes a beat to another data center tells only
	// of the runners there.
	manyNodes = 12
)

// The kinds of datagrams, which are their first byte.
const (
	beatKind    = 1
	changesKind = 3
	relayedKind = 4
	// echoBytes is the length of the echo that comes before a beat: the receiver's
	// last stamp and the start of its process, from which that stamp is.
	echoBytes = 16
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
	// Stamp is when the beat was sent, on the sender's own clock.
	Stamp int64 `cbor:"13,keyasint"`
	// Copies describe the node's copies of the store's objects by kind, if it
	// watches the store itself.
	Copies map[string]follower.Copy `cbor:"14,keyasint,omitempty"`
	// Totals are the requests in flight from all nodes at runners of the sender's
	// data center, in beats to others that are limited.
	Totals map[string]int `cbor:"15,keyasint,omitempty"`
	// Echo is the last stamp of the receiver that the sender had seen. What the
	// beat says was true after that moment on the receiver's clock.
	Echo int64 `cbor:"-"`
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
	// DataCenter is this node's data center.
	DataCenter string
	// Fill sets the facts of the next beat to a data center. If it is limited, it
	// tells only of requests in flight at runners there.
	Fill func(b *Beat, dataCenter string, limited bool)
	// Received is told of each beat that is newer than the last of its node.
	Received func(b *Beat)
	// Changed is told of changes in the store that another node passes on.
	Changed func(c follower.Changes)
	Log     *slog.Logger

	conn     atomic.Pointer[net.UDPConn]
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

// Known returns how many other nodes are sent to, whether they live or not. A node
// that has been silent for a minute is forgotten.
func (b *Beater) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.addrs)
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
	b.conn.Store(conn)
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

// destination is a node to which a datagram goes.
type destination struct {
	address    *net.UDPAddr
	dataCenter string
	stamp      int64
	start      int64
}

func (b *Beater) send(conn *net.UDPConn) {
	to, sequence := b.destinations()
	skip := uint64(1 + len(to)/nodesPerRemoteBeat)
	encoded := map[string][]byte{}
	for _, d := range to {
		isRemote := d.dataCenter != "" && d.dataCenter != b.DataCenter
		if isRemote && sequence%skip != 0 {
			continue
		}
		message, ok := encoded[d.dataCenter]
		if !ok {
			message = b.encode(conn, d.dataCenter, sequence, isRemote && len(to) > manyNodes)
			encoded[d.dataCenter] = message
		}
		setEcho(message, d.stamp, d.start)
		b.write(conn, message, d.address)
	}
}

// destinations returns the nodes to send to and the next beat's number.
func (b *Beater) destinations() ([]destination, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	to := make([]destination, 0, len(b.addrs))
	for name, a := range b.addrs {
		d := destination{address: a}
		seen := b.added[name]
		if p, ok := b.peers[name]; ok {
			d.dataCenter, d.stamp, d.start = p.DataCenter, p.Stamp, p.Start
			if p.SeenAt.After(seen) {
				seen = p.SeenAt
			}
		}
		if time.Since(seen) > forgetAfter {
			delete(b.addrs, name)
			continue
		}
		to = append(to, d)
	}
	return to, b.sequence
}

// encode returns a datagram with room for the echo.
func (b *Beater) encode(conn *net.UDPConn, dataCenter string, sequence uint64, limited bool) []byte {
	beat := Beat{
		Node: b.Self, Address: conn.LocalAddr().String(), DataCenter: b.DataCenter, Start: b.start,
		Sequence: sequence, Stamp: int64(follower.Now()),
	}
	b.Fill(&beat, dataCenter, limited)
	body, err := cbor.Marshal(&beat)
	if err != nil {
		badDatagrams.Inc()
		b.Log.Error("cannot encode a beat", "error", err)
	}
	message := make([]byte, 1+echoBytes, 1+echoBytes+len(body))
	message[0] = beatKind
	return append(message, body...)
}

func (b *Beater) write(conn *net.UDPConn, message []byte, to *net.UDPAddr) {
	if _, err := conn.WriteToUDP(message, to); err != nil {
		badDatagrams.Inc()
		return
	}
	bytesSent.Add(len(message))
}

func (b *Beater) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			badDatagrams.Inc()
			continue
		}
		bytesReceived.Add(n)
		if err := b.take(buffer[:n], from); err != nil {
			badDatagrams.Inc()
			b.Log.Debug("a datagram cannot be read", "from", from.String(), "error", err)
		}
	}
}

var errBadDatagram = errors.New("not a datagram of a node")

// take reads one datagram.
func (b *Beater) take(message []byte, from *net.UDPAddr) error {
	switch {
	case message[0] == beatKind && len(message) > 1+echoBytes:
		beat := &Beat{}
		if err := cbor.Unmarshal(message[1+echoBytes:], beat); err != nil {
			return fmt.Errorf("decode a beat: %w", err)
		}
		if beat.Node == "" {
			return errBadDatagram
		}
		beat.Echo = b.echo(message)
		if b.note(beat, from) && b.Received != nil {
			b.Received(beat)
		}
	case message[0] == changesKind, message[0] == relayedKind:
		return b.takeChanges(message)
	default:
		return errBadDatagram
	}
	return nil
}

// setEcho sets the echo of an encoded beat.
func setEcho(message []byte, stamp, start int64) {
	binary.BigEndian.PutUint64(message[1:], uint64(stamp))
	binary.BigEndian.PutUint64(message[1+echoBytes/2:], uint64(start))
}

// echo returns the stamp that a beat echoes, or 0 if it is from an earlier process
// of this node. The clock of stamps may have started anew since.
func (b *Beater) echo(message []byte) int64 {
	if int64(binary.BigEndian.Uint64(message[1+echoBytes/2:])) != b.start {
		return 0
	}
	return int64(binary.BigEndian.Uint64(message[1:]))
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
