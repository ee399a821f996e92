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
	// HeaderTimeout is the time that is left for the request, in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderIdempotent set to "false" forbids that a call is repeated.
	HeaderIdempotent = "X-Idempotent"
	// HeaderIdempotencyKey names a call across a caller's own retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderForwardedTeam is the team of a request that another node passes on.
	HeaderForwardedTeam = "X-Forwarded-Team"
)

// Call is one caller's request.
type Call struct {
	RequestID  string
	Team       string
	Deployment string
	Spec       *parser.DeploymentSpec
	Method     string
	// Path is what the runner is asked for, and OriginalPath what the caller
	// asked the node for; both with the query.
	Path         string
	OriginalPath string
	Header       http.Header
	Body         []byte
	Stream       bool
	Idempotent   bool
	Key          string
	// Tokens is the expected work.
	Tokens     int
	PrefixHash uint64
	HasPrefix  bool
	// FromPeer says that another node passed the request on, as the attempt
	// PeerAttempt.
	FromPeer    bool
	PeerAttempt string

	// Attempts and Used are set by Serve: the attempts made and tokens received.
	Attempts int
	Used     int
}

// target is where one attempt goes.
type target struct {
	address string
	epoch   int64
	isNode  bool
	replica *picker.Replica
}

func (c *Call) failure(status int, outcome responder.Outcome, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{
		Status: status, Outcome: outcome, Reason: reason, Message: message,
		RequestID: c.RequestID, Attempts: c.Attempts, RetryAfter: retryAfter(outcome, status),
	}
}

func retryAfter(outcome responder.Outcome, status int) time.Duration {
	if outcome == responder.NotRun && status == http.StatusServiceUnavailable {
		return time.Second
	}
	return 0
}
