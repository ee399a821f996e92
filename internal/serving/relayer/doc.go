// Package relayer forwards a caller's request to a runner and relays the response.
//
// It distinguishes three outcomes: completed, not run and unknown. A request counts
// as not run only if no byte of it can have reached a runner, or if the runner
// reported that it did not run it. A request that must not be repeated is retried
// only in that case. Any other failed attempt has an unknown outcome, unless a later
// attempt completes the request.
//
// A response that is not a stream is read to its end before the caller gets any of
// it, so that the request can still be retried. The events of a stream are forwarded
// as they arrive, but only complete ones, so that a broken stream can be resumed at
// another runner after the last event that the caller has received.
//
// # Usage
//
//	r := &relayer.Relayer{Balancer: b, Client: c, Wire: wire, Budget: budget, Log: log}
//	failure := r.Serve(ctx, call, writer)
package relayer
