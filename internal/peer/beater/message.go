package beater

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"marjorammoor/internal/network/observer"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/store/follower"
)

// Heartbeat is what a node sends to the other nodes at an interval.
type Heartbeat struct {
	Node       string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCenter string `cbor:"3,keyasint"`
	// Start is when the node's process started to send heartbeats, in Unix milliseconds.
	Start int64 `cbor:"4,keyasint"`
	// Sequence numbers the heartbeats of one start of the node.
	Sequence uint64 `cbor:"5,keyasint"`
	// Leaving is set while the node stops.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// ReachesStore reports whether the node has lately reached the platform's store.
	ReachesStore bool `cbor:"7,keyasint"`
	// InFlight is the number of requests that the node has in flight, by runner.
	InFlight map[string]int `cbor:"8,keyasint,omitempty"`
	// Suspects are the runners that have requests of the node but make no progress.
	Suspects []string `cbor:"9,keyasint,omitempty"`
	// Unreachable are the addresses of the runners that do not answer the node's
	// probes, by runner. The receiver probes them too.
	Unreachable map[string]string `cbor:"10,keyasint,omitempty"`
	// Reachable are the runners from other nodes' Unreachable that answered this node's
	// probes.
	Reachable []string `cbor:"11,keyasint,omitempty"`
	// Loads is the number of weight loads that the node has ordered and that are
	// still running.
	Loads int `cbor:"12,keyasint,omitempty"`
	// SentAt is when the heartbeat was sent, in nanoseconds on the sender's follower.Now.
	SentAt int64 `cbor:"13,keyasint"`
	// Copies describe the node's copies of the store's objects by kind. They are set
	// only if the node itself watches the store.
	Copies map[string]follower.Copy `cbor:"14,keyasint,omitempty"`
	// InFlightTotals is the number of requests in flight from all nodes at runners of the
	// sender's data centre, by runner. It is set only in limited heartbeats.
	InFlightTotals map[string]int `cbor:"15,keyasint,omitempty"`
	// IntervalMS is the time between two heartbeats to the receiver, in milliseconds.
	IntervalMS int64 `cbor:"16,keyasint,omitempty"`
	// Quiet are the runners in InFlight that have lately sent the node nothing.
	Quiet []string `cbor:"17,keyasint,omitempty"`
	// QuietTotals are the runners in InFlightTotals that have lately sent no node of
	// the sender's data centre anything.
	QuietTotals []string `cbor:"18,keyasint,omitempty"`
	// Demand is the number of requests for which the node is about to need a slot, by
	// service and model.
	Demand map[string]float64 `cbor:"19,keyasint,omitempty"`
	// Failing are the runners that have lately failed many requests of the node.
	Failing []string `cbor:"21,keyasint,omitempty"`
	// WantsRetries are the services for which the node has spent its share of the
	// retry budget.
	WantsRetries []string `cbor:"20,keyasint,omitempty"`
	// Breaker tells which requests and parts of prompts crash runners, as far as the node
	// knows.
	Breaker breaker.Report `cbor:"22,keyasint,omitzero"`
	// Limits are the rates that runners have lately told the node to keep to, by runner.
	Limits map[string]balancer.ReportedLimit `cbor:"23,keyasint,omitempty"`
	// Era is the newest era of the store that the node knows.
	Era int64 `cbor:"24,keyasint,omitempty"`
	// CatalogVersion is the version of the configuration that the node uses.
	CatalogVersion int64 `cbor:"25,keyasint,omitempty"`
	// StoreAgeMS is the age of the node's copy of the runners' entries, in milliseconds.
	StoreAgeMS int64 `cbor:"26,keyasint,omitempty"`
	// Unreached are the groups of runners that the node has lost its links to.
	Unreached []observer.Group `cbor:"27,keyasint,omitempty"`
	// Answering are the services of which a runner has just answered the node.
	Answering []string `cbor:"28,keyasint,omitempty"`
	// LeavingRunners are the runners that have lately told the node in a response that they
	// leave, with the times of their starts.
	LeavingRunners map[string]int64 `cbor:"29,keyasint,omitempty"`
	// Refusing are the runners from other nodes' Unreachable that refuse this node's
	// connections.
	Refusing []string `cbor:"30,keyasint,omitempty"`
	// Echo is SentAt of the last heartbeat that the sender had received from the
	// receiver, or 0. The facts of the heartbeat are not older than that time on the
	// receiver's clock.
	Echo int64 `cbor:"-"`
}

// Peer is the last heartbeat of another node.
type Peer struct {
	Heartbeat
	// SeenAt is when the heartbeat was received.
	SeenAt time.Time
}

// next returns the next heartbeat to a data centre.
func (b *Beater) next(dataCenter string, sequence uint64, limited bool) *Heartbeat {
	beat := &Heartbeat{
		Node: b.Self, Address: b.address, DataCenter: b.DataCenter, Start: b.start,
		Sequence: sequence, SentAt: int64(follower.Now()),
	}
	b.Fill(beat, dataCenter, limited)
	return beat
}

// leaveOut are the facts that a heartbeat does without if it is too large for a datagram, the
// most dispensable ones first: a node that sends none seems dead.
var leaveOut = []func(*Heartbeat){
	func(h *Heartbeat) { h.Limits = nil },
	func(h *Heartbeat) { h.Failing = nil },
	func(h *Heartbeat) { h.Unreachable, h.Reachable, h.Refusing = nil, nil, nil },
	func(h *Heartbeat) { h.Breaker = breaker.Report{} },
	func(h *Heartbeat) { h.Suspects = nil },
	func(h *Heartbeat) { h.Quiet, h.QuietTotals = nil, nil },
	func(h *Heartbeat) { h.Demand, h.WantsRetries, h.Answering = nil, nil, nil },
	func(h *Heartbeat) { h.LeavingRunners = nil },
	func(h *Heartbeat) { h.InFlight, h.InFlightTotals = nil, nil },
}

// encode returns a datagram with a heartbeat, in which setEcho must set the echo, or
// nil if the heartbeat cannot be encoded.
func (b *Beater) encode(beat *Heartbeat) []byte {
	body, err := cbor.Marshal(beat)
	size := len(body)
	for i := 0; err == nil && 1+echoBytes+len(body) > maxDatagram && i < len(leaveOut); i++ {
		leaveOut[i](beat)
		body, err = cbor.Marshal(beat)
	}
	if err != nil {
		datagramErrors.Inc()
		b.Log.Error("heartbeat cannot be encoded; it is not sent", "error", err)
		return nil
	}
	b.recordReduction(size, len(body))
	message := make([]byte, 1+echoBytes, 1+echoBytes+len(body))
	message[0] = beatKind
	return append(message, body...)
}

// recordReduction counts a heartbeat of which facts are left out, and logs one in a while. Only
// send uses it.
func (b *Beater) recordReduction(size, reduced int) {
	if reduced == size {
		return
	}
	beatsReduced.Inc()
	if time.Since(b.reductionLoggedAt) > reductionLogInterval {
		b.reductionLoggedAt = time.Now()
		b.Log.Warn("heartbeat does not fit into a datagram; facts are left out", "bytes", size, "sent_bytes", reduced)
	}
}

var errBadDatagram = errors.New("datagram is of no known kind, or a heartbeat without a node name")

// handleDatagram decodes one datagram and passes its content to the function for its
// kind.
func (b *Beater) handleDatagram(message []byte, from *net.UDPAddr) error {
	switch {
	case message[0] == beatKind && len(message) > 1+echoBytes:
		beat := &Heartbeat{}
		if err := cbor.Unmarshal(message[1+echoBytes:], beat); err != nil {
			return fmt.Errorf("decode a heartbeat: %w", err)
		}
		if beat.Node == "" {
			return errBadDatagram
		}
		beat.Echo = b.echo(message)
		if b.recordHeartbeat(beat, from) && b.OnHeartbeat != nil {
			b.OnHeartbeat(beat)
		}
	case message[0] == grantKind:
		return b.handleGrant(message[1:])
	case message[0] == introductionKind:
		return b.handleIntroduction(message[1:])
	default:
		return b.handlePacked(message[0], message[1:])
	}
	return nil
}

// setEcho sets the echo of an encoded heartbeat.
func setEcho(message []byte, sentAt, start int64) {
	binary.BigEndian.PutUint64(message[1:], uint64(sentAt))
	binary.BigEndian.PutUint64(message[1+echoBytes/2:], uint64(start))
}

// echo returns the SentAt that a heartbeat echoes, or 0 if an earlier process of
// this node sent it. That time is not comparable, because the machine, and so the
// clock, may have restarted since.
func (b *Beater) echo(message []byte) int64 {
	if int64(binary.BigEndian.Uint64(message[1+echoBytes/2:])) != b.start {
		return 0
	}
	return int64(binary.BigEndian.Uint64(message[1:]))
}

// recordHeartbeat stores a heartbeat and its sender's address, and reports whether
// the heartbeat is from another node and newer than that node's last one.
func (b *Beater) recordHeartbeat(beat *Heartbeat, from *net.UDPAddr) bool {
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
	if ok && !old.isLive(time.Now()) {
		b.Log.Info("peer is live again", "peer", beat.Node, "address", from.String(), "start", beat.Start, "silent_ms", time.Since(old.SeenAt).Milliseconds())
	}
	b.peers[beat.Node] = &Peer{Heartbeat: *beat, SeenAt: time.Now()}
	if beat.Echo == 0 {
		b.waiting[beat.Node] = true
	}
	if !ok || old.Start != beat.Start {
		b.newcomers[beat.Node] = true
	}
	return true
}
