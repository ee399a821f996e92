// Package claimer records in the platform who may run a request with an
// idempotency key, so that at most one attempt ever runs, whichever nodes the
// caller's attempts reach.
//
// Keys are divided into shards. Each shard has a head object, and every write of
// claims replaces the head conditionally: of two writers at the same version one
// fails and reads again, so two nodes never grant the same key, however long
// either was paused. A full head's claims move to an archive object first.
//
// One live node, chosen by rendezvous hashing, usually writes a shard, so that
// many claims share a write. Where it cannot be reached, any node writes itself.
//
// # Usage
//
//	c := &claimer.Claimer{Platform: p, Self: "node-1", Incarnation: i}
//	holder, err := c.Claim(ctx, claimer.Claim{Key: k, Node: "node-1", Attempt: id})
//	if err == nil && holder.Attempt == id {
//		// this attempt may run the request
//	}
package claimer
