package storer

import (
	"slices"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"marjorammoor/internal/objects/parser"
)

// defaultKeptChanges is the number of changes that a watch can go back.
const defaultKeptChanges = 10_000

// Store holds objects and their recent changes. The zero value is empty and
// ready.
type Store struct {
	// KeptChanges bounds how far back a watch can start; 0 means 10 000.
	KeptChanges int

	mu       sync.Mutex
	revision int64
	// forgotten is the largest revision whose change is no longer kept.
	forgotten int64
	objects   map[parser.Key]parser.Object
	changes   []parser.Object
	// history holds all changes, also those that watches can no longer see.
	history []parser.Object
	changed chan struct{}
}

// Put writes o if its stored version equals ifVersion, where 0 means that it
// must not exist. Errors: trace.CompareFailed.
func (s *Store) Put(o parser.Object, ifVersion int64) (parser.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[o.Key()]
	if err := compare(old, exists, ifVersion); err != nil {
		return old, err
	}
	o.Incarnation = old.Incarnation
	if !exists {
		o.Incarnation = uuid.NewString()
	}
	return s.record(o), nil
}

// Delete removes an object if its stored version equals ifVersion.
func (s *Store) Delete(o parser.Object, ifVersion int64) (parser.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[o.Key()]
	if !exists {
		return old, trace.NotFound("%s does not exist", o.Key())
	}
	if err := compare(old, exists, ifVersion); err != nil {
		return old, err
	}
	o.Incarnation, o.Body, o.Deleted = old.Incarnation, nil, true
	return s.record(o), nil
}

func compare(old parser.Object, exists bool, ifVersion int64) error {
	if ifVersion == 0 && exists {
		return trace.CompareFailed("%s exists at version %d, changed by %q", old.Key(), old.Version, old.ChangedBy)
	}
	if ifVersion != 0 && old.Version != ifVersion {
		return trace.CompareFailed("version is %d, not %d, changed by %q", old.Version, ifVersion, old.ChangedBy)
	}
	return nil
}

func (s *Store) record(o parser.Object) parser.Object {
	if s.objects == nil {
		s.objects = map[parser.Key]parser.Object{}
	}
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key())
	} else {
		s.objects[o.Key()] = o
	}
	if slices.Contains(parser.ConfigKinds, o.Kind) {
		s.keepChange(o)
	}
	return o
}

func (s *Store) keepChange(o parser.Object) {
	limit := s.KeptChanges
	if limit == 0 {
		limit = defaultKeptChanges
	}
	s.changes = append(s.changes, o)
	s.history = append(s.history, o)
	if n := len(s.changes) - limit; n > 0 {
		s.forgotten = s.changes[n-1].Version
		s.changes = slices.Clone(s.changes[n:])
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get returns one object; trace.NotFound if there is none.
func (s *Store) Get(k parser.Key) (parser.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
	if !ok {
		return o, trace.NotFound("%s does not exist", k)
	}
	return o, nil
}

// List returns the objects whose kind is one of kinds and whose names start
// with prefix, ordered by kind and name, and the store's revision.
func (s *Store) List(kinds []parser.Kind, prefix string) ([]parser.Object, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []parser.Object{}
	for k, o := range s.objects {
		if slices.Contains(kinds, k.Kind) && strings.HasPrefix(k.Name, prefix) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b parser.Object) int {
		return strings.Compare(a.Key().String(), b.Key().String())
	})
	return list, s.revision
}

// Changes returns the changes after a revision and a channel that is closed at
// the next change. trace.NotFound says that the revision is too old.
func (s *Store) Changes(after int64) ([]parser.Object, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return nil, 0, nil, trace.NotFound("revision %d is too old", after)
	}
	i, _ := slices.BinarySearchFunc(s.changes, after+1, func(o parser.Object, v int64) int {
		return int(o.Version - v)
	})
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return slices.Clone(s.changes[i:]), s.revision, s.changed, nil
}

// DropChanges forgets all changes, so that every waiting watch is too old.
func (s *Store) DropChanges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.forgotten = s.revision
}

// History returns all changes of the kinds that watches show.
func (s *Store) History() []parser.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// ListAt returns the objects as they were some revisions ago, as a replica of
// the platform's store that is behind would.
func (s *Store) ListAt(kinds []parser.Kind, behind int64) ([]parser.Object, int64) {
	s.mu.Lock()
	revision := max(s.revision-behind, 0)
	state := map[parser.Key]parser.Object{}
	for _, o := range s.history {
		if o.Version > revision {
			break
		}
		state[o.Key()] = o
	}
	s.mu.Unlock()
	list := []parser.Object{}
	for k, o := range state {
		if slices.Contains(kinds, k.Kind) && !o.Deleted {
			list = append(list, o)
		}
	}
	return list, revision
}
