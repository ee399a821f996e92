package retrier

import (
	"sync"
	"time"
)

const (
	// DefaultWindow is the Window of a SharedBudget that sets none.
	DefaultWindow = 10 * time.Second
	// windowParts is the number of parts into which a window is divided to count.
	windowParts = 20
	// wantTime is how long a budget that has denied a retry takes retries of others,
	// and how long it may use what it was given.
	wantTime = time.Second
	// givenParts is the number of parts beyond a window for which retries that were
	// given away count. It exceeds wantTime and the time that they are under way.
	givenParts = 6
	// keepShare is the share of its retries that a budget keeps when it gives some
	// away.
	keepShare = 0.5
)

// SharedBudget is one node's part of a retry budget that several nodes share: in any
// window, their retries may not exceed Burst and Ratio times the requests. A node that
// has no retry left can be given some by another one. Set Ratio and Burst before use.
type SharedBudget struct {
	// Ratio is the number of retries for each request within the window.
	Ratio float64
	// Burst is the number of retries within a window beyond those.
	Burst float64
	// Window is the time over which requests and retries are counted; 0 means
	// DefaultWindow.
	Window time.Duration
	// StartsEmpty is set for the budget of a process that has restarted: its earlier
	// run may just have spent the burst.
	StartsEmpty bool
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// beganAt is when the budget was first used. Parts are numbered from then on the
	// monotonic clock, so that jumps of the wall clock do not matter.
	beganAt time.Time
	parts   [windowParts + givenParts + 2]windowPart
	// received are the retries of other nodes that this one may still use.
	received []gift
	// deniedAt is when a retry was last denied.
	deniedAt time.Time
}

// windowPart holds what was counted in one part of a window.
type windowPart struct {
	// number is the number of the part since the budget was first used.
	number                 int64
	requests, spent, given float64
}

// gift is a number of retries that another node has given.
type gift struct {
	retries float64
	at      time.Time
}

// Resize changes Ratio and Burst.
func (b *SharedBudget) Resize(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Burst = ratio, burst
}

// Earn counts a request.
func (b *SharedBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// Spend takes one retry from the budget, or returns false if less than one is left.
func (b *SharedBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.current()
	own := max(b.left(), 0)
	if own+b.gifts() < 1 {
		b.deniedAt = b.now()
		return false
	}
	own = min(own, 1)
	part.spent += own
	b.useGifts(1 - own)
	return true
}

// HasLeft reports whether a retry is left. If none is, the budget counts as having denied one.
func (b *SharedBudget) HasLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	if max(b.left(), 0)+b.gifts() >= 1 {
		return true
	}
	b.deniedAt = b.now()
	return false
}

// IsWanting reports whether the budget has lately denied a retry and has none left.
func (b *SharedBudget) IsWanting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	return b.hasDenied() && max(b.left(), 0)+b.gifts() < 1
}

// Give takes the retries out of the budget that it can spare for another node, and
// returns their number. They count as this node's own for longer than the other one may
// use them.
func (b *SharedBudget) Give() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.current()
	n := b.left() - keepShare*b.allowed()
	if n <= 0 || b.hasDenied() {
		return 0
	}
	part.given += n
	return n
}

// Receive adds retries that another node has given, if the budget still wants any. They
// can be used for wantTime.
func (b *SharedBudget) Receive(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current()
	if n > 0 && b.hasDenied() {
		b.received = append(b.received, gift{n, b.now()})
	}
}

func (b *SharedBudget) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

func (b *SharedBudget) hasDenied() bool {
	return !b.deniedAt.IsZero() && b.now().Sub(b.deniedAt) < wantTime
}

// number returns the number of the current part.
func (b *SharedBudget) number() int64 {
	window := b.Window
	if window <= 0 {
		window = DefaultWindow
	}
	return int64(b.now().Sub(b.beganAt) / (window / windowParts))
}

// current returns the current part, which begins empty. b.mu must be held.
func (b *SharedBudget) current() *windowPart {
	if b.beganAt.IsZero() {
		b.beganAt = b.now()
		if b.StartsEmpty {
			b.parts[0].spent = b.Burst
		}
	}
	number := b.number()
	part := &b.parts[number%int64(len(b.parts))]
	if part.number != number {
		*part = windowPart{number: number}
	}
	return part
}

// allowed returns the retries that the requests of the last window allow. Only parts
// that lie within it as a whole count. b.mu must be held.
func (b *SharedBudget) allowed() float64 {
	requests := 0.0
	for _, p := range b.parts {
		if p.number > b.number()-windowParts {
			requests += p.requests
		}
	}
	return b.Burst + b.Ratio*requests
}

// left returns the retries that are left of the node's own. Parts that lie within the
// last window in part count as a whole. b.mu must be held.
func (b *SharedBudget) left() float64 {
	left := b.allowed()
	for _, p := range b.parts {
		age := b.number() - p.number
		if age <= windowParts {
			left -= p.spent
		}
		if age <= windowParts+givenParts {
			left -= p.given
		}
	}
	return left
}

// gifts returns the retries of other nodes that may still be used, and drops the
// others. b.mu must be held.
func (b *SharedBudget) gifts() float64 {
	sum, usable := 0.0, b.received[:0]
	for _, g := range b.received {
		if b.now().Sub(g.at) < wantTime {
			usable = append(usable, g)
			sum += g.retries
		}
	}
	b.received = usable
	return sum
}

// useGifts uses up n retries of other nodes, the oldest first. b.mu must be held.
func (b *SharedBudget) useGifts(n float64) {
	for i := range b.received {
		used := min(n, b.received[i].retries)
		b.received[i].retries -= used
		n -= used
	}
}
