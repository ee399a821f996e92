package forwarder

import (
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/routing/picker"
)

// Headers between callers, nodes and runners.
const (
	// HeaderTimeout is the remaining time for the request, in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderIdempotent set to "false" forbids retries of a request that may have run.
	HeaderIdempotent = "X-Idempotent"
	// HeaderIdempotencyKey identifies a request across the caller's own retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderForwardedTeam is the team of a request that another node forwards.
	HeaderForwardedTeam = "X-Forwarded-Team"
)

// Call is one caller's request.
type Call struct {
	RequestID  string
	Team       string
	Deployment string
	Spec       *parser.DeploymentSpec
	Method     string
	// Path is the path for the runner, and OriginalPath that of the caller's
	// request; both include the query.
	Path         string
	OriginalPath string
	Header       http.Header
	Body         []byte
	// Stream is true if the caller asked for a streamed response.
	Stream bool
	// Idempotent is true if the call may be repeated after it may have run.
	Idempotent bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// ExpectedTokens is the expected number of prompt and output tokens.
	ExpectedTokens int
	// PrefixHash identifies the start of the prompt. Calls with the same hash are
	// preferably sent to the same replica. It is valid if HasPrefix is set.
	PrefixHash uint64
	HasPrefix  bool
	// FromPeer is true if another node forwarded the request. PeerAttempt is that
	// node's attempt ID.
	FromPeer    bool
	PeerAttempt string

	// Attempts and ReceivedTokens are set by Serve. ReceivedTokens counts the events
	// of a stream.
	Attempts       int
	ReceivedTokens int
}

// target is the destination of one attempt: a replica, or a node of another data
// centre if isPeer is set.
type target struct {
	address string
	epoch   int64
	isPeer  bool
	replica *picker.Replica
}

// failure returns a failure of the call.
func (c *Call) failure(status int, outcome responder.Outcome, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: outcome, Reason: reason, Message: message,
		RequestID: c.RequestID, Attempts: c.Attempts, RetryAfter: retryAfter(outcome, status),
	}
}

// retryAfter returns the delay after which the caller may retry, or 0 if the response
// names none.
func retryAfter(outcome responder.Outcome, status int) time.Duration {
	if outcome == responder.NotRun && status == http.StatusServiceUnavailable {
		return time.Second
	}
	return 0
}
