// Package responder defines the outcomes of a request and writes failures to callers.
//
// There are three outcomes. Completed means that the complete response was delivered.
// NotRun means that the request was provably not run. Unknown means that neither is
// certain. Each response carries the outcome, the request ID and the number of
// attempts as headers. A streamed response carries the outcome as a trailer, because
// it is known only at the end.
//
// # Usage
//
//	responder.Error(w, &responder.Failure{
//		Status: http.StatusTooManyRequests, Outcome: responder.NotRun,
//		Reason: responder.ReasonRateRequests, RequestID: id,
//	})
package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Outcome states whether a request was run.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
)

// PromisesNotRun reports whether callers read a status as the promise that their request was not
// run and never will be.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Reason is a machine-readable cause of a refusal or failure.
type Reason string

// The reasons.
const (
	ReasonUnknownCredential     Reason = "unknown_credential"
	ReasonUnknownDeployment     Reason = "unknown_deployment"
	ReasonUnknownPath           Reason = "unknown_path"
	ReasonHeaderTooLarge        Reason = "header_too_large"
	ReasonBodyTooLarge          Reason = "body_too_large"
	ReasonBodyNotRead           Reason = "body_not_read"
	ReasonMalformedJSON         Reason = "malformed_json"
	ReasonBadHeader             Reason = "bad_header"
	ReasonDeadline              Reason = "deadline_expired"
	ReasonRateRequests          Reason = "rate_requests"
	ReasonRateTokens            Reason = "rate_tokens"
	ReasonTooManyStreams        Reason = "too_many_streams"
	ReasonQueueFull             Reason = "queue_full"
	ReasonQueueTimeout          Reason = "queue_timeout"
	ReasonNoReplica             Reason = "no_replica"
	ReasonReplicasPaused        Reason = "replicas_paused"
	ReasonUnreachable           Reason = "runners_unreachable"
	ReasonUnknownPeer           Reason = "unknown_peer"
	ReasonBadDelivery           Reason = "bad_delivery"
	ReasonDeniedByPeer          Reason = "denied_by_peer"
	ReasonReplicasFull          Reason = "replicas_full"
	ReasonDialFailed            Reason = "dial_failed"
	ReasonRefused               Reason = "refused_by_runner"
	ReasonConnectionBroken      Reason = "connection_broken"
	ReasonStreamBroken          Reason = "stream_broken"
	ReasonAnswerMismatch        Reason = "answer_mismatch"
	ReasonCallerGone            Reason = "caller_gone"
	ReasonClaimsUnavailable     Reason = "claims_unavailable"
	ReasonKeyReused             Reason = "key_reused"
	ReasonEarlierAttemptUnknown Reason = "earlier_attempt_unknown"
	ReasonAnswerNotKept         Reason = "answer_not_kept"
	ReasonShuttingDown          Reason = "shutting_down"
	ReasonNotReady              Reason = "not_ready"
	ReasonTooManyConnections    Reason = "too_many_connections"
	ReasonStalled               Reason = "stalled"
	ReasonRunnerError           Reason = "runner_error"
	ReasonConfigurationStale    Reason = "configuration_stale"
	ReasonConfigurationOutdated Reason = "configuration_outdated"
	ReasonNoConfiguration       Reason = "no_configuration"
	ReasonUnknownRoute          Reason = "unknown_route"
	ReasonUnknownModel          Reason = "unknown_model"
	ReasonPartBlocked           Reason = "prompt_part_blocked"
	ReasonRequestBlocked        Reason = "request_blocked"
	ReasonOutOfMemory           Reason = "out_of_memory"
	ReasonGaveWay               Reason = "gave_way"
	ReasonInternal              Reason = "internal"
)

// The headers of responses.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempts  = "X-Attempts"
	HeaderOutcome   = "X-Outcome"
)

// Failure describes why a request did not complete.
type Failure struct {
	Status    int
	Outcome   Outcome
	Reason    Reason
	Message   string
	RequestID string
	Attempts  int
	// RetryAfter is the delay after which the caller may retry; 0 sets no header.
	RetryAfter time.Duration
	// Started is true if a part of the response was sent to the caller.
	Started bool
	// Verdict is set if the configuration has decided.
	Verdict *Verdict
}

// Verdict is what a refusal rests on that the configuration has decided.
type Verdict struct {
	// Version is the version of the configuration, and Age the time since it was last
	// confirmed to be current.
	Version int64
	Age     time.Duration
	// Host and Path are those of the request, cut to a bounded length.
	Host string
	Path string
	// Credential tells credentials apart without revealing them. It is empty if the
	// request has none.
	Credential string
}

// Error returns the reason, the outcome and the message.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Outcome, f.Message)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Reason    Reason  `json:"reason"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id"`
	Attempts  int     `json:"attempts"`
}

// Body returns the failure as the JSON body of a response.
func (f *Failure) Body() []byte {
	b, _ := json.Marshal(errorBody{Error: errorDetail{
		Message: f.Message, Type: errorType(f.Status), Reason: f.Reason,
		Outcome: f.Outcome, RequestID: f.RequestID, Attempts: f.Attempts,
	}})
	return b
}

// errorType returns the error type of the OpenAI API for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// Error writes a failure as the response and counts it.
func Error(w http.ResponseWriter, f *Failure) {
	CountFailure(f)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((f.RetryAfter+time.Second-1)/time.Second)))
	}
	SetRequestHeaders(h, f.RequestID, f.Attempts)
	h.Set(HeaderOutcome, string(f.Outcome))
	w.WriteHeader(f.Status)
	_, _ = w.Write(append(f.Body(), '\n'))
}

// SetRequestHeaders sets the request ID and the number of attempts, which every
// response carries.
func SetRequestHeaders(h http.Header, requestID string, attempts int) {
	h.Set(HeaderRequestID, requestID)
	h.Set(HeaderAttempts, strconv.Itoa(attempts))
}

// CountFailure counts a failure by its reason and outcome.
func CountFailure(f *Failure) {
	name := fmt.Sprintf(`marjorammoor_failures_total{reason=%q,outcome=%q}`, f.Reason, f.Outcome)
	metrics.GetOrCreateCounter(name).Inc()
}
