// Package verifier decides whether a replica is proved to be whole.
//
// The proof holds only while every member was seen, within the lifetime of a
// sighting, under the boot identity, replica and epoch of the assignment. It
// ends by the monotonic clock: a node that is paused, cut off or behind loses
// it without being told. Any fresh sighting that contradicts the assignment
// breaks the proof, whoever made it.
//
// # Usage
//
//	v := &verifier.Verifier{Board: board, Self: "node-1"}
//	until := v.Replica(ref) // zero if there is no proof
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
	Self  string
	// Lifetime is how long a sighting proves anything; 0 means
	// prober.DefaultLifetime.
	Lifetime time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// Replica returns the time until which a replica is proved whole, or the zero
// time if it is not.
func (v *Verifier) Replica(r *parser.ReplicaRef) time.Time {
	var until time.Time
	for i, m := range r.Members {
		u := v.member(r, m)
		if u.IsZero() {
			return u
		}
		if i == 0 || u.Before(until) {
			until = u
		}
	}
	return until
}

func (v *Verifier) member(r *parser.ReplicaRef, m parser.MemberRef) time.Time {
	var until time.Time
	list, _ := v.Board.Sightings.Get(m.VM)
	for _, s := range list {
		u := v.until(s)
		if !u.After(v.now()) {
			continue
		}
		if s.Gone || !Matches(r, m, s.Identity) {
			return time.Time{}
		}
		if u.After(until) {
			until = u
		}
	}
	return until
}

// Matches reports whether a runner serves as the given member of a replica.
func Matches(r *parser.ReplicaRef, m parser.MemberRef, id caller.Identity) bool {
	return id.BootID == m.BootID && id.Replica == r.ID && id.Epoch == r.Epoch && id.State == caller.StateReady
}

// until returns when a sighting stops proving anything.
func (v *Verifier) until(s recorder.Sighting) time.Time {
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

// Fresh returns the newest unlapsed sighting of a VM, or false if there is none.
// A sighting that proves the runner gone is returned only if no other is fresh.
func (v *Verifier) Fresh(vm string) (recorder.Sighting, bool) {
	best, found := recorder.Sighting{}, false
	list, _ := v.Board.Sightings.Get(vm)
	for _, s := range list {
		if !v.until(s).After(v.now()) {
			continue
		}
		if !found || best.Gone && !s.Gone || best.Gone == s.Gone && v.until(s).After(v.until(best)) {
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
