// Package server runs a node on a platform that keeps the configuration, the
// list of runners and everything that must last in its store.
//
// It puts the product's parts together: it follows the store, exchanges beats
// with the other nodes, forms replicas, and serves callers. All that is the
// platform's own way of saying things comes in through Ports.
//
// # Usage
//
//	n := &server.Node{Settings: settings, Ports: ports, Log: log}
//	err := n.Run(ctx) // returns after a graceful stop
package server
