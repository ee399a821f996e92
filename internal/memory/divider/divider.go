// Package divider divides the memory and the sockets of a VM among what a process keeps.
//
// It is the only place that knows these shares; docs/design/memory.md shows their sum.
//
// # Usage
//
//	d := &divider.Divider{Memory: 184 << 20, Sockets: 3900}
//	connections := d.Connections(divider.Callers)
//	bytes := d.Bytes(divider.RequestBodies)
package divider

import "math"

const (
	// ReceiveBufferBytes is the size that is asked for the receive buffer of a connection that was
	// accepted. The system may keep twice as much that was not read.
	ReceiveBufferBytes = 16 << 10
	// connectionBytes is what a connection with a request takes at most, beside the shares of
	// heads and bodies: its receive buffer, buffers of the server, a goroutine and the parsed head.
	connectionBytes = 2*ReceiveBufferBytes + 25<<10
	// minConnections is the least share of connections.
	minConnections = 8
	// waitingShare is the fraction of a share of connections that may wait to be accepted besides,
	// and minWaiting the least number of these.
	waitingShare = 0.25
	minWaiting   = 32
)

// Memory is a share of the memory.
type Memory int

// The shares of the memory.
const (
	// Heap is what the garbage collector keeps the heap below. It contains the other shares,
	// but for the receive buffers.
	Heap Memory = iota
	// RequestBodies and ResponseBodies are the bodies beyond the first piece of each.
	RequestBodies
	ResponseBodies
	// RequestHeads are the heads that arrive at a port, beyond the first piece of each.
	RequestHeads
)

// memoryShares are fractions of the memory.
var memoryShares = map[Memory]float64{Heap: 0.7, RequestBodies: 0.2, ResponseBodies: 0.15, RequestHeads: 0.05}

// Sockets is a share of the sockets. What is not shared out is for connections to runners,
// nodes and the store.
type Sockets int

// The shares of the sockets.
const (
	// Callers are the connections of callers, and Nodes those of other nodes.
	Callers Sockets = iota
	Nodes
	// Checks are connections that ask whether the node is ready, or for its metrics, at each port.
	Checks
)

// socketShares are fractions of the sockets. Each request of a caller may take another
// connection, to a runner.
var socketShares = map[Sockets]float64{Callers: 0.42, Nodes: 0.1, Checks: 0.01}

// connectionShares are the fractions of the memory for connections.
var connectionShares = map[Sockets]float64{Callers: 0.25, Nodes: 0.05, Checks: 0.05}

// Divider divides the memory and the sockets. The zero value has no bounds.
type Divider struct {
	// Memory is the memory in bytes, and Sockets the number of sockets. 0 is no bound.
	Memory, Sockets int64
}

// Bytes returns a share of the memory.
func (d *Divider) Bytes(m Memory) int64 { return share(d.Memory, memoryShares[m]) }

// Connections returns how many connections may be open.
func (d *Divider) Connections(s Sockets) int {
	count := min(share(d.Sockets, socketShares[s]), share(d.Memory, connectionShares[s])/connectionBytes)
	return int(min(max(count, minConnections), math.MaxInt32))
}

// Waiting returns how many connections may wait to be accepted. The system receives for these too.
func (d *Divider) Waiting(s Sockets) int {
	return max(int(float64(d.Connections(s))*waitingShare), minWaiting)
}

// share returns a fraction of a bound.
func share(bound int64, fraction float64) int64 {
	if bound <= 0 {
		return math.MaxInt64
	}
	return int64(float64(bound) * fraction)
}
