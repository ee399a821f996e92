// Package exchanger keeps streams between entry nodes, on which they send each other
// configuration, sightings of runners, and demand.
//
// Every node keeps a stream to each other node of its data centre. It sends a
// heartbeat at an interval and after a change; a heartbeat holds the changes since
// the last one. Between data centres only a few nodes, chosen by rendezvous hashing,
// keep streams. They send a summary of their data centre instead of sightings.
//
// A heartbeat confirms all sightings that were sent on the stream before: it has the
// age of the sender's oldest sighting. The receiver subtracts this age from the time
// at which it sent the acknowledgement that the heartbeat echoes. So the clocks of
// two nodes are never compared, and a delayed heartbeat confirms nothing newer than
// that acknowledgement.
//
// # Usage
//
//	x := &exchanger.Exchanger{Board: board, Self: node, DataCenter: dataCenter, Token: token}
//	server := &http.Server{Handler: x.Handler(), Protocols: exchanger.Protocols()}
//	go x.Run(ctx)
package exchanger
