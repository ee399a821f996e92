// Package storer is the stand-in for the platform: an object API with versions,
// conditional writes and watches, a lagging list of VMs, rate limits that count
// each call (a waiting watch as one), and switches for faults.
//
// # Usage
//
//	s := &storer.Server{}
//	http.ListenAndServe("127.0.0.1:7000", s.Handler())
//
// Faults are set with POST /control and a JSON Faults body.
package storer
