// Package admitter decides whether a caller's request is admitted: whether its route
// exists, its credential belongs to a team, and the node's configuration is recent
// enough to decide either.
//
// If the node cannot decide, it responds with status 503 and the outcome not run. It
// rejects a route or credential as unknown only if its configuration was confirmed
// recently and no newer one is known, and it accepts no credential once the configuration
// is so old that the credential may have been revoked.
//
// # Usage
//
//	a := &admitter.Admitter{Catalog: catalog, Age: age, RevocationTimeout: timeout}
//	call, failure := a.Admit(&admitter.Incoming{Host: host, Path: path, Credential: key})
package admitter

import (
	"iter"
	"net/http"
	"strconv"
	"time"

	"marjorammoor/internal/gateway/authenticator"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
)

const (
	// maxDenyAge is the greatest age of the configuration at which a route or
	// credential is rejected as unknown. It is below the two seconds within which a
	// new version has to be in force, with a margin.
	maxDenyAge = 1500 * time.Millisecond
	// credentialAgeShare is the part of the revocation timeout for which credentials
	// are accepted without a new confirmation of the configuration. The rest is a
	// margin because a watch may receive nothing for a second while changes are
	// made.
	credentialAgeShare = 0.7
	// staleRetryAfter is the Retry-After time sent to callers when the node cannot
	// decide. Another node may have a newer configuration.
	staleRetryAfter = 500 * time.Millisecond
	// defaultTimeout applies to requests without a timeout on routes without one.
	defaultTimeout = 30 * time.Second
	// maxVerdictBytes is how much of the host and of the path a verdict holds.
	maxVerdictBytes = 80
	// fingerprintDigits is the number of hexadecimal digits by which a verdict tells
	// credentials apart.
	fingerprintDigits = 8
)

// Incoming is a request as received from a caller.
type Incoming struct {
	ID     string
	Method string
	Host   string
	// Path is as the caller sent it, without the query; Target includes that.
	Path       string
	Target     string
	Header     http.Header
	Body       []byte
	Credential string
	// Timeout is how long the caller waits, or 0 if the request does not specify it.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxOutput are the number of prompt tokens and the maximum
	// number of output tokens.
	PromptTokens int
	MaxOutput    int
	// SharedParts are the IDs of the parts of the prompt that other requests may have
	// too, in order; nil means that there are none.
	SharedParts iter.Seq[string]
	// Prompt describes the prompt of a request for a model, as the caller sent it.
	Prompt string
	// LastEvent is the ID of the event after which the caller resumes a stream, or
	// empty.
	LastEvent string
	// Arrived is when the node received the request.
	Arrived time.Time
}

// Admitter admits requests. Set Catalog, Age and RevocationTimeout before use.
type Admitter struct {
	// Catalog returns the configuration in force, or nil if there is none.
	Catalog func() *matcher.Catalog
	// Age returns the time since the configuration was last confirmed to be current.
	Age func() time.Duration
	// MayDeny, if set, reports whether a version of the configuration may be the newest one.
	// If it is not, a newer one may allow what it does not.
	MayDeny func(version int64) bool
	// RevocationTimeout returns the time after which a revoked credential must no
	// longer be accepted.
	RevocationTimeout func() time.Duration
}

// Admit returns the call for a request, or the failure to report if the request is
// not admitted.
func (a *Admitter) Admit(in *Incoming) (*relayer.Call, *responder.Failure) {
	c := a.Catalog()
	if c == nil {
		return nil, unconfigured(in)
	}
	age := a.Age()
	route, ok := c.Match(in.Host, in.Path)
	if !ok {
		return nil, a.deny(c, in, age, http.StatusNotFound, responder.ReasonUnknownRoute, "no route matches")
	}
	if in.ID == "" {
		return nil, refuse(in, http.StatusBadRequest, responder.ReasonBadHeader, "the request has no ID")
	}
	call := &relayer.Call{
		ID: in.ID, Route: route, Service: route.PickService(), Model: in.Model, Method: in.Method,
		Target: in.Target, Host: in.Host, Header: in.Header, Body: in.Body,
		PromptTokens: in.PromptTokens, MaxOutput: in.MaxOutput, SharedParts: in.SharedParts, Prompt: in.Prompt,
		Priority: route.Priority, LastEvent: in.LastEvent, Arrived: in.Arrived, CatalogVersion: c.Version,
	}
	if failure := a.authenticate(c, in, call, age); failure != nil {
		return nil, failure
	}
	if call.Service == "" {
		return nil, unavailable(in, responder.ReasonNoReplica, "the route sends its requests to no service")
	}
	a.fillCall(c, in, call)
	if !hasModel(c.Services[call.Service], in.Model) {
		return nil, unavailable(in, responder.ReasonUnknownModel, "the configuration has no model "+strconv.Quote(in.Model))
	}
	return call, nil
}

// hasModel reports whether a service can serve a model. A request for a model that
// the service does not have would only wait in vain for a replica. Services without
// models ignore the model name.
func hasModel(s *matcher.Service, model string) bool {
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return true
	}
	_, ok := s.Model(model)
	return ok
}

// authenticate sets the team and priority of the call from the caller's credential.
func (a *Admitter) authenticate(c *matcher.Catalog, in *Incoming, call *relayer.Call, age time.Duration) *responder.Failure {
	if c.IsOpen || call.Route.Public {
		return nil
	}
	if age > time.Duration(float64(a.RevocationTimeout())*credentialAgeShare) {
		return unavailable(in, responder.ReasonConfigurationStale, "the configuration is too old to accept a credential")
	}
	team, ok := c.Team(in.Credential)
	if !ok {
		return a.deny(c, in, age, http.StatusUnauthorized, responder.ReasonUnknownCredential, "no team holds the credential")
	}
	call.Team = team.Name
	if team.HasPriority {
		call.Priority = team.Priority
	}
	return nil
}

// fillCall sets the engine and the deadlines of the call, and clears the model if
// the service has no engine.
func (a *Admitter) fillCall(c *matcher.Catalog, in *Incoming, call *relayer.Call) {
	if s, ok := c.Services[call.Service]; ok {
		call.Engine = s.Engine
	}
	if call.Engine == nil {
		call.Model = ""
	}
	timeout := in.Timeout
	if timeout <= 0 {
		timeout = call.Route.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	call.CallerDeadline = in.Arrived.Add(timeout)
	call.Deadline = call.CallerDeadline
	if call.Route.Timeout > 0 && call.Route.Timeout < timeout {
		call.Deadline = in.Arrived.Add(call.Route.Timeout)
	}
}

// Deny returns the failure for a request that a configuration, or nil for none, does not
// allow. If it may not be the newest one, the failure says that the node cannot decide.
func (a *Admitter) Deny(c *matcher.Catalog, in *Incoming, status int, reason responder.Reason, message string) *responder.Failure {
	if c == nil {
		return unconfigured(in)
	}
	return a.deny(c, in, a.Age(), status, reason, message)
}

// deny rejects a request, or reports that the node cannot decide if its configuration is
// older than maxDenyAge or is not the newest one.
func (a *Admitter) deny(c *matcher.Catalog, in *Incoming, age time.Duration, status int, reason responder.Reason, message string) *responder.Failure {
	f := refuse(in, status, reason, message)
	if age > maxDenyAge {
		f = unavailable(in, responder.ReasonConfigurationStale, message+", but the configuration may be old")
	} else if a.MayDeny != nil && !a.MayDeny(c.Version) {
		f = unavailable(in, responder.ReasonConfigurationOutdated, message+", but there may be a newer configuration")
	}
	f.Verdict = verdict(c, in, age)
	return f
}

func verdict(c *matcher.Catalog, in *Incoming, age time.Duration) *responder.Verdict {
	return &responder.Verdict{
		Version: c.Version, Age: age, Credential: fingerprint(in.Credential),
		Host: in.Host[:min(len(in.Host), maxVerdictBytes)], Path: in.Path[:min(len(in.Path), maxVerdictBytes)],
	}
}

// fingerprint returns the beginning of the hash of a credential.
func fingerprint(credential string) string {
	if credential == "" {
		return ""
	}
	return authenticator.Hash(credential)[:fingerprintDigits]
}

// refuse returns the failure for a request that is not run.
func refuse(in *Incoming, status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: in.ID}
}

func unconfigured(in *Incoming) *responder.Failure {
	return unavailable(in, responder.ReasonNoConfiguration, "the node has no configuration yet")
}

// unavailable returns the failure for a request that another node, or this one
// later, may be able to admit.
func unavailable(in *Incoming, reason responder.Reason, message string) *responder.Failure {
	f := refuse(in, http.StatusServiceUnavailable, reason, message)
	f.RetryAfter = staleRetryAfter
	return f
}
