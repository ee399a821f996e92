package breaker

import (
	"cmp"
	"encoding/binary"
	"iter"
	"math/big"
	"slices"
	"time"
)

// packedKeys are keys, each followed by a number, as reports carry them: a long prompt has thousands.
type packedKeys []byte

// packedBytes is the size of one key with its number.
const packedBytes = keyBytes + 4

func (p *packedKeys) add(k Key, n uint32) {
	*p = binary.BigEndian.AppendUint64(*p, uint64(k))
	*p = binary.BigEndian.AppendUint32(*p, n)
}

func (p packedKeys) len() int { return len(p) / packedBytes }

// all returns the keys with their numbers. Bytes that are left over are ignored.
func (p packedKeys) all() iter.Seq2[Key, uint32] {
	return func(yield func(Key, uint32) bool) {
		for b := p; len(b) >= packedBytes; b = b[packedBytes:] {
			if !yield(Key(binary.BigEndian.Uint64(b)), binary.BigEndian.Uint32(b[keyBytes:])) {
				return
			}
		}
	}
}

// keys returns the keys without their numbers.
func (p packedKeys) keys() []Key {
	list := make([]Key, 0, p.len())
	for k := range p.all() {
		list = append(list, k)
	}
	return list
}

// deepKeys returns the keys with their numbers as depths.
func (p packedKeys) deepKeys() []deepKey {
	list := make([]deepKey, 0, p.len())
	for k, depth := range p.all() {
		list = append(list, deepKey{k, int(depth)})
	}
	return list
}

// strongKeys returns the keys of requests that were waiting for their answers.
func (c *ReportedCrash) strongKeys() []deepKey {
	list := c.Strong.deepKeys()
	for name, depth := range c.Keys {
		list = append(list, deepKey{parseKey(name), depth})
	}
	return list
}

// toldKey is a key that a report may name with one of its crashes.
type toldKey struct {
	crash int
	key   Key
	keyEvidence
}

// reportCrashes returns the crashes that this node has seen, with what still speaks against keys. If
// there are too many keys, most of the room is for those that are under suspicion for another
// crash too or have not lately proved sound, and each report has others. b.mu must be held.
func (b *Breaker) reportCrashes(now time.Time) []ReportedCrash {
	crashes := []ReportedCrash{}
	first, rest := []toldKey{}, []toldKey{}
	wasSound := b.soundSince(now)
	for l, c := range b.localCrashes {
		if !c.isConfirmed || now.Sub(c.until) >= reportTime || len(crashes) >= maxReportedCrashes {
			continue
		}
		if kept := b.evidence.find(c.crash); kept != nil {
			for k, v := range kept.keys {
				if t := (toldKey{len(crashes), k, v}); b.evidence.suspects[k].crashes > 1 || !wasSound(k) {
					first = append(first, t)
				} else {
					rest = append(rest, t)
				}
			}
		}
		crashes = append(crashes, ReportedCrash{
			Runner: l.runner, AgeMS: now.Sub(c.until).Milliseconds(), BootTime: l.bootTime, LivedAgeMS: now.Sub(c.from).Milliseconds(),
		})
	}
	room := max(maxReportedKeys-len(rest), maxReportedKeys*3/4)
	told := pickSome(first, room, now)
	told = append(told, pickSome(rest, maxReportedKeys-len(told), now)...)
	untoldKeys.Add(len(first) + len(rest) - len(told))
	for _, t := range told {
		keys := &crashes[t.crash].Strong
		if t.isWeak {
			keys = &crashes[t.crash].Weak
		}
		keys.add(t.key, uint32(t.depth))
	}
	return crashes
}

// leastWindows is the least number of windows in which many keys are told. Nodes get a heartbeat every
// few intervals; the number of windows is a larger prime, so that each of them gets all.
const leastWindows = 11

// pickSome returns at most n of some keys: the deepest ones, which the fewest sound requests have, and
// in turn a window of the others.
func pickSome(keys []toldKey, n int, now time.Time) []toldKey {
	if len(keys) <= n {
		return keys
	}
	slices.SortFunc(keys, func(x, y toldKey) int {
		return cmp.Or(cmp.Compare(y.depth, x.depth), cmp.Compare(x.key, y.key), cmp.Compare(x.crash, y.crash))
	})
	deepest, others := keys[:n/2], keys[n/2:]
	size := n - len(deepest)
	windows := max(leastWindows, (len(others)+size-1)/size)
	for !big.NewInt(int64(windows)).ProbablyPrime(0) {
		windows++
	}
	turn := int(now.UnixMilli()/turnInterval.Milliseconds()) % windows
	at := turn * len(others) / windows
	return slices.Concat(deepest, others[at:], others[:at])[:n]
}
