// Package executor runs requests that carry an idempotency key at most once, and
// leads a caller's further attempts to the first one's answer.
//
// The first attempt claims the key in the platform before anything is sent. A
// further attempt, at whichever node, finds the claim and asks its holder: it
// gets the answer when there is one, may take the request over if it was provably
// not run, and is told "unknown" if the holder no longer knows or is gone.
//
// A run goes on when its caller goes away, so that the caller's next attempt
// finds the answer.
//
// # Usage
//
//	e := &executor.Executor{Claimer: c, Serve: f.Serve, Self: "node-1", Incarnation: i}
//	failure := e.Once(ctx, w, call)
package executor
