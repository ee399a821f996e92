package relayer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is the length of a fingerprint. Requests of another team never have
// the same one by intent.
const fingerprintBytes = 8

// Fingerprint identifies what a runner works on: the same request has the same one when
// its caller repeats it, at any node.
func (c *Call) Fingerprint() string {
	h := sha256.New()
	for _, s := range []string{c.Team, c.Method, c.Host, c.Target, c.Model, c.Prompt} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
