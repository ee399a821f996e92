package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"marjorammoor/internal/gateway/authenticator"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

const (
	// maxBufferedBytes is the size up to which a response body is read completely
	// before any of it is sent to the caller. A larger one is relayed as it arrives.
	maxBufferedBytes = 16 << 20
	cancelTimeout    = time.Second
)

// droppedHeaders are not forwarded: hop-by-hop headers, the caller's credential, and
// headers that the node sets itself.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Expect",
	authenticator.HeaderPeerToken, HeaderForwardedTeam,
	caller.HeaderEpoch, caller.HeaderAttempt, caller.HeaderNotRun,
	responder.HeaderOutcome, responder.HeaderAttempts,
}

// attempt sends a call to a target once.
func (f *Forwarder) attempt(ctx context.Context, rw *responseWriter, c *Call, t target) *responder.Failure {
	if t.replica != nil && !t.replica.IsHealthy() {
		return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonNoReplica, "the replica's proof has lapsed")
	}
	id := c.RequestID + "-" + strconv.Itoa(c.Attempts)
	connected := &atomic.Bool{}
	r, err := f.newRequest(ctx, c, t, id, connected)
	if err != nil {
		return c.failure(http.StatusInternalServerError, responder.NotRun, responder.ReasonBadHeader, err.Error())
	}
	sentAt := time.Now()
	resp, err := f.client(c).Do(r)
	if err != nil {
		return f.transportFailure(ctx, c, t, id, connected.Load())
	}
	defer resp.Body.Close() //nolint:errcheck
	if reason := resp.Header.Get(caller.HeaderNotRun); reason != "" && mayBeOf(id, resp) {
		return refusalFailure(c, resp.StatusCode, reason)
	}
	if failure := checkResponse(c, t, id, resp); failure != nil {
		return failure
	}
	if isEventStream(resp) {
		s := &relay{forwarder: f, call: c, target: t, attempt: id, writer: rw, sentAt: sentAt}
		return s.run(ctx, resp.Body)
	}
	return f.relayBuffered(ctx, rw, c, resp)
}

// newRequest creates the HTTP request of one attempt. connected is set when the
// transport has a connection, because from then on bytes may be sent.
func (f *Forwarder) newRequest(ctx context.Context, c *Call, t target, id string, connected *atomic.Bool) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	path := c.Path
	if t.isPeer {
		path = c.OriginalPath
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+t.address+path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	// Without GetBody the transport cannot send the body a second time.
	r.GetBody = nil
	copyHeaders(r.Header, c.Header)
	r.Header.Set(responder.HeaderRequestID, c.RequestID)
	r.Header.Set(caller.HeaderAttempt, id)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	if t.isPeer {
		r.Header.Set(authenticator.HeaderPeerToken, f.PeerToken)
		r.Header.Set(HeaderForwardedTeam, c.Team)
		r.Header.Set(HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	} else {
		r.Header.Set(caller.HeaderEpoch, strconv.FormatInt(t.epoch, 10))
	}
	return r, nil
}

// copyHeaders copies all headers except droppedHeaders.
func copyHeaders(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	for _, k := range droppedHeaders {
		to.Del(k)
	}
}

// client returns the HTTP client for a call. When a kept-alive connection breaks, the
// transport repeats a request without a body, so such a request uses a new connection
// unless it is idempotent.
func (f *Forwarder) client(c *Call) *http.Client {
	if !c.Idempotent && len(c.Body) == 0 {
		return f.FreshClient
	}
	return f.Client
}

// transportFailure returns the failure of an attempt that got no response. Its
// outcome is not run if there was no connection, and unknown otherwise.
func (f *Forwarder) transportFailure(ctx context.Context, c *Call, t target, id string, connected bool) *responder.Failure {
	outcome := responder.NotRun
	if connected {
		outcome = responder.Unknown
		f.cancelAtRunner(c, t, id)
	}
	switch {
	case ctx.Err() != nil:
		return contextFailure(ctx, c, outcome)
	case connected:
		return c.failure(http.StatusBadGateway, outcome, responder.ReasonConnectionBroken, "the connection broke before the answer")
	default:
		return c.failure(http.StatusServiceUnavailable, outcome, responder.ReasonDialFailed, "no connection could be opened")
	}
}

// cancelAtRunner asks the model engine in the background to stop generating for an
// attempt whose response is no longer needed.
func (f *Forwarder) cancelAtRunner(c *Call, t target, id string) {
	if t.isPeer || c.Spec.Type != parser.TypeModel {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.address+"/v1/streams/"+id, nil)
		if err != nil {
			return
		}
		if resp, err := f.Client.Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// mayBeOf reports whether a response names an attempt, or none.
func mayBeOf(id string, resp *http.Response) bool {
	got := resp.Header.Get(caller.HeaderAttempt)
	return got == "" || got == id
}

// refusalFailure returns the failure for a response which states that the request was not run. A
// success contradicts that, and leaves it unknown.
func refusalFailure(c *Call, status int, reason string) *responder.Failure {
	if status < http.StatusBadRequest {
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, fmt.Sprintf("the answer has status %d and says that the request was not run: %s", status, reason))
	}
	return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonRefused, "refused: "+reason)
}

// checkResponse checks that a response belongs to the attempt. A plain service need
// not return the attempt ID.
func checkResponse(c *Call, t target, id string, resp *http.Response) *responder.Failure {
	gotID := resp.Header.Get(caller.HeaderAttempt)
	mustRepeat := c.Spec.Type == parser.TypeModel && resp.StatusCode == http.StatusOK || t.isPeer
	if gotID != id && (mustRepeat || gotID != "") {
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, "the answer belongs to another attempt")
	}
	if t.isPeer && resp.Header.Get(responder.HeaderOutcome) == string(responder.Unknown) {
		return c.failure(resp.StatusCode, responder.Unknown, responder.ReasonConnectionBroken, "the other data centre does not know the outcome")
	}
	return nil
}

// relayBuffered reads the complete response before it writes any of it, so that the
// caller never receives a partial one. A body above maxBufferedBytes, or for which there is no
// memory, is relayed as it arrives, and the caller's connection is aborted if the body breaks off.
func (f *Forwarder) relayBuffered(ctx context.Context, rw *responseWriter, c *Call, resp *http.Response) *responder.Failure {
	memory := f.Memory.Reserve(c.Deployment, func() {})
	defer memory.Release()
	body, err := memory.ReadInto(io.LimitReader(resp.Body, maxBufferedBytes+1), min(resp.ContentLength, maxBufferedBytes))
	isWhole := err == nil && len(body) <= maxBufferedBytes
	if err != nil && !errors.Is(err, reserver.ErrFull) {
		if ctx.Err() != nil {
			return contextFailure(ctx, c, responder.Unknown)
		}
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, "the answer broke off")
	}
	rw.start(resp)
	if _, err := rw.w.Write(body); err != nil || isWhole {
		return nil
	}
	if _, err := io.Copy(rw.w, resp.Body); err != nil {
		rw.abort()
	}
	return nil
}
