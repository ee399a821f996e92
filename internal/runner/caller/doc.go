// Package caller is an HTTP client of the runners' control interface: it reads a
// runner's identity and sends it orders to load or unload a model.
//
// An order carries the replica's epoch as a fencing number. Runners of a pool that
// checks fencing refuse an order whose number is smaller than that of the last order
// they accepted. Other runners execute every order, so the sender must hold the
// current assignment of the fabric domain.
//
// # Usage
//
//	c := &caller.Caller{}
//	id, err := c.Identity(ctx, "127.0.1.1:9000")
//	if err == nil && id.State == caller.StateIdle {
//		id, err = c.Order(ctx, "127.0.1.1:9000", order)
//	}
package caller
