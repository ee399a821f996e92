package beater

import (
	"errors"
	"fmt"
	"net"
	"time"
)

var errNoSocket = errors.New("no socket to send datagrams from")

// destination is a node to send a heartbeat to.
type destination struct {
	name    string
	address *net.UDPAddr
	// dataCenter is empty until a heartbeat of the node was received.
	dataCenter string
	// echo and echoStart are SentAt and Start of the node's last heartbeat.
	echo      int64
	echoStart int64
	// heard is the SentAt of this process that the node's last heartbeat echoes.
	heard int64
	// turn spreads the heartbeats to the nodes of a data centre over time.
	turn uint64
	// isWaiting is set if the node gets a heartbeat whatever its turn is, and isNew if its
	// process is new to this node.
	isWaiting, isNew bool
}

func (b *Beater) send() {
	destinations, sequence := b.destinations()
	plan := newSchedule(destinations, b.DataCenter)
	isLarge := len(destinations) > maxFullHeartbeatNodes
	regular, extra := messages{}, messages{}
	for _, d := range destinations {
		if d.isNew && sequence > introduceAfter && b.introduces(d.name, len(destinations)) {
			b.introduce(&d)
		}
		limited := isLarge && d.isRemote(b.DataCenter)
		message := []byte(nil)
		isDue := plan.isDue(&d, sequence)
		if isDue {
			message = regular.get(d.dataCenter, func() []byte { return b.message(&d, &plan, sequence, limited) })
		}
		if message == nil && (d.isWaiting || isDue && b.idle.mayExpectSooner(&d)) {
			message = extra.get(d.dataCenter, func() []byte { return b.extraMessage(&d, &plan, sequence, limited) })
		}
		if message == nil {
			continue
		}
		setEcho(message, d.echo, d.echoStart)
		b.write(message, d.address)
	}
}

// messages are the datagrams of one interval by data centre. One is nil if none is to be sent.
type messages map[string][]byte

// get returns the datagram to a data centre and makes it if there is none yet.
func (m messages) get(dataCenter string, build func() []byte) []byte {
	message, ok := m[dataCenter]
	if !ok {
		message = build()
		m[dataCenter] = message
	}
	return message
}

// message returns the datagram with the next heartbeat to a data centre, or nil if none
// is to be sent. A limited heartbeat that would hold nothing is sent less often.
func (b *Beater) message(d *destination, plan *schedule, sequence uint64, limited bool) []byte {
	beat := b.next(d.dataCenter, sequence, limited)
	interval := plan.interval(d, b.interval())
	if limited {
		var isDue bool
		if interval, isDue = b.idle.next(d.dataCenter, sequence, plan.remotePeriod, beat.isEmpty(), b.interval()); !isDue {
			return nil
		}
		b.idle.recordSince(d.dataCenter, beat)
	}
	beat.IntervalMS = interval.Milliseconds()
	return b.encode(beat)
}

// extraMessage returns the datagram with a heartbeat beside those to a whole data centre.
func (b *Beater) extraMessage(d *destination, plan *schedule, sequence uint64, limited bool) []byte {
	beat := b.next(d.dataCenter, sequence, limited)
	interval := plan.interval(d, b.interval())
	if limited && beat.isEmpty() {
		interval *= idlePeriods
	}
	beat.IntervalMS = interval.Milliseconds()
	return b.encode(beat)
}

// destinations returns the nodes to send to and the sequence number of the next
// heartbeat. It removes the nodes that have been silent for forgetAfter.
func (b *Beater) destinations() ([]destination, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	to := make([]destination, 0, len(b.addrs))
	for name, a := range b.addrs {
		d := destination{name: name, address: a, turn: uint64(a.AddrPort().Addr().As4()[3]) + uint64(a.Port)}
		seen := b.addedAt[name]
		if p, ok := b.peers[name]; ok {
			d.dataCenter, d.echo, d.echoStart, d.heard = p.DataCenter, p.SentAt, p.Start, p.Echo
			if p.SeenAt.After(seen) {
				seen = p.SeenAt
			}
		}
		if time.Since(seen) > forgetAfter {
			delete(b.addrs, name)
			continue
		}
		d.isWaiting = b.waiting[name]
		d.isNew = b.newcomers[name]
		to = append(to, d)
	}
	clear(b.waiting)
	clear(b.newcomers)
	return to, b.sequence
}

// write sends a datagram. Before Run has opened the socket, it sends nothing.
func (b *Beater) write(message []byte, to *net.UDPAddr) {
	if err := b.transmit(message, to); err != nil {
		datagramErrors.Inc()
		return
	}
	bytesSent.Add(len(message))
}

func (b *Beater) transmit(message []byte, to *net.UDPAddr) error {
	if b.Transmit != nil {
		return b.Transmit(message, to)
	}
	conn := b.conn.Load()
	if conn == nil {
		return errNoSocket
	}
	if _, err := conn.WriteToUDP(message, to); err != nil {
		return fmt.Errorf("send a datagram: %w", err)
	}
	return nil
}
