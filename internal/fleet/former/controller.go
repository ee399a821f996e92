package former

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// AssignmentKind is the kind of the assignment objects in the store.
const AssignmentKind = "marjorammoor-assignments"

const (
	orderTimeout = 600 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
	// maxDecisionGap is the longest time between two decisions of a domain that
	// counts as uninterrupted observation. After a longer one, the domain's runners
	// may just have become reachable again.
	maxDecisionGap = 2 * time.Second
	// maxRounds is how many decisions are made for a domain in one step.
	maxRounds = 2
	// settleTime is how long the number of listed domains must stay the same before
	// assignments are created.
	settleTime = 300 * time.Millisecond
	// warmTimeout is the time after which a spare that was ordered to join its
	// warm-up group is ordered again.
	warmTimeout = 8 * time.Second
)

// Controller forms and repairs the replicas of the domains that this node owns. All
// fields must be set before use, except Clock, Eras, HasWaiting and StoreFailed.
type Controller struct {
	// View returns the current view of the listed runners.
	View func() *tracker.View
	// ViewAt returns the last time at which the view was confirmed to be current, on
	// the clock of follower.Now.
	ViewAt func() time.Duration
	// Clock is the clock of ViewAt; nil means follower.Now.
	Clock func() time.Duration
	// Services returns the configured services by name.
	Services func() map[string]*matcher.Service
	Store    *follower.Store
	Send     Send
	// Probe checks whether a runner answers.
	Probe func(ctx context.Context, m Member) ProbeResult
	// Ask asks a runner for its report. ok is false if it does not answer.
	Ask func(ctx context.Context, m Member) (r Report, ok bool)
	// Eras keeps the newest era of the store; nil means that it has only one.
	Eras *sequencer.Eras
	// InFlight returns the number of requests from all nodes in flight at a head.
	InFlight func(id string) int
	// Owns reports whether this node owns a domain of a data centre.
	Owns func(domain, dataCenter string) bool
	// CreatesAssignments reports whether this node creates the assignments of new
	// domains in a data centre.
	CreatesAssignments func(dataCenter string) bool
	// HasWaiting, if set, reports whether requests for a model are queued at this node.
	HasWaiting func(service, model string) bool
	// Suspects returns the IDs of heads that appear stalled to this node or another.
	Suspects func() map[string]bool
	// AnswersPeers reports whether a runner that is unreachable from this node
	// recently answered another node.
	AnswersPeers func(id string) bool
	// StoreFailed, if set, is called after each failed store call, except for
	// revision conflicts.
	StoreFailed func()
	// PeerLoads returns how many loads other nodes have in progress.
	PeerLoads func() int
	// IsStartup reports whether the system is in its startup phase, in which no
	// request has arrived yet and the rate of loads is not limited.
	IsStartup func() bool
	// LoadsPerWindow returns how many loads may begin in all domains within the
	// window of the weight store's load limit.
	LoadsPerWindow func() float64
	// StallTime returns how long a replica that lost a member stalls before it
	// breaks.
	StallTime func() time.Duration
	Log       *slog.Logger

	// mu guards states.
	mu sync.Mutex
	// states are the states of all domains seen so far, by "service/domain".
	states map[string]*domainState
	// domainCount is the number of listed domains, unchanged since domainCountSince.
	domainCount      int
	domainCountSince time.Time
	// created contains the object names of the assignments that are known to exist in
	// createdEra of the store.
	created    map[string]bool
	createdEra int64
	// createTriedAt is when this node last tried to create assignments.
	createTriedAt time.Time
	// lastDomains is the cached result of domains for lastView and lastServices.
	lastDomains  []*domain
	lastView     *tracker.View
	lastServices map[string]*matcher.Service
	// unreachableMu guards unreachable.
	unreachableMu sync.Mutex
	// unreachable are the runners that recently missed a probe of this node, by ID.
	unreachable map[string]unreachableRunner
	// rejections are the assignments that cannot be used.
	rejections follower.Rejections
	// pendingLoads is the number of pending loads in all domains of this node.
	pendingLoads atomic.Int64
}

// domain is a fabric domain of a service with its listed runners.
type domain struct {
	service *matcher.Service
	name    string
	// dataCenter is taken from the first listed runner.
	dataCenter string
	runners    []*tracker.Runner
}

// Step starts one reconciliation of each domain that this node owns, each in its own
// goroutine. A domain whose previous reconciliation is still running is skipped.
func (c *Controller) Step(ctx context.Context) {
	domains := c.domains()
	c.markUnlisted(domains)
	c.createMissing(ctx, domains)
	for _, d := range domains {
		s := c.state(d)
		if !c.Owns(d.name, d.dataCenter) {
			if s.busy.CompareAndSwap(false, true) {
				c.release(s)
				s.busy.Store(false)
			}
			continue
		}
		if s.busy.CompareAndSwap(false, true) {
			go func() {
				defer s.busy.Store(false)
				c.reconcile(ctx, s, d, domains)
			}()
		}
	}
}

// release drops the assignment and the pending loads of a domain that another node
// owns.
func (c *Controller) release(s *domainState) {
	s.hasAssignment, s.ownedAt = false, time.Time{}
	c.pendingLoads.Add(-int64(len(s.pendingLoads)))
	clear(s.pendingLoads)
}

// domains returns the domains of all services with models. The list is rebuilt only
// when the runners or the services have changed.
func (c *Controller) domains() []*domain {
	view, services := c.View(), c.Services()
	if view == c.lastView && maps.Equal(services, c.lastServices) {
		return c.lastDomains
	}
	c.lastView, c.lastServices, c.lastDomains = view, services, listDomains(view, services)
	return c.lastDomains
}

func listDomains(view *tracker.View, services map[string]*matcher.Service) []*domain {
	found := map[string]*domain{}
	list := []*domain{}
	for _, s := range services {
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		for _, r := range view.ServiceRunners(s.Name) {
			key := s.Name + "/" + r.Domain
			d, ok := found[key]
			if !ok {
				d = &domain{service: s, name: r.Domain, dataCenter: r.DataCenter}
				found[key] = d
				list = append(list, d)
			}
			d.runners = append(d.runners, r)
		}
	}
	return list
}

// markUnlisted marks the domains without any listed runner. When the first runner of
// such a domain is listed again, the others may follow with a delay and must not be
// considered gone.
func (c *Controller) markUnlisted(domains []*domain) {
	listed := map[string]bool{}
	for _, d := range domains {
		listed[d.service.Name+"/"+d.name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.states {
		if !listed[key] {
			s.wasUnlisted.Store(true)
		}
	}
}

// state returns the state of a domain, and creates it for a new one.
func (c *Controller) state(d *domain) *domainState {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := d.service.Name + "/" + d.name
	if c.states == nil {
		c.states = map[string]*domainState{}
	}
	s, ok := c.states[key]
	if !ok {
		s = &domainState{
			firstSeen:        map[string]time.Time{},
			headMissingSince: map[string]time.Time{},
			headLeft:         map[string]time.Time{},
			memberLostAt:     map[string]time.Time{},
			sentAt:           map[orderKey]time.Time{},
			missedProbes:     map[string]int{},
			dead:             map[string]bool{},
			silentSince:      map[string]time.Time{},
			refusing:         map[string]bool{},
			idleSince:        map[string]time.Time{},
			lastModel:        map[string]string{},
			pendingLoads:     map[string]pendingLoad{},
			warmingSince:     map[string]time.Time{},
			missedAt:         map[string]time.Time{},
		}
		c.states[key] = s
	}
	return s
}

// reconcile reads the assignment if needed, and decides for the domain.
func (c *Controller) reconcile(ctx context.Context, s *domainState, d *domain, domains []*domain) {
	if s.ownedAt.IsZero() {
		s.ownedAt = time.Now()
		s.reachableSince = s.ownedAt
	}
	if s.at.Era != c.era() {
		s.hasAssignment = false
	}
	if !s.hasAssignment {
		if time.Since(s.readTriedAt) < createInterval {
			return
		}
		s.readTriedAt = time.Now()
		if err := c.readAssignment(ctx, s, d); err != nil {
			c.Log.Warn("failed to read assignment; retrying", "domain", d.name, "error", err)
			c.reportStoreFailure(err)
			return
		}
	}
	if !s.hasAssignment || c.ViewAt() < s.readAt {
		return
	}
	if s.assignment.Era != c.era() && !c.claim(ctx, s, d) {
		return
	}
	c.reassign(ctx, s, d)
	if !s.hasAssignment {
		return
	}
	c.probe(ctx, s, d)
	for range maxRounds {
		if !c.decide(ctx, s, d, domains) {
			return
		}
	}
}

// decide makes one decision for the domain, stores the new assignment, and sends the orders. It
// reports whether the members of a replica have become free by their answers, so that
// a new replica need not wait for the next step.
func (c *Controller) decide(ctx context.Context, s *domainState, d *domain, domains []*domain) (isFreed bool) {
	out := Decide(c.input(s, d, domains))
	if out.Changed {
		if !c.storeAssignment(ctx, s, d, out.Assignment) {
			return false
		}
		s.updateTimes(out.Assignment)
	}
	for _, note := range out.Notes {
		c.Log.Info("domain changes", "domain", d.name, "epoch", out.Assignment.Epoch, "runners", len(d.runners), "note", note)
	}
	s.assignment = out.Assignment
	left := len(s.headLeft)
	c.send(ctx, s, d, out.Orders)
	return s.hasAssignment && len(s.headLeft) > left
}

func (c *Controller) reportStoreFailure(err error) {
	if c.StoreFailed != nil && !errors.Is(err, follower.ErrConflict) {
		c.StoreFailed()
	}
}

func (c *Controller) clock() time.Duration {
	if c.Clock != nil {
		return c.Clock()
	}
	return follower.Now()
}

// input updates the domain's state from the listed runners and returns the input of
// the next decision.
func (c *Controller) input(s *domainState, d *domain, domains []*domain) *Input {
	now := time.Now()
	listed := map[string]bool{}
	for _, r := range d.runners {
		listed[r.ID] = true
	}
	for id := range s.dead {
		if !listed[id] {
			delete(s.dead, id)
		}
	}
	isReachable := isReachable(d.runners, s.dead)
	if !isReachable || s.wasUnlisted.Swap(false) || now.Sub(s.decidedAt) > maxDecisionGap {
		clear(s.headMissingSince)
		s.resetSilence()
		s.reachableSince = now
	}
	s.decidedAt = now
	for _, r := range s.assignment.Replicas {
		head := r.Members[0].ID
		_, known := s.headMissingSince[r.Name]
		switch {
		case listed[head] && !s.dead[head]:
			delete(s.headMissingSince, r.Name)
		case !known && isReachable:
			s.headMissingSince[r.Name] = now
		}
	}
	s.updateLost(d, now)
	c.pendingLoads.Add(-int64(s.observeRunners(d, now)))
	pendingLoads := map[string]string{}
	for id, l := range s.pendingLoads {
		pendingLoads[id] = l.model
	}
	warming := map[string]bool{}
	for id, at := range s.warmingSince {
		if now.Sub(at) > warmTimeout {
			delete(s.warmingSince, id)
			continue
		}
		warming[id] = true
	}
	return &Input{
		Now:              now,
		Engine:           d.service.Engine,
		Assignment:       s.assignment,
		Runners:          d.runners,
		Dead:             s.dead,
		FirstSeen:        s.firstSeen,
		HeadMissingSince: s.headMissingSince,
		HeadLeft:         s.leftHeads(),
		MemberLostAt:     s.memberLostAt,
		StallTime:        c.StallTime(),
		SilentSince:      s.silentSince,
		Refusing:         s.refusing,
		IdleSince:        s.idleSince,
		LastModel:        s.lastModel,
		PendingLoads:     pendingLoads,
		Warming:          warming,
		UnlistedAlive:    s.updateUnlisted(listed),
		FillRatio:        c.fillRatios(d.service, domains),
		LoadBudget:       c.loadBudget(s, d, now, len(domains)),
		IsStartup:        c.IsStartup(),
		IsUnreachable:    !isReachable,
		ReachableFor:     now.Sub(s.reachableSince),
		AnsweredAgo:      now.Sub(s.answeredAt),
	}
}

// fillRatios returns the number of open replicas of each model in all domains of a
// service, divided by the number that should be open if each domain served all
// models by their shares.
func (c *Controller) fillRatios(service *matcher.Service, domains []*domain) map[string]float64 {
	goal := map[string]int{}
	for _, d := range domains {
		if d.service.Name != service.Name {
			continue
		}
		for name, n := range mixedGoal(service.Engine.Models, len(d.runners)) {
			goal[name] += n
		}
	}
	ratios := map[string]float64{}
	for name, n := range goal {
		ratios[name] = float64(len(c.View().Targets(service.Name, name))) / float64(max(n, 1))
	}
	return ratios
}
