// Package retrier decides whether and when a request is tried again.
//
// A budget keeps retries from adding more than a tenth to the load: each first
// attempt earns a tenth of a retry. Waiting times are drawn between zero and a
// bound that doubles with each attempt.
//
// # Usage
//
//	b := &retrier.Budget{}
//	b.Earn()
//	if b.Spend() {
//		time.Sleep(retrier.Backoff(1))
//	}
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// earnedPerRequest is the part of a retry that each first attempt earns.
	earnedPerRequest = 0.1
	// reserve is the number of retries that are allowed without any load.
	reserve = 10
	// maxSaved bounds the retries that can be saved up.
	maxSaved = 100

	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// MaxAttempts bounds the attempts at one request.
const MaxAttempts = 4

// Budget bounds retries in relation to first attempts. The zero value is ready.
type Budget struct {
	// PerRequest is the part of a retry that each first attempt earns; 0 means
	// a tenth.
	PerRequest float64
	// Burst is the number of retries that are allowed without any load, and the
	// most that can be saved up; 0 means 10 and 100.
	Burst float64

	mu      sync.Mutex
	started bool
	saved   float64
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	perRequest, bound := b.PerRequest, b.Burst
	if perRequest == 0 {
		perRequest = earnedPerRequest
	}
	if bound == 0 {
		bound = maxSaved
	}
	b.saved = min(b.saved+perRequest, bound)
}

// Spend takes one retry and reports whether the budget allows it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Resize changes PerRequest and Burst. What was saved beyond Burst is lost.
func (b *Budget) Resize(perRequest, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.PerRequest, b.Burst = perRequest, burst
	b.saved = min(b.saved, burst)
}

func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.saved = reserve
		if b.Burst > 0 {
			b.saved = b.Burst
		}
	}
}

// Backoff returns a random time to wait before an attempt, where 1 is the first
// retry.
func Backoff(retry int) time.Duration {
	bound := min(baseBackoff<<min(retry, 10), maxBackoff)
	return rand.N(bound)
}
