package follower

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"marjorammoor/internal/store/sequencer"
)

// TestRestoredStore checks that a list of a newer era replaces the copy though its
// revision is lower, that one of an earlier era does not, and that nothing else confirms a
// copy of an earlier era.
func TestRestoredStore(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4, "b": 9}, revision: 9, era: 1}
	f, c := newFollower(s)
	f.Eras = &sequencer.Eras{}
	f.Eras.Observe(1)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	confirmedAt := f.ConfirmedAt()
	f.ApplyPeerChanges(Changes{Since: sequencer.Position{Era: 2, Revision: 5}, At: sequencer.Position{Era: 2, Revision: 6}})
	f.ConfirmFromPeer(Copy{LastChange: sequencer.Position{Era: 1, Revision: 9}, At: sequencer.Position{Era: 1, Revision: 9}}, Now())
	if f.Eras.Newest() != 2 || f.ConfirmedAt() != confirmedAt || f.IsOfNewestEra() {
		t.Errorf("newest era %d, confirmed again %v, want 2 and false", f.Eras.Newest(), f.ConfirmedAt() != confirmedAt)
	}
	if err := f.list(t.Context()); !errors.Is(err, ErrOtherEra) {
		t.Errorf("a list of an earlier era gave %v", err)
	}
	s.era, s.revision, s.objects = 2, 6, map[string]int64{"a": 4}
	if err := f.list(t.Context()); err != nil || c.revision("b") != 0 || !f.IsOfNewestEra() {
		t.Errorf("list of the new era: %v, b at %d", err, c.revision("b"))
	}
}

// TestListParts checks that a list of another node is applied once all its parts have
// been received, in any order, and only in a newer era.
func TestListParts(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4}, revision: 9, era: 1}
	f, c := newFollower(s)
	f.Eras = &sequencer.Eras{}
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	p := sequencer.Position{Era: 2, Revision: 3}
	parts := []ListPart{
		{At: p, Part: 0, Parts: 2, Objects: []Object{{Name: "x", At: p}}},
		{At: p, Part: 1, Parts: 2, Objects: []Object{{Name: "y", At: p}}},
	}
	f.ApplyPeerList(parts[1])
	f.ApplyPeerList(parts[1])
	if c.revision("y") != 0 {
		t.Error("a list was applied before its first part was received")
	}
	f.ApplyPeerList(parts[0])
	if c.revision("x") != 3 || c.revision("y") != 3 || c.revision("a") != 0 {
		t.Errorf("the list was not applied: x at %d, y at %d, a at %d", c.revision("x"), c.revision("y"), c.revision("a"))
	}
	f.ApplyPeerList(ListPart{At: sequencer.Position{Era: 2, Revision: 4}, Parts: 1})
	if c.revision("x") != 3 {
		t.Error("a second list of the same era was applied")
	}
}

// modelDepth is the number of actions in a row that TestTwoNodes plays.
const modelDepth = 6

// model is a store with one object and two nodes. Node a reads the store and sends what it
// knows to node b, over a link that loses, delays and reorders.
type model struct {
	t     *testing.T
	store *fakeStore
	// values holds the object's value by its revision in the store, and all what the store
	// had after each change or restore.
	values map[int64]int
	all    []int
	last   int
	// during, if set, happens while the store answers a watch.
	during func()
	a, b   modelNode
	// sent are the messages on their way, with the number of the oldest state that the
	// receiver may confirm by them.
	sent []modelMessage
}

type modelNode struct {
	*Follower
	value int
	// seen is the number of the store's state at the last confirmation.
	seen int
	last Changes
}

type modelMessage struct {
	copied  *Copy
	changes *Changes
	seen    int
}

func newModel(t *testing.T) *model {
	m := &model{t: t, store: &fakeStore{objects: map[string]int64{}, era: 1}, values: map[int64]int{}}
	m.write()
	m.write()
	m.start(&m.a)
	m.start(&m.b)
	return m
}

func (m *model) start(n *modelNode) {
	apply := func(objects []Object) {
		for _, o := range objects {
			n.value = decodeValue(o)
		}
	}
	s := &Store{}
	s.List = func(context.Context, string, bool) ([]Object, sequencer.Position, error) {
		n.Eras.Observe(m.store.era)
		return m.objects(0), m.store.at(m.store.revision), nil
	}
	s.Watch = func(_ context.Context, _ string, since sequencer.Position, _ time.Duration) ([]Object, sequencer.Position, error) {
		if m.during != nil {
			m.during()
		}
		n.Eras.Observe(m.store.era)
		if since.Revision > m.store.revision {
			return nil, since, ErrHistoryGone
		}
		return m.objects(since.Revision), m.store.at(m.store.revision), nil
	}
	n.Follower = &Follower{
		Kind: "k", Store: s, Eras: &sequencer.Eras{}, Log: slog.New(slog.DiscardHandler),
		Replace: func(objects []Object, _ Listing) { apply(objects) }, Update: apply,
		OnChanges: func(c Changes) { n.last = c },
	}
	m.step(n)
}

func encodeValue(v int) []byte { return []byte{byte(v)} }

func decodeValue(o Object) int { return int(o.Spec[0]) }

// objects returns the store's object if it has changed since a revision.
func (m *model) objects(since int64) []Object {
	if m.store.revision <= since {
		return nil
	}
	return []Object{{Name: "x", At: m.store.at(m.store.revision), Spec: encodeValue(m.values[m.store.revision])}}
}

func (m *model) write() {
	m.store.revision++
	m.last++
	m.values[m.store.revision] = m.last
	m.all = append(m.all, m.last)
}

// restore has the store lose its last change.
func (m *model) restore() {
	if m.store.revision < 2 {
		return
	}
	m.store.revision--
	m.store.era++
	m.all = append(m.all, m.values[m.store.revision])
}

// step reads the store as Run does.
func (m *model) step(n *modelNode) {
	m.check(n, len(m.all)-1, func() {
		var err error
		if n.needsList() {
			err = n.list(m.t.Context())
		} else {
			err = n.watch(m.t.Context(), 0)
		}
		if err != nil {
			n.mustList = true
		}
	})
}

// check lets a node act. If that confirms its copy, the copy must have the value of a
// state that is not older than the given one.
func (m *model) check(n *modelNode, oldest int, act func()) {
	before := n.ConfirmedAt()
	act()
	if n.ConfirmedAt() == before {
		return
	}
	for i := len(m.all) - 1; i >= oldest; i-- {
		if m.all[i] == n.value {
			n.seen = i
			return
		}
	}
	m.t.Errorf("a copy with value %d was confirmed, the store had %v since the state that confirms it", n.value, m.all[oldest:])
}

func (m *model) deliver(i int) {
	if len(m.sent) == 0 {
		return
	}
	i = min(i, len(m.sent)-1)
	x := m.sent[i]
	m.sent = append(m.sent[:i:i], m.sent[i+1:]...)
	m.check(&m.b, x.seen, func() {
		if x.copied != nil {
			m.b.ConfirmFromPeer(*x.copied, Now())
			return
		}
		m.b.ApplyPeerChanges(*x.changes)
	})
}

// modelActions are what may happen next.
var modelActions = map[string]func(m *model){
	"write":   (*model).write,
	"restore": (*model).restore,
	"a reads": func(m *model) { m.step(&m.a) },
	"a reads while the store is restored": func(m *model) {
		m.during = func() { m.restore(); m.write() }
		m.step(&m.a)
		m.during = nil
	},
	"a tells its copy": func(m *model) {
		c := m.a.Copy()
		m.sent = append(m.sent, modelMessage{copied: &c, seen: m.a.seen})
	},
	"a tells its changes": func(m *model) {
		c := m.a.last
		m.sent = append(m.sent, modelMessage{changes: &c, seen: m.a.seen})
	},
	"b gets the oldest": func(m *model) { m.deliver(0) },
	"b gets the newest": func(m *model) { m.deliver(len(m.sent)) },
	"b reads":           func(m *model) { m.step(&m.b) },
}

// TestTwoNodes plays all sequences of actions of a store that forgets, two nodes and the
// link between them, and checks each confirmation of a copy.
func TestTwoNodes(t *testing.T) {
	names := slices.Sorted(maps.Keys(modelActions))
	path := make([]int, modelDepth)
	for {
		m := newModel(t)
		for _, i := range path {
			modelActions[names[i]](m)
		}
		if t.Failed() {
			for _, i := range path {
				t.Log(names[i])
			}
			return
		}
		i := 0
		for ; i < modelDepth; i++ {
			if path[i]++; path[i] < len(names) {
				break
			}
			path[i] = 0
		}
		if i == modelDepth {
			return
		}
	}
}
