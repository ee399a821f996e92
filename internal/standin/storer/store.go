package storer

import (
	"slices"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"marjorammoor/internal/objects/parser"
)

// defaultMaxChanges is the default of Store.MaxChanges.
const defaultMaxChanges = 10_000

// Store holds objects and their recent changes. The zero value is empty and ready
// to use.
type Store struct {
	// MaxChanges is the number of changes that are kept for watches; 0 means
	// 10 000. A watch from an older revision fails.
	MaxChanges int

	mu       sync.Mutex
	revision int64
	// compacted is the newest revision whose change is no longer kept for watches.
	compacted int64
	objects   map[parser.Key]parser.Object
	changes   []parser.Object
	// history holds all changes, including those that are no longer kept for
	// watches.
	history []parser.Object
	changed chan struct{}
}

// Put stores o if the stored version equals ifVersion; 0 means that the object must
// not exist. Otherwise it returns trace.CompareFailed.
func (s *Store) Put(o parser.Object, ifVersion int64) (parser.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[o.Key()]
	if err := checkVersion(old, exists, ifVersion); err != nil {
		return old, err
	}
	o.Incarnation = old.Incarnation
	if !exists {
		o.Incarnation = uuid.NewString()
	}
	return s.commit(o), nil
}

// Delete removes an object if the stored version equals ifVersion. It returns
// trace.NotFound if there is no object and trace.CompareFailed for another version.
func (s *Store) Delete(o parser.Object, ifVersion int64) (parser.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[o.Key()]
	if !exists {
		return old, trace.NotFound("%s does not exist", o.Key())
	}
	if err := checkVersion(old, exists, ifVersion); err != nil {
		return old, err
	}
	o.Incarnation, o.Body, o.Deleted = old.Incarnation, nil, true
	return s.commit(o), nil
}

func checkVersion(old parser.Object, exists bool, ifVersion int64) error {
	if ifVersion == 0 && exists {
		return trace.CompareFailed("%s exists at version %d, changed by %q", old.Key(), old.Version, old.ChangedBy)
	}
	if ifVersion != 0 && old.Version != ifVersion {
		return trace.CompareFailed("version is %d, not %d, changed by %q", old.Version, ifVersion, old.ChangedBy)
	}
	return nil
}

// commit stores or deletes o under the next revision. The caller holds the lock.
func (s *Store) commit(o parser.Object) parser.Object {
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
		s.appendChange(o)
	}
	return o
}

// appendChange adds a change for watches, drops those beyond the limit and wakes
// the waiting watches. The caller holds the lock.
func (s *Store) appendChange(o parser.Object) {
	limit := s.MaxChanges
	if limit == 0 {
		limit = defaultMaxChanges
	}
	s.changes = append(s.changes, o)
	s.history = append(s.history, o)
	if n := len(s.changes) - limit; n > 0 {
		s.compacted = s.changes[n-1].Version
		s.changes = slices.Clone(s.changes[n:])
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get returns one object, or trace.NotFound if there is none.
func (s *Store) Get(k parser.Key) (parser.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
	if !ok {
		return o, trace.NotFound("%s does not exist", k)
	}
	return o, nil
}

// List returns the objects of the given kinds whose names start with prefix, sorted
// by kind and name, and the store's revision.
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

// Changes returns the changes after a revision, the store's revision and a channel
// that is closed at the next change. It returns trace.NotFound if changes after the
// revision are no longer kept.
func (s *Store) Changes(after int64) ([]parser.Object, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
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

// DropChanges drops all changes kept for watches, so that a watch from any earlier
// revision fails.
func (s *Store) DropChanges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.compacted = s.revision
}

// History returns all changes of the kinds that can be watched.
func (s *Store) History() []parser.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// ListStale returns the objects as they were lag revisions ago, like a replica of
// the platform's store that lags behind.
func (s *Store) ListStale(kinds []parser.Kind, lag int64) ([]parser.Object, int64) {
	s.mu.Lock()
	revision := max(s.revision-lag, 0)
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
