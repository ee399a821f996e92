// Package matcher holds the configuration that applies to requests: the route that a
// request takes, the services and their models, and the team that owns a credential.
//
// A Catalog is immutable once it is published. A request uses the same catalog until
// it ends.
//
// # Usage
//
//	route, ok := catalog.Match("ficu95.example", "/lohu930/2f")
//	team, ok := catalog.Team(credential)
package matcher

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
	"unicode/utf8"
)

// RouteType determines whether a request of a route may run more than once and how
// it is answered.
type RouteType int

// The route types.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteType = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events.
	Stream
)

// DefaultPriority is the priority of a route that declares none.
const DefaultPriority = 5

// Target is a service to which a route sends a share of its requests, in proportion
// to Weight.
type Target struct {
	Service string
	Weight  int
}

// Route describes how requests for a host below a path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Type       RouteType
	// Timeout is the longest time until the caller gets its response; 0 means no
	// limit.
	Timeout time.Duration
	// TargetLatency is the time within which a response is on time and worth its
	// full value; for a stream, the time until the first event.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream that is on time.
	TargetGap time.Duration
	// Patience is how long callers of a stream wait for the next event, or the first
	// one, before they give the request up; 0 if unknown.
	Patience time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of times that a request may be sent to runners.
	MaxAttempts int
	// Public is set for routes that need no credential.
	Public bool
	// UsesModels is set if requests name a model and the size of their prompt.
	UsesModels bool
	// Resumable is set if a broken stream may be resumed at another runner.
	Resumable bool
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Type == Idempotent || r.Type == Stream && r.Resumable
}

// Model is a model that the replicas of a service serve.
type Model struct {
	Name string
	// Size is the number of VMs of a replica.
	Size int
	// TimeFactor is a factor applied to all processing times of a replica.
	TimeFactor float64
	// InitialShare is the model's expected share of the work, relative to the other
	// models, used before any load is known.
	InitialShare float64
	// LoadTime is the time to load the weights from the weight store.
	LoadTime time.Duration
	// WarmUpTime is the time to join a replica with weights that the host already
	// holds.
	WarmUpTime time.Duration
}

// Engine describes the model engine of a service.
type Engine struct {
	Slots          int // requests in a batch
	CapacityTokens int // tokens that fit into the KV cache
	StepsPerPass   int
	Step           time.Duration
	StepPerRequest time.Duration // for each request of the batch
	StepPerContext time.Duration // for each 1,000 tokens of context
	ReadPerSecond  float64       // prompt tokens
	PairsTime      time.Duration // for each million pairs of tokens
	Chunk          int
	LoadsPerSecond float64       // model loads that may start in all domains together
	LoadsAtOnce    int           // concurrent loads that the weight store serves at full speed
	FormationTime  time.Duration // time to form a replica
	UsualPrompt    int           // tokens of a typical prompt
	UsualAnswer    int           // tokens of a typical response
	Models         []Model
}

// Service is a set of runners that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service, one without models.
	Engine *Engine
}

// Model returns a model of the service by its name.
func (s *Service) Model(name string) (*Model, bool) { return s.Engine.Model(name) }

// Model returns a model of the engine by its name. A nil engine has none.
func (e *Engine) Model(name string) (*Model, bool) {
	if e == nil {
		return nil, false
	}
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i], true
		}
	}
	return nil, false
}

// Team is the team on whose behalf a caller sends requests.
type Team struct {
	Name     string
	Priority int
	// HasPriority is set if the team's priority replaces the route's.
	HasPriority bool
}

// Limits bound the size of requests and the time to receive them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// IsOpen is set if no request needs a credential. Otherwise all do but those of public
	// routes, also if no team holds one.
	IsOpen bool

	// hosts holds the routes by hostKey, those with the longest prefix first.
	hosts map[string][]pathRoute
	// teams holds the teams by credential.
	teams map[string]*Team
}

// pathRoute is a route with the pathKey of its prefix.
type pathRoute struct {
	prefix string
	route  *Route
}

// AddRoutes replaces the routes.
func (c *Catalog) AddRoutes(routes []*Route) {
	c.hosts = map[string][]pathRoute{}
	for _, r := range routes {
		key := hostKey(r.Host)
		c.hosts[key] = append(c.hosts[key], pathRoute{prefix: pathKey(r.PathPrefix), route: r})
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
}

// AddCredential assigns a credential to a team.
func (c *Catalog) AddCredential(credential string, t *Team) {
	if c.teams == nil {
		c.teams = map[string]*Team{}
	}
	c.teams[credential] = t
}

// hostKey returns a host name in the form in which names are compared: in lower case, and
// without the dot that ends a fully qualified one.
func hostKey(host string) string { return strings.TrimSuffix(strings.ToLower(host), ".") }

// pathBytes are the bytes that a path may hold as they are, besides letters and digits.
const pathBytes = "/%-._~!$&'()*+,;=:@"

// pathKey returns a path in the form in which paths are compared: the bytes that a URI cannot
// hold are percent-encoded, as most callers send them. Nothing is decoded, so that an encoded
// slash separates nothing.
func pathKey(path string) string {
	if strings.IndexFunc(path, isEncoded) < 0 {
		return path
	}
	key := strings.Builder{}
	for i := range len(path) {
		if isEncoded(rune(path[i])) {
			fmt.Fprintf(&key, "%%%02X", path[i])
		} else {
			key.WriteByte(path[i])
		}
	}
	return key.String()
}

// isEncoded reports whether a path holds a byte only percent-encoded.
func isEncoded(c rune) bool {
	isPlain := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c < utf8.RuneSelf && strings.ContainsRune(pathBytes, c)
	return !isPlain
}

// Match returns the route of a host with the longest prefix of a path as the caller sent it.
// The port of the host is ignored unless a route names it.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	list, ok := c.hosts[hostKey(host)]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			list = c.hosts[hostKey(host[:i])]
		}
	}
	key := pathKey(path)
	for _, r := range list {
		if strings.HasPrefix(key, r.prefix) {
			return r.route, true
		}
	}
	return nil, false
}

// Team returns the team that owns a credential.
func (c *Catalog) Team(credential string) (*Team, bool) {
	t, ok := c.teams[credential]
	return t, ok
}

// PickService returns one of the route's services, chosen at random by weight, or "" if none has a
// share of the requests.
func (r *Route) PickService() string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return ""
}
