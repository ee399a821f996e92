// Package deliverer hands a caller's request over to another node, which sends it to a
// runner. A node does so if it has lost its own links to the runners that can serve the
// request and the other node reaches them.
//
// The other node treats the request as if the caller had sent it there: it checks the
// credential, chooses the runner, and keeps limits and the retry rules. It never hands it
// over again. Ages are told instead of times, since clocks differ: the caller's deadline
// counts from the arrival at the first node. The response comes back as the runner sent it,
// with the number of attempts; a failure says besides whether the request may have run. A
// response that names no attempts is not the other node's.
//
// # Usage
//
//	peer, ok := d.Choose("drafting", "model-a", nil)
//	response, err := d.Send(ctx, peer, request, deliverer.Delivery{Age: time.Since(arrived)})
//	reply, err := deliverer.ParseReply(response)
//	switch {
//	case err != nil:
//		// Something else than a node has answered.
//		d.Avoid(peer)
//	case reply.Failure != nil:
//		// The other node could not complete the request.
//	}
package deliverer
