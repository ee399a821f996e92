package follower

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"
)

// fakeStore answers lists and watches from a script.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]int64
	at      int64
	gone    bool
	watches int
	lists   int
}

func (s *fakeStore) store() *Store {
	return &Store{
		List: func(context.Context, string, bool) ([]Object, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lists++
			list := []Object{}
			for name, revision := range s.objects {
				list = append(list, Object{Name: name, Revision: revision})
			}
			return list, s.at, nil
		},
		Watch: func(ctx context.Context, _ string, since int64, wait time.Duration) ([]Object, int64, error) {
			time.Sleep(min(wait, 5*time.Millisecond))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.watches++
			if s.gone {
				s.gone = false
				return nil, 0, ErrHistoryGone
			}
			changes := []Object{}
			for name, revision := range s.objects {
				if revision > since {
					changes = append(changes, Object{Name: name, Revision: revision})
				}
			}
			return changes, s.at, ctx.Err()
		},
	}
}

func (s *fakeStore) set(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.objects[name] = s.at
}

// copyOf is what a follower has been told.
type copyOf struct {
	mu    sync.Mutex
	known map[string]int64
}

func (c *copyOf) take(objects []Object) {
	for _, o := range objects {
		if o.Deleted {
			delete(c.known, o.Name)
			continue
		}
		c.known[o.Name] = o.Revision
	}
}

func newFollower(s *fakeStore) (*Follower, *copyOf) {
	c := &copyOf{known: map[string]int64{}}
	f := &Follower{
		Kind: "k", Store: s.store(), Wait: 5 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		Replace: func(objects []Object, _ time.Duration) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.known = map[string]int64{}
			c.take(objects)
		},
		Update: func(objects []Object) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.take(objects)
		},
	}
	return f, c
}

func (c *copyOf) revision(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[name]
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(what)
}

// TestFollow checks that changes arrive, also after the history was dropped.
func TestFollow(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{}, at: 3}
	s.set("a")
	f, c := newFollower(s)
	go f.Run(t.Context())
	eventually(t, "the list did not arrive", func() bool { return c.revision("a") == 4 })
	s.set("b")
	eventually(t, "the change did not arrive", func() bool { return c.revision("b") == 5 })
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	s.set("c")
	eventually(t, "the change after the drop did not arrive", func() bool { return c.revision("c") == 6 })
	if f.Age() > time.Second {
		t.Errorf("the copy is %v old", f.Age())
	}
}

// TestNeverBack checks that neither an older change nor an older list puts
// anything back.
func TestNeverBack(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, at: 4}
	f, c := newFollower(s)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.Offer(Changes{Since: 4, At: 9, Objects: []Object{{Name: "a", Revision: 8}}})
	f.Offer(Changes{Since: 4, At: 6, Objects: []Object{{Name: "a", Revision: 6}}})
	f.Offer(Changes{Since: 4, At: 6, Objects: []Object{{Name: "a", Revision: 6, Deleted: true}}})
	if r := c.revision("a"); r != 8 {
		t.Errorf("revision %d, wanted 8", r)
	}
	if err := f.list(t.Context()); err == nil {
		t.Error("a list from before the last change was taken")
	}
	f.Offer(Changes{Since: 9, At: 10, Objects: []Object{{Name: "a", Revision: 8, Deleted: true}}})
	if r := c.revision("a"); r != 0 {
		t.Errorf("revision %d after the removal", r)
	}
}

// TestFed checks that a fed follower makes no calls unless it has missed
// something, and what another node's word confirms.
func TestFed(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, at: 4}
	f, c := newFollower(s)
	f.IsFed = func() bool { return true }
	go f.Run(t.Context())
	eventually(t, "the list did not arrive", func() bool { return c.revision("a") == 4 })
	time.Sleep(60 * time.Millisecond)
	s.mu.Lock()
	watches := s.watches
	s.mu.Unlock()
	if watches != 0 {
		t.Errorf("%d watches although another node watches", watches)
	}
	before := f.At()
	f.Confirm(Copy{Changed: 4, At: 4}, Now())
	if f.At() <= before {
		t.Error("the word of a node with the same copy confirms nothing")
	}
	s.set("b")
	s.set("b")
	before = f.At()
	f.Confirm(Copy{Changed: 8, At: 8}, Now())
	if f.At() != before {
		t.Error("a copy that lacks a change was confirmed")
	}
	eventually(t, "what was missed was not asked for", func() bool { return c.revision("b") == 6 })
	f.Offer(Changes{Since: 6, At: 9, Objects: []Object{{Name: "c", Revision: 9}}})
	eventually(t, "the fed change did not arrive", func() bool { return c.revision("c") == 9 })
}

// TestLateWord checks that word from another node about an old moment does not
// make a copy younger than that moment.
func TestLateWord(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, at: 4}
	f, _ := newFollower(s)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	at := f.At()
	f.Confirm(Copy{Changed: 4, At: 4}, at-time.Second)
	if f.At() != at {
		t.Error("an older word moved the moment")
	}
	f.Confirm(Copy{Changed: 4, At: 4}, Now()+time.Hour)
	if f.Age() < 0 {
		t.Errorf("the copy is %v old after word about a moment to come", f.Age())
	}
	if (&Follower{}).Age() < time.Hour {
		t.Error("a copy that was never confirmed has an age")
	}
}
