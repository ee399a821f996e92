// Package balancer chooses the runner or replica for a request and queues
// requests while everything that could serve them is full.
//
// The load of a target is what this node has sent there plus what the other
// nodes say they have. Targets are drawn at random, by their free places, since
// all nodes know much the same, a little late. A request waits at the node, never
// in a runner's queue, because from here it can still go anywhere. Waiting
// requests are served by priority; those that can still meet their objective
// come before those that are late, and those of a team that sends far more than
// usual come after others.
//
// A target that has requests but shows no progress is suspected: nothing more
// is sent there for a while and its requests are told to move.
//
// # Usage
//
//	place, err := b.Acquire(ctx, balancer.Request{Service: "drafting", Model: "m"})
//	if err != nil {
//		// Nothing could serve the request in time; it was not sent.
//	}
//	defer place.Release()
package balancer
