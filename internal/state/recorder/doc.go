// Package recorder holds the state of one node that its controllers read and write:
// tables with the desired state (configuration and assignments) and with the observed
// state (VMs, sightings of runners, nodes, other data centres).
//
// A change of a table is published as a watermill message on the table's topic. The
// message does not hold the change: a subscriber reads the board, so changes that
// arrive faster than it handles them are merged.
//
// Configuration only moves forward. The board has all changes up to Revision. It
// applies an update only if the update starts at or before that revision, and stores
// an object only if its version is higher than the stored one. So no update replaces
// an object by an older one.
//
// # Usage
//
//	b := &recorder.Board{}
//	err := b.ApplyConfig(recorder.ConfigUpdate{From: 0, To: 12, Full: true, Objects: list})
//	d, ok := b.Deployment("drafting")
package recorder
