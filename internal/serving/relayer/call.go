package relayer

import (
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// Call is one caller's request.
type Call struct {
	ID string
	// Team is the name of the caller's team, or empty.
	Team   string
	Route  *matcher.Route
	Engine *matcher.Engine
	// Service is the one drawn among the route's.
	Service string
	Model   string
	Method  string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// PromptTokens and MaxOutput are the size of a generation.
	PromptTokens int
	MaxOutput    int
	Priority     int
	// LastEvent is the event after which the caller wants the stream, or empty.
	LastEvent string
	Arrived   time.Time
	// Deadline is when the caller must have its final answer.
	Deadline time.Time
	// CallerDeadline is when the caller stops waiting. It is passed to runners.
	CallerDeadline time.Time

	// Timing is how the answer went.
	Timing Timing

	attempts int
	tried    []string
	mayRun   bool
	// kept is a runner's error, which the caller gets if no other attempt is made.
	kept *wholeAnswer
}

// Timing tells where the time of a call went.
type Timing struct {
	// Placed is how long the call waited for a place, in all attempts.
	Placed time.Duration
	// First is the time from the call's arrival to the first byte for the caller.
	First time.Duration
	// LongestGap is the longest pause between two events of a stream.
	LongestGap time.Duration

	last time.Time
}

// wrote notes that a part of the answer has gone out.
func (t *Timing) wrote(arrived time.Time) {
	now := time.Now()
	if t.last.IsZero() {
		t.First = now.Sub(arrived)
	} else {
		t.LongestGap = max(t.LongestGap, now.Sub(t.last))
	}
	t.last = now
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Attempts returns how many runners the call was sent to.
func (c *Call) Attempts() int { return c.attempts }

// Tried returns the IDs of the targets that were chosen, in order.
func (c *Call) Tried() []string { return c.tried }

// Inspection is what an answer's header says.
type Inspection struct {
	// NotRun says that the runner did not run the request.
	NotRun bool
	// Elsewhere says that the address belongs to another runner now.
	Elsewhere bool
	// FaultyRunner names the runner that kept the replica from serving, if any.
	FaultyRunner string
	// Genuine says that the answer is surely the runner's own.
	Genuine bool
	// Encoded says that the body is not the runner's as it left it.
	Encoded bool
}

// Wire builds and reads messages between a node and runners.
type Wire struct {
	// Header returns the header of a request to a runner. lastEvent is the event
	// after which a stream is to go on, or empty.
	Header func(c *Call, t *tracker.Target, left time.Duration, lastEvent string) http.Header
	// Echo names the header by which an answer names its attempt.
	Echo string
	// Inspect reads an answer's header.
	Inspect func(status int, h http.Header) Inspection
	// AnswerHeader returns the part of a runner's header that the caller gets.
	AnswerHeader func(h http.Header) http.Header
}

// Answer is where a caller's answer is written.
type Answer struct {
	// Start writes the status and the header.
	Start func(status int, h http.Header)
	// Write writes a part of the body and sends it at once.
	Write func(b []byte) error
}

func (c *Call) failure(status int, outcome responder.Outcome, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: outcome, Reason: reason, Message: message,
		RequestID: c.ID, Attempts: c.attempts,
	}
}
