package beater

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"marjorammoor/internal/store/follower"
)

// A cluster is a number of beaters without a network in virtual time: each keeps its real
// schedule, datagrams are lost and take some milliseconds, and a script starts, stops and cuts
// nodes off. A seed decides all of it. It runs in one goroutine of a synctest bubble.

const (
	// step is the time between two moments at which datagrams arrive.
	step = time.Millisecond
	// listDelay is how long a started node takes to find the others in the store.
	listDelay = 50 * time.Millisecond
	// maxDelay is the greatest time that a datagram takes.
	maxDelay = 4 * time.Millisecond
	peerPort = 7340
)

// clusterScript is an entry of testdata/clusters.json. Times are in milliseconds.
type clusterScript struct {
	Name        string `json:"name"`
	Nodes       int    `json:"nodes"`
	DataCenters int    `json:"data_centers"`
	EndMS       int    `json:"end_ms"`
	// Loss is the share of the datagrams that are lost.
	Loss float64 `json:"loss"`
	// Each node has requests in flight for BusyMS in each PeriodMS.
	BusyMS   int64 `json:"busy_ms"`
	PeriodMS int64 `json:"period_ms"`
	// Seeds is the number of addresses that a started node knows while the store is away,
	// from SeedsFromMS on; 0 means all of the running nodes, from the store.
	Seeds       int            `json:"seeds"`
	SeedsFromMS int            `json:"seeds_from_ms"`
	Events      []clusterEvent `json:"events"`

	// KnownMS is the time by which two nodes that run know each other; 0 means that it is not
	// checked.
	KnownMS int `json:"known_ms"`
	// RejoinedMS is the same after a cut in which one of them started: the longest interval
	// between two heartbeats, and once more if one is lost.
	RejoinedMS int `json:"rejoined_ms"`
	// NoDeaths means that no node that runs may seem dead.
	NoDeaths bool `json:"no_deaths"`
	// ContentMS is the time after which others know that a node has requests in flight.
	ContentMS int64 `json:"content_ms"`
	// HandOvers means that no request may be handed over to a node that would refuse it.
	HandOvers bool `json:"hand_overs"`
	// PublishMS is the time between two changes in the store, which the first node of each data
	// centre watches; 0 means that there are none. Each node has one ChangedMS later, and at
	// most MaxReads times one has to read the store.
	PublishMS int64 `json:"publish_ms"`
	ChangedMS int64 `json:"changed_ms"`
	MaxReads  int   `json:"max_reads"`
	// MaxPerSecond is the most heartbeats that a node may send in a second, on average.
	MaxPerSecond float64 `json:"max_per_second"`
}

// clusterEvent is something that happens to a node, named by its number, or to a data centre.
type clusterEvent struct {
	AtMS int `json:"at_ms"`
	// Do is stop, start, resume (start again), replace (start at another address), cut or join (a data centre),
	// restart (nodes of each data centre in turn, one each EveryMS, down for DownMS).
	Do         string  `json:"do"`
	Node       int     `json:"node"`
	DataCenter int     `json:"data_center"`
	Share      float64 `json:"share"`
	EveryMS    int     `json:"every_ms"`
	DownMS     int     `json:"down_ms"`
}

// member is a node of a cluster. Its beater is nil while it is down.
type member struct {
	*Beater
	name       string
	number     int
	dataCenter int
	address    netip.AddrPort
	host       string
	startedAt  time.Time
	phase      time.Duration
	// listed is set once the node has the addresses of the others.
	listed bool
	// busyOffset shifts the times at which the node has requests in flight.
	busyOffset int64
	// moves counts the changes of its address.
	moves int
	copy  copyModel
}

type flight struct {
	to, from netip.AddrPort
	message  []byte
}

type cluster struct {
	t       *testing.T
	script  clusterScript
	seed    uint64
	began   time.Time
	members []*member
	byAddr  map[netip.AddrPort]*member
	// due holds the datagrams on their way by the step of their arrival.
	due   map[int64][]flight
	count map[[2]netip.AddrPort]uint64
	isCut []bool
	// joinedAt is when a data centre was last cut off or joined again.
	joinedAt []time.Time
	// later holds what the script does, by millisecond.
	later map[int64][]func()
	sent  int
	// reads counts how often a node had to read changes from the store.
	reads int
	// onStep is called at each step.
	onStep func()
}

func newCluster(t *testing.T, s clusterScript, seed uint64) *cluster {
	c := &cluster{
		t: t, script: s, seed: seed, began: time.Now(), byAddr: map[netip.AddrPort]*member{}, due: map[int64][]flight{},
		count: map[[2]netip.AddrPort]uint64{}, isCut: make([]bool, s.DataCenters), joinedAt: make([]time.Time, s.DataCenters), later: map[int64][]func(){},
	}
	for i := range s.Nodes {
		c.members = append(c.members, &member{
			name: fmt.Sprintf("node-%03d", i), number: i, dataCenter: i % s.DataCenters,
			phase: time.Duration(c.draw(uint64(i)) % uint64(DefaultInterval)), busyOffset: int64(c.draw(uint64(i), 1) % 100_000),
		})
	}
	for _, e := range s.Events {
		c.plan(e)
	}
	return c
}

// draw returns a number that only the seed and the given numbers decide.
func (c *cluster) draw(numbers ...uint64) uint64 {
	h := fnv.New64a()
	b := binary.BigEndian.AppendUint64(nil, c.seed)
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	_, _ = h.Write(b)
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

func (c *cluster) at(ms int, do func()) { c.later[int64(ms)] = append(c.later[int64(ms)], do) }

func (c *cluster) elapsed() time.Duration { return time.Since(c.began) }

func (c *cluster) plan(e clusterEvent) {
	switch e.Do {
	case "stop":
		c.at(e.AtMS, func() { c.stop(c.members[e.Node]) })
	case "start", "resume":
		c.at(e.AtMS, func() { c.start(c.members[e.Node]) })
	case "replace":
		c.at(e.AtMS, func() {
			c.stop(c.members[e.Node])
			c.members[e.Node].moves++
			c.start(c.members[e.Node])
		})
	case "cut", "join":
		c.at(e.AtMS, func() { c.isCut[e.DataCenter], c.joinedAt[e.DataCenter] = e.Do == "cut", time.Now() })
	case "restart":
		c.planRestarts(e)
	default:
		c.t.Fatalf("unknown event %q", e.Do)
	}
}

// planRestarts has a share of the nodes stop and start again, in turn in each data centre.
func (c *cluster) planRestarts(e clusterEvent) {
	each := c.script.Nodes / c.script.DataCenters
	for turn := range int(float64(each)*e.Share + 0.5) {
		for d := range c.script.DataCenters {
			m := c.members[turn*c.script.DataCenters+d]
			at := e.AtMS + turn*e.EveryMS
			c.at(at, func() { c.stop(m) })
			c.at(at+e.DownMS, func() { c.start(m) })
		}
	}
}

func (c *cluster) addressOf(m *member) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(m.dataCenter), byte(m.moves), byte(m.number/c.script.DataCenters + 1)}), peerPort)
}

func (c *cluster) start(m *member) {
	m.address, m.startedAt, m.listed = c.addressOf(m), time.Now(), false
	m.host = m.address.Addr().String()
	b := &Beater{Self: m.name, DataCenter: fmt.Sprint("dc", m.dataCenter), Log: slog.New(slog.DiscardHandler)}
	b.start, b.address = time.Now().UnixMilli(), m.address.String()
	m.copy = copyModel{}
	b.OnChanges, b.OnHeartbeat = m.copy.apply, m.copy.compare
	b.Fill = func(h *Heartbeat, dataCenter string, _ bool) {
		h.ReachesStore = true
		if c.script.PublishMS > 0 && m.watches() && dataCenter == m.DataCenter {
			h.Copies = map[string]follower.Copy{changedKind: {LastChange: at(m.copy.revision), At: at(m.copy.revision), AgeMS: 1}}
		}
		if c.isBusy(m, time.Now()) {
			h.InFlight = map[string]int{"r": 1}
		}
	}
	from := m.address
	b.Transmit = func(message []byte, to *net.UDPAddr) error {
		c.transmit(from, to.AddrPort(), message)
		return nil
	}
	m.Beater = b
	c.byAddr[m.address] = m
}

// isBusy reports whether a node has requests in flight.
func (c *cluster) isBusy(m *member, now time.Time) bool {
	return c.script.PeriodMS > 0 && (now.UnixMilli()+m.busyOffset)%c.script.PeriodMS < c.script.BusyMS
}

func (c *cluster) stop(m *member) {
	m.Beater = nil
	delete(c.byAddr, m.address)
}

// list tells a node the addresses of the others, as the announcer does.
func (c *cluster) list(m *member) {
	m.listed = true
	m.copy.read(c.revision())
	isAway := c.script.Seeds > 0 && c.elapsed() >= time.Duration(c.script.SeedsFromMS)*time.Millisecond
	for i, o := range c.members {
		if o.Beater == nil || isAway && i >= c.script.Seeds {
			continue
		}
		m.AddPeer(o.name, o.address.String())
	}
}

func (c *cluster) transmit(from, to netip.AddrPort, message []byte) {
	to = netip.AddrPortFrom(to.Addr().Unmap(), to.Port())
	c.sent++
	pair := [2]netip.AddrPort{from, to}
	c.count[pair]++
	a, b := from.Addr().As4(), to.Addr().As4()
	draw := c.draw(uint64(binary.BigEndian.Uint32(a[:])), uint64(binary.BigEndian.Uint32(b[:])), c.count[pair])
	if float64(draw%10_000) < c.script.Loss*10_000 || c.areCut(int(a[1]), int(b[1])) {
		return
	}
	delay := 1 + int64(draw>>32)%maxDelay.Milliseconds()
	arrival := c.elapsed().Milliseconds() + delay
	c.due[arrival] = append(c.due[arrival], flight{to: to, from: from, message: append([]byte(nil), message...)})
}

func (c *cluster) areCut(d, e int) bool { return d != e && (c.isCut[d] || c.isCut[e]) }

// run plays the script to its end.
func (c *cluster) run() {
	for c.elapsed() < time.Duration(c.script.EndMS)*time.Millisecond {
		now := c.elapsed().Milliseconds()
		for _, do := range c.later[now] {
			do()
		}
		c.deliver(now)
		c.sendDue()
		if c.onStep != nil {
			c.onStep()
		}
		time.Sleep(step)
	}
}

func (c *cluster) deliver(now int64) {
	for _, f := range c.due[now] {
		m, ok := c.byAddr[f.to]
		if !ok {
			continue
		}
		if err := m.handleDatagram(f.message, net.UDPAddrFromAddrPort(f.from)); err != nil {
			c.t.Errorf("datagram from %v to %v: %v", f.from, f.to, err)
		}
	}
	delete(c.due, now)
}

// sendDue has each node send whose turn it is.
func (c *cluster) sendDue() {
	for _, m := range c.members {
		if m.Beater == nil {
			continue
		}
		up := time.Since(m.startedAt)
		if !m.listed && up >= listDelay {
			c.list(m)
		}
		if up%DefaultInterval == 0 {
			m.send()
		}
	}
}

// startAll starts all nodes that the script does not start, spread over an interval.
func (c *cluster) startAll() {
	first := map[int]bool{}
	for _, e := range c.script.Events {
		if e.Do == "start" {
			if _, ok := first[e.Node]; !ok {
				first[e.Node] = true
			}
		}
	}
	for i, m := range c.members {
		if !first[i] {
			c.at(int(m.phase.Milliseconds()), func() { c.start(m) })
		}
	}
}
