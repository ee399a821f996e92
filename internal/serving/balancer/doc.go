// Package balancer chooses the runner or replica for a request and queues requests
// while all targets that could serve them are full.
//
// The load of a target is the number of requests that this node has in flight there
// plus the numbers that the other nodes report. The target is drawn at random,
// weighted by free slots: all nodes have nearly the same, slightly outdated figures
// and would all choose the same target if each took the one with the most free
// slots. While there are fewer free slots than requests, each node uses only its share
// of them until the next reports. Targets of this data centre are used unless those of
// others have clearly more free slots.
//
// Requests wait at the node and hardly ever in a runner's queue, because a request that
// waits here can still go to any target. Requests that can still meet their latency
// objective are served before late ones, then by priority; requests of a team that
// sends far more than its usual rate come after those of other teams. A request that
// cannot expect a slot in time is refused at once.
//
// A target may name the rate of requests that it takes from all nodes together. Each node
// uses a fixed part of it, and the target is not chosen while that part is used up.
//
// A target that has requests but makes no progress for any node is suspected: it gets
// no new requests for a while, and the requests it holds are notified so that they can
// be retried on another target.
//
// # Usage
//
//	slot, err := b.Acquire(ctx, &balancer.Request{Service: "drafting", Model: "m", WaitUntil: deadline})
//	if err != nil {
//		// No target had a free slot in time; the request was not sent.
//	}
//	defer slot.Release()
package balancer
