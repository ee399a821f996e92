// Package sequencer orders what nodes know from the platform's store.
//
// The store numbers its changes with revisions. A store that has been restored from an
// older copy has lost its last changes and gives their revisions out again; it then
// counts its era up. A Position consists of both, and only positions of the same era
// can be compared. Eras keeps the newest era that is known to a node.
//
// # Usage
//
//	eras := &sequencer.Eras{Changed: func(from, to int64) { log.Warn("store was restored", "from", from, "to", to) }}
//	eras.Observe(era)
//	if at.Era != eras.Newest() {
//		// What was read there may have been lost.
//	}
package sequencer

import (
	"sync"
	"time"
)

// Position is a point in the history of the store. The zero value is before all changes.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era counts how often the store has been restored. It is 0 for a store that does
	// not tell its era.
	Era int64
	// Revision numbers the changes of one era.
	Revision int64
}

// IsZero reports whether the position is before all changes.
func (p Position) IsZero() bool { return p.Revision == 0 }

// Covers reports whether all that happened up to q had happened at p. It is false for
// positions of different eras.
func (p Position) Covers(q Position) bool { return p.Era == q.Era && p.Revision >= q.Revision }

// Latest returns the later one of two positions. Of positions of different eras, that
// of the newer era is the later one.
func Latest(p, q Position) Position {
	if q.Era > p.Era || q.Era == p.Era && q.Revision > p.Revision {
		return q
	}
	return p
}

// Eras keeps the newest era that is known to a node. The zero value knows none.
type Eras struct {
	// Changed, if set, is called when a newer era than the one known before is seen.
	Changed func(from, to int64)

	mu     sync.Mutex
	newest int64
	seenAt time.Time
}

// Observe records an era that the store or another node has named.
func (e *Eras) Observe(era int64) {
	e.mu.Lock()
	from := e.newest
	if era <= from {
		e.mu.Unlock()
		return
	}
	e.newest, e.seenAt = era, time.Now()
	e.mu.Unlock()
	if from > 0 && e.Changed != nil {
		e.Changed(from, era)
	}
}

// Newest returns the newest known era, or 0 if none is known.
func (e *Eras) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Age returns how long the newest era has been known, or 0 if none is.
func (e *Eras) Age() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest == 0 {
		return 0
	}
	return time.Since(e.seenAt)
}
