// Package forwarder carries one request to a replica and its answer back.
//
// It never blurs three outcomes. A request was not run only if no connection
// was opened, or if the runner refused it explicitly; once a byte may have left,
// the outcome of a failure is unknown. A request that is not idempotent is
// sent at most once, also by the HTTP transport underneath, which would
// otherwise repeat requests without a body by itself.
//
// The events of a streamed answer are checked for the attempt they belong to,
// for order and gaps, and for an explicit end. A broken stream is resumed at
// the same replica; where that fails, the caller sees an error event.
//
// # Usage
//
//	f := &forwarder.Forwarder{Director: d, Allocator: a}
//	failure := f.Serve(ctx, w, call)
package forwarder
