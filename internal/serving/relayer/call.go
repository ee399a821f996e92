package relayer

import (
	"iter"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// Call is a caller's request together with the state of its attempts.
type Call struct {
	ID string
	// Team is the name of the caller's team, or empty.
	Team  string
	Route *matcher.Route
	// Engine is the model engine of the service, or nil for a service without
	// models.
	Engine *matcher.Engine
	// Service is the service that was chosen among the route's targets.
	Service string
	Model   string
	Method  string
	// Target is the path with the query, as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// PromptTokens and MaxOutput are the number of prompt tokens and the maximum
	// number of output tokens.
	PromptTokens int
	MaxOutput    int
	// SharedParts are the IDs of the parts of the prompt that other requests may have
	// too, in order; nil means that there are none.
	SharedParts iter.Seq[string]
	// Prompt describes the prompt of a request for a model, as the caller sent it.
	Prompt string
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// LastEvent is the ID of the event after which the caller resumes a stream, or
	// empty.
	LastEvent string
	// CatalogVersion is the version of the configuration that admitted the call.
	CatalogVersion int64
	// Arrived is when the node received the request.
	Arrived time.Time
	// Deadline is when the node stops working on the call. It is never after
	// CallerDeadline.
	Deadline time.Time
	// CallerDeadline is when the caller stops waiting. It is passed to runners.
	CallerDeadline time.Time

	// Timing records the waiting time and the progress of the response.
	Timing Timing

	// guard tells the breaker what happens to the current attempt, and admitted to the call, which
	// has events once any attempt has. They differ if the attempt was sent beside another one.
	guard, admitted *breaker.Call
	// attempts is the number of times that the call may have reached a runner.
	attempts int
	// tried lists the IDs of the targets that were chosen, in order.
	tried []string
	// next is the attempt that goes on in place of the last one, which was silent.
	next *attempt
	// isDelivered is set if another node has handed the call over, and triedPeers lists the
	// nodes that this one has handed it over to.
	isDelivered bool
	triedPeers  []string
	// stage is what the call is waiting for, or last waited for.
	stage Stage
	// mayHaveRun is set once an attempt has an unknown outcome.
	mayHaveRun bool
	// errorResponse is the last error response of a runner. The caller gets it if no
	// later attempt succeeds.
	errorResponse *bufferedResponse
}

// Stage is what a call waits for.
type Stage string

// The stages of an attempt, in order.
const (
	StageSlot       Stage = "slot"
	StageConnection Stage = "connection"
	StageResponse   Stage = "response"
	StageBody       Stage = "body"
	StagePeer       Stage = "peer"
)

// Timing records where the time of a call was spent.
type Timing struct {
	// Placed is the time for which the call waited for slots, over all attempts.
	Placed time.Duration
	// FirstByte is the time from the arrival of the call to the first byte sent to the
	// caller.
	FirstByte time.Duration
	// LongestGap is the longest pause between two writes of events to the caller.
	LongestGap time.Duration

	// lastWrite is when a part of the response was last written to the caller.
	lastWrite time.Time
}

// recordWrite records that a part of the response was written to the caller.
func (t *Timing) recordWrite(arrived time.Time) {
	now := time.Now()
	if t.lastWrite.IsZero() {
		t.FirstByte = now.Sub(arrived)
	} else {
		t.LongestGap = max(t.LongestGap, now.Sub(t.lastWrite))
	}
	t.lastWrite = now
}

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	pieces [][]byte
	memory *reserver.Reservation
}

// size returns the size of the body in bytes.
func (b *bufferedResponse) size() int {
	n := 0
	for _, piece := range b.pieces {
		n += len(piece)
	}
	return n
}

// release returns the memory of the body.
func (b *bufferedResponse) release() {
	if b != nil {
		b.memory.Release()
	}
}

// recordBreak records that the runner of a slot broke off the call. Without a slot, another
// node records it.
func (c *Call) recordBreak(slot *balancer.Slot) {
	if slot == nil {
		return
	}
	slot.RecordFailure()
	c.guard.Break()
}

// recordEvents records that the runner of the current attempt has sent events.
func (c *Call) recordEvents(n int) {
	c.guard.RecordEvents(n)
	if c.admitted != nil && c.admitted != c.guard {
		c.admitted.RecordEvents(n)
	}
}

// Attempts returns the number of times that the call may have reached a runner.
func (c *Call) Attempts() int { return c.attempts }

// Tried returns the IDs of the targets that were chosen, in order. It includes
// targets to which no connection could be opened.
func (c *Call) Tried() []string { return c.tried }

// Stage returns what the call is waiting for, or last waited for.
func (c *Call) Stage() Stage { return c.stage }

// TriedPeers returns the names of the nodes that the call was handed over to, in order.
func (c *Call) TriedPeers() []string { return c.triedPeers }

// Inspection is the result of reading the status and header of a runner's response.
type Inspection struct {
	// NotRun is set if the runner reports that it did not run the request.
	NotRun bool
	// Misdirected is set if another runner now uses the address.
	Misdirected bool
	// FaultyRunner names the runner that keeps its replica from serving, if any.
	FaultyRunner string
	// Verified is set if the response is verified to come from the runner.
	Verified bool
	// NamesLimit is set if the runner names the number of requests per second that it
	// takes from all nodes together, which is then Limit.
	NamesLimit bool
	Limit      float64
	// Leaving is set if the runner leaves, and gets no more requests.
	Leaving bool
	// Pause is for how long the runner wants no requests from this node.
	Pause time.Duration
	// Encoded is set if the body was encoded after it left the runner.
	Encoded bool
}

// Wire translates between calls and the HTTP headers that runners use.
type Wire struct {
	// Header returns the header of a request to a runner. remaining is the time
	// until the caller's deadline; lastEvent is the ID of the event after which a
	// stream is resumed, or empty.
	Header func(c *Call, t *tracker.Target, remaining time.Duration, lastEvent string) http.Header
	// Echo is the header that a response copies from its request, so that responses
	// to other attempts are detected.
	Echo string
	// Inspect reads the status and header of a response.
	Inspect func(status int, h http.Header) Inspection
	// EndToEnd returns the part of a header that is passed on: all but what concerns a
	// single connection.
	EndToEnd func(h http.Header) http.Header
}

// ResponseWriter writes the response to the caller.
type ResponseWriter struct {
	// Start writes the status and the header.
	Start func(status int, h http.Header)
	// Write writes a part of the body and flushes it.
	Write func(b []byte) error
}

func (c *Call) failure(status int, outcome responder.Outcome, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: outcome, Reason: reason, Message: message,
		RequestID: c.ID, Attempts: c.attempts,
	}
}
