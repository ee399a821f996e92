package breaker

import (
	"sync"
	"time"
)

const (
	// soundLifetime is how long it is remembered that a key has proved sound.
	soundLifetime = time.Minute
	soundShards   = 16
	// maxSoundKeys bounds the keys that are remembered, at some 40 bytes each. When callers bring
	// more within soundLifetime, the oldest half is forgotten.
	maxSoundKeys = 64 << 10
)

// soundTimes are the times at which keys last proved sound. The zero value is empty.
type soundTimes struct {
	shards [soundShards]soundShard
}

// soundShard holds the times of some keys in two generations. The older one is dropped when the
// newer one is full, or as old as a proof counts.
type soundShard struct {
	mu           sync.Mutex
	newer, older map[Key]time.Time
	beganAt      time.Time
}

func (s *soundTimes) shard(k Key) *soundShard { return &s.shards[k%soundShards] }

// get returns when a key last proved sound.
func (s *soundTimes) get(k Key) (time.Time, bool) {
	x := s.shard(k)
	x.mu.Lock()
	defer x.mu.Unlock()
	if at, ok := x.newer[k]; ok {
		return at, true
	}
	at, ok := x.older[k]
	return at, ok
}

// set records that a key proved sound at a time, unless a later one is known.
func (s *soundTimes) set(k Key, at time.Time) {
	x := s.shard(k)
	x.mu.Lock()
	defer x.mu.Unlock()
	if at.Before(latest(x.newer[k], x.older[k])) {
		return
	}
	if len(x.newer) >= maxSoundKeys/soundShards/2 {
		proofsDropped.Add(len(x.older))
		x.begin(at)
	}
	if x.newer == nil {
		x.begin(at)
	}
	x.newer[k] = at
}

// begin begins a generation.
func (x *soundShard) begin(at time.Time) {
	x.older, x.newer, x.beganAt = x.newer, map[Key]time.Time{}, at
}

// expire drops what no longer counts.
func (s *soundTimes) expire(now time.Time) {
	for i := range s.shards {
		x := &s.shards[i]
		x.mu.Lock()
		if now.Sub(x.beganAt) > soundLifetime {
			x.begin(now)
		}
		x.mu.Unlock()
	}
}
