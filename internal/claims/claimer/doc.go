// Package claimer records in the platform which attempt may run a request with an
// idempotency key, so that at most one attempt ever runs, whichever nodes the
// caller's attempts reach.
//
// Keys are divided into shards. Each shard has a head object, and every write of
// claims replaces the head conditionally: of two writers at the same version, one
// fails and reads again. Two nodes therefore never grant the same key to different
// attempts, however long either was paused. When the head is full, its claims move
// to an archive object before the next write.
//
// A shard is usually written by its owner, a live node chosen by rendezvous hashing,
// so that many claims share a write. If the owner cannot be reached, any node writes
// the claim itself.
//
// # Usage
//
//	c := &claimer.Claimer{Platform: p, Self: "node-1"}
//	holder, err := c.Claim(ctx, claimer.Claim{Key: k, Node: "node-1", Incarnation: i, Attempt: id})
//	if err == nil && holder.Attempt == id {
//		// this attempt may run the request
//	}
package claimer
