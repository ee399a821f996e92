// Package assembler builds the serving process of one entry VM out of its parts
// and runs it until it is told to stop.
//
// A stop is graceful: the node reports that it is not ready, goes on accepting
// while the balancer moves on, lets requests in progress finish and then leaves.
// The drain timeout, which is counted, or a second signal ends it at once.
//
// # Usage
//
//	n, err := assembler.New(settings, logger)
//	if err == nil {
//		err = n.Run(ctx) // until ctx ends and all requests have finished
//	}
package assembler
