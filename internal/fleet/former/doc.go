// Package former forms replicas of several VMs and repairs them, one fabric
// domain at a time.
//
// A domain's replicas and their members are one object in the platform's store,
// changed only by conditional writes, so that no VM is given to two replicas
// whoever writes. Each new replica takes a higher epoch, and every order carries
// an epoch, so that an order which is carried out late has no effect. The node
// that works on a domain is named by rendezvous hashing; that two nodes work on
// one for a while is harmless.
//
// A member is free for another replica only when the head of its old one has
// left it, has started anew, or has been gone for longer than a replica can
// stand still without breaking.
//
// A domain serves one model. One whose model has more domains than it needs to
// keep goes over to a model that has none. A member that is only missing from the
// list stays in its replica while it answers probes.
//
// Decide is a function of what is known and has no effects; Controller carries
// its decisions out.
//
// # Usage
//
//	c := &former.Controller{View: view, Services: services, Store: store, Send: send, Owns: owns}
//	repeater.Every(ctx, interval, func() { c.Step(ctx) })
package former
