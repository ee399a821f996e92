package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/memory/divider"
	"marjorammoor/internal/network/acceptor"
)

const (
	// checkTimeout is the maximum time for a request of readiness or metrics, and for how long such
	// a connection may be idle.
	checkTimeout = 10 * time.Second
	// checkHeadBytes is the maximum size of such a request's head.
	checkHeadBytes = 8 << 10
)

// listen listens on an address. The port, which gets its share of the sockets, is for the log.
func (n *Node) listen(address, port string, share divider.Sockets) (net.Listener, error) {
	buffers := acceptor.Buffers{ReceiveBytes: divider.ReceiveBufferBytes, Waiting: n.shares().Waiting(share)}
	l, err := acceptor.Listen(context.Background(), "tcp4", address, buffers)
	if err != nil {
		return nil, fmt.Errorf("open the port of %s: %w", port, err)
	}
	return &acceptor.Listener{
		Listener:  l,
		Max:       func() int { return n.shares().Connections(share) },
		OnGiveWay: func(c *acceptor.Conn, reason acceptor.Reason) { n.recordGivenWay(c, port, reason) },
	}, nil
}

func (n *Node) listenToCallers() (net.Listener, error) {
	l, err := n.listen(n.Settings.CallerAddress, callerPort, divider.Callers)
	if err != nil {
		return nil, err
	}
	return &callerListener{
		Listener: l, heads: headBounds{memory: n.newHeadMemory(), maxBytes: n.maxCallerHead},
		limits: n.callerLimits, tooLarge: n.tooLargeResponse, record: n.recordUnhandled,
	}, nil
}

func (n *Node) listenToNodes() (net.Listener, error) {
	l, err := n.listen(n.Settings.PeerAddress, deliveryPort, divider.Nodes)
	if err != nil {
		return nil, err
	}
	return &watchedListener{Listener: l, heads: headBounds{memory: n.newHeadMemory(), maxBytes: n.maxNodeHead}, record: n.recordUnhandled}, nil
}

// recordGivenWay counts and logs a connection that is closed for the sake of others.
func (n *Node) recordGivenWay(c *acceptor.Conn, port string, reason acceptor.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_connections_given_way_total{port=%q,reason=%q}`, port, string(reason))).Inc()
	if n.givenWayLog.take() {
		n.Log.Warn("connection gives way to others", "port", port, "address", c.RemoteAddr().String(), "reason", reason, "stopping", n.isStopping())
	}
}

// serve serves until the server is closed.
func serve(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// checkServer serves checks of readiness or metrics.
func checkServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ConnState: acceptor.Track, MaxHeaderBytes: checkHeadBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: checkTimeout, WriteTimeout: checkTimeout, IdleTimeout: checkTimeout,
	}
}
