package beater

import (
	"fmt"

	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// listPartObjects is the number of objects in one part of a list. A part of so many
// runners fits into a datagram.
const listPartObjects = 400

// keptObject is the content of a datagram with one object.
type keptObject struct {
	Kind   string          `cbor:"1,keyasint"`
	Object follower.Object `cbor:"2,keyasint"`
}

// PublishList sends a full list of the store's objects to the live nodes of this data
// centre, in parts. A node that does not get all parts reads the store.
func (b *Beater) PublishList(kind string, objects []follower.Object, at sequencer.Position) {
	parts := max((len(objects)+listPartObjects-1)/listPartObjects, 1)
	for i := range parts {
		first := i * listPartObjects
		p := follower.ListPart{Kind: kind, At: at, Part: i, Parts: parts, Objects: objects[first:min(first+listPartObjects, len(objects))]}
		packed, err := pack(&p)
		if err != nil {
			datagramErrors.Inc()
			b.Log.Warn("list cannot be packed; peers have to read the store", "kind", kind, "objects", len(objects), "error", err)
			return
		}
		b.sendToLocal(listKind, packed)
	}
	b.Log.Info("list of the new era sent to peers", "kind", kind, "objects", len(objects), "era", at.Era, "revision", at.Revision)
}

// SendObject sends an object that the store may have lost to one node.
func (b *Beater) SendObject(node string, o follower.Object) error {
	address, ok := b.peerAddress(node)
	if !ok {
		return fmt.Errorf("send %s to %s: no address", o.Name, node)
	}
	packed, err := pack(&keptObject{Kind: o.Kind, Object: o})
	if err != nil {
		return fmt.Errorf("send %s to %s: %w", o.Name, node, err)
	}
	b.write(append([]byte{objectKind}, packed...), address)
	return nil
}

func (b *Beater) handleListPart(packed []byte) error {
	p := receivedListPart{}
	if err := unpack(packed, &p); err != nil {
		return err
	}
	if b.OnListPart != nil {
		b.OnListPart(follower.ListPart{Kind: p.Kind, At: p.At, Part: p.Part, Parts: p.Parts, Objects: decodeObjects(p.Objects, p.Kind, p.At)})
	}
	return nil
}

func (b *Beater) handleObject(packed []byte) error {
	k := keptObject{}
	if err := unpack(packed, &k); err != nil {
		return err
	}
	k.Object.Kind = k.Kind
	if b.OnObject != nil {
		b.OnObject(k.Object)
	}
	return nil
}
