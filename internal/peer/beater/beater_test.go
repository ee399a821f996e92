package beater

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"marjorammoor/internal/store/follower"
)

// node is a beater with what it was told.
type node struct {
	*Beater
	address string

	mu      sync.Mutex
	beats   map[string]Beat
	changes []follower.Changes
}

func start(ctx context.Context, t *testing.T, name, dataCenter string) *node {
	t.Helper()
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.LocalAddr().String()
	_ = l.Close()
	n := &node{address: address, beats: map[string]Beat{}}
	n.Beater = &Beater{
		Self: name, DataCenter: dataCenter, Interval: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Fill: func(b *Beat, _ string, limited bool) {
			b.HasStore = true
			b.InFlight = map[string]int{"r-" + name: 3}
			if limited {
				b.InFlight = nil
			}
		},
		Received: func(b *Beat) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.beats[b.Node] = *b
		},
		Changed: func(c follower.Changes) {
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

func (n *node) beat(name string) (Beat, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.beats[name]
	return b, ok
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 300 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

// TestBeats checks that nodes get to know each other from one side's entry, and
// that a beat echoes the receiver's stamp.
func TestBeats(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b := start(ctx, t, "a", "x"), start(ctx, t, "b", "x")
	a.AddPeer("b", b.address)
	a.AddPeer("a", a.address)
	eventually(t, "b has not answered", func() bool { _, ok := a.beat("b"); return ok })
	sent := int64(follower.Now())
	eventually(t, "no beat echoes a later stamp", func() bool { x, _ := a.beat("b"); return x.Echo > sent })
	x, _ := a.beat("b")
	if x.InFlight["r-b"] != 3 || !x.HasStore || x.Echo > int64(follower.Now()) {
		t.Errorf("%+v", x)
	}
	if _, ok := a.beat("a"); ok {
		t.Error("a node hears itself")
	}
	if live := a.Live(); len(live) != 1 || live[0].Node != "b" {
		t.Errorf("live: %v", live)
	}
}

// TestEchoOfEarlierStart checks that a stamp which an earlier process of the node
// has sent is not taken for one of this process: the clock may have started anew.
func TestEchoOfEarlierStart(t *testing.T) {
	got := []int64{}
	b := &Beater{Self: "a", Log: slog.New(slog.DiscardHandler), Received: func(x *Beat) { got = append(got, x.Echo) }}
	b.start = 2000
	other := &Beater{Self: "b", Log: b.Log, Fill: func(*Beat, string, bool) {}}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	conn, err := net.ListenUDP("udp4", from4())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck
	for sequence, start := range []int64{1000, 2000} {
		message := other.encode(conn, "", uint64(sequence+1), false)
		setEcho(message, 77, start)
		if err := b.take(message, from); err != nil {
			t.Fatal(err)
		}
	}
	if len(got) != 2 || got[0] != 0 || got[1] != 77 {
		t.Errorf("echoes %v, wanted 0 and 77", got)
	}
}

func from4() *net.UDPAddr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// TestPublish checks that changes go to the nodes of the data center only, and
// that datagrams which cannot be read do no harm.
func TestPublish(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b, c := start(ctx, t, "a", "x"), start(ctx, t, "b", "x"), start(ctx, t, "c", "y")
	a.AddPeer("b", b.address)
	a.AddPeer("c", c.address)
	eventually(t, "not all are live", func() bool { return len(a.Live()) == 2 })
	conn, err := net.Dial("udp4", b.address)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"", "x", "\x01", "\x0112345678123456789", "\x02\xff\xff"} {
		_, _ = fmt.Fprint(conn, bad)
	}
	a.Publish(follower.Changes{Kind: "servers", Since: 3, At: 5, Objects: []follower.Object{{Name: "i-1", Revision: 5, Spec: []byte(`{"a":1}`)}}})
	eventually(t, "the change has not arrived", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.changes) == 1
	})
	got := b.changes[0]
	if got.Kind != "servers" || got.Since != 3 || got.At != 5 || got.Objects[0].Kind != "servers" || string(got.Objects[0].Spec) != `{"a":1}` {
		t.Errorf("%+v", got)
	}
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changes) != 0 {
		t.Error("a change went to another data center")
	}
}

// FuzzDatagram feeds bytes to the reader of datagrams.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte("\x011234567812345678\xa1\x01\x61a"))
	f.Add([]byte("\x02\xa1\x01\x61k"))
	b := &Beater{Self: "self", Log: slog.New(slog.DiscardHandler)}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	f.Fuzz(func(_ *testing.T, message []byte) {
		if len(message) > 0 {
			_ = b.take(message, from)
		}
	})
}
