// Package verifier decides whether a replica is healthy, and until when.
//
// A replica is healthy while each of its members has been seen ready, within the
// lifetime of a sighting, under the boot identity, replica and epoch of the
// assignment. This proof expires by the monotonic clock, so that a node that is
// paused, cut off or behind loses it without any message. An unexpired sighting
// that contradicts the assignment ends the proof, whichever node made it.
//
// # Usage
//
//	v := &verifier.Verifier{Board: board, Self: "node-1"}
//	until := v.HealthyUntil(ref) // zero if there is no proof
package verifier

import (
	"time"

	"marjorammoor/internal/health/prober"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
	"marjorammoor/internal/state/recorder"
)

// Verifier reads sightings from the board. Set Board and Self before use.
type Verifier struct {
	Board *recorder.Board
	// Self is the name of this node.
	Self string
	// Lifetime is how long a sighting is valid after its confirmation; 0 means
	// prober.DefaultLifetime.
	Lifetime time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// HealthyUntil returns the time until which a replica is known to be healthy: the
// earliest time at which the proof of one of its members expires. It returns the
// zero time if the replica is not known to be healthy.
func (v *Verifier) HealthyUntil(r *parser.ReplicaRef) time.Time {
	var until time.Time
	for i, m := range r.Members {
		u := v.memberHealthyUntil(r, m)
		if u.IsZero() {
			return u
		}
		if i == 0 || u.Before(until) {
			until = u
		}
	}
	return until
}

// memberHealthyUntil returns when the latest unexpired sighting of a member expires.
// It returns the zero time if there is none, or if any unexpired sighting
// contradicts the assignment.
func (v *Verifier) memberHealthyUntil(r *parser.ReplicaRef, m parser.MemberRef) time.Time {
	var until time.Time
	list, _ := v.Board.Sightings.Get(m.VM)
	for _, s := range list {
		u := v.expiry(s)
		if !u.After(v.now()) {
			continue
		}
		if s.Down || !Matches(r, m, s.Identity) {
			return time.Time{}
		}
		if u.After(until) {
			until = u
		}
	}
	return until
}

// Matches reports whether a runner's identity is that of the member m of replica r,
// and the runner is ready.
func Matches(r *parser.ReplicaRef, m parser.MemberRef, id caller.Identity) bool {
	return id.BootID == m.BootID && id.Replica == r.ID && id.Epoch == r.Epoch && id.State == caller.StateReady
}

// expiry returns when a sighting expires. Another node's sighting counts from the
// time at which that node last confirmed all of its sightings.
func (v *Verifier) expiry(s recorder.Sighting) time.Time {
	confirmed := s.ConfirmedAt
	if s.Watcher != v.Self {
		confirmed, _ = v.Board.Watchers.Get(s.Watcher)
	}
	lifetime := v.Lifetime
	if lifetime == 0 {
		lifetime = prober.DefaultLifetime
	}
	return confirmed.Add(lifetime)
}

// LatestSighting returns the newest unexpired sighting of a VM, or false if there is
// none. A sighting that the runner is gone is returned only if no other is
// unexpired.
func (v *Verifier) LatestSighting(vm string) (recorder.Sighting, bool) {
	best, found := recorder.Sighting{}, false
	list, _ := v.Board.Sightings.Get(vm)
	for _, s := range list {
		if !v.expiry(s).After(v.now()) {
			continue
		}
		if !found || best.Down && !s.Down || best.Down == s.Down && v.expiry(s).After(v.expiry(best)) {
			best, found = s, true
		}
	}
	return best, found
}

func (v *Verifier) now() time.Time {
	if v.Now == nil {
		return time.Now()
	}
	return v.Now()
}
