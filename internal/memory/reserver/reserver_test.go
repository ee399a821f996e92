package reserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// flood is one entry of testdata/floods.json: bodies that arrive at the same time.
type flood struct {
	Name     string `json:"name"`
	LimitKiB int64  `json:"limit_kib"`
	MaxKiB   int64  `json:"max_kib"`
	Bodies   []struct {
		Sender string `json:"sender"`
		Count  int    `json:"count"`
		// KiB is the size, or 0 for bodies without end.
		KiB int `json:"kib"`
		// SilentAfterKiB is the size after which nothing comes any more, or 0.
		SilentAfterKiB int `json:"silent_after_kib"`
	} `json:"bodies"`
	// Whole is the number of bodies that must arrive whole.
	Whole int64 `json:"whole"`
}

// flow is a body that comes in parts, until it is aborted.
type flow struct {
	remaining, silentAfter int
	aborted                chan struct{}
	once                   sync.Once
}

var errAborted = errors.New("aborted")

func (f *flow) abort() { f.once.Do(func() { close(f.aborted) }) }

// Read implements io.Reader.
func (f *flow) Read(p []byte) (int, error) {
	select {
	case <-f.aborted:
		return 0, errAborted
	case <-time.After(100 * time.Microsecond):
	}
	if f.silentAfter == 0 {
		<-f.aborted
		return 0, errAborted
	}
	n := min(len(p), 32<<10)
	if f.silentAfter > 0 {
		n = min(n, f.silentAfter)
		f.silentAfter -= n
	}
	if f.remaining < 0 {
		return n, nil
	}
	n = min(n, f.remaining)
	f.remaining -= n
	if f.remaining == 0 {
		return n, io.EOF
	}
	return n, nil
}

// TestBodiesWithoutEndCostOnlyTheirSender guards against sound bodies that are lost, or memory
// that is exceeded, since other bodies do not end.
func TestBodiesWithoutEndCostOnlyTheirSender(t *testing.T) {
	b, err := os.ReadFile("testdata/floods.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []flood{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *flood) check(t *testing.T) {
	r := &Reserver{Limit: func() int64 { return x.LimitKiB << 10 }}
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	whole := atomic.Int64{}
	readers, silent := sync.WaitGroup{}, sync.WaitGroup{}
	for _, body := range x.Bodies {
		for range body.Count {
			f := &flow{remaining: body.KiB << 10, silentAfter: -1, aborted: make(chan struct{})}
			if body.KiB == 0 {
				f.remaining = -1
			}
			if body.SilentAfterKiB > 0 {
				f.silentAfter = body.SilentAfterKiB << 10
			}
			context.AfterFunc(ctx, f.abort)
			group := &readers
			if body.SilentAfterKiB > 0 {
				group = &silent
			}
			group.Go(func() {
				if r.read(ctx, t, body.Sender, f, x.MaxKiB<<10) {
					whole.Add(1)
				}
			})
		}
	}
	readers.Wait()
	isLate := ctx.Err() != nil
	stop()
	silent.Wait()
	if isLate {
		t.Error("some bodies have neither ended nor given way")
	}
	if n := whole.Load(); n != x.Whole {
		t.Errorf("%d bodies arrived whole, wanted %d", n, x.Whole)
	}
	if r.used != 0 || len(r.growing) != 0 {
		t.Errorf("%d bytes and %d reservations are left", r.used, len(r.growing))
	}
}

// read reads a body, holds it for a moment and reports whether it arrived whole.
func (r *Reserver) read(ctx context.Context, t *testing.T, sender string, f *flow, limit int64) bool {
	h := r.Reserve(sender, f.abort)
	defer h.Release()
	size := f.remaining
	pieces, err := h.ReadAll(ctx, f, -1, limit)
	r.mu.Lock()
	if r.used > r.Limit() {
		t.Errorf("%d bytes are in use, more than %d", r.used, r.Limit())
	}
	r.mu.Unlock()
	if err != nil {
		return false
	}
	if n := len(bytes.Join(pieces, nil)); n != size {
		t.Errorf("%d bytes of a body of %d", n, size)
	}
	time.Sleep(5 * time.Millisecond)
	return true
}
