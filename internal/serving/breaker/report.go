package breaker

import (
	"time"
)

const (
	// reportTime is how long a node reports a crash that it has seen.
	reportTime = 10 * time.Second
	// announceTime is how long it reports that a key has proved sound.
	announceTime = 2 * time.Second
	// maxReportedCrashes and maxAnnounced bound a report.
	maxReportedCrashes = 32
	maxAnnounced       = 128
	// sameBlockTime is by how much the times of one block may differ between nodes.
	sameBlockTime = 2 * time.Second
)

// Report is what a node tells the others. Times are told as ages, since clocks differ.
type Report struct {
	Crashes []ReportedCrash `cbor:"1,keyasint,omitempty"`
	// SoundMS is the age in milliseconds of the last proof that a key is sound, by key.
	SoundMS map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Blocks are the blocked keys.
	Blocks map[string]ReportedBlock `cbor:"3,keyasint,omitempty"`
}

// ReportedCrash is the end of a runner, with the keys of the requests that may have
// caused it and their greatest depth.
type ReportedCrash struct {
	Runner string         `cbor:"1,keyasint"`
	AgeMS  int64          `cbor:"2,keyasint"`
	Keys   map[string]int `cbor:"3,keyasint"`
	// BootTime is when the runner had started, in Unix milliseconds.
	BootTime int64 `cbor:"4,keyasint,omitempty"`
}

// ReportedBlock is a block's age and its length, both in milliseconds.
type ReportedBlock struct {
	AgeMS    int64 `cbor:"1,keyasint"`
	LengthMS int64 `cbor:"2,keyasint"`
}

// IsUrgent reports whether a report tells what the other nodes do not know yet.
func (r *Report) IsUrgent() bool {
	if len(r.Crashes)+len(r.SoundMS) > 0 {
		return true
	}
	for _, k := range r.Blocks {
		if k.AgeMS < reportTime.Milliseconds() {
			return true
		}
	}
	return false
}

// announce has reports name a key that has proved sound. b.mu must be held.
func (b *Breaker) announce(key string, now time.Time) {
	if b.announced == nil {
		b.announced = map[string]time.Time{}
	}
	b.announced[key] = now.Add(announceTime)
}

// Report returns what this node tells the others.
func (b *Breaker) Report() Report {
	r := Report{}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, c := range b.localCrashes {
		if c.isConfirmed && now.Sub(c.at) < reportTime && len(r.Crashes) < maxReportedCrashes {
			keys := make(map[string]int, len(c.keys))
			for p, depth := range c.keys {
				keys[p] = depth
			}
			r.Crashes = append(r.Crashes, ReportedCrash{Runner: id, AgeMS: now.Sub(c.at).Milliseconds(), Keys: keys, BootTime: c.bootTime})
		}
	}
	r.SoundMS = b.soundAges(now)
	for p, k := range b.blocks {
		if r.Blocks == nil {
			r.Blocks = map[string]ReportedBlock{}
		}
		r.Blocks[p] = ReportedBlock{AgeMS: now.Sub(k.at).Milliseconds(), LengthMS: k.length.Milliseconds()}
	}
	return r
}

// soundAges returns the keys to announce. b.mu must be held.
func (b *Breaker) soundAges(now time.Time) map[string]int64 {
	if len(b.announced) == 0 {
		return nil
	}
	ages := map[string]int64{}
	for p, until := range b.announced {
		at, ok := b.sound.Get(p)
		if !ok || !now.Before(until) {
			delete(b.announced, p)
			continue
		}
		if len(ages) < maxAnnounced {
			ages[p] = now.Sub(at).Milliseconds()
		}
	}
	return ages
}

// Receive takes over what another node reports.
func (b *Breaker) Receive(r *Report) {
	if len(r.Crashes)+len(r.SoundMS)+len(r.Blocks) == 0 {
		return
	}
	b.mu.Lock()
	now := b.now()
	for p, age := range r.SoundMS {
		b.receiveSound(p, ago(now, age))
	}
	for i := range r.Crashes {
		c := &r.Crashes[i]
		b.recordEnd(life{c.Runner, c.BootTime}, ago(now, c.AgeMS))
		b.addCrash(c.Runner, ago(now, c.AgeMS), c.Keys)
	}
	blocked := []*BlockedError{}
	for p, k := range r.Blocks {
		if b.receiveBlock(p, ago(now, k.AgeMS), millis(k.LengthMS)) {
			blocked = append(blocked, &BlockedError{Key: p, RetryAfter: b.blocks[p].until().Sub(now)})
		}
	}
	b.updateAlert()
	b.mu.Unlock()
	b.cancelCalls(blocked)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func ago(now time.Time, ageMS int64) time.Time { return now.Add(-millis(max(ageMS, 0))) }

// receiveSound records that a key proved sound at another node. b.mu must be held.
func (b *Breaker) receiveSound(key string, at time.Time) {
	b.sound.Update(key, func(old time.Time, _ bool) (time.Time, bool) {
		if old.After(at) {
			at = old
		}
		return at, true
	})
	b.clear(key, at)
}

// receiveBlock takes over the block of a key, unless the key has proved sound since or
// is blocked already, and reports whether it did. b.mu must be held.
func (b *Breaker) receiveBlock(key string, at time.Time, length time.Duration) bool {
	if soundAt, ok := b.sound.Get(key); ok && soundAt.After(at) {
		b.announce(key, b.now())
		return false
	}
	if k := b.blocks[key]; k != nil && at.Sub(k.at) < sameBlockTime {
		return false
	}
	if b.blocks[key] == nil && len(b.blocks) >= maxBlocks {
		return false
	}
	length = min(max(length, 0), maxBlockTime)
	if b.now().Sub(at.Add(length)) > forgetBlockTime {
		return false
	}
	b.block(key, &block{at: at, length: length})
	b.Log.Warn("key of requests that crash runners is blocked, as another node reports", "key", key, "for_ms", length.Milliseconds())
	return true
}
