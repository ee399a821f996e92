// Package caller speaks the published protocol of the model engines: it reads
// a runner's identity and gives it orders.
//
// An order carries the replica's epoch as fencing number. Runners of a pool
// that checks fencing refuse an order with a smaller number than the last one
// they took; other runners obey every order, so whoever sends one has to hold
// the domain's current assignment.
//
// # Usage
//
//	c := &caller.Caller{}
//	id, err := c.Identity(ctx, "127.0.1.1:9000")
//	if err == nil && id.State == caller.StateIdle {
//		err = c.Order(ctx, "127.0.1.1:9000", order)
//	}
package caller
