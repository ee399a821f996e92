// Package storer simulates the platform: an object API with versions, conditional
// writes and watches, a list of VMs that can lag, rate limits on reads and writes (a
// watch counts as one read however long it waits), and injected faults.
//
// # Usage
//
//	s := &storer.Server{}
//	http.ListenAndServe("127.0.0.1:7000", s.Handler())
//
// POST /control with a JSON Faults object sets the faults.
package storer
