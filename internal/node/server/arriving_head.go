package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/discarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/divider"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/acceptor"
	"marjorammoor/internal/serving/admitter"
)

const (
	// freeHeadBytes is the size of the first piece of a head. The share of the connection has it.
	freeHeadBytes = 4 << 10
	// headMemoryFactor is the memory for each further byte of a head: its text grows by copies.
	headMemoryFactor = 3
	// headTextFactor is how much longer than its names and values a head may be as it is sent: a
	// field may have a name of one byte and no value. headLineBytes is for the line and the host.
	headTextFactor = 4
	headLineBytes  = 16 << 10
	// lingerBytes bounds what is read and thrown away of a head that was refused, so that the caller
	// can read the answer.
	lingerBytes = 256 << 10
)

// tooLargeError is the error of a head that is too large. It counts as a timeout, so that
// http.Server closes the connection without an answer of its own.
type tooLargeError struct{}

func (tooLargeError) Error() string   { return "the head is too large" }
func (tooLargeError) Timeout() bool   { return true }
func (tooLargeError) Temporary() bool { return false }

var errHeadTooLarge net.Error = tooLargeError{}

// headBounds bound the heads that arrive at a port.
type headBounds struct {
	// memory bounds all of them together.
	memory *reserver.Reserver
	// maxBytes returns the maximum size of one as it is sent. Larger ones need not be read to
	// know that they exceed the limit.
	maxBytes func(c *acceptor.Conn) int
}

// arrivingHead is the head of a request that arrives. The zero value has no bounds. Only the
// goroutine that reads the connection for the server uses it.
type arrivingHead struct {
	bounds *headBounds
	memory *reserver.Reservation
	size   int
}

// add reserves the memory for a part of the head, beyond the first piece. If there is none,
// the connection gives way.
func (h *arrivingHead) add(n int, c *watchedConn) error {
	before := h.size
	h.size += n
	switch {
	case h.bounds == nil || h.size <= freeHeadBytes:
		return nil
	case h.bounds.maxBytes != nil && h.size > h.bounds.maxBytes(c.Conn):
		return errHeadTooLarge
	}
	if h.memory == nil {
		h.memory = h.bounds.memory.Reserve("", func() { c.GiveWay() })
	}
	if err := h.memory.Insist(int64(h.size-max(before, freeHeadBytes)) * headMemoryFactor); err != nil {
		c.GiveWay()
		return acceptor.ErrGaveWay
	}
	return nil
}

// settle records that the head has arrived whole, and does not give way any more.
func (h *arrivingHead) settle() {
	if h.memory != nil {
		// If it has given way already, so has the connection.
		_ = h.memory.Settle()
	}
}

// release returns the memory.
func (h *arrivingHead) release() {
	if h.memory != nil {
		h.memory.Release()
	}
	h.memory, h.size = nil, 0
}

// linger ends the answer and throws away what the caller has sent, for a short time. Closing a
// connection with unread bytes resets it, and the caller could not read the answer.
func (c *callerConn) linger() {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(discarder.LingerTime))
	// Whatever ends it, the connection is closed next.
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
}

// newHeadMemory returns the bound for all heads that arrive at a port.
func (n *Node) newHeadMemory() *reserver.Reserver {
	return &reserver.Reserver{Limit: func() int64 { return n.shares().Bytes(divider.RequestHeads) }}
}

// maxCallerHead returns the maximum size of a caller's head as it is sent.
func (n *Node) maxCallerHead(*acceptor.Conn) int {
	return headTextFactor*n.callerLimits().HeaderBytes + headLineBytes
}

// maxNodeHead returns the same for other nodes. Theirs were checked by the node that got the
// request, perhaps by a newer configuration. Whoever is not known as a node is bound as callers are.
func (n *Node) maxNodeHead(c *acceptor.Conn) int {
	if n.beater.KnowsAddress(c.Host()) {
		return maxDeliveryHeadBytes
	}
	return n.maxCallerHead(c)
}

// tooLargeResponse returns the answer to a caller whose head is too large to be read: a refusal for
// good, or if there may be a newer configuration, one for now.
func (n *Node) tooLargeResponse() string {
	f := n.admitter.Deny(n.catalog.Load(), &admitter.Incoming{}, http.StatusRequestHeaderFieldsTooLarge, responder.ReasonHeaderTooLarge, errHeadTooLarge.Error())
	retry := ""
	if f.RetryAfter > 0 {
		retry = "Retry-After: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", f.Status, http.StatusText(f.Status), retry)
}
