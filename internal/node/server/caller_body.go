package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/discarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/acceptor"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
)

// bodyStallTime is how long nothing of a body may arrive.
const bodyStallTime = 5 * time.Second

// arrivingBody is a body of a request that arrives. It must not stop for bodyStallTime, and must
// end by the deadline of its request and before the node stops.
type arrivingBody struct {
	io.Reader
	control  *http.ResponseController
	deadline time.Time
	stopping context.Context
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(bodyStallTime)
	if b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.control.SetReadDeadline(deadline)
	if b.stopping.Err() != nil {
		_ = b.control.SetReadDeadline(time.Now())
	}
	return b.Reader.Read(p)
}

// reserveBody begins the reservation of a request's body. Its sender is a team at an address, or
// the node that hands the request over. If it has to give way, so does its connection.
func (n *Node) reserveBody(conn *acceptor.Conn, c *relayer.Call, d *deliverer.Delivery) *reserver.Reservation {
	sender, abort := c.Team, func() {}
	if conn != nil {
		sender += " " + conn.Host()
		abort = func() { conn.GiveWay() }
	}
	if d != nil {
		sender = d.Node
	}
	return n.requestMemory.Reserve(sender, abort)
}

// readBody reads the request body up to the limit, which follows from a configuration, and until
// the request's deadline. If there is no memory for it, the request is refused as soon as that
// is known.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, in *admitter.Incoming, c *matcher.Catalog, l matcher.Limits, memory *reserver.Reservation, deadline time.Time) ([]byte, *responder.Failure) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	control := http.NewResponseController(w)
	stop := context.AfterFunc(n.signals.answers, func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	arriving := &arrivingBody{Reader: http.MaxBytesReader(w, r.Body, l.BodyBytes), control: control, deadline: deadline, stopping: n.signals.answers}
	body, err := memory.ReadRequest(r.Context(), arriving, r.ContentLength)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	discarder.Close(w)
	return nil, n.bodyFailure(in, c, l, err)
}

// bodyFailure returns the failure of a request whose body could not be read.
func (n *Node) bodyFailure(in *admitter.Incoming, c *matcher.Catalog, l matcher.Limits, err error) *responder.Failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return n.tooLarge(in, c, l)
	case errors.Is(err, acceptor.ErrGaveWay), errors.Is(err, reserver.ErrRevoked):
		return gaveWay(in)
	case errors.Is(err, reserver.ErrFull):
		return &responder.Failure{
			Status: http.StatusServiceUnavailable, Outcome: responder.NotRun, Reason: responder.ReasonOutOfMemory, Message: err.Error(), RequestID: in.ID, RetryAfter: memoryRetryAfter,
		}
	}
	return &responder.Failure{Status: http.StatusRequestTimeout, Outcome: responder.NotRun, Reason: responder.ReasonBodyNotRead, Message: err.Error(), RequestID: in.ID}
}

// tooLarge returns the failure of a request whose body is larger than the limit.
func (n *Node) tooLarge(in *admitter.Incoming, c *matcher.Catalog, l matcher.Limits) *responder.Failure {
	return n.admitter.Deny(c, in, http.StatusRequestEntityTooLarge, responder.ReasonBodyTooLarge, fmt.Sprintf("the body has more than %d bytes", l.BodyBytes))
}

// gaveWay returns the failure of a request whose connection gives way to others.
func gaveWay(in *admitter.Incoming) *responder.Failure {
	return &responder.Failure{
		Status: http.StatusServiceUnavailable, Outcome: responder.NotRun, Reason: responder.ReasonGaveWay, Message: acceptor.ErrGaveWay.Error(), RequestID: in.ID, RetryAfter: memoryRetryAfter,
	}
}
