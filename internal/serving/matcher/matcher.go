// Package matcher holds the configuration that is in force for requests: which
// route a request takes, which services and models there are, and which team a
// credential belongs to.
//
// A Catalog is immutable once it is published. A request keeps the one with
// which it began.
//
// # Usage
//
//	route, ok := catalog.Match("ficu95.example", "/lohu930/2f")
//	team, ok := catalog.Team(credential)
package matcher

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// RouteType says how often a request of a route may run.
type RouteType int

// The route types.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteType = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// DefaultPriority is the rank of a team or route that declares none.
const DefaultPriority = 5

// Target is a service to which a route sends a part of its requests.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests below a path are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Type       RouteType
	// Timeout is the longest time a caller is kept waiting; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth its full value;
	// for a stream that of the first event.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of a stream that is on time.
	TargetGap time.Duration
	// Priority is the rank; 0 comes first.
	Priority    int
	Targets     []Target
	MaxAttempts int
	Public      bool
	// UsesModels says that requests name a model and its prompt's size.
	UsesModels bool
	// Resumable says that a broken stream may go on at another runner.
	Resumable bool
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Type == Idempotent || r.Type == Stream && r.Resumable
}

// Model is a model that replicas of a service serve.
type Model struct {
	Name string
	// Size is the number of VMs of a replica.
	Size int
	// Pace is a factor on all times of the replica.
	Pace float64
	// InitialShare is the model's part of the work before anything is known.
	InitialShare float64
	// LoadTime is the time to load the weights from the weight store.
	LoadTime time.Duration
	// WarmUpTime is the time to join with weights that the host holds.
	WarmUpTime time.Duration
}

// Engine describes the model engine of a service.
type Engine struct {
	Slots          int
	CapacityTokens int
	StepsPerPass   int
	Step           time.Duration
	StepPerRequest time.Duration
	StepPerContext time.Duration // for each 1,000 tokens of context
	ReadPerSecond  float64       // tokens
	PairsTime      time.Duration // for each million pairs of tokens
	Chunk          int
	LoadsPerSecond float64
	LoadsAtOnce    int
	FormationTime  time.Duration
	UsualPrompt    int
	UsualAnswer    int
	Models         []Model
}

// Service is a set of runners that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Model returns a model of the service.
func (s *Service) Model(name string) (*Model, bool) {
	if s.Engine == nil {
		return nil, false
	}
	for i := range s.Engine.Models {
		if s.Engine.Models[i].Name == name {
			return &s.Engine.Models[i], true
		}
	}
	return nil, false
}

// Team is a caller's team.
type Team struct {
	Name     string
	Priority int
	// HasPriority says that the team's rank replaces the route's.
	HasPriority bool
}

// Limits bound what a caller may send.
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
	// HasTeams says that requests need a credential unless their route is public.
	HasTeams bool

	hosts map[string][]*Route
	teams map[string]*Team
}

// AddRoutes sets the routes.
func (c *Catalog) AddRoutes(routes []*Route) {
	c.hosts = map[string][]*Route{}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
}

// AddCredential names the team that holds a credential.
func (c *Catalog) AddCredential(credential string, t *Team) {
	if c.teams == nil {
		c.teams = map[string]*Team{}
	}
	c.teams[credential] = t
}

// Match returns the route with the longest prefix of a path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	list, ok := c.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			list = c.hosts[host[:i]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Team returns the team that holds a credential.
func (c *Catalog) Team(credential string) (*Team, bool) {
	t, ok := c.teams[credential]
	return t, ok
}

// PickService draws one of a route's services by weight.
func (r *Route) PickService() string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
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
