// Package controller manages the replicas of one data centre: it observes the VMs,
// runs the planner, writes the changed assignments conditionally and sends orders
// to the runners until their reported state matches the assignments.
//
// One node per data centre, chosen by rendezvous hashing, does this at a time. The
// choice only avoids wasted writes. If two nodes plan at once, the platform's
// conditional writes prevent them from assigning a VM twice.
//
// Runners that check fencing refuse outdated orders themselves. To other runners,
// the controller sends orders only shortly after the platform confirmed that the
// assignment is current. When the assignment has changed, it first waits until no
// order of the previous version can still be in transit.
//
// # Usage
//
//	c := &controller.Controller{Board: board, Platform: p, Verifier: v, Self: "node-1", DataCenter: "vake"}
//	go c.Run(ctx)
package controller
