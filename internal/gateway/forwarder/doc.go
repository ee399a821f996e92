// Package forwarder sends a request to a replica, or to a node of another data
// centre, and relays the response to the caller.
//
// It distinguishes three outcomes. A request counts as not run only if no connection
// was opened or the runner refused it explicitly. Once a byte may have been sent, the
// outcome of a failure is unknown. A request that may have run is sent again only if
// it is idempotent. This also holds for the HTTP transport, which by default repeats
// requests without a body when a kept-alive connection breaks.
//
// Each event of a streamed response must belong to the attempt and follow the event
// before it, and the stream must have an explicit end. A broken stream is resumed at
// the same replica; if that fails, the caller receives an error event.
//
// # Usage
//
//	f := &forwarder.Forwarder{Director: d, Allocator: a, Client: c, FreshClient: fresh}
//	failure := f.Serve(ctx, w, call)
package forwarder
