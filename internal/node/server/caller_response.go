package server

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/acceptor"
	"marjorammoor/internal/peer/deliverer"
)

// The reasons, besides those of failures, for which a request has no whole response.
const (
	// unansweredPanic is a panic after the response had begun.
	unansweredPanic = "panic"
	// unansweredWrite is a response that the connection did not take.
	unansweredWrite = "write_failed"
	// unansweredUnserved is a header that was read while the node stopped, or that
	// http.Server has answered by itself.
	unansweredUnserved = "not_served"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// countUnanswered counts a request whose connection ends without a whole response.
func countUnanswered(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_requests_unanswered_total{reason=%q}`, reason)).Inc()
}

// callerResponse is the response to a caller or another node.
type callerResponse struct {
	http.ResponseWriter
	// started is set once the status was written.
	started     bool
	writeFailed bool
	// http10 is the connection of a caller of HTTP/1.0, or nil.
	http10 *acceptor.Conn
}

// newCallerResponse returns the response to a request.
func newCallerResponse(rw http.ResponseWriter, r *http.Request) *callerResponse {
	w := &callerResponse{ResponseWriter: rw}
	if !r.ProtoAtLeast(1, 1) {
		w.http10 = acceptedConn(r.Context())
	}
	return w
}

// Unwrap is used by http.ResponseController.
func (w *callerResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *callerResponse) WriteHeader(status int) {
	w.started = true
	if w.http10 != nil && w.Header().Get("Content-Length") == "" {
		// Its end is that of the connection. By whatever cause that ends before the response is whole,
		// the caller gets a reset.
		_ = w.http10.SetLinger(0)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerResponse) Write(b []byte) (int, error) {
	w.started = true
	n, err := w.ResponseWriter.Write(b)
	w.recordWrite(err)
	return n, err
}

// flush sends what was written.
func (w *callerResponse) flush() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.recordWrite(err)
	return err
}

// finish records that the response is whole.
func (w *callerResponse) finish() {
	if w.http10 != nil && !w.writeFailed {
		_ = w.http10.SetLinger(-1)
	}
}

func (w *callerResponse) recordWrite(err error) {
	if err != nil && !w.writeFailed {
		w.writeFailed = true
		countUnanswered(unansweredWrite)
	}
}

// abort closes the connection, so that the response does not look complete.
func (w *callerResponse) abort(reason string) {
	countUnanswered(reason)
	panic(http.ErrAbortHandler)
}

// answerPanic is deferred. It answers a request whose handler has panicked: http.Server
// would close the connection.
func (n *Node) answerPanic(w *callerResponse, d *deliverer.Delivery) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	stack := debug.Stack()
	n.Log.Error("request handler panicked", "panic", fmt.Sprint(p), "started", w.started, "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if w.started {
		w.abort(unansweredPanic)
	}
	n.fail(w, nil, d, &responder.Failure{
		Status: http.StatusBadGateway, Outcome: responder.Unknown, Reason: responder.ReasonInternal, Message: "the node failed to serve the request",
	})
}
