package breaker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportTime is how long a node reports a crash that it has seen.
	reportTime = 10 * time.Second
	// announceTime is how long it reports that a key has proved sound.
	announceTime = 2 * time.Second
	// maxReportedCrashes, maxReportedKeys and maxAnnounced bound a report, which every node gets
	// many times.
	maxReportedCrashes = 32
	// turnInterval is the time after which reports have other keys, if there are too many.
	turnInterval    = 150 * time.Millisecond
	maxReportedKeys = 384
	maxAnnounced    = 256
	// maxReportedUnanswered and maxLeftKeys bound the requests that a stopping node leaves to the
	// others, and the sum of their keys.
	maxReportedUnanswered = 32
	maxLeftKeys           = 2 << 10
	// sameBlockTime is by how much the times of one block may differ between nodes.
	sameBlockTime = 2 * time.Second
)

// Report is what a node tells the others. Times are told as ages, since clocks differ.
type Report struct {
	Crashes []ReportedCrash `cbor:"1,keyasint,omitempty"`
	// SoundMS is the age in milliseconds of the last proof that a key is sound, by key. Older nodes
	// send it in place of Sound.
	SoundMS map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Blocks are the blocked keys, by name.
	Blocks map[string]ReportedBlock `cbor:"3,keyasint,omitempty"`
	// Unanswered are requests that runners may still end under. A node that stops leaves them to
	// the others.
	Unanswered []ReportedUnanswered `cbor:"4,keyasint,omitempty"`
	// Sound are keys that have proved sound, each followed by the age of the proof.
	Sound packedKeys `cbor:"5,keyasint,omitempty"`
}

// ReportedUnanswered is a request whose attempt ended before the runner had answered it.
type ReportedUnanswered struct {
	Runner   string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
	BootTime int64  `cbor:"3,keyasint,omitempty"`
	// SentAgeMS and EndedAgeMS are the ages of the attempt's start and end, in milliseconds.
	SentAgeMS  int64 `cbor:"4,keyasint"`
	EndedAgeMS int64 `cbor:"5,keyasint"`
	// Keys are those of the request, by depth.
	Keys packedKeys `cbor:"6,keyasint"`
}

// ReportedCrash is the end of a runner, with the keys of the requests that may have
// caused it.
type ReportedCrash struct {
	Runner string `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
	// Keys are the keys with their greatest depth. Older nodes send them in place of Strong.
	Keys map[string]int `cbor:"3,keyasint,omitempty"`
	// BootTime is when the runner had started, in Unix milliseconds.
	BootTime int64 `cbor:"4,keyasint,omitempty"`
	// LivedAgeMS is the age of the last sign that the runner had not ended, if that is more than
	// AgeMS.
	LivedAgeMS int64 `cbor:"5,keyasint,omitempty"`
	// Strong are keys of requests that were waiting for their answers, and Weak those of requests
	// whose attempts had ended before, each followed by its greatest depth. If there are many,
	// a report has some of them.
	Strong packedKeys `cbor:"7,keyasint,omitempty"`
	Weak   packedKeys `cbor:"8,keyasint,omitempty"`
}

// ReportedBlock is a block's age and its length, both in milliseconds.
type ReportedBlock struct {
	AgeMS    int64 `cbor:"1,keyasint"`
	LengthMS int64 `cbor:"2,keyasint"`
}

// IsUrgent reports whether a report tells what the other nodes do not know yet.
func (r *Report) IsUrgent() bool {
	if len(r.Crashes)+len(r.Sound)+len(r.Unanswered) > 0 {
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
func (b *Breaker) announce(key Key, now time.Time) {
	if b.announced == nil {
		b.announced = map[Key]time.Time{}
	}
	b.announced[key] = now.Add(announceTime)
}

// Report returns what this node tells the others.
func (b *Breaker) Report() Report {
	r := Report{}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r.Crashes = b.reportCrashes(now)
	r.Sound = b.soundAges(now)
	for p, k := range b.blocks {
		if r.Blocks == nil {
			r.Blocks = map[string]ReportedBlock{}
		}
		r.Blocks[p.String()] = ReportedBlock{AgeMS: now.Sub(k.at).Milliseconds(), LengthMS: k.length.Milliseconds()}
	}
	return r
}

// ReportUnanswered returns the requests that runners may still end under, the newest ones first.
func (b *Breaker) ReportUnanswered() []ReportedUnanswered {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	list := []ReportedUnanswered{}
	for _, u := range b.unanswered {
		for _, q := range u.requests {
			x := ReportedUnanswered{
				Runner: u.runner.ID, Address: u.runner.Address, BootTime: u.runner.BootTime,
				SentAgeMS: now.Sub(q.sentAt).Milliseconds(), EndedAgeMS: now.Sub(q.endedAt).Milliseconds(),
			}
			for depth, k := range q.keys {
				x.Keys.add(k, uint32(depth))
			}
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(x, y ReportedUnanswered) int { return cmp.Compare(x.EndedAgeMS, y.EndedAgeMS) })
	left, keys := []ReportedUnanswered{}, 0
	for _, x := range list {
		if len(left) >= maxReportedUnanswered || keys+x.Keys.len() > maxLeftKeys {
			unansweredDropped.Inc()
			continue
		}
		left = append(left, x)
		keys += x.Keys.len()
	}
	return left
}

// adopt takes over a request of a node that stops, unless that is left to another node or was
// done before. b.mu must be held.
func (b *Breaker) adopt(q *ReportedUnanswered, now time.Time) {
	r := Runner{ID: q.Runner, Address: q.Address, BootTime: q.BootTime}
	keys := q.Keys.keys()
	if b.MayTry != nil && !b.MayTry(q.Runner) || len(keys) == 0 {
		return
	}
	sentAt, endedAt := ago(now, q.SentAgeMS), ago(now, q.EndedAgeMS)
	if u := b.unanswered[r.life()]; u != nil && slices.ContainsFunc(u.requests, func(other unanswered) bool {
		return slices.Equal(other.keys, keys) && other.sentAt.Sub(sentAt).Abs() < crashMergeTime
	}) {
		return
	}
	b.keepUnanswered(r, unanswered{sentAt: sentAt, endedAt: endedAt, keys: keys}, now)
}

// soundAges returns the keys to announce. b.mu must be held.
func (b *Breaker) soundAges(now time.Time) packedKeys {
	ages := packedKeys{}
	for k, until := range b.announced {
		at, ok := b.sound.get(k)
		if !ok || !now.Before(until) {
			delete(b.announced, k)
			continue
		}
		if ages.len() >= maxAnnounced {
			untoldKeys.Inc()
			continue
		}
		ages.add(k, uint32(min(now.Sub(at).Milliseconds(), math.MaxUint32)))
	}
	return ages
}

// Receive takes over what another node reports.
func (b *Breaker) Receive(r *Report) {
	if len(r.Crashes)+len(r.SoundMS)+len(r.Sound)+len(r.Blocks)+len(r.Unanswered) == 0 {
		return
	}
	b.mu.Lock()
	now := b.now()
	for i := range r.Unanswered {
		b.adopt(&r.Unanswered[i], now)
	}
	for name, age := range r.SoundMS {
		b.receiveSound(parseKey(name), ago(now, age))
	}
	for k, age := range r.Sound.all() {
		b.receiveSound(k, ago(now, int64(age)))
	}
	for i := range r.Crashes {
		c := &r.Crashes[i]
		l, at := life{c.Runner, c.BootTime}, span{ago(now, max(c.LivedAgeMS, c.AgeMS)), ago(now, c.AgeMS)}
		b.recordEnd(l, at.until)
		b.addEvidence(crash{l, at, false}, c.strongKeys())
		b.addEvidence(crash{l, at, true}, c.Weak.deepKeys())
		b.blameUnanswered(l, at)
	}
	blocked := []*BlockedError{}
	for name, k := range r.Blocks {
		p := parseKey(name)
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
func (b *Breaker) receiveSound(key Key, at time.Time) {
	b.sound.set(key, at)
	b.clear(key, at)
}

// receiveBlock takes over the block of a key, unless the key has proved sound since or
// is blocked already, and reports whether it did. b.mu must be held.
func (b *Breaker) receiveBlock(key Key, at time.Time, length time.Duration) bool {
	if soundAt, ok := b.sound.get(key); ok && soundAt.After(at) {
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
	b.Log.Warn("key of requests that crash runners is blocked, as another node reports", "key", key.String(), "for_ms", length.Milliseconds())
	return true
}
