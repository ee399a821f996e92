// Package recorder is the blackboard of one node: tables of desired facts
// (configuration and assignments) and of observed facts (VMs, sightings of
// runners, nodes, other data centres), which controllers read and write.
//
// A table's change is published as a watermill message on the table's topic.
// The message says only that the table changed: a controller reads the board,
// so that changes which come faster than it works are merged.
//
// Configuration only moves forward. The board holds all changes up to
// Revision, takes updates that continue from there, and takes each object only
// at a larger version than it has; no update can put an older one back.
//
// # Usage
//
//	b := &recorder.Board{}
//	err := b.ApplyConfig(recorder.ConfigUpdate{From: 0, To: 12, Full: true, Objects: list})
//	d, ok := b.Deployment("drafting")
package recorder
