// Package former forms replicas of several VMs and repairs them, one fabric
// domain at a time.
//
// The replicas of a domain and their members are stored as one object in the
// platform's store, the assignment. It is changed only by conditional writes, so
// that no VM is assigned to two replicas even if two nodes write. Each new
// replica gets a higher epoch, and each order to a runner carries an epoch, so
// that an order that is carried out late has no effect. Rendezvous hashing
// determines the node that owns a domain. Two nodes may both work on a domain for
// a while without harm.
//
// The head of a replica is the member that receives its requests. A member is
// free for another replica only after the head of its previous one, or a later start of that
// head, has left it, or it has broken, or it has lacked a member for longer than a replica can
// stall without breaking. The silence of a head proves nothing, nor does a connection that is
// refused: a head that is neither listed nor answers any node is made to break by ordering the
// other members to leave. See docs/design/evidence.md.
//
// A domain serves one model, or all models if there are fewer domains than
// models. If no domain serves a model, a domain is reassigned to it from a model
// that has more domains than it must keep. A member that is missing from the list
// of runners stays in its replica while it answers probes.
//
// Decide computes the next assignment and orders from an Input and has no side
// effects. Controller gathers the input, stores the assignment and sends the
// orders.
//
// # Usage
//
//	c := &former.Controller{View: view, Services: services, Store: store, Send: send, Owns: owns}
//	repeater.Every(ctx, interval, func() { c.Step(ctx) })
package former
