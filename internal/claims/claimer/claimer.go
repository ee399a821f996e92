package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"marjorammoor/internal/platform/client"
	"marjorammoor/internal/state/ranker"
)

const (
	// shardCount is the number of shards; it is part of the stored format.
	shardCount = 8
	// flushInterval is the shortest time between two writes of one shard.
	flushInterval = 40 * time.Millisecond
	// maxHeadClaims is the number of claims in a head from which they are archived.
	maxHeadClaims = 200
	// peerTimeout bounds a call to the owner of a shard.
	peerTimeout = time.Second
	// hashHexChars is the length of keys and fingerprints, in hexadecimal digits.
	hashHexChars = 32
)

// DefaultRetention is how long claims are kept.
const DefaultRetention = 24 * time.Hour

var (
	claimsGranted   = metrics.NewCounter(`marjorammoor_claims_total{outcome="granted"}`)
	claimsHeld      = metrics.NewCounter(`marjorammoor_claims_total{outcome="held"}`)
	claimsFailed    = metrics.NewCounter(`marjorammoor_claims_total{outcome="failed"}`)
	claimsByPeer    = metrics.NewCounter(`marjorammoor_claims_routed_total{to="peer"}`)
	claimsByself    = metrics.NewCounter(`marjorammoor_claims_routed_total{to="self"}`)
	claimsFallback  = metrics.NewCounter(`marjorammoor_claims_routed_total{to="self_after_peer_failed"}`)
	headWrites      = metrics.NewCounter(`marjorammoor_claim_writes_total{outcome="stored"}`)
	headConflicts   = metrics.NewCounter(`marjorammoor_claim_writes_total{outcome="conflict"}`)
	headAnswersLost = metrics.NewCounter(`marjorammoor_claim_writes_total{outcome="answer_lost"}`)
)

// Claim is the right of one attempt to run a request.
type Claim struct {
	// Key is the result of the function Key.
	Key string `json:"key"`
	// Fingerprint differs between requests that use the same key; it is the result
	// of the function Fingerprint.
	Fingerprint string `json:"fingerprint"`
	// Node and Incarnation identify the process that runs the request.
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	// Attempt is the request ID of the attempt.
	Attempt string `json:"attempt"`
	// At is when the claim was made, in Unix seconds.
	At int64 `json:"at"`
}

// Key returns the stored form of a caller's idempotency key: a hash of the team, the
// deployment and the key.
func Key(team, deployment, key string) string { return digest(team, deployment, key) }

// Fingerprint returns a hash by which requests with the same key are told apart.
func Fingerprint(method, path string, body []byte) string {
	return digest(method, path, string(body))
}

// digest hashes parts with their lengths, so that different parts never form the
// same input.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))[:hashHexChars]
}

// Claimer makes claims. Set Platform and Self before use.
type Claimer struct {
	Platform *client.Client
	// Self is the name of this node.
	Self string
	// Live returns the names of the live nodes; nil means only this one.
	Live func() []string
	// ClaimAtPeer asks another node to record a claim; nil means that this node writes
	// every shard.
	ClaimAtPeer func(ctx context.Context, node string, c Claim) (Claim, error)
	// Retention is how long claims are kept; 0 means DefaultRetention.
	Retention time.Duration

	shards [shardCount]shard
}

// Claim records a claim, unless the key already has one, and returns the claim that
// holds the key. It can be repeated for the same attempt and returns the same
// holder. After an error it is not certain whether the claim was recorded; the
// request must not be run.
func (c *Claimer) Claim(ctx context.Context, x Claim) (Claim, error) {
	n := shardOf(x.Key)
	if owner := c.owner(n); owner != c.Self && c.ClaimAtPeer != nil {
		claimsByPeer.Inc()
		if holder, err := c.askPeer(ctx, owner, x); err == nil {
			return holder, nil
		}
		claimsFallback.Inc()
	}
	return c.ClaimLocally(ctx, x)
}

func (c *Claimer) askPeer(ctx context.Context, owner string, x Claim) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	holder, err := c.ClaimAtPeer(ctx, owner, x)
	if err != nil {
		return holder, fmt.Errorf("claim key at node %s: %w", owner, err)
	}
	return holder, nil
}

// ClaimLocally records a claim like Claim, but always by a write of this node.
func (c *Claimer) ClaimLocally(ctx context.Context, x Claim) (Claim, error) {
	claimsByself.Inc()
	n := shardOf(x.Key)
	s := &c.shards[n]
	s.start(c, n)
	holder, err := s.claim(ctx, x)
	switch {
	case err != nil:
		claimsFailed.Inc()
		return holder, fmt.Errorf("claim: %w", err)
	case holder.Attempt == x.Attempt:
		claimsGranted.Inc()
	default:
		claimsHeld.Inc()
	}
	return holder, nil
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(strings.ToLower(key)) % shardCount)
}

// owner returns the name of the node that should write shard n.
func (c *Claimer) owner(n int) string {
	if c.Live == nil {
		return c.Self
	}
	return ranker.First(fmt.Sprintf("claims %d", n), c.Live())
}

func (c *Claimer) retention() time.Duration {
	if c.Retention == 0 {
		return DefaultRetention
	}
	return c.Retention
}
