package picker

import (
	"sync/atomic"
	"time"
)

// Replica is one replica as the picker sees it. Its exported fields do not
// change after it has been given to a Picker.
type Replica struct {
	ID         string
	Deployment string
	// Address is the head's, as host:port.
	Address string
	Epoch   int64
	// MaxInFlight bounds the requests in progress on the replica.
	MaxInFlight int64

	inFlight    atomic.Int64
	reported    atomic.Int64
	reportedAt  atomic.Int64
	ownAtReport atomic.Int64
	provedUntil atomic.Int64
	closed      atomic.Bool
	tokenMicros atomic.Int64
	// guaranteed is this node's own part of MaxInFlight.
	guaranteed atomic.Int64
	isSlow     atomic.Bool
}

var processStart = time.Now()

// sinceStart returns a time as monotonic nanoseconds since the process started.
func sinceStart(t time.Time) int64 { return int64(t.Sub(processStart)) }

// SetProof says until when the replica is proved whole; the zero time ends it.
func (r *Replica) SetProof(until time.Time) {
	if until.IsZero() {
		r.provedUntil.Store(0)
		return
	}
	r.provedUntil.Store(sinceStart(until))
}

// IsProved reports whether the replica is proved whole now and takes requests.
func (r *Replica) IsProved() bool {
	return !r.closed.Load() && r.provedUntil.Load() > int64(time.Since(processStart))
}

// Close ends new work for the replica. Requests in progress go on.
func (r *Replica) Close() { r.closed.Store(true) }

// Open ends the effect of Close.
func (r *Replica) Open() { r.closed.Store(false) }

// Report stores the replica's own report of its requests in progress, once for
// each time at which it was received.
func (r *Replica) Report(at time.Time, inFlight int64, tokenMicros int64) {
	if r.reportedAt.Swap(sinceStart(at)) == sinceStart(at) {
		return
	}
	r.reported.Store(inFlight)
	r.ownAtReport.Store(r.inFlight.Load())
	r.tokenMicros.Store(tokenMicros)
}

// Load estimates the requests in progress on the replica: those of this node,
// and those that the last report had beyond this node's own.
func (r *Replica) Load() int64 {
	own := r.inFlight.Load()
	others := r.reported.Load() - r.ownAtReport.Load()
	return own + max(others, 0)
}

// InFlight returns this node's requests in progress on the replica.
func (r *Replica) InFlight() int64 { return r.inFlight.Load() }

// Release ends a request that Pick counted.
func (r *Replica) Release() { r.inFlight.Add(-1) }

// score is what a choice compares: this node's own requests first, which it knows
// exactly, and among equals the others', which it knows from lagging reports. A
// straggler's count several times.
func (r *Replica) score() int64 {
	own := r.inFlight.Load()
	score := own*ownWeight + min(r.Load()-own, ownWeight-1)
	if r.isSlow.Load() {
		return (score + ownWeight) * stragglerPenalty
	}
	return score
}

func (r *Replica) hasOwnRoom() bool { return r.inFlight.Load() < r.guaranteed.Load() }

// hasRoom reports whether the replica can take one more request from this node:
// within the node's own part always, beyond it if the replica seems not full.
// The own part is not compared with reports, which lag, or a node would wait for
// places that others have long given back.
func (r *Replica) hasRoom() bool {
	return r.hasOwnRoom() || r.Load() < r.MaxInFlight
}
