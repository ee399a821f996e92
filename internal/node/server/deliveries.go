package server

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/discarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
)

// deliveryIdleTimeout is how long a connection of another node may be idle.
const deliveryIdleTimeout = 60 * time.Second

// refusedDeliveryRetryAfter is the Retry-After time of a request that no node takes over.
const refusedDeliveryRetryAfter = 500 * time.Millisecond

// deliveryServer serves the requests that other nodes hand over. It listens on the address
// for heartbeats.
func (n *Node) deliveryServer() *http.Server {
	return &http.Server{
		Handler: watched(n.serveDelivery), ReadHeaderTimeout: headerTimeout, IdleTimeout: deliveryIdleTimeout, MaxHeaderBytes: maxDeliveryHeadBytes,
		BaseContext: n.baseContext, ConnState: n.trackDelivery, ConnContext: withConn, DisableGeneralOptionsHandler: true,
	}
}

// serveDelivery serves a request that another node hands over. Only nodes that this one knows are
// served: those that it has heard of by heartbeats or in the store.
func (n *Node) serveDelivery(w http.ResponseWriter, r *http.Request) {
	n.nameRequest(w, r)
	sender := deliverer.Sender(r.Header)
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || !n.beater.Knows(sender, host) {
		n.Log.Warn("request from an unknown node is refused", "address", r.RemoteAddr, "from_node", sender, "known_nodes", n.beater.PeerCount(),
			"age_ms", time.Since(n.startedAt).Milliseconds())
		n.refuseDelivery(w, r, sender, responder.ReasonUnknownPeer, "this node does not know the node that hands the request over")
		return
	}
	d, err := deliverer.ParseDelivery(r.Header)
	if err != nil {
		n.refuseDelivery(w, r, sender, responder.ReasonBadDelivery, err.Error())
		return
	}
	if own := n.catalogVersion(); own < d.Version {
		n.refuseDelivery(w, r, sender, responder.ReasonConfigurationOutdated, fmt.Sprintf("this node uses version %d of the configuration, the other one has used %d", own, d.Version))
		return
	}
	n.serve(w, r, &d)
}

// nameRequest names the request in the header of the response, whoever makes it: on a connection
// that it has used before, the other node takes no response that names none.
func (n *Node) nameRequest(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(n.Platform.Wire.Echo); id != "" {
		w.Header().Set(n.Platform.Wire.Echo, id)
	}
}

// refuseDelivery refuses a request of another node, which may hand it over to a third one.
func (n *Node) refuseDelivery(w http.ResponseWriter, r *http.Request, sender string, reason responder.Reason, message string) {
	d := &deliverer.Delivery{Node: sender}
	discarder.Leave(w, r)
	n.fail(&callerResponse{ResponseWriter: w}, nil, d, &responder.Failure{
		Status: http.StatusServiceUnavailable, Outcome: responder.NotRun, Reason: reason, Message: message,
		RequestID: n.Platform.ParseRequest(r).ID, RetryAfter: refusedDeliveryRetryAfter,
	})
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

// tellAttempts tells the other node how often a stream that breaks off may have reached a runner:
// it may have been sent again since its response began.
func tellAttempts(w *callerResponse, d *deliverer.Delivery, c *relayer.Call) {
	if d == nil || !d.TakesNotices || c == nil || c.Route.Type != matcher.Stream {
		return
	}
	// If the connection is broken, the other node cannot be told.
	if _, err := w.Write(deliverer.AppendNotice(nil, c.Attempts())); err == nil {
		_ = w.flush()
	}
}
