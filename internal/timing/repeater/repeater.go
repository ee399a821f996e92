// Package repeater runs work at an interval and waits, until a context ends.
//
// # Usage
//
//	repeater.Every(ctx, time.Second, measure) // returns when ctx ends
//	if !repeater.Pause(ctx, backoff) {
//		return ctx.Err()
//	}
package repeater

import (
	"context"
	"time"
)

// Every runs work at an interval until ctx ends, for the first time after one
// interval.
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

// Now runs work at once and then at an interval until ctx ends.
func Now(ctx context.Context, interval time.Duration, work func()) {
	work()
	Every(ctx, interval, work)
}

// Pause waits and reports true, or false as soon as ctx ends.
func Pause(ctx context.Context, d time.Duration) bool {
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
