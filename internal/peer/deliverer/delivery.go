package deliverer

import (
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
}

// setHeader writes the delivery into the header of the request.
func (d *Delivery) setHeader(h http.Header) {
	h.Set(headerNode, d.Node)
	h.Set(headerAge, strconv.FormatInt(d.Age.Milliseconds(), 10))
	h.Set(headerAttempts, strconv.Itoa(d.Attempts))
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
	d := Delivery{Node: h.Get(headerNode), Age: time.Duration(age) * time.Millisecond, Attempts: attempts, LastEvent: h.Get(headerLastEvent)}
	for _, k := range []string{headerNode, headerAge, headerAttempts, headerLastEvent} {
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

// ParseAttempts reads the number of attempts from the header of a response and removes it
// there. It returns 1 if there is none: the request may have reached a runner.
func ParseAttempts(h http.Header) int {
	n, err := strconv.Atoi(h.Get(headerAttempts))
	h.Del(headerAttempts)
	if err != nil {
		return 1
	}
	return n
}

// NamesDelivery reports whether the header of a response says that its sender has taken the
// request for one that was handed over.
func NamesDelivery(h http.Header) bool { return h.Get(headerAttempts) != "" }

// FailureReason returns the reason of the failure that the header of a response reports, and
// false if it reports none.
func FailureReason(h http.Header) (responder.Reason, bool) {
	return responder.Reason(h.Get(headerReason)), h.Get(headerOutcome) != ""
}

// ParseFailure returns the failure that the other node reports, and false if it returned
// the response of a runner.
func ParseFailure(r *requester.Response) (*responder.Failure, bool) {
	outcome := responder.Outcome(r.Header.Get(headerOutcome))
	if outcome == "" {
		return nil, false
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
		Message: strings.TrimSpace(string(text)), Attempts: ParseAttempts(r.Header),
	}
	if ms, err := strconv.ParseInt(r.Header.Get(headerRetryAfter), 10, 64); err == nil && ms > 0 {
		f.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return f, true
}
