// Package repeater runs functions at an interval, and sleeps, until a context ends.
//
// # Usage
//
//	repeater.Every(ctx, time.Second, measure) // returns when ctx ends
//	if !repeater.Sleep(ctx, backoff) {
//		return ctx.Err()
//	}
package repeater

import (
	"context"
	"time"
)

// Every calls work at an interval until ctx ends, for the first time after one
// interval. Calls do not overlap.
func Every(ctx context.Context, interval time.Duration, work func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			work()
		}
	}
}

// NowAndEvery calls work immediately, even if ctx has ended, and then like Every.
func NowAndEvery(ctx context.Context, interval time.Duration, work func()) {
	work()
	Every(ctx, interval, work)
}

// Sleep sleeps for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
