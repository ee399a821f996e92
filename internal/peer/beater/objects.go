package beater

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// maxNameBytes is the maximum length of the name of a received object.
const maxNameBytes = 253

// receivedChanges are follower.Changes whose objects are decoded one by one, so that one of
// another version costs no other.
type receivedChanges struct {
	Kind    string             `cbor:"1,keyasint"`
	Since   sequencer.Position `cbor:"2,keyasint"`
	At      sequencer.Position `cbor:"3,keyasint"`
	Objects []cbor.RawMessage  `cbor:"4,keyasint"`
}

// receivedListPart is a follower.ListPart in the same way.
type receivedListPart struct {
	Kind    string             `cbor:"1,keyasint"`
	At      sequencer.Position `cbor:"2,keyasint"`
	Part    int                `cbor:"3,keyasint"`
	Parts   int                `cbor:"4,keyasint"`
	Objects []cbor.RawMessage  `cbor:"5,keyasint"`
}

// decodeObjects decodes the objects of a message that is complete up to a position.
func decodeObjects(list []cbor.RawMessage, kind string, at sequencer.Position) []follower.Object {
	objects := make([]follower.Object, 0, len(list))
	for _, encoded := range list {
		o := decodeObject(encoded, at)
		o.Kind = kind
		objects = append(objects, o)
	}
	return objects
}

// decodeObject decodes an object as far as it can be read. A position that cannot be that
// of a change in the message counts as the message's own.
func decodeObject(encoded cbor.RawMessage, at sequencer.Position) follower.Object {
	o := follower.Object{}
	if err := cbor.Unmarshal(encoded, &o); err != nil {
		o = follower.Object{Name: decodeName(encoded), Problem: fmt.Errorf("decode an object of a peer: %w", err)}
	}
	if n := len(o.Name); o.Problem == nil && n == 0 || n > maxNameBytes {
		o = follower.Object{Problem: trace.BadParameter("name: %d bytes, expected 1 to %d", n, maxNameBytes)}
	}
	if o.At.Era != at.Era || o.At.Revision <= 0 || o.At.Revision > at.Revision {
		o.At = at
	}
	return o
}

// decodeName returns the name of an object of which nothing else may be readable, or an
// empty one.
func decodeName(encoded cbor.RawMessage) string {
	o := struct {
		Name string `cbor:"1,keyasint"`
	}{}
	if err := cbor.Unmarshal(encoded, &o); err != nil {
		return ""
	}
	return o.Name
}
