package server

import (
	"net"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/relayer"
)

// deliveryIdleTimeout is how long a connection of another node may be idle.
const deliveryIdleTimeout = 60 * time.Second

// deliveryServer serves the requests that other nodes hand over. It listens on the address
// for heartbeats.
func (n *Node) deliveryServer() *http.Server {
	return &http.Server{
		Handler: watched(n.serveDelivery), ReadHeaderTimeout: headerTimeout, IdleTimeout: deliveryIdleTimeout, MaxHeaderBytes: maxDeliveryHeadBytes,
		BaseContext: n.baseContext, ConnState: n.trackDelivery, ConnContext: withConn, DisableGeneralOptionsHandler: true,
	}
}

// serveDelivery serves a request that another node hands over. Only addresses from which
// heartbeats come are served.
func (n *Node) serveDelivery(w http.ResponseWriter, r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || !n.beater.HasPeerAt(host) {
		n.Log.Warn("request from an unknown node is rejected", "address", r.RemoteAddr)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	d, err := deliverer.ParseDelivery(r.Header)
	if err != nil {
		n.Log.Warn("request from another node cannot be decoded", "address", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.serve(w, r, &d)
}

// reply adds to the header of a response what the other node needs, if the call was handed
// over by one.
func reply(w http.ResponseWriter, d *deliverer.Delivery, c *relayer.Call, f *responder.Failure) {
	switch {
	case d == nil:
	case f != nil:
		deliverer.SetFailure(w.Header(), f)
	default:
		deliverer.SetAttempts(w.Header(), c.Attempts())
	}
}
