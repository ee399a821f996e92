// Package controller carries out the plans for the replicas of one data centre:
// it writes assignments conditionally and drives the runners' orders until the
// runners report what the assignments say.
//
// One node of the data centre, chosen by rendezvous hashing, plans at a time.
// That only avoids wasted writes: the platform's conditional writes keep two
// planners from giving one VM away twice. Orders to runners that do not check
// fencing are sent only shortly after the platform confirmed the assignment, and
// a new assignment's orders wait until no earlier order can still be on its way.
//
// # Usage
//
//	c := &controller.Controller{Board: board, Platform: p, Verifier: v, Self: "node-1", DataCenter: "vake"}
//	go c.Run(ctx)
package controller
