package beater

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// node is a beater that records the heartbeats and changes it receives.
type node struct {
	*Beater
	address string

	mu      sync.Mutex
	beats   map[string]Heartbeat
	changes []follower.Changes
}

// hosts counts the loopback addresses of this test process.
var hosts atomic.Int32

// ownHost returns a loopback address that nothing else uses, so that no port of it is taken
// between the choice of a port and its use.
func ownHost() string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 160+os.Getpid()%32, n/250, 1+n%250)
}

func start(ctx context.Context, t *testing.T, name, dataCenter string) *node {
	t.Helper()
	l, err := net.ListenPacket("udp4", ownHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.LocalAddr().String()
	_ = l.Close()
	n := &node{address: address, beats: map[string]Heartbeat{}}
	n.Beater = &Beater{
		Self: name, DataCenter: dataCenter, Interval: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Fill: func(b *Heartbeat, _ string, limited bool) {
			b.ReachesStore = true
			b.InFlight = map[string]int{"r-" + name: 3}
			if limited {
				b.InFlight = nil
			}
		},
		OnHeartbeat: func(b *Heartbeat) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.beats[b.Node] = *b
		},
		OnChanges: func(c follower.Changes) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes = append(n.changes, c)
		},
	}
	go func() {
		if err := n.Run(ctx, address); err != nil {
			t.Error(err)
		}
	}()
	return n
}

func (n *node) beat(name string) (Heartbeat, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.beats[name]
	return b, ok
}

func eventually(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for range 300 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(failure)
}

// wire connects beaters without a network. A datagram is handled when it is sent.
type wire map[string]*Beater

// add returns a beater at an address of the wire.
func (w wire) add(t *testing.T, name, address string) *Beater {
	b := &Beater{
		Self: name, DataCenter: "x", Log: slog.New(slog.DiscardHandler), address: address, start: 1000,
		Fill: func(h *Heartbeat, _ string, _ bool) {
			h.InFlight, h.ReachesStore = map[string]int{"r-" + name: 3}, true
		},
	}
	from, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	b.Transmit = func(message []byte, to *net.UDPAddr) error {
		return w[to.String()].handleDatagram(message, from)
	}
	w[address] = b
	return b
}

// TestBeats checks that two nodes exchange heartbeats if only one of them has the
// other's address, and that a heartbeat echoes SentAt of the receiver's last
// heartbeat.
func TestBeats(t *testing.T) {
	w := wire{}
	a, b := w.add(t, "a", "10.0.0.1:1"), w.add(t, "b", "10.0.0.2:1")
	beats := []Heartbeat{}
	a.OnHeartbeat = func(h *Heartbeat) { beats = append(beats, *h) }
	a.AddPeer("b", "10.0.0.2:1")
	a.AddPeer("a", "10.0.0.1:1")
	a.send()
	b.send()
	sent := int64(follower.Now())
	a.send()
	b.send()
	if len(beats) != 2 || beats[0].Node != "b" || beats[1].Node != "b" {
		t.Fatalf("a has received %+v, want two heartbeats of b", beats)
	}
	x := beats[1]
	if beats[0].Echo == 0 || beats[0].Echo > sent || x.Echo < sent || x.Echo > int64(follower.Now()) {
		t.Errorf("echoes %d and %d, want one before and one after %d", beats[0].Echo, x.Echo, sent)
	}
	if x.InFlight["r-b"] != 3 || !x.ReachesStore || x.Interval() != DefaultInterval {
		t.Errorf("unexpected heartbeat: %+v", x)
	}
	if live := a.Live(); len(live) != 1 || live[0].Node != "b" {
		t.Errorf("live nodes are %v, want b only", live)
	}
}

// TestEchoOfEarlierStart checks that the echo of a heartbeat from an earlier process
// of the node is ignored: the machine, and so the clock, may have restarted since.
func TestEchoOfEarlierStart(t *testing.T) {
	got := []int64{}
	b := &Beater{Self: "a", Log: slog.New(slog.DiscardHandler), OnHeartbeat: func(x *Heartbeat) { got = append(got, x.Echo) }}
	b.start = 2000
	other := &Beater{Self: "b", Log: b.Log, Fill: func(*Heartbeat, string, bool) {}}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	for sequence, start := range []int64{1000, 2000} {
		message := other.encode(other.next("", uint64(sequence+1), false))
		setEcho(message, 77, start)
		if err := b.handleDatagram(message, from); err != nil {
			t.Fatal(err)
		}
	}
	if len(got) != 2 || got[0] != 0 || got[1] != 77 {
		t.Errorf("echoes are %v, want 0 and 77", got)
	}
}

// TestPublish checks that changes are sent only to nodes of the same data centre, and
// that a node still works after datagrams that cannot be decoded.
func TestPublish(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b, c := start(ctx, t, "a", "x"), start(ctx, t, "b", "x"), start(ctx, t, "c", "y")
	a.AddPeer("b", b.address)
	a.AddPeer("c", c.address)
	eventually(t, "not all nodes are live", func() bool { return len(a.Live()) == 2 })
	conn, err := net.Dial("udp4", b.address)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"", "x", "\x01", "\x0112345678123456789", "\x02\xff\xff", "\x03\xff\xff", "\x04\xff\xff"} {
		_, _ = fmt.Fprint(conn, bad)
	}
	a.Publish(follower.Changes{Kind: "servers", Since: at(3), At: at(5), Objects: []follower.Object{{Name: "i-1", At: at(5), Spec: []byte(`{"a":1}`)}}})
	eventually(t, "the change was not received", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.changes) == 1
	})
	got := b.changes[0]
	if got.Kind != "servers" || got.Since != at(3) || got.At != at(5) || got.Objects[0].Kind != "servers" || string(got.Objects[0].Spec) != `{"a":1}` {
		t.Errorf("unexpected changes: %+v", got)
	}
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changes) != 0 {
		t.Error("a change was sent to another data centre")
	}
}

// TestRepeatedChanges checks that each published datagram also holds the changes before
// its own, the newest of each object, unless others came in between.
func TestRepeatedChanges(t *testing.T) {
	b := &Beater{}
	change := func(since, revision int64, names ...string) follower.Changes {
		c := follower.Changes{Kind: "k", Since: at(since), At: at(revision)}
		for _, name := range names {
			c.Objects = append(c.Objects, follower.Object{Name: name, At: at(revision)})
		}
		return c
	}
	b.withPrevious(change(3, 5, "x", "y"))
	got := b.withPrevious(change(5, 8, "y", "z"))
	if got.Since != at(3) || got.At != at(8) || len(got.Objects) != 3 || got.Objects[0].Name != "x" || got.Objects[1].At != at(8) {
		t.Errorf("unexpected changes: %+v", got)
	}
	if got := b.withPrevious(change(9, 10, "z")); got.Since != at(9) || len(got.Objects) != 1 {
		t.Errorf("changes after others: %+v, want them alone", got)
	}
	if got := b.withPrevious(change(10, 11, "w")); got.Since != at(9) || len(got.Objects) != 2 {
		t.Errorf("unexpected changes: %+v", got)
	}
}

// TestPassOn checks that with many nodes all of them receive the changes, and that the
// publishing node sends only a few of the datagrams itself.
func TestPassOn(t *testing.T) {
	const nodes = 20
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a := start(ctx, t, "a", "x")
	others := []*node{}
	for i := range nodes {
		n := start(ctx, t, fmt.Sprintf("n%02d", i), "x")
		others = append(others, n)
	}
	all := append([]*node{a}, others...)
	for _, n := range all {
		for _, o := range all {
			n.AddPeer(o.Self, o.address)
		}
	}
	eventually(t, "not all nodes are live", func() bool {
		for _, n := range all {
			if len(n.Live()) != nodes {
				return false
			}
		}
		return true
	})
	if groups := relayGroups(a.localPeers()); len(groups) > 5 {
		t.Errorf("%d nodes get the changes directly, want at most 5", len(groups))
	}
	a.Publish(follower.Changes{Kind: "servers", Since: at(3), At: at(5), Objects: []follower.Object{{Name: "i-1", At: at(5), Spec: []byte(`{}`)}}})
	for _, n := range others {
		eventually(t, "a node has not received the change", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.changes) == 1
		})
	}
}

// TestChangesThatFitOnlyWithoutNamesArrive guards against changes that no node gets because they
// leave no room for the names of those that they are relayed to.
func TestChangesThatFitOnlyWithoutNamesArrive(t *testing.T) {
	const nodes = 20
	w := wire{}
	a := w.add(t, "a", "10.0.0.1:1")
	got := 0
	for i := range nodes {
		n := w.add(t, fmt.Sprintf("node-%060d", i), fmt.Sprintf("10.0.1.%d:1", i+1))
		n.OnChanges = func(follower.Changes) { got++ }
		n.AddPeer("a", "10.0.0.1:1")
		n.send()
	}
	spec := make([]byte, maxDatagram-150)
	rand.New(rand.NewSource(1)).Read(spec)
	a.Publish(follower.Changes{Kind: "k", Since: at(3), At: at(5), Objects: []follower.Object{{Name: "r", At: at(5), Spec: spec}}})
	if got != nodes {
		t.Errorf("%d nodes have received the change, want %d", got, nodes)
	}
}

// TestOldListMovesNoLiveNode guards against requests and heartbeats that go to the address which a
// node had before, and against its requests being refused.
func TestOldListMovesNoLiveNode(t *testing.T) {
	w := wire{}
	a, b := w.add(t, "a", "10.0.0.1:1"), w.add(t, "b", "10.0.0.2:1")
	b.AddPeer("a", "10.0.0.1:1")
	b.send()
	a.AddPeer("b", "10.0.0.9:1")
	if address, _ := a.Address("b"); address != "10.0.0.2:1" || !a.Knows("b", "10.0.0.2") {
		t.Errorf("a has %s for b, want the address of its heartbeat", address)
	}
	a.peers["b"].SeenAt = time.Now().Add(-minLiveTimeout)
	a.AddPeer("b", "10.0.0.9:1")
	if address, _ := a.Address("b"); address != "10.0.0.9:1" {
		t.Errorf("a has %s for b, want the listed address of a node that is not live", address)
	}
}

// TestNodeThatHasJustStartedRelays guards against changes that are lost because the node that
// relays them has not heard of the others yet.
func TestNodeThatHasJustStartedRelays(t *testing.T) {
	w := wire{}
	a, b, c := w.add(t, "a", "10.0.0.1:1"), w.add(t, "b", "10.0.0.2:1"), w.add(t, "c", "10.0.0.3:1")
	got := []follower.Changes{}
	c.OnChanges = func(x follower.Changes) { got = append(got, x) }
	a.AddPeer("b", "10.0.0.2:1")
	b.AddPeer("c", "10.0.0.3:1")
	packed, err := pack(&follower.Changes{Kind: "k", Since: at(3), At: at(5)})
	if err != nil {
		t.Fatal(err)
	}
	message, err := encodeRelay([]localPeer{{name: "c"}, {name: "unknown"}}, changesKind, packed)
	if err != nil {
		t.Fatal(err)
	}
	to, _ := a.peerAddress("b")
	a.write(message, to)
	if len(got) != 1 || got[0].At != at(5) {
		t.Errorf("c has received %+v, want one change", got)
	}
}

// TestNodeInTroubleWithAllRunnersIsHeard guards against a node that seems dead because what it
// knows of 1,900 runners does not fit into a datagram.
func TestNodeInTroubleWithAllRunnersIsHeard(t *testing.T) {
	w := wire{}
	a, b := w.add(t, "a", "10.0.0.1:1"), w.add(t, "b", "10.0.0.2:1")
	largest := 0
	transmit := b.Transmit
	b.Transmit = func(message []byte, to *net.UDPAddr) error {
		largest = max(largest, len(message))
		return transmit(message, to)
	}
	b.Fill = func(h *Heartbeat, _ string, _ bool) {
		h.ReachesStore, h.InFlight, h.Unreachable = true, map[string]int{}, map[string]string{}
		h.Limits, h.LeavingRunners = map[string]balancer.ReportedLimit{}, map[string]int64{}
		for i := range 1900 {
			id := fmt.Sprintf("runner-%016x", i)
			h.InFlight[id], h.Unreachable[id], h.Limits[id], h.LeavingRunners[id] = 1, "10.1.2.3:8300", balancer.ReportedLimit{}, 1<<40
			h.Quiet, h.Suspects, h.Failing = append(h.Quiet, id), append(h.Suspects, id), append(h.Failing, id)
		}
	}
	b.AddPeer("a", "10.0.0.1:1")
	b.send()
	if live := a.Live(); len(live) != 1 || !live[0].ReachesStore || len(live[0].InFlight) != 1900 {
		t.Errorf("a knows %d live nodes, want b with its requests in flight", len(live))
	}
	if largest > maxDatagram {
		t.Errorf("datagram of %d bytes, want at most %d", largest, maxDatagram)
	}
}

// TestPack checks that 300 similar objects fit into one datagram, and that changes
// over the maximum uncompressed size are rejected, because a receiver would need too
// much memory to decompress them.
func TestPack(t *testing.T) {
	c := follower.Changes{Kind: "servers", Since: at(3), At: at(400)}
	for i := range 300 {
		spec := fmt.Sprintf(`{"service":"pool","address":"10.1.%d.%d:8300","zone":"vake","version":"v1","batch_slots":17,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":17000000%05d,"failure_domain":"vake-d%d","preloaded":["m0"],"models":[{"name":"m0","version":1,"adapter_ids":[]}],"group":{"name":"vake-d%d-%d","epoch":%d,"rank":%d,"state":"open"}}`,
			i/250, i%250, i*7, i*37, i/18, i/18, i/8, i/8, i%8)
		c.Objects = append(c.Objects, follower.Object{Name: fmt.Sprintf("i-%08x", i*2654435761), At: at(int64(i + 3)), Spec: []byte(spec)})
	}
	packed, err := pack(&c)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes for %d objects", len(packed), len(c.Objects))
	got := follower.Changes{}
	err = unpack(packed, &got)
	if err != nil || len(got.Objects) != 300 || got.Kind != "servers" || got.Objects[299].At != at(302) || string(got.Objects[7].Spec) != string(c.Objects[7].Spec) {
		t.Errorf("unpacked %d objects, want the 300 packed ones; error %v", len(got.Objects), err)
	}
	big, err := pack(&follower.Changes{Objects: []follower.Object{{Spec: bytes.Repeat([]byte("a"), maxChangesBytes-100)}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := unpack(big, &got); err != nil {
		t.Errorf("unpack changes of the maximum size: %v", err)
	}
	if _, err := pack(&follower.Changes{Objects: []follower.Object{{Spec: bytes.Repeat([]byte("a"), maxChangesBytes)}}}); !errors.Is(err, errTooLarge) {
		t.Errorf("pack changes over the maximum size: got error %v, want errTooLarge", err)
	}
}

// FuzzDatagram checks that no datagram makes the receiver panic.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte("\x011234567812345678\xa1\x01\x61a"))
	packed, err := pack(&follower.Changes{Kind: "k", At: at(2), Objects: []follower.Object{{Name: "a"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte{changesKind}, packed...))
	message, err := encodeRelay([]localPeer{{name: "b"}}, changesKind, packed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(message)
	part, err := pack(&follower.ListPart{Kind: "k", At: at(2), Parts: 1, Objects: []follower.Object{{Name: "a"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append([]byte{listKind}, part...))
	f.Add(append([]byte{objectKind}, part...))
	f.Add([]byte("\x08\xa1\x61a\x6810.0.0.1"))
	b := &Beater{Self: "self", Log: slog.New(slog.DiscardHandler)}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	f.Fuzz(func(_ *testing.T, message []byte) {
		if len(message) > 0 {
			_ = b.handleDatagram(message, from)
		}
	})
}

// at returns a position of the store's first era.
func at(revision int64) sequencer.Position { return sequencer.Position{Era: 1, Revision: revision} }
