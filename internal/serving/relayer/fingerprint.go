package relayer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"marjorammoor/internal/serving/breaker"
)

// fingerprintBytes is the length of a fingerprint. Requests of another team never have
// the same one by intent.
const fingerprintBytes = 8

// fingerprintMask clears the bit of a fingerprint by which keys of requests are told from those of
// parts.
const fingerprintMask = 0x7f

// Fingerprint identifies what a runner works on: the same request has the same one when
// its caller repeats it, at any node.
func (c *Call) Fingerprint() string {
	h := sha256.New()
	for _, s := range []string{c.Team, c.Method, c.Host, c.Target, c.Model, c.Prompt} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	_, _ = h.Write(c.Body)
	sum := h.Sum(nil)[:fingerprintBytes]
	sum[0] &= fingerprintMask
	return hex.EncodeToString(sum)
}

// maxPartNames bounds the parts of a prompt that a log line names, and maxPartNameBytes what is shown
// of each.
const (
	maxPartNames     = 16
	maxPartNameBytes = 80
)

// PartNames returns the IDs of the first shared parts of the prompt, for logs.
func (c *Call) PartNames() []string {
	names := []string{}
	if c.SharedParts == nil {
		return names
	}
	for id := range c.SharedParts {
		if len(names) == maxPartNames {
			break
		}
		names = append(names, shownPart(id))
	}
	return names
}

// partName returns the beginning of the ID of the shared part with a key, or "".
func (c *Call) partName(k breaker.Key) string {
	if c.SharedParts == nil {
		return ""
	}
	for id := range c.SharedParts {
		if breaker.PartKey(id) == k {
			return shownPart(id)
		}
	}
	return ""
}

func shownPart(id string) string { return id[:min(len(id), maxPartNameBytes)] }
