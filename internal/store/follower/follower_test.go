package follower

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"marjorammoor/internal/store/sequencer"
)

// fakeStore is a store in memory. If historyGone is set, its next watch fails with
// ErrHistoryGone.
type fakeStore struct {
	mu          sync.Mutex
	objects     map[string]int64
	revision    int64
	era         int64
	historyGone bool
	watches     int
	lists       int
}

// at returns a position of the first era.
func at(revision int64) sequencer.Position { return sequencer.Position{Revision: revision} }

// at returns a position of the store's era. s.mu must be held.
func (s *fakeStore) at(revision int64) sequencer.Position {
	return sequencer.Position{Era: s.era, Revision: revision}
}

func (s *fakeStore) store() *Store {
	return &Store{
		List: func(context.Context, string, bool) ([]Object, sequencer.Position, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lists++
			list := []Object{}
			for name, revision := range s.objects {
				list = append(list, Object{Name: name, At: s.at(revision)})
			}
			return list, s.at(s.revision), nil
		},
		Watch: func(ctx context.Context, _ string, since sequencer.Position, wait time.Duration) ([]Object, sequencer.Position, error) {
			time.Sleep(min(wait, 5*time.Millisecond))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.watches++
			if s.historyGone {
				s.historyGone = false
				return nil, since, ErrHistoryGone
			}
			changes := []Object{}
			for name, revision := range s.objects {
				if revision > since.Revision {
					changes = append(changes, Object{Name: name, At: s.at(revision)})
				}
			}
			return changes, s.at(s.revision), ctx.Err()
		},
	}
}

func (s *fakeStore) set(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[name] = s.revision
}

// localCopy holds the objects that a follower passed to Replace and Update.
type localCopy struct {
	mu        sync.Mutex
	revisions map[string]int64
}

func (c *localCopy) apply(objects []Object) {
	for _, o := range objects {
		if o.Deleted {
			delete(c.revisions, o.Name)
			continue
		}
		c.revisions[o.Name] = o.At.Revision
	}
}

func newFollower(s *fakeStore) (*Follower, *localCopy) {
	c := &localCopy{revisions: map[string]int64{}}
	f := &Follower{
		Kind: "k", Store: s.store(), Wait: 5 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Replace: func(objects []Object, _ Listing) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.revisions = map[string]int64{}
			c.apply(objects)
		},
		Update: func(objects []Object) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.apply(objects)
		},
	}
	return f, c
}

func (c *localCopy) revision(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions[name]
}

func eventually(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(failure)
}

// TestFollow checks that changes reach the copy, also after the store has dropped its
// history and the kind must be listed again.
func TestFollow(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{}, revision: 3}
	s.set("a")
	f, c := newFollower(s)
	go f.Run(t.Context())
	eventually(t, "the list was not applied", func() bool { return c.revision("a") == 4 })
	s.set("b")
	eventually(t, "the change was not applied", func() bool { return c.revision("b") == 5 })
	s.mu.Lock()
	s.historyGone = true
	s.mu.Unlock()
	s.set("c")
	eventually(t, "the change after the loss of the history was not applied", func() bool { return c.revision("c") == 6 })
	if f.Age() > time.Second {
		t.Errorf("age of the copy is %v, want at most 1s", f.Age())
	}
}

// TestNeverBack checks that neither an older change nor an older list replaces a newer
// object of the copy, and that a deletion at the revision of the last change applies.
func TestNeverBack(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, revision: 4}
	f, c := newFollower(s)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.ApplyPeerChanges(Changes{Since: at(4), At: at(9), Objects: []Object{{Name: "a", At: at(8)}}})
	f.ApplyPeerChanges(Changes{Since: at(4), At: at(6), Objects: []Object{{Name: "a", At: at(6)}}})
	f.ApplyPeerChanges(Changes{Since: at(4), At: at(6), Objects: []Object{{Name: "a", At: at(6), Deleted: true}}})
	if r := c.revision("a"); r != 8 {
		t.Errorf("revision %d, want 8", r)
	}
	if err := f.list(t.Context()); err == nil {
		t.Error("a list from before the last change was applied")
	}
	f.ApplyPeerChanges(Changes{Since: at(9), At: at(10), Objects: []Object{{Name: "a", At: at(8), Deleted: true}}})
	if r := c.revision("a"); r != 0 {
		t.Errorf("revision %d after the deletion, want none", r)
	}
}

// TestFed checks that a follower makes no watches while another node watches the
// store, except to read changes that it has missed. It also checks that another
// node's copy confirms only a copy that has all its changes.
func TestFed(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, revision: 4}
	f, c := newFollower(s)
	f.IsWatchedByPeer = func() bool { return true }
	go f.Run(t.Context())
	eventually(t, "the list was not applied", func() bool { return c.revision("a") == 4 })
	time.Sleep(60 * time.Millisecond)
	s.mu.Lock()
	watches := s.watches
	s.mu.Unlock()
	if watches != 0 {
		t.Errorf("%d watches although another node watches", watches)
	}
	before := f.ConfirmedAt()
	f.ConfirmFromPeer(Copy{LastChange: at(4), At: at(4)}, Now())
	if f.ConfirmedAt() <= before {
		t.Error("another node's equal copy did not confirm this copy")
	}
	s.set("b")
	s.set("b")
	before = f.ConfirmedAt()
	f.ConfirmFromPeer(Copy{LastChange: at(8), At: at(8)}, Now())
	if f.ConfirmedAt() != before {
		t.Error("a copy that lacks a change was confirmed")
	}
	eventually(t, "the missed changes were not read", func() bool { return c.revision("b") == 6 })
	f.ApplyPeerChanges(Changes{Since: at(6), At: at(9), Objects: []Object{{Name: "c", At: at(9)}}})
	eventually(t, "the other node's change was not applied", func() bool { return c.revision("c") == 9 })
}

// TestLateConfirmation checks that a confirmation for an earlier time leaves the copy's age
// unchanged, and that one for a future time is ignored.
func TestLateConfirmation(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, revision: 4}
	f, _ := newFollower(s)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	confirmedAt := f.ConfirmedAt()
	f.ConfirmFromPeer(Copy{LastChange: at(4), At: at(4)}, confirmedAt-time.Second)
	if f.ConfirmedAt() != confirmedAt {
		t.Error("an older confirmation changed the time of the last one")
	}
	f.ConfirmFromPeer(Copy{LastChange: at(4), At: at(4)}, Now()+time.Hour)
	if f.Age() < 0 {
		t.Errorf("age of the copy is %v after a confirmation for a future time", f.Age())
	}
	if (&Follower{}).Age() < time.Hour {
		t.Error("a copy that was never confirmed counts as recent")
	}
}

// TestRepair checks that a copy that lacks a change waits for its peer to send it again,
// and reads the store only if the peer does not.
func TestRepair(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, revision: 4}
	f, c := newFollower(s)
	f.IsWatchedByPeer = func() bool { return true }
	go f.Run(t.Context())
	eventually(t, "the list was not applied", func() bool { return c.revision("a") == 4 })
	f.ApplyPeerChanges(Changes{Since: at(6), At: at(7), Objects: []Object{{Name: "b", At: at(7)}}})
	f.ApplyPeerChanges(Changes{Since: at(4), At: at(7), Objects: []Object{{Name: "a", At: at(6)}, {Name: "b", At: at(7)}}})
	time.Sleep(peerRepairTime + 2*peerCheckInterval)
	s.mu.Lock()
	watches := s.watches
	s.mu.Unlock()
	if watches != 0 || c.revision("a") != 6 || c.revision("b") != 7 {
		t.Errorf("%d watches, revisions %d and %d, want none, 6 and 7", watches, c.revision("a"), c.revision("b"))
	}
	f.ApplyPeerChanges(Changes{Since: at(9), At: at(10), Objects: []Object{{Name: "b", At: at(10)}}})
	eventually(t, "the store was not read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.watches > 0
	})
}

// TestLateChange checks that changes from before a list, which arrive after it, do not
// put back an object that the list no longer has, and that a deletion after the list is
// applied though it has the revision of the object's last change.
func TestLateChange(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4, "kept": 90}, revision: 100}
	f, c := newFollower(s)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.ApplyPeerChanges(Changes{Since: at(91), At: at(94), Objects: []Object{{Name: "gone", At: at(92)}, {Name: "kept", At: at(89)}}})
	if c.revision("gone") != 0 || c.revision("kept") != 90 {
		t.Errorf("revisions %d and %d, want an object that is gone to stay so and the other at 90", c.revision("gone"), c.revision("kept"))
	}
	f.ApplyPeerChanges(Changes{Since: at(100), At: at(105), Objects: []Object{{Name: "a", At: at(4), Deleted: true}}})
	if c.revision("a") != 0 {
		t.Error("a deletion after the list was not applied")
	}
}

// TestOutage checks that changes which reach a copy that has long not been confirmed are
// announced as such before they are applied, and others are not.
func TestOutage(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, revision: 4}
	f, c := newFollower(s)
	outages := 0
	f.OnOutage = func(outage time.Duration) {
		outages++
		if outage < outageAge || c.revision("a") != 5 {
			t.Errorf("outage of %v announced with the copy at %d", outage, c.revision("a"))
		}
	}
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.ApplyPeerChanges(Changes{Since: at(4), At: at(5), Objects: []Object{{Name: "a", At: at(5)}}})
	f.confirmedAt.Store(int64(Now() - outageAge - time.Second))
	f.ApplyPeerChanges(Changes{Since: at(5), At: at(6), Objects: []Object{{Name: "a", At: at(6), Deleted: true}}})
	if outages != 1 || c.revision("a") != 0 {
		t.Errorf("%d outages announced, want one; revision %d", outages, c.revision("a"))
	}
}
