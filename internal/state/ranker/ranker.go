// Package ranker divides work among nodes by rendezvous hashing: every node
// that knows the same names comes to the same division, and a node that joins
// or leaves moves only its own part.
//
// The division is a hint against work done twice. No guarantee rests on it,
// because nodes may know different names.
//
// # Usage
//
//	if ranker.Among("vm-7", self, names, 2) {
//		// self is one of the two nodes that watch vm-7.
//	}
package ranker

import "github.com/cespare/xxhash/v2"

// Score returns the rank of a name for a key; the largest comes first.
func Score(key, name string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// Among reports whether self is one of the first n of names for a key. self
// counts even if names lacks it.
func Among(key, self string, names []string, n int) bool {
	own := Score(key, self)
	before := 0
	for _, name := range names {
		if name != self && Score(key, name) > own {
			before++
		}
	}
	return before < n
}

// First returns the name that comes first for a key, or "" if there is none.
func First(key string, names []string) string {
	first, top := "", uint64(0)
	for _, name := range names {
		if s := Score(key, name); first == "" || s > top {
			first, top = name, s
		}
	}
	return first
}
