// Package server runs a node on a platform whose store holds the configuration,
// the list of runners and all other durable state.
//
// A Node connects the other packages: it follows the store, exchanges heartbeats
// with the other nodes, forms replicas, and serves callers. Platform holds the
// platform's client, codecs and wire format, so that this package does not depend
// on them.
//
// # Usage
//
//	n := &server.Node{Settings: settings, Platform: platform, Log: log}
//	err := n.Run(ctx) // returns after a graceful stop
package server
