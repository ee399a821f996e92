package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"marjorammoor/internal/gateway/authenticator"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

const (
	// maxBufferedAnswer bounds an answer that is checked whole before the caller
	// sees any of it. A longer one is passed on as it comes.
	maxBufferedAnswer = 16 << 20
	cancelTimeout     = time.Second
)

// hopHeaders are not passed on, and neither is who the caller is.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Expect",
	authenticator.HeaderPeerToken, HeaderForwardedTeam,
	caller.HeaderEpoch, caller.HeaderAttempt, caller.HeaderNotRun,
	responder.HeaderOutcome, responder.HeaderAttempts,
}

// attempt sends a call to a target once.
func (f *Forwarder) attempt(ctx context.Context, a *answerWriter, c *Call, t target) *responder.Failure {
	if t.replica != nil && !t.replica.IsProved() {
		return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonNoReplica, "the replica's proof has lapsed")
	}
	id := c.RequestID + "-" + strconv.Itoa(c.Attempts)
	opened := &atomic.Bool{}
	r, err := f.request(ctx, c, t, id, opened)
	if err != nil {
		return c.failure(http.StatusInternalServerError, responder.NotRun, responder.ReasonBadHeader, err.Error())
	}
	sentAt := time.Now()
	answer, err := f.client(c).Do(r)
	if err != nil {
		return f.sendFailure(ctx, c, t, id, opened.Load())
	}
	defer answer.Body.Close() //nolint:errcheck
	if reason := answer.Header.Get(caller.HeaderNotRun); reason != "" {
		return c.failure(http.StatusServiceUnavailable, responder.NotRun, responder.ReasonRefused, "refused: "+reason)
	}
	if failure := checkAnswer(c, t, id, answer); failure != nil {
		return failure
	}
	if isEventStream(answer) {
		s := &relay{forwarder: f, call: c, target: t, attempt: id, writer: a, sentAt: sentAt}
		return s.run(ctx, answer.Body)
	}
	return f.passOn(ctx, a, c, answer)
}

// request builds the request of one attempt. It sets opened as soon as a byte
// may leave.
func (f *Forwarder) request(ctx context.Context, c *Call, t target, id string, opened *atomic.Bool) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { opened.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	path := c.Path
	if t.isNode {
		path = c.OriginalPath
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+t.address+path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	// Without GetBody the transport cannot send a body a second time.
	r.GetBody = nil
	copyHeaders(r.Header, c.Header)
	r.Header.Set(responder.HeaderRequestID, c.RequestID)
	r.Header.Set(caller.HeaderAttempt, id)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	if t.isNode {
		r.Header.Set(authenticator.HeaderPeerToken, f.PeerToken)
		r.Header.Set(HeaderForwardedTeam, c.Team)
		r.Header.Set(HeaderIdempotent, strconv.FormatBool(c.Idempotent))
	} else {
		r.Header.Set(caller.HeaderEpoch, strconv.FormatInt(t.epoch, 10))
	}
	return r, nil
}

func copyHeaders(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	for _, k := range hopHeaders {
		to.Del(k)
	}
}

// client returns the client for a call. The transport repeats a request by
// itself when a kept-alive connection breaks if the request has no body, so
// one that must not be repeated goes over a connection of its own.
func (f *Forwarder) client(c *Call) *http.Client {
	if !c.Idempotent && len(c.Body) == 0 {
		return f.FreshClient
	}
	return f.Client
}

// sendFailure says what is known after a request got no answer.
func (f *Forwarder) sendFailure(ctx context.Context, c *Call, t target, id string, opened bool) *responder.Failure {
	outcome := responder.NotRun
	if opened {
		outcome = responder.Unknown
		f.cancel(c, t, id)
	}
	switch {
	case ctx.Err() != nil:
		return ended(ctx, c, outcome)
	case opened:
		return c.failure(http.StatusBadGateway, outcome, responder.ReasonConnectionBroken, "the connection broke before the answer")
	default:
		return c.failure(http.StatusServiceUnavailable, outcome, responder.ReasonDialFailed, "no connection could be opened")
	}
}

// cancel tells the engine that nobody waits for an attempt any more.
func (f *Forwarder) cancel(c *Call, t target, id string) {
	if t.isNode || c.Spec.Type != parser.TypeModel {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.address+"/v1/streams/"+id, nil)
		if err != nil {
			return
		}
		if answer, err := f.Client.Do(r); err == nil {
			_ = answer.Body.Close()
		}
	}()
}

// checkAnswer makes sure that an answer belongs to the attempt. Plain services
// need not repeat the attempt's name.
func checkAnswer(c *Call, t target, id string, answer *http.Response) *responder.Failure {
	given := answer.Header.Get(caller.HeaderAttempt)
	mustRepeat := c.Spec.Type == parser.TypeModel && answer.StatusCode == http.StatusOK || t.isNode
	if given != id && (mustRepeat || given != "") {
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonAnswerMismatch, "the answer belongs to another attempt")
	}
	if t.isNode && answer.Header.Get(responder.HeaderOutcome) == string(responder.Unknown) {
		return c.failure(answer.StatusCode, responder.Unknown, responder.ReasonConnectionBroken, "the other data centre does not know the outcome")
	}
	return nil
}

// passOn reads an answer whole and writes it, so that the caller never sees a
// part of one. An answer that is too large for that is passed on as it comes,
// and the caller's connection is closed if it breaks.
func (f *Forwarder) passOn(ctx context.Context, a *answerWriter, c *Call, answer *http.Response) *responder.Failure {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	if err != nil {
		if ctx.Err() != nil {
			return ended(ctx, c, responder.Unknown)
		}
		return c.failure(http.StatusBadGateway, responder.Unknown, responder.ReasonConnectionBroken, "the answer broke off")
	}
	a.start(answer)
	if _, err := a.w.Write(body); err != nil || len(body) <= maxBufferedAnswer {
		return nil
	}
	if _, err := io.Copy(a.w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
