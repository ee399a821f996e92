// Package follower keeps a local copy of the objects of one kind in the
// platform's store up to date, and says how old that copy may be.
//
// It lists once and then watches. A watch whose history is gone leads to a new
// list. An answered call confirms the copy as of the moment the call was sent, or
// as of the end of its wait if nothing changed, on a clock that also counts the
// time in which the machine was suspended.
//
// # Usage
//
//	f := &follower.Follower{Kind: "config", Store: store, Replace: replace, Update: update}
//	go f.Run(ctx)
//	if f.Age() > limit {
//		// The copy may be older than the limit.
//	}
package follower

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"marjorammoor/internal/timing/repeater"
)

var (
	// ErrHistoryGone says that a watch cannot go on and the kind must be listed.
	ErrHistoryGone = errors.New("the store's history is gone")
	// ErrConflict says that a conditional write found another revision.
	ErrConflict = errors.New("the object has another revision")
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrRefused says that the store did nothing.
	ErrRefused = errors.New("the store refused the call")
)

const (
	// callSlack is how much longer than the store's own wait a watch may take.
	callSlack   = 700 * time.Millisecond
	listTimeout = 1500 * time.Millisecond
	// fedPause is how often a follower that is fed looks whether it still is.
	fedPause = 40 * time.Millisecond
	// regained is the age below which a copy counts as current again.
	regained   = 500 * time.Millisecond
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Object is one object of the store.
type Object struct {
	Kind     string          `cbor:"-"`
	Name     string          `cbor:"1,keyasint"`
	Revision int64           `cbor:"2,keyasint"`
	Spec     json.RawMessage `cbor:"3,keyasint,omitempty"`
	Deleted  bool            `cbor:"4,keyasint,omitempty"`
}

// Store are the calls to the store. Each returns an error that wraps one of
// this package's if the store said so; any other error means that a write may
// have taken effect.
type Store struct {
	// List returns all objects of a kind and the store's revision. A stale list
	// costs less and may be seconds old.
	List func(ctx context.Context, kind string, stale bool) ([]Object, int64, error)
	// Watch returns the changes after a revision as soon as there is one, or
	// none after wait, and the revision to go on from.
	Watch func(ctx context.Context, kind string, since int64, wait time.Duration) ([]Object, int64, error)
	// Create stores a new object and returns its revision.
	Create func(ctx context.Context, o Object) (int64, error)
	// Replace stores an object if it still has o.Revision, and returns the new
	// one; a revision of 0 replaces whatever is there.
	Replace func(ctx context.Context, o Object) (int64, error)
	// Delete removes an object.
	Delete func(ctx context.Context, kind, name string) error
	// Get returns one object.
	Get func(ctx context.Context, kind, name string) (Object, error)
}

// Follower follows one kind. Set Kind, Store, Replace and Update before use.
type Follower struct {
	Kind  string
	Store *Store
	// Replace receives the full list. outage is how long the copy had been
	// unconfirmed.
	Replace func(objects []Object, outage time.Duration)
	// Update receives changes in order.
	Update func(changes []Object)
	// IsFed, if set, says that another node watches for this one. The follower
	// then makes no calls unless it has missed something.
	IsFed func() bool
	// Published, if set, is told of what a watch of this node found, so that it
	// can be passed on.
	Published func(c Changes)
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// MinInterval is the least time between two watches, which lets changes
	// that come close together share one call.
	MinInterval time.Duration
	Log         *slog.Logger

	mu        sync.Mutex
	at        int64 // the store's revision up to which everything is known
	changed   int64 // the revision of the last change, or a later one
	revisions map[string]int64
	confirmed atomic.Int64 // boot-time nanoseconds
	behind    atomic.Bool
	lost      atomic.Bool
}

// Changes are what a watch found up to a revision.
type Changes struct {
	Kind string `cbor:"1,keyasint"`
	// Since is the revision of the change before these, or a later one before
	// which there was none.
	Since   int64    `cbor:"2,keyasint"`
	At      int64    `cbor:"3,keyasint"`
	Objects []Object `cbor:"4,keyasint"`
}

// Copy describes a node's copy of a kind.
type Copy struct {
	// Changed is the revision of the last change that the copy has.
	Changed int64 `cbor:"1,keyasint"`
	// At is the store's revision up to which the copy is complete.
	At int64 `cbor:"2,keyasint"`
	// AgeMS is how long ago the copy was surely current, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
}

// Now returns a clock that only rises and also counts suspended time.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// Age returns how long ago the copy was surely current; a day if it never was.
func (f *Follower) Age() time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return 24 * time.Hour
	}
	return Now() - time.Duration(at)
}

// At returns when the copy was surely current, on the clock of Now; 0 if never.
func (f *Follower) At() time.Duration { return time.Duration(f.confirmed.Load()) }

// Copy describes this node's copy.
func (f *Follower) Copy() Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Copy{Changed: f.changed, At: f.at, AgeMS: f.Age().Milliseconds() + 1}
}

// Offer takes what another node's watch found.
func (f *Follower) Offer(c Changes) {
	f.mu.Lock()
	if f.at == 0 || f.at < c.Since {
		f.behind.Store(true)
		f.mu.Unlock()
		return
	}
	f.mu.Unlock()
	f.update(c.Objects, c.At)
}

// Confirm takes another node's word that its copy was current at a moment, on
// the clock of Now. It confirms this copy too unless something was missed.
func (f *Follower) Confirm(c Copy, when time.Duration) {
	f.mu.Lock()
	isBehind := f.at < c.Changed
	if f.at > 0 && !isBehind {
		f.at = max(f.at, c.At)
	}
	isKnown := f.at > 0
	f.mu.Unlock()
	switch {
	case isBehind:
		f.behind.Store(true)
	case isKnown:
		f.confirm(when)
	}
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_store_failures_total{kind=%q}`, f.Kind)).Inc()
		if !errors.Is(err, ErrHistoryGone) && !f.lost.Swap(true) {
			f.Log.Warn("lost the store", "kind", f.Kind, "age_ms", f.Age().Milliseconds(), "error", err)
		}
		failures++
		if f.Age() < 3*maxBackoff {
			failures = 1
		}
		repeater.Pause(ctx, min(minBackoff<<min(failures, 4), maxBackoff))
	}
}

// follow lists once and watches until a call fails.
func (f *Follower) follow(ctx context.Context) error {
	if err := f.list(ctx); err != nil {
		return err
	}
	for {
		started := time.Now()
		wait := f.Wait
		if f.IsFed != nil && f.IsFed() {
			if !f.behind.Swap(false) {
				if !repeater.Pause(ctx, fedPause) {
					return ctx.Err()
				}
				continue
			}
			wait = time.Millisecond
		}
		if err := f.watch(ctx, wait); err != nil {
			return err
		}
		if !repeater.Pause(ctx, f.MinInterval-time.Since(started)) {
			return ctx.Err()
		}
	}
}

func (f *Follower) list(ctx context.Context) error {
	sent := Now()
	outage := f.Age()
	call, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	objects, at, err := f.Store.List(call, f.Kind, false)
	if err != nil {
		return fmt.Errorf("list %s: %w", f.Kind, err)
	}
	f.mu.Lock()
	if at < f.at {
		f.mu.Unlock()
		return fmt.Errorf("list %s: revision %d is older than %d", f.Kind, at, f.at)
	}
	f.at, f.changed = at, at
	f.revisions = map[string]int64{}
	for _, o := range objects {
		f.revisions[o.Name] = o.Revision
	}
	f.Replace(objects, outage)
	f.mu.Unlock()
	f.confirm(sent)
	return nil
}

func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	since, changed := f.at, f.changed
	f.mu.Unlock()
	sent := Now()
	call, stop := context.WithTimeout(ctx, wait+callSlack)
	defer stop()
	changes, at, err := f.Store.Watch(call, f.Kind, since, wait)
	if err != nil {
		return fmt.Errorf("watch %s: %w", f.Kind, err)
	}
	f.update(changes, at)
	if len(changes) == 0 {
		// The store answers without changes only after it has waited.
		f.confirm(min(sent+wait, Now()))
		return nil
	}
	f.confirm(sent)
	if f.Published != nil {
		f.Published(Changes{Kind: f.Kind, Since: changed, At: at, Objects: changes})
	}
	return nil
}

// update takes the changes that are newer than what is known of their objects.
func (f *Follower) update(changes []Object, at int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at = max(f.at, at)
	fresh := make([]Object, 0, len(changes))
	for _, o := range changes {
		// An object's removal may carry the revision of its last change.
		known := f.revisions[o.Name]
		if o.Revision < known || o.Revision == known && !o.Deleted {
			continue
		}
		f.revisions[o.Name] = o.Revision
		fresh = append(fresh, o)
	}
	if len(fresh) > 0 {
		f.changed = max(f.changed, at)
		f.Update(fresh)
	}
}

// confirm moves the moment at which the copy was surely current forward.
func (f *Follower) confirm(at time.Duration) {
	if at > Now() {
		f.Log.Error("word about a moment to come confirms nothing", "kind", f.Kind, "ahead_ms", (at - Now()).Milliseconds())
		return
	}
	for {
		old := f.confirmed.Load()
		if int64(at) <= old {
			return
		}
		if f.confirmed.CompareAndSwap(old, int64(at)) {
			break
		}
	}
	if f.Age() < regained && f.lost.Swap(false) {
		f.Log.Info("the copy is current again", "kind", f.Kind)
	}
}
