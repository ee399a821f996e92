// Package acceptor accepts connections and bounds how many of them are open.
//
// A connection is idle, receives a request, or serves one. If there are too many, some give way
// to the newest: first those that have received nothing of their request for a while, of these
// the one that has sent most, then the idle ones of the address that has most of them, and then
// the others that still receive. A connection that serves a request never gives way. If all do, the
// newest is closed at once, with nothing of it read.
//
// Reading a connection that gives way fails with ErrGaveWay. Its owner answers a request of which
// a part has arrived, and closes it.
//
// Writing to a connection whose other end reads nothing fails after some seconds, so that the answer
// is not kept for ever.
//
// # Usage
//
//	l := &acceptor.Listener{Listener: listener, Max: func() int { return 1000 }}
//	nc, err := l.Accept()
//	conn := nc.(*acceptor.Conn)
//	conn.Serve() // a whole request has arrived
//	conn.Wait()  // it was answered
package acceptor
