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
	// flushInterval bounds the writes of one shard.
	flushInterval = 40 * time.Millisecond
	// headClaims is how many claims a head holds before they are archived.
	headClaims = 200
	// peerTimeout bounds the call to a shard's usual writer.
	peerTimeout  = time.Second
	hashHexChars = 32
)

// DefaultRetention is how long a key is remembered.
const DefaultRetention = 24 * time.Hour

var (
	claimsGranted  = metrics.NewCounter(`marjorammoor_claims_total{outcome="granted"}`)
	claimsHeld     = metrics.NewCounter(`marjorammoor_claims_total{outcome="held"}`)
	claimsFailed   = metrics.NewCounter(`marjorammoor_claims_total{outcome="failed"}`)
	claimsByPeer   = metrics.NewCounter(`marjorammoor_claims_routed_total{to="peer"}`)
	claimsByself   = metrics.NewCounter(`marjorammoor_claims_routed_total{to="self"}`)
	claimsFallback = metrics.NewCounter(`marjorammoor_claims_routed_total{to="self_after_peer_failed"}`)
	headWrites     = metrics.NewCounter(`marjorammoor_claim_writes_total{outcome="stored"}`)
	headConflicts  = metrics.NewCounter(`marjorammoor_claim_writes_total{outcome="conflict"}`)
	headUnknown    = metrics.NewCounter(`marjorammoor_claim_writes_total{outcome="answer_lost"}`)
)

// Claim is the right of one attempt to run a request.
type Claim struct {
	// Key is made by Key.
	Key string `json:"key"`
	// Fingerprint tells requests apart that use the same key.
	Fingerprint string `json:"fingerprint"`
	// Node and Incarnation are those that run the request.
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	// Attempt names the attempt.
	Attempt string `json:"attempt"`
	// At is when the claim was made, in Unix seconds.
	At int64 `json:"at"`
}

// Key returns the stored form of a caller's idempotency key.
func Key(team, deployment, key string) string { return digest(team, deployment, key) }

// Fingerprint returns what tells a request from others with the same key.
func Fingerprint(method, path string, body []byte) string {
	return digest(method, path, string(body))
}

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
	Self     string
	// Live returns the names of the live nodes; nil means only this one.
	Live func() []string
	// Peer asks another node to make a claim; nil means that this node writes
	// every shard.
	Peer func(ctx context.Context, node string, c Claim) (Claim, error)
	// Retention is how long a key is remembered; 0 means DefaultRetention.
	Retention time.Duration

	shards [shardCount]shard
}

// Claim records a claim, or finds the one that was recorded first, and returns
// the holder. Claiming again for the same attempt returns the same holder. An
// error means that the claim may or may not have been recorded; the request must
// not be run.
func (c *Claimer) Claim(ctx context.Context, x Claim) (Claim, error) {
	n := shardOf(x.Key)
	if owner := c.owner(n); owner != c.Self && c.Peer != nil {
		claimsByPeer.Inc()
		if holder, err := c.askPeer(ctx, owner, x); err == nil {
			return holder, nil
		}
		claimsFallback.Inc()
	}
	return c.ClaimHere(ctx, x)
}

func (c *Claimer) askPeer(ctx context.Context, owner string, x Claim) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	holder, err := c.Peer(ctx, owner, x)
	if err != nil {
		return holder, fmt.Errorf("claim at %s: %w", owner, err)
	}
	return holder, nil
}

// ClaimHere records a claim from this node, without asking another one.
func (c *Claimer) ClaimHere(ctx context.Context, x Claim) (Claim, error) {
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
