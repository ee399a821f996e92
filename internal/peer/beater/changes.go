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
	// maxChangesBytes is the maximum size of the uncompressed changes of a datagram.
	maxChangesBytes = 4 << 20
	// maxDirectNodes is the maximum number of nodes to which the watching node sends
	// changes directly. With more nodes, some of them relay changes to the others.
	maxDirectNodes = 12
)

var errTooLarge = errors.New("changes are too large")

// relayMessage is the content of a datagram that the receiver relays.
type relayMessage struct {
	// To are the names of the nodes to which the receiver sends the datagram.
	To []string `cbor:"1,keyasint"`
	// Packed holds the content of the datagram as returned by pack, and Kind is its first
	// byte.
	Packed []byte `cbor:"2,keyasint"`
	Kind   byte   `cbor:"3,keyasint"`
}

// Publish sends changes in the store to the live nodes of this data centre. With
// more than maxDirectNodes nodes, it sends them to about the square root of their
// number, and each of these relays them to about as many others. The changes before
// these are sent along once more, so a node that has missed one datagram needs nothing
// else. One that has missed more finds from the revisions in the next heartbeat that it
// lacks changes, and reads them from the store.
func (b *Beater) Publish(c follower.Changes) {
	packed, err := pack(b.withPrevious(c))
	if errors.Is(err, errTooLarge) {
		packed, err = pack(&c)
	}
	if err != nil {
		datagramErrors.Inc()
		b.Log.Warn("changes cannot be packed; peers have to read the store", "kind", c.Kind, "revision", c.At.Revision, "objects", len(c.Objects), "error", err)
		return
	}
	b.sendToLocal(changesKind, packed)
}

// sendToLocal sends a datagram to the live nodes of this data centre, to some of them by
// way of others. Those that relay change each time, so that what one of them loses while it
// stops comes with the next datagram.
func (b *Beater) sendToLocal(kind byte, packed []byte) {
	for _, group := range relayGroups(rotate(b.localPeers(), b.relayed.Add(1))) {
		if len(group) == 1 {
			b.sendToEach(group, kind, packed)
			continue
		}
		message, err := encodeRelay(group[1:], kind, packed)
		if err != nil {
			b.sendToEach(group, kind, packed)
			continue
		}
		b.write(message, group[0].address)
	}
}

// sendToEach sends a datagram that is too large to be relayed with the names of its receivers.
func (b *Beater) sendToEach(group []localPeer, kind byte, packed []byte) {
	message := append([]byte{kind}, packed...)
	for _, n := range group {
		b.write(message, n.address)
	}
}

// withPrevious returns changes together with those of the same kind that were published
// right before them, and remembers them for the next call. Of each object it keeps the
// newest change.
func (b *Beater) withPrevious(c follower.Changes) *follower.Changes {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.published == nil {
		b.published = map[string]follower.Changes{}
	}
	previous, ok := b.published[c.Kind]
	b.published[c.Kind] = c
	if !ok || previous.At != c.Since {
		return &c
	}
	merged := follower.Changes{Kind: c.Kind, Since: previous.Since, At: c.At}
	for _, o := range previous.Objects {
		isNewer := func(x follower.Object) bool { return x.Name == o.Name }
		if !slices.ContainsFunc(c.Objects, isNewer) {
			merged.Objects = append(merged.Objects, o)
		}
	}
	merged.Objects = append(merged.Objects, c.Objects...)
	return &merged
}

// localPeer is another live node of this data centre.
type localPeer struct {
	name    string
	address *net.UDPAddr
}

// localPeers returns the live nodes of this data centre, sorted by name.
func (b *Beater) localPeers() []localPeer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []localPeer{}
	now := time.Now()
	for name, p := range b.peers {
		if a, ok := b.addrs[name]; ok && p.DataCenter == b.DataCenter && p.isLive(now) {
			list = append(list, localPeer{name, a})
		}
	}
	slices.SortFunc(list, func(x, y localPeer) int { return cmp.Compare(x.name, y.name) })
	return list
}

// rotate returns a list that begins n places later and ends with what was there before.
func rotate(list []localPeer, n uint64) []localPeer {
	if len(list) == 0 {
		return nil
	}
	first := n % uint64(len(list))
	return slices.Concat(list[first:], list[:first])
}

// relayGroups divides nodes into groups. The first node of each group gets the changes
// from the sender and relays them to the rest of the group.
func relayGroups(list []localPeer) [][]localPeer {
	size := 1
	if len(list) > maxDirectNodes {
		size = int(math.Ceil(math.Sqrt(float64(len(list)))))
	}
	return slices.Collect(slices.Chunk(list, size))
}

func encodeRelay(to []localPeer, kind byte, packed []byte) ([]byte, error) {
	r := relayMessage{Packed: packed, Kind: kind}
	for _, n := range to {
		r.To = append(r.To, n.name)
	}
	body, err := cbor.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode a datagram to relay: %w", err)
	}
	if len(body) >= maxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, len(body))
	}
	return append([]byte{relayKind}, body...), nil
}

// pack encodes and compresses changes or a part of a list. The objects of runners
// resemble each other, so many of them fit into one datagram.
func pack(content any) ([]byte, error) {
	body, err := cbor.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode changes: %w", err)
	}
	if len(body) > maxChangesBytes {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, len(body))
	}
	packed := &bytes.Buffer{}
	w, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress changes: %w", err)
	}
	if packed.Len() >= maxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, packed.Len())
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte, out any) error {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxChangesBytes+1))
	if err != nil {
		return fmt.Errorf("decompress changes: %w", err)
	}
	if len(body) > maxChangesBytes {
		return errTooLarge
	}
	if err := cbor.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode changes: %w", err)
	}
	return nil
}

// handlePacked decodes the datagrams that pack encodes and passes their content on. It
// sends the content of a relayMessage to the nodes that the message names.
func (b *Beater) handlePacked(kind byte, packed []byte) error {
	switch kind {
	case relayKind:
		r := relayMessage{}
		if err := cbor.Unmarshal(packed, &r); err != nil {
			return fmt.Errorf("decode a datagram to relay: %w", err)
		}
		if r.Kind == relayKind {
			return errBadDatagram
		}
		b.relay(&r)
		return b.handlePacked(r.Kind, r.Packed)
	case changesKind:
		return b.handleChanges(packed)
	case listKind:
		return b.handleListPart(packed)
	case objectKind:
		return b.handleObject(packed)
	}
	return errBadDatagram
}

func (b *Beater) handleChanges(packed []byte) error {
	c := receivedChanges{}
	if err := unpack(packed, &c); err != nil {
		return err
	}
	if b.OnChanges != nil {
		b.OnChanges(follower.Changes{Kind: c.Kind, Since: c.Since, At: c.At, Objects: decodeObjects(c.Objects, c.Kind, c.At)})
	}
	return nil
}

// relay sends the content of a relayMessage to those of its nodes whose address is known,
// whether or not this node has heard of them since its start.
func (b *Beater) relay(r *relayMessage) {
	message := append([]byte{r.Kind}, r.Packed...)
	for _, name := range r.To {
		if a, ok := b.peerAddress(name); ok {
			b.write(message, a)
		}
	}
}
