package reserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// smallBytes is the size of the first piece of a body, which is not reserved. The number of
// connections bounds these pieces.
const smallBytes = 4 << 10

// ErrTooLarge is returned for a body that is larger than its maximum.
var ErrTooLarge = errors.New("the body is too large")

// ReadAll reads a body to its end and returns it in pieces, which must not be used once the
// reservation is released. length is the announced length, or below 0 if there is none. It fails
// with ErrTooLarge if the body has more than limit bytes.
func (h *Reservation) ReadAll(ctx context.Context, body io.Reader, length, limit int64) ([][]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	h.pieces = append(h.pieces, newPiece(firstSize(length)))
	total := int64(0)
	for {
		last := &h.pieces[len(h.pieces)-1]
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		total += int64(n)
		switch {
		case total > limit:
			h.RecordEndless()
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return h.pieces, h.Settle()
		case err != nil:
			return nil, h.readError(err)
		case len(*last) < cap(*last):
			continue
		}
		size := min(2*cap(*last), maxPieceBytes)
		if err := h.Grow(ctx, int64(size)); err != nil {
			return nil, fmt.Errorf("keep %d bytes more: %w", size, err)
		}
		h.pieces = append(h.pieces, newPiece(size))
	}
}

// ReadInto reads a body to its end and returns it in one piece, without waiting for memory. If there
// is none, it fails with ErrFull and returns what it has read so far. length is the announced
// length, or below 0; memory is taken for what has arrived.
func (h *Reservation) ReadInto(body io.Reader, length int64) ([]byte, error) {
	b := make([]byte, 0, firstSize(length))
	for {
		n, readErr := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(readErr, io.EOF):
			return b, nil
		case readErr != nil:
			return nil, readErr
		case len(b) < cap(b):
			continue
		}
		size := nextSize(cap(b), length)
		if err := h.TryGrow(int64(size - kept(b))); err != nil {
			return b, fmt.Errorf("keep %d bytes of a body: %w", size, err)
		}
		b = append(make([]byte, 0, size), b...)
	}
}

// kept returns how much of a buffer is reserved.
func kept(b []byte) int {
	if cap(b) <= smallBytes {
		return 0
	}
	return cap(b)
}

// nextSize returns the size to which a body of an announced length, or below 0, grows next.
func nextSize(size int, length int64) int {
	if int64(size) <= length {
		return min(2*size, int(length)+1)
	}
	return 2 * size
}

// ReadRequest reads the body of a request to its end and returns it in one piece. Its sender can send
// it again, so others give way to it, or it to others, in the order that Take names. length is
// the announced length, or below 0; memory is taken for what has arrived.
func (h *Reservation) ReadRequest(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	h.pieces = append(h.pieces, newPiece(firstSize(length)))
	total := 0
	for {
		last := &h.pieces[len(h.pieces)-1]
		n, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		total += n
		h.recordProgress()
		switch {
		case errors.Is(err, io.EOF):
			return h.join(ctx, total)
		case err != nil:
			return nil, h.readError(err)
		case len(*last) < cap(*last):
			continue
		}
		size := min(2*cap(*last), maxPieceBytes)
		if err := h.Take(ctx, int64(size)); err != nil {
			return nil, fmt.Errorf("keep %d bytes more: %w", size, err)
		}
		h.pieces = append(h.pieces, newPiece(size))
	}
}

// join returns the pieces of a body that has arrived whole as one, in memory of its own. The request
// may be sent on still when the reservation is released.
func (h *Reservation) join(ctx context.Context, total int) ([]byte, error) {
	if len(h.pieces) == 1 {
		b := h.pieces[0]
		h.pieces = nil
		return b, h.Settle()
	}
	if err := h.Take(ctx, int64(total)); err != nil {
		return nil, fmt.Errorf("keep a body of %d bytes: %w", total, err)
	}
	b := bytes.Join(h.pieces, nil)
	freePieces(h.pieces)
	h.pieces = nil
	h.shrinkTo(int64(total))
	return b, h.Settle()
}

// shrinkTo returns all bytes but so many.
func (h *Reservation) shrinkTo(size int64) {
	r := h.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	returned := h.size - size
	h.size = size
	r.used -= returned
	if h.isRevoked {
		r.leaving -= returned
	}
	r.notify()
}

// recordProgress records that a part of the body has arrived.
func (h *Reservation) recordProgress() {
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	h.progressAt = time.Now()
}

// readError returns why a body could not be read: it has given way, or err.
func (h *Reservation) readError(err error) error {
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	if h.isRevoked {
		return ErrRevoked
	}
	return err
}

// firstSize returns the size of the first piece. One byte more than the length shows its end
// without another piece.
func firstSize(length int64) int {
	if length < 0 || length >= smallBytes {
		return smallBytes
	}
	return int(length) + 1
}
