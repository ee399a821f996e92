package breaker

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// Key is what requests may have in common: a shared part of their prompts, or the request itself. It
// is a hash, so that its size does not depend on what callers send.
type Key uint64

const (
	// requestBit is set in the keys of whole requests.
	requestBit Key = 1 << 63
	keyBytes       = 8

	requestPrefix = "request:"
	partPrefix    = "part:"
)

// PartKey returns the key of a shared part of prompts.
func PartKey(id string) Key { return hashKey(id) &^ requestBit }

// requestKey returns the key of a request with a fingerprint, which is a hexadecimal number.
func requestKey(fingerprint string) Key {
	n, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil {
		return hashKey(fingerprint) | requestBit
	}
	return Key(n) | requestBit
}

func hashKey(s string) Key {
	sum := sha256.Sum256([]byte(s))
	return Key(binary.BigEndian.Uint64(sum[:]))
}

// isRequest reports whether a key is that of a whole request.
func (k Key) isRequest() bool { return k&requestBit != 0 }

// String returns the key as logs and reports name it.
func (k Key) String() string {
	if k.isRequest() {
		return fmt.Sprintf("%s%016x", requestPrefix, uint64(k&^requestBit))
	}
	return fmt.Sprintf("%s%016x", partPrefix, uint64(k))
}

// parseKey returns the key that a report names. Older nodes name parts by their IDs.
func parseKey(s string) Key {
	if fingerprint, ok := strings.CutPrefix(s, requestPrefix); ok {
		return requestKey(fingerprint)
	}
	if hash, ok := strings.CutPrefix(s, partPrefix); ok {
		if n, err := strconv.ParseUint(hash, 16, 64); err == nil {
			return Key(n) &^ requestBit
		}
	}
	return PartKey(s)
}
