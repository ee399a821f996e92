// Package executor runs a request that carries an idempotency key at most once, and
// answers the caller's further attempts with the first attempt's response.
//
// The first attempt claims the key in the platform before anything is sent to a
// runner. A further attempt, at any node, finds the claim and asks the node that
// holds it. It gets the response once there is one, takes the request over if it was
// provably not run, and fails with the outcome "unknown" if the holder has no record
// of the request or does not answer.
//
// A run continues after its caller has disconnected, so that the caller's next
// attempt gets the response.
//
// # Usage
//
//	e := &executor.Executor{Claimer: c, Serve: f.Serve, Self: "node-1", Incarnation: i}
//	failure := e.ServeOnce(ctx, w, call)
package executor
