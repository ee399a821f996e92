package breaker

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of runners that must have ended under a key.
	crashesToBlock = 3
	// minSpread is the least time between the first and the last of these ends. Runners
	// that fail together, with a rack or a data centre, do not show what their requests
	// have in common.
	minSpread = 250 * time.Millisecond
	// minRequestSpread replaces minSpread for whole requests: each is at few runners, unlike
	// a part, and rarely at several that fail together.
	minRequestSpread = 50 * time.Millisecond
	// minSoundSpread replaces minSpread for keys that have lately proved sound: those
	// that are used often do so again within this time if they are harmless.
	minSoundSpread = time.Second
	// verdictDelay is the time in which the other nodes report that a key has proved
	// sound, after the first evidence against it.
	verdictDelay = 400 * time.Millisecond
	// evidenceLifetime is how long evidence counts if the key does not prove sound.
	evidenceLifetime = 10 * time.Minute
	// maxEvidenceCrashes and maxEvidenceKeys bound the crashes that are kept and the sum of their
	// keys, at some 80 bytes each, and maxCrashKeys the keys of one.
	maxEvidenceCrashes = 256
	maxEvidenceKeys    = 32 << 10
	maxCrashKeys       = 8 << 10
	// maxCandidates bounds the keys that are looked at in detail for a verdict.
	maxCandidates = 512
)

// evidence holds the crashes of runners with the keys of their requests. The zero value is empty.
type evidence struct {
	// crashes are those that no blocked key explains, in the order in which they became known.
	crashes []*keyedCrash
	// suspects are the keys with their numbers of crashes, of which size is the sum.
	suspects map[Key]suspect
	size     int
	// changedAt is when evidence was last added.
	changedAt time.Time
	// explained are the crashes that a blocked key explains.
	explained crashList
}

// suspect is a key under which runners have crashed since it last proved sound.
type suspect struct {
	crashes int
	// depth is the greatest position of the key among those of a request; the first one is 0.
	depth int
}

// keyedCrash is a crash with the keys under which it happened and that have not proved sound since.
type keyedCrash struct {
	crash
	keys map[Key]keyEvidence
}

// keyEvidence is a crash as evidence against one key.
type keyEvidence struct {
	depth int
	// isWeak is set if no request with the key was waiting for its answer when the runner ended.
	isWeak bool
	// knownAt is when the evidence became known here.
	knownAt time.Time
}

// find returns a crash that is kept, or nil.
func (e *evidence) find(c crash) *keyedCrash {
	for _, k := range e.crashes {
		if k.isSame(c) {
			return k
		}
	}
	return nil
}

// keep returns a crash, which is kept from now on.
func (e *evidence) keep(c crash) *keyedCrash {
	if k := e.find(c); k != nil {
		k.narrow(c.span)
		return k
	}
	if len(e.crashes) >= maxEvidenceCrashes {
		evidenceDropped.Add(len(e.crashes[0].keys))
		e.remove(e.crashes[0])
	}
	k := &keyedCrash{crash: c, keys: map[Key]keyEvidence{}}
	e.crashes = append(e.crashes, k)
	return k
}

// add records that a crash happened under a request with a key.
func (e *evidence) add(c *keyedCrash, key Key, v keyEvidence) {
	e.changedAt = latest(e.changedAt, v.knownAt)
	old, ok := c.keys[key]
	if ok {
		s := e.suspects[key]
		e.suspects[key] = suspect{s.crashes, max(s.depth, v.depth)}
		c.keys[key] = keyEvidence{depth: max(old.depth, v.depth), isWeak: old.isWeak && v.isWeak, knownAt: old.knownAt}
		return
	}
	if len(c.keys) >= maxCrashKeys {
		evidenceDropped.Inc()
		return
	}
	if e.size >= maxEvidenceKeys {
		e.makeRoom(c)
	}
	if e.suspects == nil {
		e.suspects = map[Key]suspect{}
	}
	c.keys[key] = v
	s := e.suspects[key]
	e.suspects[key] = suspect{s.crashes + 1, max(s.depth, v.depth)}
	e.size++
}

// makeRoom drops an eighth of the evidence: of the oldest crashes first what they have in common with
// no other one, which is mostly a request that is not sent again. kept stays.
func (e *evidence) makeRoom(kept *keyedCrash) {
	wanted := maxEvidenceKeys / 8
	before := e.size
	for _, c := range slices.Clone(e.crashes) {
		for key := range c.keys {
			if before-e.size >= wanted {
				break
			}
			if e.suspects[key].crashes == 1 {
				e.drop(c, key)
			}
		}
	}
	for _, c := range slices.Clone(e.crashes) {
		if c != kept && before-e.size < wanted {
			e.remove(c)
		}
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(c *keyedCrash) bool { return len(c.keys) == 0 && c != kept })
	evidenceDropped.Add(before - e.size)
}

// drop removes the evidence of a crash against a key.
func (e *evidence) drop(c *keyedCrash, key Key) {
	delete(c.keys, key)
	e.size--
	s := e.suspects[key]
	if s.crashes--; s.crashes == 0 {
		delete(e.suspects, key)
		return
	}
	e.suspects[key] = s
}

// remove drops a crash.
func (e *evidence) remove(c *keyedCrash) {
	for key := range c.keys {
		e.drop(c, key)
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(x *keyedCrash) bool { return x == c })
}

// isSuspect reports whether a runner has ended under a key since that last proved sound.
func (e *evidence) isSuspect(key Key) bool { return e.suspects[key].crashes > 0 }

// clear drops the evidence against a key from before a time, and reports whether there
// was any.
func (e *evidence) clear(key Key, before time.Time) bool {
	if !e.isSuspect(key) {
		return false
	}
	hadEvidence := false
	for _, c := range e.crashes {
		if _, ok := c.keys[key]; ok && c.from.Before(before) {
			e.drop(c, key)
			hadEvidence = true
		}
	}
	e.dropEmpty()
	return hadEvidence
}

// dropEmpty drops the crashes that speak against no key any more.
func (e *evidence) dropEmpty() {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *keyedCrash) bool { return len(c.keys) == 0 })
}

// explain drops crashes that a blocked key explains.
func (e *evidence) explain(crashes crashList) {
	e.explained = append(e.explained, crashes...)
	for _, c := range slices.Clone(e.crashes) {
		if crashes.contains(c.crash) {
			e.remove(c)
		}
	}
}

// under returns the crashes under a key.
func (e *evidence) under(key Key) crashList {
	list := crashList{}
	for _, c := range e.crashes {
		if v, ok := c.keys[key]; ok {
			x := c.crash
			x.isWeak = v.isWeak
			list = append(list, x)
		}
	}
	return list
}

func (e *evidence) expire(now time.Time) {
	oldest := now.Add(-evidenceLifetime)
	for _, c := range slices.Clone(e.crashes) {
		if c.from.Before(oldest) {
			e.remove(c)
		}
	}
	e.explained = e.explained.since(oldest)
}

// candidate is a key that may be blocked.
type candidate struct {
	key     Key
	crashes crashList
	// knownAt is when the first evidence against it became known here.
	knownAt time.Time
	// wasSound is set if the key has lately proved sound.
	wasSound bool
}

// candidate returns the evidence against a key.
func (e *evidence) candidate(key Key, wasSound bool) candidate {
	c := candidate{key: key, crashes: e.under(key), wasSound: wasSound}
	for _, k := range e.crashes {
		v, ok := k.keys[key]
		if !ok {
			continue
		}
		if c.knownAt.IsZero() || v.knownAt.Before(c.knownAt) {
			c.knownAt = v.knownAt
		}
	}
	return c
}

// verdict returns the key that explains the crashes best, or nil if none is to be blocked.
func (e *evidence) verdict(now time.Time, wasSound func(key Key) bool) *candidate {
	keys := []countedKey{}
	for key, s := range e.suspects {
		if s.crashes >= crashesToBlock {
			keys = append(keys, countedKey{s, key, wasSound(key)})
		}
	}
	slices.SortFunc(keys, compareCounts)
	for _, k := range keys[:min(len(keys), maxCandidates)] {
		if c := e.candidate(k.key, k.wasSound); c.isProved(now) {
			return &c
		}
	}
	return nil
}

// countedKey is a suspect with its key.
type countedKey struct {
	suspect
	key      Key
	wasSound bool
}

// compareCounts orders keys: those that have not lately proved sound come first, then those with the
// most crashes, then the deepest, which the fewest sound requests have.
func compareCounts(x, y countedKey) int {
	switch {
	case !x.wasSound && y.wasSound:
		return -1
	case x.wasSound && !y.wasSound:
		return 1
	}
	return cmp.Or(
		cmp.Compare(y.crashes, x.crashes),
		cmp.Compare(y.depth, x.depth),
		cmp.Compare(x.key, y.key),
	)
}

// isProved reports whether there is enough evidence against a key.
func (c *candidate) isProved(now time.Time) bool {
	if now.Sub(c.knownAt) < verdictDelay {
		return false
	}
	if strong := c.crashes.strong(); len(strong) >= crashesToBlock && strong.spread() >= c.leastSpread() {
		return true
	}
	return c.crashes.moments(c.leastSpread()/(crashesToBlock-1)) >= crashesToBlock
}

// leastSpread returns the least time between the first and the last end under the key.
func (c *candidate) leastSpread() time.Duration {
	switch {
	case c.wasSound:
		return minSoundSpread
	case c.key.isRequest():
		return minRequestSpread
	}
	return minSpread
}
