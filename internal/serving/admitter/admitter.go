// Package admitter decides whether a caller's request may go on: whether its
// route is known, its credential belongs to a team, and whether the node's
// configuration is recent enough to say either.
//
// A node that does not know says that it does not (503, not run). It never says
// that a route or credential does not exist unless its configuration was
// confirmed lately, and it lets nobody in on a credential once the configuration
// is so old that the credential may have been taken away.
//
// # Usage
//
//	a := &admitter.Admitter{Catalog: catalog, Age: age, RevocationTimeout: timeout}
//	call, failure := a.Admit(&admitter.Incoming{Host: host, Path: path, Credential: key})
package admitter

import (
	"net/http"
	"strconv"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
)

const (
	// denyAge is how old the configuration may be for a route or credential to
	// be called unknown. It leaves room below the two seconds in which a new
	// version has to be in force.
	denyAge = 1500 * time.Millisecond
	// admitShare is the part of the revocation timeout for which a credential
	// is believed without confirmation. A watch may hear nothing for a second
	// while changes are made, so that much is left.
	admitShare = 0.7
	// staleRetryAfter is when a caller may find a better informed node.
	staleRetryAfter = 500 * time.Millisecond
	// defaultTimeout bounds requests that name no deadline on routes without one.
	defaultTimeout = 30 * time.Second
)

// Incoming is a caller's request as it came in.
type Incoming struct {
	ID     string
	Method string
	Host   string
	// Path is without the query, Target with it.
	Path       string
	Target     string
	Header     http.Header
	Body       []byte
	Credential string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout      time.Duration
	Model        string
	PromptTokens int
	MaxOutput    int
	LastEvent    string
	Arrived      time.Time
}

// Admitter admits requests. Set all fields before use.
type Admitter struct {
	// Catalog returns the configuration in force, or nil.
	Catalog func() *matcher.Catalog
	// Age returns how long ago the configuration was surely current.
	Age func() time.Duration
	// RevocationTimeout returns within which time a credential that was taken
	// away must not be accepted any more.
	RevocationTimeout func() time.Duration
}

// Admit returns the call that a request becomes, or why it is turned away.
func (a *Admitter) Admit(in *Incoming) (*relayer.Call, *responder.Failure) {
	c := a.Catalog()
	if c == nil {
		return nil, unsure(in, responder.ReasonNoConfiguration, "the node has no configuration yet")
	}
	age := a.Age()
	route, ok := c.Match(in.Host, in.Path)
	if !ok {
		return nil, denied(in, age, http.StatusNotFound, responder.ReasonUnknownRoute, "no route matches")
	}
	if in.ID == "" {
		return nil, refuse(in, http.StatusBadRequest, responder.ReasonBadHeader, "the request has no ID")
	}
	call := &relayer.Call{
		ID: in.ID, Route: route, Service: route.PickService(), Model: in.Model, Method: in.Method,
		Target: in.Target, Host: in.Host, Header: in.Header, Body: in.Body,
		PromptTokens: in.PromptTokens, MaxOutput: in.MaxOutput, Priority: route.Priority,
		LastEvent: in.LastEvent, Arrived: in.Arrived,
	}
	if failure := a.identify(c, in, call, age); failure != nil {
		return nil, failure
	}
	a.complete(c, in, call)
	if !hasModel(c.Services[call.Service], in.Model) {
		return nil, unsure(in, responder.ReasonUnknownModel, "the configuration has no model "+strconv.Quote(in.Model))
	}
	return call, nil
}

// hasModel reports whether a service can serve a model. Waiting for a replica of
// one that it does not have would be in vain.
func hasModel(s *matcher.Service, model string) bool {
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return true
	}
	_, ok := s.Model(model)
	return ok
}

// identify finds the caller's team.
func (a *Admitter) identify(c *matcher.Catalog, in *Incoming, call *relayer.Call, age time.Duration) *responder.Failure {
	if !c.HasTeams || call.Route.Public {
		return nil
	}
	if age > time.Duration(float64(a.RevocationTimeout())*admitShare) {
		return unsure(in, responder.ReasonStale, "the configuration is too old to accept a credential")
	}
	team, ok := c.Team(in.Credential)
	if !ok {
		return denied(in, age, http.StatusUnauthorized, responder.ReasonUnknownCredential, "no team holds the credential")
	}
	call.Team = team.Name
	if team.HasPriority {
		call.Priority = team.Priority
	}
	return nil
}

func (a *Admitter) complete(c *matcher.Catalog, in *Incoming, call *relayer.Call) {
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

// denied turns a request away for good, if the node can know that.
func denied(in *Incoming, age time.Duration, status int, reason responder.Reason, message string) *responder.Failure {
	if age > denyAge {
		return unsure(in, responder.ReasonStale, message+", but the configuration may be old")
	}
	return refuse(in, status, reason, message)
}

func refuse(in *Incoming, status int, reason responder.Reason, message string) *responder.Failure {
	return &responder.Failure{Status: status, Outcome: responder.NotRun, Reason: reason, Message: message, RequestID: in.ID}
}

func unsure(in *Incoming, reason responder.Reason, message string) *responder.Failure {
	f := refuse(in, http.StatusServiceUnavailable, reason, message)
	f.RetryAfter = staleRetryAfter
	return f
}
