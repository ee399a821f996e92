package follower

import (
	"time"

	"marjorammoor/internal/store/sequencer"
)

// Changes are the changes that a watch returned.
type Changes struct {
	Kind string `cbor:"1,keyasint"`
	// Since is the position of the change before these, or a later one if nothing
	// changed in between. A copy before that may lack a change.
	Since sequencer.Position `cbor:"2,keyasint"`
	// At is the store's position up to which Objects holds all changes.
	At      sequencer.Position `cbor:"3,keyasint"`
	Objects []Object           `cbor:"4,keyasint"`
}

// maxListParts is the maximum number of parts of a list.
const maxListParts = 1000

// Copy describes the state of a node's copy of a kind.
type Copy struct {
	// LastChange is the position of the last change that the copy has, or a later one if
	// nothing changed in between.
	LastChange sequencer.Position `cbor:"1,keyasint"`
	// At is the store's position up to which the copy is complete.
	At sequencer.Position `cbor:"2,keyasint"`
	// AgeMS is the time since the copy was last confirmed to be current, in
	// milliseconds, rounded up.
	AgeMS int64 `cbor:"3,keyasint"`
}

// ListPart is a part of the list that a node has read first in a new era.
type ListPart struct {
	Kind string             `cbor:"1,keyasint"`
	At   sequencer.Position `cbor:"2,keyasint"`
	// Part is the number of the part, from 0, and Parts how many there are.
	Part    int      `cbor:"3,keyasint"`
	Parts   int      `cbor:"4,keyasint"`
	Objects []Object `cbor:"5,keyasint"`
}

// partialList holds the parts of a list that have been received.
type partialList struct {
	at    sequencer.Position
	parts map[int][]Object
}

// Copy returns the state of this node's copy.
func (f *Follower) Copy() Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Copy{LastChange: f.lastChange, At: f.at, AgeMS: f.Age().Milliseconds() + 1}
}

// ApplyPeerChanges applies changes that another node's watch returned. If the copy
// may lack an earlier change, it ignores them and the next watch reads all missing
// changes. Changes of a newer era make that era known.
func (f *Follower) ApplyPeerChanges(c Changes) {
	f.observe(c.At)
	f.mu.Lock()
	if f.at.IsZero() {
		// Without a list there is nothing that changes apply to.
		f.mu.Unlock()
		return
	}
	if !f.at.Covers(c.Since) {
		if c.Since.Era == f.newestEra() {
			f.fallBehind(c.Since)
		}
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	f.update(f.named(c.Objects), c.At)
}

// ApplyPeerList applies a list that another node has read in a new era, once all its
// parts have been received. A copy that is of that era already is not changed.
func (f *Follower) ApplyPeerList(p ListPart) {
	f.observe(p.At)
	p.Objects = f.named(p.Objects)
	objects, ok := f.addPart(p)
	if !ok {
		return
	}
	if _, err := f.replace(objects, p.At); err != nil {
		f.Log.Info("list of another node is not used", "kind", f.Kind, "reason", err)
	}
}

// addPart adds a part of a list and returns all objects when the last part was added.
func (f *Follower) addPart(p ListPart) (objects []Object, isComplete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Part < 0 || p.Part >= p.Parts || p.Parts > maxListParts {
		return nil, false
	}
	if f.at.IsZero() || p.At.Era <= f.at.Era || p.At.Era != f.newestEra() {
		return nil, false
	}
	if f.received.at != p.At {
		f.received = partialList{at: p.At, parts: map[int][]Object{}}
	}
	f.received.parts[p.Part] = p.Objects
	if len(f.received.parts) < p.Parts {
		return nil, false
	}
	for _, list := range f.received.parts {
		objects = append(objects, list...)
	}
	f.received = partialList{}
	return objects, true
}

// observe records the era of a position that another node has named.
func (f *Follower) observe(at sequencer.Position) {
	if f.Eras != nil {
		f.Eras.Observe(at.Era)
	}
}

// fallBehind records that the copy lacks a change of a position. f.mu must be held.
func (f *Follower) fallBehind(at sequencer.Position) {
	f.missing = sequencer.Latest(f.missing, at)
	if f.behindSince == 0 {
		f.behindSince = Now()
	}
}

// mustCatchUp reports whether the copy has lacked a change for so long that no peer
// seems to send it again, and clears that state.
func (f *Follower) mustCatchUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.behindSince == 0 || Now()-f.behindSince < peerRepairTime {
		return false
	}
	f.behindSince = 0
	return true
}

// ConfirmFromPeer compares this copy with another node's copy c, which was current
// at when, on the clock of Now. If no change is missing here, it confirms this copy
// as of that time. Otherwise the next watch reads the missing changes. Copies of
// different eras cannot be compared.
func (f *Follower) ConfirmFromPeer(c Copy, when time.Duration) {
	f.observe(c.At)
	f.mu.Lock()
	if f.at.IsZero() || c.At.Era != f.newestEra() {
		f.mu.Unlock()
		return
	}
	if !f.at.Covers(c.LastChange) {
		f.fallBehind(c.LastChange)
		f.mu.Unlock()
		return
	}
	f.at = sequencer.Latest(f.at, c.At)
	f.mustList = false
	f.mu.Unlock()
	f.confirm(when)
}
