package deliverer

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
)

// The headers between nodes.
const (
	// headerNode is the node that the caller sent the request to.
	headerNode = "X-Delivery-Node"
	// headerAge is the time in milliseconds since the request arrived there.
	headerAge = "X-Delivery-Age-Ms"
	// headerAttempts is the number of times that the request may have reached a runner,
	// before it was handed over in a request, and in all in a response.
	headerAttempts = "X-Delivery-Attempts"
	// headerLastEvent is the ID of the last event of the stream that the caller has.
	headerLastEvent = "X-Delivery-Last-Event"
	// headerVersion is the version of the configuration that has admitted the request.
	headerVersion = "X-Delivery-Version"
	// headerNotices is set if the node takes notices in streams.
	headerNotices = "X-Delivery-Notices"
	// headerOutcome and headerReason are those of a failure.
	headerOutcome = "X-Delivery-Outcome"
	headerReason  = "X-Delivery-Reason"
	// headerRetryAfter is the time in milliseconds after which the caller may return.
	headerRetryAfter = "X-Delivery-Retry-After-Ms"
)

// maxMessageBytes bounds the text of a failure.
const maxMessageBytes = 1 << 10

// Delivery describes a request that is handed over.
type Delivery struct {
	// Node is the name of the node that hands it over.
	Node string
	// Age is the time since the request arrived there.
	Age time.Duration
	// Attempts is the number of times that the request may have reached a runner.
	Attempts int
	// LastEvent is the ID of the last event that the caller has, or empty.
	LastEvent string
	// Version is the version of the configuration that has admitted it, or 0 if it is not known.
	Version int64
	// TakesNotices is set if the node takes a notice at the end of a stream that breaks off.
	// Earlier builds do not.
	TakesNotices bool
}

// setHeader writes the delivery into the header of the request.
func (d *Delivery) setHeader(h http.Header) {
	h.Set(headerNode, d.Node)
	h.Set(headerAge, strconv.FormatInt(d.Age.Milliseconds(), 10))
	h.Set(headerAttempts, strconv.Itoa(d.Attempts))
	h.Set(headerVersion, strconv.FormatInt(d.Version, 10))
	h.Set(headerNotices, "1")
	h.Del(headerLastEvent)
	if d.LastEvent != "" {
		h.Set(headerLastEvent, d.LastEvent)
	}
}

// ParseDelivery reads the delivery from the header of a request and removes it there.
func ParseDelivery(h http.Header) (Delivery, error) {
	age, err := strconv.ParseInt(h.Get(headerAge), 10, 64)
	if err != nil || age < 0 {
		return Delivery{}, fmt.Errorf("%s: %q is not a number of milliseconds", headerAge, h.Get(headerAge))
	}
	attempts, err := strconv.Atoi(h.Get(headerAttempts))
	if err != nil || attempts < 0 {
		return Delivery{}, fmt.Errorf("%s: %q is not a number", headerAttempts, h.Get(headerAttempts))
	}
	// Earlier builds name no version.
	version, err := strconv.ParseInt(cmp.Or(h.Get(headerVersion), "0"), 10, 64)
	if err != nil || version < 0 {
		return Delivery{}, fmt.Errorf("%s: %q is not a version", headerVersion, h.Get(headerVersion))
	}
	d := Delivery{Node: h.Get(headerNode), Age: time.Duration(age) * time.Millisecond, Attempts: attempts, LastEvent: h.Get(headerLastEvent), Version: version, TakesNotices: h.Get(headerNotices) == "1"}
	for _, k := range []string{headerNode, headerAge, headerAttempts, headerLastEvent, headerVersion, headerNotices} {
		h.Del(k)
	}
	return d, nil
}

// Sender returns the name of the node that hands a request over, or an empty string if the
// header of the request names none.
func Sender(h http.Header) string { return h.Get(headerNode) }

// SetFailure writes a failure into the header of the response to the other node.
func SetFailure(h http.Header, f *responder.Failure) {
	h.Set(headerOutcome, string(f.Outcome))
	h.Set(headerReason, string(f.Reason))
	h.Set(headerRetryAfter, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	SetAttempts(h, f.Attempts)
}

// SetAttempts writes the number of attempts into the header of the response.
func SetAttempts(h http.Header, attempts int) { h.Set(headerAttempts, strconv.Itoa(attempts)) }

// Reply is what another node tells with its response to a request that was handed over.
type Reply struct {
	// Attempts is the number of times that the request may have reached a runner.
	Attempts int
	// Failure is why the other node could not complete the request. It is nil if the response
	// is that of a runner.
	Failure *responder.Failure
}

// ErrNoReply is returned for a response that nothing shows to come from a node that has taken
// the request over. Whatever made it, an HTTP server or another program, the request may have run.
var ErrNoReply = errors.New("the answer is not that of a node which has taken the request over")

// ParseReply reads what the other node tells from the header of its response and removes the
// number of attempts there.
func ParseReply(r *requester.Response) (Reply, error) {
	attempts, err := strconv.Atoi(r.Header.Get(headerAttempts))
	if err != nil || attempts < 0 {
		return Reply{}, fmt.Errorf("%w: status %d, %s: %q", ErrNoReply, r.Status, headerAttempts, r.Header.Get(headerAttempts))
	}
	r.Header.Del(headerAttempts)
	return Reply{Attempts: attempts, Failure: parseFailure(r, attempts)}, nil
}

// parseFailure returns the failure that the other node reports, or nil if it reports none.
func parseFailure(r *requester.Response, attempts int) *responder.Failure {
	outcome := responder.Outcome(r.Header.Get(headerOutcome))
	if outcome == "" {
		return nil
	}
	if outcome != responder.NotRun {
		outcome = responder.Unknown
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		text = append(text, "... "+err.Error()...)
	}
	f := &responder.Failure{
		Status: r.Status, Outcome: outcome, Reason: responder.Reason(r.Header.Get(headerReason)),
		Message: strings.TrimSpace(string(text)), Attempts: attempts,
	}
	if ms, err := strconv.ParseInt(r.Header.Get(headerRetryAfter), 10, 64); err == nil && ms > 0 {
		f.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return f
}
