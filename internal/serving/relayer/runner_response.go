package relayer

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/serving/balancer"
)

// judgement is what a response of a runner, or of another node for it, may be used for.
type judgement int

const (
	// fit responses may be passed on to the caller.
	fit judgement = iota
	// refusal is the runner's statement that it has not run the request and will not.
	refusal
	// unfit responses leave it unknown whether the request has run.
	unfit
)

// judge decides on a response by its status and header. Callers read some statuses as the promise
// that their request was not run. That a runner keeps this promise follows only from its
// statement, so such a status is never passed on.
func (i *Inspection) judge(status int) judgement {
	switch {
	case i.Misdirected, i.NotRun && mayRefuse(status):
		return refusal
	case i.NotRun, !i.Verified, i.Encoded, responder.PromisesNotRun(status):
		return unfit
	}
	return fit
}

// mayRefuse reports whether a status goes with the statement that a request was not run. A success
// or another error than 503 contradicts it.
func mayRefuse(status int) bool {
	return status == http.StatusServiceUnavailable || status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// progress returns what the header of a response with a status counts for.
func (i *Inspection) progress(status int) progress {
	if i.judge(status) != fit || status >= http.StatusInternalServerError {
		return useless
	}
	return partial
}

// unfitFailure returns the failure for a response that may not be passed on.
func unfitFailure(c *Call, status int, i Inspection) *responder.Failure {
	reason, message := responder.ReasonAnswerMismatch, errUnverifiedResponse.Error()
	if i.Verified && !i.Encoded {
		reason = responder.ReasonRunnerError
		message = fmt.Sprintf("the runner returned status %d, which with not_run=%t does not tell whether the request was run", status, i.NotRun)
	}
	return c.failure(http.StatusBadGateway, responder.Unknown, reason, message)
}

// logRunnerResponse logs and counts a response of a runner that is no success. It tells what the
// runner states, so that a refusal of the runner can be told from one of this node.
func (r *Relayer) logRunnerResponse(c *Call, t balancer.Target, response *requester.Response, i Inspection) {
	if response.Status < http.StatusMultipleChoices && i.judge(response.Status) == fit {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_runner_responses_failed_total{status="%d",not_run="%t",signed="%t"}`, response.Status, i.NotRun, i.Verified)).Inc()
	r.Log.Info("runner has responded with a failure", "request", c.ID, "runner", t.ID, "address", t.Address, "status", response.Status, "not_run", i.NotRun,
		"signed", i.Verified, "named", response.IsNamed, "first_on_connection", response.IsFirst, "attempt", c.attempts, "faulty_runner", i.FaultyRunner, "pause_ms", i.Pause.Milliseconds())
}
