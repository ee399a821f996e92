package reserver

import (
	"context"
	"time"
)

const (
	// stallTime is how long nothing of a body may arrive before it gives way to any other.
	stallTime = time.Second
	// returnTime is how long a body waits for the memory of those that give way to it.
	returnTime = time.Second
)

// Take adds bytes. If they are not free, others give way, and it waits until they have: first a body
// that has stalled, the largest one; then, if h holds no more than an equal share of the memory or is
// the oldest, the largest one of the sender that holds most. It fails with ErrFull if nothing gives
// way to h, with ErrRevoked if h has given way, and with the error of ctx once that has ended.
func (h *Reservation) Take(ctx context.Context, n int64) error {
	timeout := (<-chan time.Time)(nil)
	for {
		changed, err := h.reserver.take(h, n)
		if changed == nil || err != nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(returnTime)
			defer timer.Stop()
			timeout = timer.C
			bodiesWaited.Inc()
		}
		select {
		case <-changed:
		case <-timeout:
			return ErrFull
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// take adds bytes and returns nil, or returns what to wait for.
func (r *Reserver) take(h *Reservation, n int64) (changed <-chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.isWaiting = false
	switch {
	case h.isRevoked:
		return nil, ErrRevoked
	case r.fits(n):
		r.add(h, n)
		return nil, nil
	case r.Limit() < h.size+n:
		return nil, ErrFull
	}
	for !r.fitsWithout(r.leaving, n) {
		x := r.givesWayTo(h, n)
		if x == nil {
			return nil, ErrFull
		}
		r.revoke(x)
	}
	h.isWaiting = true
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed, nil
}

// givesWayTo returns the reservation that gives way to h, which needs n bytes more, or nil. r.mu must
// be held, as for the functions below.
func (r *Reserver) givesWayTo(h *Reservation, n int64) *Reservation {
	stalled := r.largestOf(h, func(x *Reservation) bool { return !x.isWaiting && time.Since(x.progressAt) >= stallTime })
	if stalled != nil {
		return stalled
	}
	isOldest := len(r.growing) == 0 || r.growing[0] == h
	if !isOldest && h.size+n > r.Limit()/int64(len(r.growing)+1) {
		return nil
	}
	sender := r.greatestSender(h)
	return r.largestOf(h, func(x *Reservation) bool { return x != r.growing[0] && x.sender == sender })
}

// largestOf returns the largest reservation besides h that may give way, or nil; of equal ones the
// newest.
func (r *Reserver) largestOf(h *Reservation, may func(x *Reservation) bool) *Reservation {
	largest := (*Reservation)(nil)
	for _, x := range r.growing {
		if x != h && may(x) && (largest == nil || x.size >= largest.size) {
			largest = x
		}
	}
	return largest
}

// greatestSender returns the sender whose reservations besides h and the oldest hold most.
func (r *Reserver) greatestSender(h *Reservation) string {
	held, greatest := map[string]int64{}, ""
	for i, x := range r.growing {
		if x == h || i == 0 {
			continue
		}
		held[x.sender] += x.size
		if held[x.sender] > held[greatest] {
			greatest = x.sender
		}
	}
	return greatest
}
