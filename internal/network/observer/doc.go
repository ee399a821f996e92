// Package observer tells which servers this node reaches. Whether it does is a property of
// the pair of node and server: a server that is out of reach of one node may serve others.
//
// The evidence is what the node's own connections show. Bytes that a server sends and
// connections that it accepts show that it is in reach. A connection or a probe that fails
// shows that it may not be. Silence alone shows nothing, since a server may be busy; it makes
// the Observer ask for a probe on a new connection.
//
// A node that loses its links loses those to many servers at once. If probes of several
// servers of a group fail and hardly any server of it answers, the whole group counts as lost
// until probes succeed. Groups are the servers of a service in a data centre, those of a
// service, and all. Where old connections live on and only new ones fail, servers count as
// lost for new connections only.
//
// # Usage
//
//	o := &observer.Observer{}
//	client := &requester.Client{Observer: o}
//	for _, t := range o.Step(targets) {
//		go func() { o.RecordProbe(t, started, probe(t)) }()
//	}
//	if o.State(address) == observer.Lost {
//		// Another node may reach the server.
//	}
package observer
