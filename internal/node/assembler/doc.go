// Package assembler creates and connects the components of a serving node, which
// runs on one entry VM, and runs the node until a stop is requested.
//
// The node stops gracefully: it reports that it is not ready, accepts requests until
// the load balancer no longer sends new ones, lets the requests in progress finish,
// and exits. When the drain timeout expires, or a second signal arrives, it stops at
// once; a drain timeout is counted in a metric.
//
// # Usage
//
//	n, err := assembler.New(settings, logger)
//	if err == nil {
//		err = n.Run(ctx) // until ctx ends and all requests have finished
//	}
package assembler
