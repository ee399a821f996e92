package beater

import (
	"bytes"
	"cmp"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"marjorammoor/internal/store/follower"
)

const (
	// maxChanges bounds the changes of one datagram once they are unpacked.
	maxChanges = 4 << 20
	// directNodes is up to how many nodes get changes from the one that watches.
	// Of more, some pass them on to the others.
	directNodes = 12
)

var errTooLarge = errors.New("the changes are too large")

// relayed is a datagram with changes that the receiver passes on.
type relayed struct {
	// To are the nodes that get the changes from the receiver.
	To []string `cbor:"1,keyasint"`
	// Packed are the changes.
	Packed []byte `cbor:"2,keyasint"`
}

// Publish passes changes in the store on to the nodes of this data center. With
// many nodes, about the square root of their number get them from this node and
// pass them on to as many others each. A node that misses a datagram learns from
// the next beat that it lacks something, and asks the store.
func (b *Beater) Publish(c follower.Changes) {
	conn := b.conn.Load()
	if conn == nil {
		return
	}
	packed, err := pack(&c)
	if err != nil {
		badDatagrams.Inc()
		b.Log.Warn("changes are not passed on", "kind", c.Kind, "at", c.Revision, "objects", len(c.Objects), "error", err)
		return
	}
	for _, group := range relayGroups(b.near()) {
		if len(group) == 1 {
			b.write(conn, append([]byte{changesKind}, packed...), group[0].address)
			continue
		}
		message, err := encodeRelayed(group[1:], packed)
		if err != nil {
			badDatagrams.Inc()
			b.Log.Error("changes are not passed on", "kind", c.Kind, "at", c.Revision, "error", err)
			return
		}
		b.write(conn, message, group[0].address)
	}
}

// neighbor is a live node of this data center.
type neighbor struct {
	name    string
	address *net.UDPAddr
}

func (b *Beater) near() []neighbor {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []neighbor{}
	for name, p := range b.peers {
		if a, ok := b.addrs[name]; ok && p.DataCenter == b.DataCenter && time.Since(p.SeenAt) < liveFor {
			list = append(list, neighbor{name, a})
		}
	}
	slices.SortFunc(list, func(x, y neighbor) int { return cmp.Compare(x.name, y.name) })
	return list
}

// relayGroups divides nodes into groups. The first of each gets the changes from
// the sender and passes them on to the rest.
func relayGroups(list []neighbor) [][]neighbor {
	size := 1
	if len(list) > directNodes {
		size = int(math.Ceil(math.Sqrt(float64(len(list)))))
	}
	return slices.Collect(slices.Chunk(list, size))
}

func encodeRelayed(to []neighbor, packed []byte) ([]byte, error) {
	r := relayed{Packed: packed}
	for _, n := range to {
		r.To = append(r.To, n.name)
	}
	body, err := cbor.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode changes to pass on: %w", err)
	}
	if len(body) >= maxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, len(body))
	}
	return append([]byte{relayedKind}, body...), nil
}

// pack encodes and compresses changes. Entries of runners are much alike, so that
// many take little room.
func pack(c *follower.Changes) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	if len(body) > maxChanges {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, len(body))
	}
	out := &bytes.Buffer{}
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	if out.Len() >= maxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, out.Len())
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) (follower.Changes, error) {
	c := follower.Changes{}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxChanges+1))
	if err != nil {
		return c, fmt.Errorf("unpack changes: %w", err)
	}
	if len(body) > maxChanges {
		return c, errTooLarge
	}
	if err := cbor.Unmarshal(body, &c); err != nil {
		return c, fmt.Errorf("decode changes: %w", err)
	}
	for i := range c.Objects {
		c.Objects[i].Kind = c.Kind
	}
	return c, nil
}

// takeChanges reads a datagram with changes and passes it on if it says so.
func (b *Beater) takeChanges(message []byte) error {
	packed := message[1:]
	if message[0] == relayedKind {
		r := relayed{}
		if err := cbor.Unmarshal(message[1:], &r); err != nil {
			return fmt.Errorf("decode changes to pass on: %w", err)
		}
		packed = r.Packed
		b.passOn(&r)
	}
	c, err := unpack(packed)
	if err != nil {
		return err
	}
	if b.Changed != nil {
		b.Changed(c)
	}
	return nil
}

func (b *Beater) passOn(r *relayed) {
	conn := b.conn.Load()
	if conn == nil {
		return
	}
	message := append([]byte{changesKind}, r.Packed...)
	for _, n := range b.near() {
		if slices.Contains(r.To, n.name) {
			b.write(conn, message, n.address)
		}
	}
}
