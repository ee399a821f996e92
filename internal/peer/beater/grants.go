package beater

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Grant gives retries of the sender's share of the shared retry budget to the receiver.
type Grant struct {
	Node string `cbor:"1,keyasint"`
	// Start and Sequence number the grants of a node, so that a datagram that is
	// delivered twice counts once.
	Start    int64   `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
	Service  string  `cbor:"4,keyasint"`
	Retries  float64 `cbor:"5,keyasint"`
}

// grantLog numbers the grants that are sent and holds the newest number received, by
// node. The zero value is ready to use.
type grantLog struct {
	sent     uint64
	received map[string]grantNumber
}

type grantNumber struct {
	start    int64
	sequence uint64
}

// isNew reports whether a grant is newer than all earlier ones of its node, and records
// it.
func (l *grantLog) isNew(g *Grant) bool {
	old, ok := l.received[g.Node]
	if ok && (g.Start < old.start || g.Start == old.start && g.Sequence <= old.sequence) {
		return false
	}
	if l.received == nil {
		l.received = map[string]grantNumber{}
	}
	l.received[g.Node] = grantNumber{g.Start, g.Sequence}
	return true
}

// SendGrant gives retries to another node and reports whether the datagram was sent.
func (b *Beater) SendGrant(node, service string, retries float64) bool {
	b.mu.Lock()
	b.grants.sent++
	g := Grant{Node: b.Self, Start: b.start, Sequence: b.grants.sent, Service: service, Retries: retries}
	address, ok := b.addrs[node]
	b.mu.Unlock()
	if !ok {
		return false
	}
	body, err := cbor.Marshal(&g)
	if err != nil {
		datagramErrors.Inc()
		b.Log.Error("grant of retries cannot be encoded; it is not sent", "peer", node, "error", err)
		return false
	}
	b.write(append([]byte{grantKind}, body...), address)
	return true
}

func (b *Beater) handleGrant(body []byte) error {
	g := Grant{}
	if err := cbor.Unmarshal(body, &g); err != nil {
		return fmt.Errorf("decode a grant: %w", err)
	}
	if g.Node == "" {
		return errBadDatagram
	}
	b.mu.Lock()
	isNew := b.grants.isNew(&g)
	b.mu.Unlock()
	if isNew && b.OnGrant != nil {
		b.OnGrant(g)
	}
	return nil
}
