package reserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// faultyTime is for how long the bodies of a sender give way first after one that did not end.
	faultyTime = 10 * time.Second
	// releaseTime is how long a body waits for others to be passed on before one of them gives way.
	releaseTime = 50 * time.Millisecond
)

var (
	bodiesWaited  = metrics.NewCounter(`marjorammoor_bodies_waited_total`)
	bodiesRevoked = metrics.NewCounter(`marjorammoor_bodies_revoked_total`)
)

// ErrRevoked is returned for a body that has given way to others.
var ErrRevoked = errors.New("the memory for bodies is used up, and this one gives way")

// ErrFull is returned if the memory for bodies is used up.
var ErrFull = errors.New("the memory for bodies is used up")

// Reserver bounds the bytes of all reservations together. The zero value and nil have no bound.
type Reserver struct {
	// Limit returns the bound in bytes; nil means that there is none.
	Limit func() int64

	mu sync.Mutex
	// used is the size of all reservations, and leaving that of those that give way.
	used, leaving int64
	// growing are the reservations of bodies that are being read, oldest first.
	growing []*Reservation
	// faultyUntil is until when the bodies of a sender give way first.
	faultyUntil map[string]time.Time
	// changed is closed when bytes are released or a reservation is revoked; nil means that
	// nothing waits for that.
	changed chan struct{}
}

// Reservation is the memory of one body.
type Reservation struct {
	reserver *Reserver
	sender   string
	abort    func()
	// pieces are those of the body. Only the goroutine that reads and releases it uses them.
	pieces [][]byte
	// The fields below are guarded by the reserver's mutex.
	size int64
	// grownAt is when the body last took memory, and progressAt when a part of it arrived.
	grownAt, progressAt time.Time

	isRevoked bool
	isWaiting bool
}

// Reserve begins the reservation of a body of a sender, with no bytes. abort is called if the body
// has to give way, and must make reading it fail.
func (r *Reserver) Reserve(sender string, abort func()) *Reservation {
	if r == nil {
		r = &Reserver{}
	}
	return &Reservation{reserver: r, sender: sender, abort: abort}
}

// TryGrow adds bytes if they are free, and returns ErrFull otherwise.
func (h *Reservation) TryGrow(n int64) error {
	r := h.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fits(n) {
		return ErrFull
	}
	r.add(h, n)
	return nil
}

// Grow adds bytes, and waits until they are free. It fails with ErrRevoked if the body gives way
// to others, and with the error of ctx once that has ended.
func (h *Reservation) Grow(ctx context.Context, n int64) error {
	waitsSince := time.Time{}
	for {
		isOverdue := !waitsSince.IsZero() && time.Since(waitsSince) >= releaseTime
		changed, err := h.reserver.grow(h, n, isOverdue)
		if changed == nil || err != nil {
			return err
		}
		if waitsSince.IsZero() {
			bodiesWaited.Inc()
		}
		if waitsSince.IsZero() || isOverdue {
			waitsSince = time.Now()
		}
		timer := time.NewTimer(releaseTime)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// Insist adds bytes without waiting. If they are not free, the largest reservation whose owner is
// still being read gives way, which may be h itself: then it fails with ErrRevoked. Until that one
// is released, the bound is exceeded by what is added meanwhile, so n must be small.
func (h *Reservation) Insist(n int64) error {
	r := h.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.isRevoked {
		return ErrRevoked
	}
	if !r.fitsWithout(r.leaving, n) {
		if victim := r.largest(h); victim != h {
			r.revoke(victim)
		} else {
			r.revoke(h)
			return ErrRevoked
		}
	}
	r.add(h, n)
	return nil
}

// largest returns the reservation with most bytes. r.mu must be held.
func (r *Reserver) largest(h *Reservation) *Reservation {
	largest := h
	for _, x := range r.growing {
		if x.size > largest.size {
			largest = x
		}
	}
	return largest
}

// grow adds bytes and returns nil, or returns what to wait for. isOverdue is set if the body has
// waited for releaseTime.
func (r *Reserver) grow(h *Reservation, n int64, isOverdue bool) (changed <-chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isOverdue = isOverdue && r.isOldestDone(h)
	switch {
	case h.isRevoked:
		return nil, ErrRevoked
	case r.fits(n) && r.mayTake(h, n, isOverdue):
		h.isWaiting = false
		r.add(h, n)
		return nil, nil
	case r.Limit != nil && r.Limit() < h.size+n:
		return nil, ErrFull
	}
	h.isWaiting = true
	victim := r.faulty(h)
	if victim == nil && isOverdue {
		victim = r.newest(h)
	}
	if victim != nil {
		r.revoke(victim)
	}
	if victim == h {
		return nil, ErrRevoked
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed, nil
}

// fits reports whether bytes are free. r.mu must be held, as for the functions below.
func (r *Reserver) fits(n int64) bool { return r.fitsWithout(0, n) }

// fitsWithout reports whether bytes will be free once others are returned.
func (r *Reserver) fitsWithout(returned, n int64) bool {
	return r.Limit == nil || r.used-returned+n <= r.Limit()
}

// mayTake reports whether what is free may go to h. The last half is kept for the oldest body, so
// that one can come to its end, and for those that have waited for releaseTime.
func (r *Reserver) mayTake(h *Reservation, n int64, isOverdue bool) bool {
	switch {
	case r.Limit == nil:
		return true
	case r.hasOlderWaiting(h):
		return false
	}
	isOldest := len(r.growing) == 0 || r.growing[0] == h
	return isOldest || isOverdue || r.used+n <= r.Limit()/2
}

// isOldestDone reports whether no body but h needs to be waited for: the oldest one is h, or has
// taken nothing for releaseTime.
func (r *Reserver) isOldestDone(h *Reservation) bool {
	return len(r.growing) == 0 || r.growing[0] == h || time.Since(r.growing[0].grownAt) >= releaseTime
}

// hasOlderWaiting reports whether a body that began to grow before h waits.
func (r *Reserver) hasOlderWaiting(h *Reservation) bool {
	for _, x := range r.growing {
		if x == h {
			return false
		}
		if x.isWaiting {
			return true
		}
	}
	return false
}

func (r *Reserver) add(h *Reservation, n int64) {
	if h.size == 0 {
		r.growing = append(r.growing, h)
	}
	h.size += n
	h.grownAt = time.Now()
	h.progressAt = h.grownAt
	r.used += n
	if h.isRevoked {
		r.leaving += n
	}
}

// faulty returns a reservation of a sender at fault, which may be h, or nil.
func (r *Reserver) faulty(h *Reservation) *Reservation {
	if r.isFaulty(h.sender) {
		return h
	}
	for _, x := range r.growing {
		if r.isFaulty(x.sender) {
			return x
		}
	}
	return nil
}

// newest returns the reservation that gives way for h: the newest one of the sender that holds
// most. It returns nil if an older one waits too, or if there is no other.
func (r *Reserver) newest(h *Reservation) *Reservation {
	if r.hasOlderWaiting(h) {
		return nil
	}
	held := map[string]int64{}
	for _, x := range r.growing {
		held[x.sender] += x.size
	}
	newest := (*Reservation)(nil)
	for _, x := range r.growing {
		if x != h && (newest == nil || held[x.sender] >= held[newest.sender]) {
			newest = x
		}
	}
	return newest
}

func (r *Reserver) isFaulty(sender string) bool { return time.Now().Before(r.faultyUntil[sender]) }

// revoke has a reservation give way. Its bytes count until it is released.
func (r *Reserver) revoke(h *Reservation) {
	h.isRevoked = true
	r.leaving += h.size
	r.forget(h)
	bodiesRevoked.Inc()
	go h.abort()
	r.notify()
}

func (r *Reserver) forget(h *Reservation) {
	for i, x := range r.growing {
		if x == h {
			r.growing = append(r.growing[:i], r.growing[i+1:]...)
			return
		}
	}
}

func (r *Reserver) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Settle records that the body has arrived whole, so that it does not give way any more. It fails
// with ErrRevoked if it already has.
func (h *Reservation) Settle() error {
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	if h.isRevoked {
		return ErrRevoked
	}
	h.reserver.forget(h)
	h.reserver.notify()
	return nil
}

// RecordEndless records that the body did not end within its maximum size. The sender is at fault.
func (h *Reservation) RecordEndless() {
	r := h.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faultyUntil == nil {
		r.faultyUntil = map[string]time.Time{}
	}
	for sender, until := range r.faultyUntil {
		if time.Now().After(until) {
			delete(r.faultyUntil, sender)
		}
	}
	r.faultyUntil[h.sender] = time.Now().Add(faultyTime)
	r.notify()
}

// Release returns all bytes. Further calls do nothing.
func (h *Reservation) Release() {
	freePieces(h.pieces)
	h.pieces = nil
	r := h.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(h)
	r.used -= h.size
	if h.isRevoked {
		r.leaving -= h.size
	}
	h.size = 0
	r.notify()
}
