// Package ranker divides work among nodes by rendezvous hashing: nodes with the same
// list of names compute the same division, and a node that joins or leaves moves only
// its own share of the work.
//
// The division only avoids that work is done twice. No guarantee depends on it, because
// two nodes may have different lists of names.
//
// # Usage
//
//	if ranker.IsAmongFirst("vm-7", self, names, 2) {
//		// self is one of the two nodes that watch vm-7.
//	}
package ranker

import "github.com/cespare/xxhash/v2"

// Score returns the score of a name for a key. The name with the highest score ranks
// first.
func Score(key, name string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// IsAmongFirst reports whether self is one of the n names that rank highest for a
// key. self is ranked even if names does not contain it.
func IsAmongFirst(key, self string, names []string, n int) bool {
	selfScore := Score(key, self)
	higher := 0
	for _, name := range names {
		if name != self && Score(key, name) > selfScore {
			higher++
		}
	}
	return higher < n
}

// First returns the name that ranks highest for a key, or "" if names is empty.
func First(key string, names []string) string {
	first, highest := "", uint64(0)
	for _, name := range names {
		if s := Score(key, name); first == "" || s > highest {
			first, highest = name, s
		}
	}
	return first
}
