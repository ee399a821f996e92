// Package requester is a small HTTP/1.1 client for requests that must not be
// repeated by the transport.
//
// It differs from net/http's client in four ways. It never sends a request a
// second time and follows no redirect. An error says whether any byte of the
// request may have reached the server. It skips an answer that names another
// attempt, which a server may deliver late on a kept connection. And a
// connection is kept only if nothing about its state is in doubt.
//
// # Usage
//
//	c := &requester.Client{}
//	answer, err := c.Do(ctx, &requester.Request{Method: "GET", Address: "10.0.0.1:80", Target: "/", Host: "a"})
//	if err != nil {
//		sent := requester.MaySent(err)
//	}
//	defer answer.Close()
package requester
