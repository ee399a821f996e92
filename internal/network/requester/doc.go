// Package requester is a small HTTP/1.1 client for requests that must not be
// repeated by the transport.
//
// It differs from net/http's client in four ways. It never sends a request twice and
// follows no redirect. Its errors tell whether a byte of the request may have
// reached the server. It skips a response that names another attempt, which a server
// may send late on a reused connection. And it reuses a connection only if the last
// response was read to its end and no unread bytes have arrived since.
//
// # Usage
//
//	c := &requester.Client{}
//	response, err := c.Do(ctx, &requester.Request{Method: "GET", Address: "10.0.0.1:80", Target: "/", Host: "a"})
//	if err != nil {
//		sent := requester.MaySent(err)
//	}
//	defer response.Close()
package requester
