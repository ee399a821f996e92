// Package exchanger carries facts between entry nodes.
//
// Every node keeps a stream to each other node of its data centre, on which it
// sends what has changed of its configuration, sightings and demand, and a beat
// at an interval. Between data centres only a few nodes, chosen by rendezvous
// hashing, keep streams, and send a summary of their data centre instead of
// sightings.
//
// A beat stands for everything sent before it: it says how long ago the oldest
// of the sender's sightings was confirmed. The receiver dates that from the time
// at which it sent the acknowledgement that the beat echoes. No clock is compared
// with another node's, and a beat that was delayed on its way proves nothing
// newer than the acknowledgement.
//
// # Usage
//
//	x := &exchanger.Exchanger{Board: board, Self: node, Token: token}
//	server := &http.Server{Handler: x.Handler(), Protocols: exchanger.Protocols()}
//	go x.Run(ctx)
package exchanger
