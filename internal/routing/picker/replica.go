package picker

import (
	"sync/atomic"
	"time"
)

// Replica is a replica that a Picker can choose, with this node's counts for it.
// Its exported fields do not change after it has been given to a Picker.
type Replica struct {
	ID         string
	Deployment string
	// Address is the host:port of the head, the replica's first member.
	Address string
	Epoch   int64
	// MaxInFlight is the limit of requests in progress on the replica, from all
	// nodes together.
	MaxInFlight int64

	// inFlight is the number of this node's requests in progress.
	inFlight atomic.Int64
	// reportedInFlight is the replica's last report of requests in progress and
	// queued, from all nodes.
	reportedInFlight atomic.Int64
	// reportedAt is the time of the last report, as returned by sinceStart.
	reportedAt atomic.Int64
	// ownInFlightAtReport is the value of inFlight when the last report was stored.
	ownInFlightAtReport atomic.Int64
	// healthyUntil is when the health proof expires, as returned by sinceStart; 0
	// means that there is none.
	healthyUntil atomic.Int64
	closed       atomic.Bool
	// tokenMicros is the reported time per token in microseconds; 0 if unknown.
	tokenMicros atomic.Int64
	// guaranteedInFlight is the part of MaxInFlight that is reserved for this node.
	guaranteedInFlight atomic.Int64
	// isSlow marks a straggler.
	isSlow atomic.Bool
}

var processStart = time.Now()

// sinceStart returns a time as monotonic nanoseconds since the process started.
func sinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) }

// SetHealthyUntil sets when the proof that the replica is healthy expires. The
// zero time withdraws the proof.
func (r *Replica) SetHealthyUntil(until time.Time) {
	if until.IsZero() {
		r.healthyUntil.Store(0)
		return
	}
	r.healthyUntil.Store(sinceStart(until))
}

// IsHealthy reports whether the replica is healthy: its health proof has not
// expired and it is not closed. The monotonic clock decides, so the proof also
// expires on a node that was paused.
func (r *Replica) IsHealthy() bool {
	return !r.closed.Load() && r.healthyUntil.Load() > int64(time.Since(processStart))
}

// Close excludes the replica from new choices. Requests in progress continue.
func (r *Replica) Close() { r.closed.Store(true) }

// Open reverses Close.
func (r *Replica) Open() { r.closed.Store(false) }

// Report stores the replica's own report: its requests in progress and queued, and
// its time per token in microseconds. A report with the time of the last one is
// ignored.
func (r *Replica) Report(at time.Time, inFlight int64, tokenMicros int64) {
	if r.reportedAt.Swap(sinceStart(at)) == sinceStart(at) {
		return
	}
	r.reportedInFlight.Store(inFlight)
	r.ownInFlightAtReport.Store(r.inFlight.Load())
	r.tokenMicros.Store(tokenMicros)
}

// Load estimates the requests in progress on the replica: this node's current
// requests plus the other nodes' requests, which are the last report minus this
// node's requests at that time.
func (r *Replica) Load() int64 {
	own := r.inFlight.Load()
	others := r.reportedInFlight.Load() - r.ownInFlightAtReport.Load()
	return own + max(others, 0)
}

// InFlight returns the number of this node's requests in progress on the replica.
func (r *Replica) InFlight() int64 { return r.inFlight.Load() }

// Release uncounts a request that Pick counted.
func (r *Replica) Release() { r.inFlight.Add(-1) }

// score ranks replicas; the lowest is chosen. This node's own requests, whose
// count is exact, come first. The other nodes' requests break ties, because their
// count comes from reports that lag. A straggler's score is multiplied by
// stragglerPenalty.
func (r *Replica) score() int64 {
	own := r.inFlight.Load()
	score := own*ownWeight + min(r.Load()-own, ownWeight-1)
	if r.isSlow.Load() {
		return (score + ownWeight) * stragglerPenalty
	}
	return score
}

// hasGuaranteedRoom reports whether this node has not used up its guaranteed share.
func (r *Replica) hasGuaranteedRoom() bool { return r.inFlight.Load() < r.guaranteedInFlight.Load() }

// hasRoom reports whether the replica can take one more request from this node:
// always within the node's guaranteed share, and beyond it if the estimated load
// is below the limit. The guaranteed share ignores reports, because they lag: the
// node would wait for capacity that other nodes have already released.
func (r *Replica) hasRoom() bool {
	return r.hasGuaranteedRoom() || r.Load() < r.MaxInFlight
}
