package follower

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/store/sequencer"
)

// TestNamelessObjectIsLeftOut guards against an object without a name that reaches the copy,
// and against a watch that returns only such an object and then counts as having waited.
func TestNamelessObjectIsLeftOut(t *testing.T) {
	s := &fakeStore{objects: map[string]int64{"a": 4, "": 3}, revision: 4}
	f, c := newFollower(s)
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	confirmedAt := f.ConfirmedAt()
	s.mu.Lock()
	s.revision, s.objects[""] = 5, 5
	s.mu.Unlock()
	sent := Now()
	if err := f.watch(t.Context(), time.Minute); err != nil {
		t.Fatal(err)
	}
	if f.ConfirmedAt() <= confirmedAt || f.ConfirmedAt() > sent+time.Millisecond {
		t.Errorf("confirmed %v after the watch was sent", f.ConfirmedAt()-sent)
	}
	f.ApplyPeerChanges(Changes{Since: at(5), At: at(7), Objects: []Object{{At: at(6)}, {Name: "b", At: at(7)}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.revisions[""]; ok || c.revisions["a"] != 4 || c.revisions["b"] != 7 {
		t.Errorf("copy is %v", c.revisions)
	}
}

// TestRejections checks that each reason why an object cannot be used is logged once, in a
// bounded line, and that so is the end of it.
func TestRejections(t *testing.T) {
	out := &strings.Builder{}
	log := slog.New(slog.NewTextHandler(out, nil))
	r := &Rejections{}
	x, y := Object{Kind: "k", Name: "x", At: at(4)}, Object{Kind: "k", At: at(5)}
	for range 3 {
		r.Reject(log, x, errors.New("reason one"))
		r.Reject(log, y, errors.New("first without a name"))
		r.Reject(log, y, errors.New("second without a name"))
	}
	r.Reject(log, x, errors.New("reason two "+strings.Repeat("x", 1<<20)))
	r.Accept(log, x)
	r.Accept(log, x)
	r.Reject(log, x, errors.New("reason one"))
	r.Forget(x)
	r.Accept(log, x)
	if n := strings.Count(out.String(), "\n"); n != 6 || out.Len() > 6*400 {
		t.Errorf("%d lines of %d bytes, want 6 short ones:\n%.2000s", n, out.Len(), out)
	}
	for i := range 2 * maxRejected {
		r.Reject(log, Object{Name: strings.Repeat("n", i+1)}, errNoName)
	}
	if len(r.reasons) > maxRejected {
		t.Errorf("%d objects are remembered", len(r.reasons))
	}
}

// TestOddPeerMessageIsIgnored guards against a panic of a node without a copy, and against a
// list that another node sends without all its parts.
func TestOddPeerMessageIsIgnored(t *testing.T) {
	f, c := newFollower(&fakeStore{objects: map[string]int64{"a": 4}, revision: 4})
	f.ApplyPeerChanges(Changes{At: at(7), Objects: []Object{{Name: "b", At: at(7)}}})
	if len(c.revisions) != 0 {
		t.Errorf("changes were applied to no copy: %v", c.revisions)
	}
	f.Eras = &sequencer.Eras{}
	if err := f.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	p := sequencer.Position{Era: 1, Revision: 3}
	for _, part := range []ListPart{
		{}, {Part: 0, Parts: 0}, {Part: 0, Parts: -1}, {Part: -1, Parts: 1}, {Part: 2, Parts: 2}, {Part: 0, Parts: 1 << 40},
	} {
		part.At, part.Objects = p, []Object{{Name: "x", At: p}}
		f.ApplyPeerList(part)
		if c.revision("a") != 4 || c.revision("x") != 0 || len(f.received.parts) != 0 {
			t.Errorf("part %d of %d was applied or kept", part.Part, part.Parts)
		}
	}
}
