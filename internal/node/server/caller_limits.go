package server

import (
	"fmt"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
)

// The limits for callers if the configuration sets none, and the range in which the node
// follows the configuration.
const (
	defaultHeaderBytes = 64 << 10
	minHeaderBytes     = 4 << 10
	maxHeaderBytes     = 1 << 20
	// maxHeadBytes bounds the whole head as it is sent, so that http.Server refuses none that
	// the limit allows: separators, the line and the host are not counted in that.
	maxHeadBytes = 2 * maxHeaderBytes
	// maxDeliveryHeadBytes is the same for heads that another node has written anew, with
	// fields of its own.
	maxDeliveryHeadBytes = 2 * maxHeadBytes

	defaultBodyBytes = 8 << 20
	maxBodyBytes     = 64 << 20

	defaultHeaderTimeout = 3 * time.Second
	minHeaderTimeout     = time.Second
	maxHeaderTimeout     = time.Minute

	defaultIdleTimeout = 20 * time.Second
	minIdleTimeout     = time.Second
	maxIdleTimeout     = 10 * time.Minute
)

// lowerLimitDelay is how long a limit that was lowered does not apply yet. It exceeds the time
// that a configuration needs to come into force at all nodes: until then callers may keep
// within the older one.
const lowerLimitDelay = 5 * time.Second

// heldLimits are limits from before some were lowered, in force until a time.
type heldLimits struct {
	matcher.Limits
	until time.Time
}

// callerLimits returns the limits for callers that are in force now. The idle time is held for
// each connection, as its caller was told.
func (n *Node) callerLimits() matcher.Limits {
	l, held := followedLimits(n.catalog.Load()), n.heldLimits.Load()
	if held == nil || !time.Now().Before(held.until) {
		return l
	}
	l.HeaderBytes = max(l.HeaderBytes, held.HeaderBytes)
	l.BodyBytes = max(l.BodyBytes, held.BodyBytes)
	l.HeaderTimeout = max(l.HeaderTimeout, held.HeaderTimeout)
	return l
}

// holdLimits keeps the limits that are in force if the next configuration lowers some.
func (n *Node) holdLimits(old, next *matcher.Catalog) {
	if old == nil {
		return
	}
	x, y := followedLimits(old), followedLimits(next)
	if y.HeaderBytes < x.HeaderBytes || y.BodyBytes < x.BodyBytes || y.HeaderTimeout < x.HeaderTimeout {
		n.heldLimits.Store(&heldLimits{Limits: n.callerLimits(), until: time.Now().Add(lowerLimitDelay)})
	}
}

// followedLimits returns the limits of a configuration, or of none, as the node follows them.
func followedLimits(c *matcher.Catalog) matcher.Limits {
	l := matcher.Limits{}
	if c != nil {
		l = c.Limits
	}
	return matcher.Limits{
		HeaderBytes:   within(l.HeaderBytes, defaultHeaderBytes, minHeaderBytes, maxHeaderBytes),
		BodyBytes:     within(l.BodyBytes, defaultBodyBytes, 1, maxBodyBytes),
		HeaderTimeout: within(l.HeaderTimeout, defaultHeaderTimeout, minHeaderTimeout, maxHeaderTimeout),
		IdleTimeout:   within(l.IdleTimeout, defaultIdleTimeout, minIdleTimeout, maxIdleTimeout),
	}
}

// within returns a configured limit, moved into a range. One that is not above 0 is not set.
func within[T int | int64 | time.Duration](limit, unset, lowest, highest T) T {
	if limit <= 0 {
		return unset
	}
	return min(max(limit, lowest), highest)
}

// checkHeader returns the failure for a request whose header is larger than the limit, which
// follows from a configuration.
func (n *Node) checkHeader(r *http.Request, in *admitter.Incoming, c *matcher.Catalog, l matcher.Limits) *responder.Failure {
	size := headerBytes(r)
	if size <= l.HeaderBytes {
		return nil
	}
	message := fmt.Sprintf("the header has %d bytes, more than %d", size, l.HeaderBytes)
	return n.admitter.Deny(c, in, http.StatusRequestHeaderFieldsTooLarge, responder.ReasonHeaderTooLarge, message)
}

// headerBytes returns the size of the names and values of a request's header. Callers may count
// more, such as separators, the line and the host, but hardly less.
func headerBytes(r *http.Request) int {
	size := 0
	for k, values := range r.Header {
		for _, v := range values {
			size += len(k) + len(v)
		}
	}
	return size
}
