package beater

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"marjorammoor/internal/state/ranker"
)

// introducers is about the number of nodes that tell a node which has just started the addresses
// of the others, since it cannot find them in the store while that is away.
const introducers = 8

// introduceAfter is the number of heartbeats that a node has sent before it is one of them: it
// knows few others at first.
const introduceAfter = 10

// introduces reports whether this node is one of about introducers among a number of nodes that
// tell a new one the addresses of the others. Which ones do does not follow from their views.
func (b *Beater) introduces(to string, nodes int) bool {
	return nodes <= introducers || ranker.Score("introduce "+to, b.Self) < math.MaxUint64/uint64(nodes)*introducers
}

// introduce sends the addresses of the live nodes to one that has just started.
func (b *Beater) introduce(d *destination) {
	addresses := map[string]string{}
	for _, p := range b.Live() {
		if a, ok := b.Address(p.Node); ok && p.Node != d.name {
			addresses[p.Node] = a
		}
	}
	body, err := cbor.Marshal(addresses)
	if err != nil || len(body) >= maxDatagram {
		datagramErrors.Inc()
		b.Log.Error("addresses of the nodes cannot be sent", "peer", d.name, "bytes", len(body), "error", err)
		return
	}
	b.write(append([]byte{introductionKind}, body...), d.address)
}

func (b *Beater) handleIntroduction(body []byte) error {
	addresses := map[string]string{}
	if err := cbor.Unmarshal(body, &addresses); err != nil {
		return fmt.Errorf("decode addresses of nodes: %w", err)
	}
	for name, address := range addresses {
		b.AddPeer(name, address)
	}
	return nil
}
