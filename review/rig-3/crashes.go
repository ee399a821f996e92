package main

import (
	"fmt"
	"time"
)

const (
	// stabilityWindow is the platform's stability_window_ms.
	stabilityWindow = 3 * time.Second
	// crashesUntilKnown is the number of runners that a request crashes before its retries count, and
	// maxLateRetries how many of them may reach runners later than stabilityWindow after that.
	crashesUntilKnown = 3
	maxLateRetries    = 3
	// repeatPause is the time between two requests.
	repeatPause = 600 * time.Millisecond
	// leaveTime is how long a caller waits that leaves early, and slowCrash the time from the start of its
	// request to the crash of the runner.
	leaveTime = 50 * time.Millisecond
	slowCrash = 80 * time.Millisecond
	// repeats is how often the request comes.
	repeats = 40
)

// leavingCaller has a request that may be repeated, and crashes runners, come at one node after the
// other. Its caller leaves after leaveTime, before the runner crashes.
func leavingCaller(w *world, hasTrouble bool) error {
	w.path, w.crashDelay = checkPath, slowCrash
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	if hasTrouble {
		w.patience = leaveTime
	}
	w.record.note("the caller waits for %v; a runner crashes %v after the start of the request", w.patience, w.crashDelay)
	for i := range repeats {
		w.post(w.nodes[i%nodeCount], crashBody, key)
		time.Sleep(repeatPause)
	}
	return w.checkLateRetries()
}

// foreignBytes has a request that crashes runners come at one node after the other. Its header has a
// byte that is no UTF-8 in the list of the prompt's parts.
func foreignBytes(w *world, hasTrouble bool) error {
	if err := w.start(); err != nil {
		return err
	}
	time.Sleep(stabilityWindow)
	w.prompt = "e9:40,5c1e07a2:10"
	if hasTrouble {
		w.prompt = "\xe9:40,5c1e07a2:10"
	}
	w.record.note("each request has the list of parts %q", w.prompt)
	for i := range repeats {
		w.post(w.nodes[i%nodeCount], crashBody, key)
		time.Sleep(repeatPause)
	}
	return w.checkLateRetries()
}

// checkLateRetries checks how often the request has reached runners after it was known.
func (w *world) checkLateRetries() error {
	crashes := w.crashTimes()
	if len(crashes) < crashesUntilKnown {
		return fmt.Errorf("the request has crashed %d runners only", len(crashes))
	}
	counted := crashes[crashesUntilKnown-1].Add(stabilityWindow)
	late := 0
	for _, a := range w.arrivals() {
		if a.body == crashBody && a.at.After(counted) {
			late++
		}
	}
	w.record.note("%d times a runner has crashed; %d retries have reached runners later than %v after the crash number %d", len(crashes), late, stabilityWindow, crashesUntilKnown)
	if late > maxLateRetries {
		return fmt.Errorf("%w: BUDGET: %d retries", errBroken, late)
	}
	return nil
}
