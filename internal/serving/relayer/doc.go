// Package relayer carries one caller's request to a runner and the answer back.
//
// It keeps three outcomes apart. A request was not run only if no byte of it can
// have reached a runner, or if the runner said so. A request that must not be
// repeated is sent again only after that. Everything else that breaks has an
// unknown outcome, unless another attempt completes it.
//
// A short answer is read whole before the caller sees any of it. The events of
// a stream are passed on as they come, whole events only, so that a stream that
// breaks can go on at another runner after the last event that the caller has.
//
// # Usage
//
//	r := &relayer.Relayer{Balancer: b, Client: c, Wire: wire, Budget: budget}
//	failure := r.Serve(ctx, call, answer)
package relayer
