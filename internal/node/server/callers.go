package server

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/discarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
)

const (
	// admissionLifetime is how long a request stays admitted while its body arrives. After that, its
	// credential may have been withdrawn.
	admissionLifetime = 100 * time.Millisecond
	// memoryRetryAfter is the Retry-After time for callers whose body finds no memory. Others
	// take a fraction of a second to be passed on.
	memoryRetryAfter = 500 * time.Millisecond
)

var (
	requestDurations   = metrics.NewHistogram(`marjorammoor_request_seconds`)
	firstByteDurations = metrics.NewHistogram(`marjorammoor_first_byte_seconds`)
)

// callerServer serves callers. The connections keep their time limits themselves.
func (n *Node) callerServer() *http.Server {
	return &http.Server{
		Handler:        watched(n.serveCaller),
		BaseContext:    n.baseContext,
		ConnState:      n.trackCaller,
		ConnContext:    withConn,
		MaxHeaderBytes: maxHeadBytes,
		ErrorLog:       slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug),
		// OPTIONS * is routed as all requests are.
		DisableGeneralOptionsHandler: true,
	}
}

// serveCaller serves one request of a caller.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if c := callerConnOf(r.Context()); c != nil {
		idle := n.callerLimits().IdleTimeout
		c.handle(idle)
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idle/time.Second)))
	}
	n.serve(w, r, nil)
}

// serve reads, admits and serves one request of a caller, or of another node that hands it
// over.
func (n *Node) serve(rw http.ResponseWriter, r *http.Request, d *deliverer.Delivery) {
	w := newCallerResponse(rw, r)
	defer n.answerPanic(w, d)
	arrived := time.Now()
	if d != nil {
		arrived = arrived.Add(-d.Age)
	}
	n.hasReceivedRequest.Store(true)
	n.activeRequests.Add(1)
	defer n.activeRequests.Add(-1)
	defer requestDurations.UpdateDuration(arrived)
	n.closeIfStopping(w.Header())
	useOriginForm(r)
	in := n.Platform.ParseRequest(r)
	in.Arrived = arrived
	catalog := n.catalog.Load()
	if catalog == nil {
		// It knows no limits either.
		if _, failure := n.admitter.Admit(in); failure != nil {
			discarder.Leave(rw, r)
			n.fail(w, nil, d, failure)
			return
		}
	}
	limits := n.callerLimits()
	if d != nil {
		// The node that hands it over has checked the size, perhaps by a newer configuration.
		limits.BodyBytes = maxBodyBytes
	}
	call, failure := n.admitHead(r, in, catalog, limits, d)
	if failure != nil {
		discarder.Leave(rw, r)
		n.fail(w, nil, d, failure)
		return
	}
	conn := acceptedConn(r.Context())
	memory := n.reserveBody(conn, call, d)
	defer memory.Release()
	// Only the server's own writer closes the connection after a body that is too large.
	body, failure := n.readBody(rw, r, in, catalog, limits, memory, call.Deadline)
	if failure == nil && conn != nil && !conn.Serve() {
		failure = gaveWay(in)
	}
	if failure == nil && time.Since(arrived) > admissionLifetime {
		call, failure = n.admit(in)
	}
	if failure != nil {
		n.fail(w, nil, d, failure)
		return
	}
	call.Body = body
	if d != nil {
		call.Adopt(*d)
	}
	n.serveCall(r.Context(), w, call, d)
}

// admitHead decides on a request by its head, so that one that is refused need not be read.
func (n *Node) admitHead(r *http.Request, in *admitter.Incoming, c *matcher.Catalog, l matcher.Limits, d *deliverer.Delivery) (*relayer.Call, *responder.Failure) {
	if d == nil {
		if failure := n.checkHeader(r, in, c, l); failure != nil {
			return nil, failure
		}
	}
	if r.ContentLength > l.BodyBytes {
		return nil, n.tooLarge(in, c, l)
	}
	return n.admit(in)
}

// admit returns the call for a request, or the failure if it is not admitted now.
func (n *Node) admit(in *admitter.Incoming) (*relayer.Call, *responder.Failure) {
	call, failure := n.admitter.Admit(in)
	if failure == nil {
		failure = n.stopRefusal(call)
	}
	return call, failure
}

// serveCall sends an admitted call to a runner and writes the response.
func (n *Node) serveCall(ctx context.Context, w *callerResponse, c *relayer.Call, d *deliverer.Delivery) {
	status := 0
	hasBegun := atomic.Bool{}
	ctx, cancel := n.withAnswerTime(ctx, &hasBegun)
	defer cancel()
	a := &relayer.ResponseWriter{
		Start: func(code int, h http.Header) {
			status = code
			hasBegun.Store(true)
			header := w.Header()
			for k, v := range h {
				header[k] = v
			}
			n.closeIfStopping(header)
			reply(w, d, c, nil)
			firstByteDurations.UpdateDuration(c.Arrived)
			w.WriteHeader(code)
		},
		Write: func(b []byte) error {
			if _, err := w.Write(b); err != nil {
				return fmt.Errorf("write response: %w", err)
			}
			if err := w.flush(); err != nil {
				return fmt.Errorf("flush response: %w", err)
			}
			return nil
		},
	}
	failure := n.relayer.Serve(ctx, c, a)
	if failure != nil {
		n.fail(w, c, d, failure)
		return
	}
	w.finish()
	from := ""
	if d != nil {
		from = d.Node
	}
	n.Log.Info("request completed", "request", c.ID, "status", status, "service", c.Service, "model", c.Model,
		"attempts", c.Attempts(), "targets", c.Tried(), "peers", c.TriedPeers(), "from_node", from, "wait_ms", c.Timing.Placed.Milliseconds(), "first_ms", c.Timing.FirstByte.Milliseconds(),
		"gap_ms", c.Timing.LongestGap.Milliseconds(), "ms", time.Since(c.Arrived).Milliseconds(), "catalog_version", c.CatalogVersion)
}

// fail logs and counts a failure and writes it to the caller. It aborts the
// connection instead if a part of the response was sent. A caller that has left may have
// closed its sending half only, and gets the failure too.
func (n *Node) fail(w *callerResponse, c *relayer.Call, d *deliverer.Delivery, f *responder.Failure) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_failures_total{reason=%q,outcome=%q}`, string(f.Reason), string(f.Outcome))).Inc()
	age := n.catalogs.Age()
	if f.Verdict != nil {
		age = f.Verdict.Age
	}
	args := []any{
		"request", f.RequestID, "status", f.Status, "outcome", f.Outcome, "reason", f.Reason, "message", f.Message,
		"started", f.Started, "retry_after_ms", f.RetryAfter.Milliseconds(), "catalog_age_ms", age.Milliseconds(),
	}
	if v := f.Verdict; v != nil {
		args = append(args, "catalog_version", v.Version, "newest_version", n.newestVersion(), "host", v.Host, "path", v.Path, "credential", v.Credential)
	}
	if c != nil {
		args = append(args, "service", c.Service, "model", c.Model, "attempts", c.Attempts(), "targets", c.Tried(), "peers", c.TriedPeers(), "waited_for", c.Stage(), "wait_ms", c.Timing.Placed.Milliseconds(),
			"parts", c.PartNames(), "ms", time.Since(c.Arrived).Milliseconds(), "catalog_version", c.CatalogVersion)
		if f.Outcome == responder.Unknown {
			args = append(args, "fingerprint", c.Fingerprint())
		}
	}
	if d != nil {
		args = append(args, "from_node", d.Node)
	}
	n.Log.Warn("request failed", args...)
	if f.Started {
		tellAttempts(w, d, c)
		w.abort(string(f.Reason))
	}
	n.closeIfStopping(w.Header())
	reply(w, d, c, f)
	n.Platform.WriteFailure(w, f)
	w.finish()
}
