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
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 400 * time.Millisecond
)

// Object is one object of the store.
type Object struct {
	Kind     string
	Name     string
	Revision int64
	Spec     json.RawMessage
	Deleted  bool
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
	// Replace receives the full list. since is how long the store had been out
	// of reach.
	Replace func(objects []Object, outage time.Duration)
	// Update receives changes in order.
	Update func(changes []Object)
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// MinInterval is the least time between two watches, which lets changes
	// that come close together share one call.
	MinInterval time.Duration
	Log         *slog.Logger

	confirmed atomic.Int64 // boot-time nanoseconds
	lost      bool
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

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_store_failures_total{kind=%q}`, f.Kind)).Inc()
		if !f.lost && !errors.Is(err, ErrHistoryGone) {
			f.lost = true
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
	at, err := f.list(ctx)
	if err != nil {
		return err
	}
	for {
		started := time.Now()
		next, err := f.watch(ctx, at)
		if err != nil {
			return err
		}
		at = next
		if !repeater.Pause(ctx, f.MinInterval-time.Since(started)) {
			return ctx.Err()
		}
	}
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	sent := Now()
	outage := f.Age()
	call, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	objects, at, err := f.Store.List(call, f.Kind, false)
	if err != nil {
		return 0, fmt.Errorf("list %s: %w", f.Kind, err)
	}
	f.Replace(objects, outage)
	f.confirm(sent)
	return at, nil
}

func (f *Follower) watch(ctx context.Context, since int64) (int64, error) {
	sent := Now()
	call, stop := context.WithTimeout(ctx, f.Wait+callSlack)
	defer stop()
	changes, at, err := f.Store.Watch(call, f.Kind, since, f.Wait)
	if err != nil {
		return 0, fmt.Errorf("watch %s: %w", f.Kind, err)
	}
	if len(changes) > 0 {
		f.Update(changes)
		f.confirm(sent)
		return at, nil
	}
	// The store answers without changes only after it has waited.
	f.confirm(min(sent+f.Wait, Now()))
	return at, nil
}

func (f *Follower) confirm(at time.Duration) {
	f.confirmed.Store(int64(at))
	if f.lost {
		f.lost = false
		f.Log.Info("reached the store again", "kind", f.Kind)
	}
}
