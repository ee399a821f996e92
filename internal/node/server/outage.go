package server

import (
	"sync"
	"time"
)

// storeSights tells for how long no node has read the store, as far as this node knows.
// The zero value knows of no reading. Times are on the clock of follower.Now.
type storeSights struct {
	mu sync.Mutex
	// seenAt is when any node last read the store.
	seenAt time.Duration
	// awayUntil is the end of the last time longer than maxTrustedOutage in which none did.
	awayUntil time.Duration
}

// record records that a node has read the store.
func (s *storeSights) record(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at <= s.seenAt {
		return
	}
	if s.seenAt > 0 && at-s.seenAt > maxTrustedOutage {
		s.awayUntil = at
	}
	s.seenAt = at
}

// wasAway reports whether, at some time between two, no node had read the store for longer
// than maxTrustedOutage. Entries of runners may have lapsed then. If other nodes went on
// reading it, the store was away for this node only, and runners whose entries are missing
// have left.
func (s *storeSights) wasAway(since, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now-s.seenAt > maxTrustedOutage || s.awayUntil > since
}
