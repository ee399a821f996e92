// Package retrier decides whether and when a request is retried.
//
// A budget bounds the load that retries add: each first attempt earns a fraction
// of a retry, by default a tenth, so that apart from an initial reserve
// retries add at most a tenth to the load. The backoff before a retry is random,
// between zero and a bound that doubles with each retry.
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
	// defaultPerRequest is the fraction of a retry that each first attempt earns.
	defaultPerRequest = 0.1
	// defaultInitialRetries is the number of retries in a new budget.
	defaultInitialRetries = 10
	// defaultMaxRetries is the most retries that a budget can accumulate.
	defaultMaxRetries = 100

	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// MaxAttempts is the limit of attempts at one request, the first one included.
const MaxAttempts = 4

// Budget bounds retries in relation to first attempts. The zero value is ready.
type Budget struct {
	// PerRequest is the fraction of a retry that each first attempt earns; 0
	// means a tenth.
	PerRequest float64
	// Burst is both the number of retries in a new budget and the most that it can
	// accumulate; 0 means 10 in a new budget and 100 at most.
	Burst float64

	mu      sync.Mutex
	started bool
	// available is the number of retries that can be spent now.
	available float64
}

// Earn adds the fraction of a retry that one first attempt earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	perRequest, bound := b.PerRequest, b.Burst
	if perRequest == 0 {
		perRequest = defaultPerRequest
	}
	if bound == 0 {
		bound = defaultMaxRetries
	}
	b.available = min(b.available+perRequest, bound)
}

// Spend takes one retry from the budget, or returns false if less than one is
// available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Resize changes PerRequest and Burst. Accumulated retries beyond Burst are lost.
func (b *Budget) Resize(perRequest, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.PerRequest, b.Burst = perRequest, burst
	b.available = min(b.available, burst)
}

// start fills a new budget at its first use; the caller holds the lock.
func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.available = defaultInitialRetries
		if b.Burst > 0 {
			b.available = b.Burst
		}
	}
}

// Backoff returns a random time to wait before a retry, below a bound that doubles
// with each retry up to maxBackoff. The first retry is 1.
func Backoff(retry int) time.Duration {
	bound := min(baseBackoff<<min(retry, 10), maxBackoff)
	return rand.N(bound)
}
