package relayer

import (
	"errors"
	"net/http"
	"time"

	"marjorammoor/internal/gateway/responder"
)

// stopRetryAfter is the Retry-After time for callers of a node that stops. Other nodes can
// take the request at once.
const stopRetryAfter = 100 * time.Millisecond

// ErrStopping is the cause with which the context of a call ends if the node stops before the
// call is done.
var ErrStopping = errors.New("the node is stopping")

// StopFailure returns the failure for a call that a stopping node does not finish.
func StopFailure(c *Call, outcome responder.Outcome) *responder.Failure {
	if outcome != responder.NotRun {
		return c.failure(http.StatusGatewayTimeout, outcome, responder.ReasonShuttingDown, ErrStopping.Error())
	}
	f := c.failure(http.StatusServiceUnavailable, outcome, responder.ReasonShuttingDown, ErrStopping.Error())
	f.RetryAfter = stopRetryAfter
	return f
}
