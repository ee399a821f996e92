package breaker

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// dropLogInterval is the least time between two log lines on what was dropped.
const dropLogInterval = 10 * time.Second

// What is dropped when a bound is reached: evidence against keys, proofs that keys are sound, parts
// of prompts with very many, and requests that runners have not answered. untoldKeys are keys that
// a report leaves to a later one.
var (
	evidenceDropped   = metrics.NewCounter(`marjorammoor_breaker_dropped_total{what="evidence"}`)
	proofsDropped     = metrics.NewCounter(`marjorammoor_breaker_dropped_total{what="proofs"}`)
	partsDropped      = metrics.NewCounter(`marjorammoor_breaker_dropped_total{what="parts"}`)
	unansweredDropped = metrics.NewCounter(`marjorammoor_breaker_dropped_total{what="unanswered"}`)
	untoldKeys        = metrics.NewCounter(`marjorammoor_breaker_untold_keys_total`)
)

// dropCounts are the values of these counters at a time.
type dropCounts struct{ evidence, proofs, parts, unanswered, untold uint64 }

func countDropped() dropCounts {
	return dropCounts{evidenceDropped.Get(), proofsDropped.Get(), partsDropped.Get(), unansweredDropped.Get(), untoldKeys.Get()}
}

// logDropped logs what was dropped since the last time. b.mu must be held.
func (b *Breaker) logDropped(now time.Time) {
	if now.Sub(b.droppedAt) < dropLogInterval {
		return
	}
	b.droppedAt = now
	old := b.dropped
	b.dropped = countDropped()
	if d := b.dropped; d != old {
		b.Log.Warn("what is kept of requests that may crash runners has reached its bounds", "evidence_dropped", d.evidence-old.evidence, "proofs_dropped", d.proofs-old.proofs,
			"parts_dropped", d.parts-old.parts, "unanswered_dropped", d.unanswered-old.unanswered, "untold_keys", d.untold-old.untold)
	}
}
