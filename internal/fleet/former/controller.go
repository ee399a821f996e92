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
)

// Kind is the kind of the assignment objects in the store.
const Kind = "marjorammoor-assignments"

const (
	orderTimeout = 600 * time.Millisecond
	storeTimeout = 1500 * time.Millisecond
	// maxPause is the longest time between two decisions of a domain that is in
	// reach. After a longer one its runners may just have come back.
	maxPause = 2 * time.Second
	// settleTime is for how long the number of domains has to stay the same
	// before a domain is taken over.
	settleTime = 300 * time.Millisecond
	// warmTimeout is after how long a spare is ordered again to join a group of
	// its own.
	warmTimeout = 8 * time.Second
	// takeoverPause is for how long a node that takes a domain over begins no
	// loads. The loads that its predecessor began are not known; as no node has
	// more under way than run at once, two such pauses stay within the bound.
	takeoverPause = 1500 * time.Millisecond
	// loadWindow is over which the store's bound on loads is kept, with a margin
	// for the time that an order takes.
	loadWindow = 5500 * time.Millisecond
)

// Controller works on the domains that this node owns. Set all fields before use.
type Controller struct {
	View func() *tracker.View
	// ViewAt returns when the view was surely current, on the clock of
	// follower.Now.
	ViewAt func() time.Duration
	// Clock is the clock of ViewAt; nil means follower.Now.
	Clock    func() time.Duration
	Services func() map[string]*matcher.Service
	Store    *follower.Store
	Send     Send
	// Probe shows whether a runner is there.
	Probe func(ctx context.Context, m Member) Presence
	// InFlight returns the requests in flight at a head from all nodes.
	InFlight func(id string) int
	// Owns says whether this node works on a domain of a data center.
	Owns func(domain, dataCenter string) bool
	// Creates says whether this node creates the assignments of new domains of a
	// data center.
	Creates func(dataCenter string) bool
	// Waits, if set, says whether requests for a model wait at this node.
	Waits func(service, model string) bool
	// Suspects returns the IDs of heads that some node has seen stand still.
	Suspects func() map[string]bool
	// AnswersOthers reports whether another node lately got an answer from a
	// runner that this node doubts.
	AnswersOthers func(id string) bool
	// StoreFailed, if set, is told of each call to the store that failed without
	// the store's saying why.
	StoreFailed func()
	// LoadsElsewhere is how many loads other nodes have under way.
	LoadsElsewhere func() int
	// IsEarly says that no request has come yet, when loads are not bounded.
	IsEarly func() bool
	// LoadsPerWindow is the number of loads that may begin in all domains
	// within the store's window.
	LoadsPerWindow func() float64
	// StallTime returns how long a replica without a member stands still before
	// it breaks.
	StallTime func() time.Duration
	Log       *slog.Logger

	mu      sync.Mutex
	workers map[string]*worker
	// domainCount is how many domains were listed since domainsAt.
	domainCount int
	domainsAt   time.Time
	// created are the names of the assignments that are known to exist.
	created   map[string]bool
	createdAt time.Time
	// lastDomains were made from lastView and lastServices.
	lastDomains  []*domain
	lastView     *tracker.View
	lastServices map[string]*matcher.Service
	doubtsMu     sync.Mutex
	doubts       map[string]doubt
	loading      atomic.Int64
}

// domain is the runners of one fabric domain of a service.
type domain struct {
	service *matcher.Service
	name    string
	// dataCenter is that of the runners.
	dataCenter string
	runners    []*tracker.Runner
}

// Step works once on each domain that this node owns. Slow calls go on in the
// background; a domain that is still being worked on is passed over.
func (c *Controller) Step(ctx context.Context) {
	domains := c.domains()
	c.noteUnlisted(domains)
	c.createMissing(ctx, domains)
	for _, d := range domains {
		w := c.worker(d)
		if !c.Owns(d.name, d.dataCenter) {
			if w.busy.CompareAndSwap(false, true) {
				c.giveUp(w)
				w.busy.Store(false)
			}
			continue
		}
		if w.busy.CompareAndSwap(false, true) {
			go func() {
				defer w.busy.Store(false)
				c.work(ctx, w, d, domains)
			}()
		}
	}
}

// giveUp forgets what was known of a domain that another node works on.
func (c *Controller) giveUp(w *worker) {
	w.loaded, w.ownedAt = false, time.Time{}
	c.loading.Add(-int64(len(w.loading)))
	clear(w.loading)
}

// domains returns the domains of all services with models. The list is made anew
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

// noteUnlisted notes the domains of which no runner is listed. When one is listed
// again, the others may only be late.
func (c *Controller) noteUnlisted(domains []*domain) {
	listed := map[string]bool{}
	for _, d := range domains {
		listed[d.service.Name+"/"+d.name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, w := range c.workers {
		if !listed[key] {
			w.unlisted.Store(true)
		}
	}
}

func (c *Controller) worker(d *domain) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := d.service.Name + "/" + d.name
	if c.workers == nil {
		c.workers = map[string]*worker{}
	}
	w, ok := c.workers[key]
	if !ok {
		w = &worker{
			since:    map[string]time.Time{},
			gone:     map[string]time.Time{},
			left:     map[string]bool{},
			sent:     map[orderKey]time.Time{},
			misses:   map[string]int{},
			dead:     map[string]bool{},
			silent:   map[string]time.Time{},
			refusing: map[string]bool{},
			idle:     map[string]time.Time{},
			last:     map[string]string{},
			loading:  map[string]load{},
			warming:  map[string]time.Time{},
			missedAt: map[string]time.Time{},
		}
		c.workers[key] = w
	}
	return w
}

// work makes one decision and carries it out.
func (c *Controller) work(ctx context.Context, w *worker, d *domain, domains []*domain) {
	if w.ownedAt.IsZero() {
		w.ownedAt = time.Now()
		w.reachedAt = w.ownedAt
	}
	if !w.loaded {
		if time.Since(w.triedAt) < createInterval {
			return
		}
		w.triedAt = time.Now()
		if err := c.load(ctx, w, d); err != nil {
			c.Log.Warn("cannot read the assignment", "domain", d.name, "error", err)
			c.noteStoreFailed(err)
			return
		}
	}
	if !w.loaded || c.ViewAt() < w.readAt {
		return
	}
	c.reassign(ctx, w, d)
	if !w.loaded {
		return
	}
	c.probe(ctx, w, d)
	in := c.input(w, d, domains)
	out := Decide(in)
	if out.Changed {
		if !c.store(ctx, w, d, out.Assignment) {
			return
		}
		w.keepTimes(out.Assignment)
	}
	for _, note := range out.Notes {
		c.Log.Info("domain changes", "domain", d.name, "epoch", out.Assignment.Epoch, "runners", len(d.runners), "note", note)
	}
	w.current = out.Assignment
	c.send(ctx, w, d, out.Orders)
}

func (c *Controller) noteStoreFailed(err error) {
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

func (c *Controller) input(w *worker, d *domain, domains []*domain) *Input {
	now := time.Now()
	listed := map[string]bool{}
	for _, r := range d.runners {
		listed[r.ID] = true
	}
	for id := range w.dead {
		if !listed[id] {
			delete(w.dead, id)
		}
	}
	isReached := isReached(d.runners, w.dead)
	if !isReached || w.unlisted.Swap(false) || now.Sub(w.workedAt) > maxPause {
		clear(w.gone)
		w.forgetSilence()
		w.reachedAt = now
	}
	w.workedAt = now
	for _, r := range w.current.Replicas {
		head := r.Members[0].ID
		_, known := w.gone[r.Name]
		switch {
		case listed[head] && !w.dead[head]:
			delete(w.gone, r.Name)
		case !known && isReached:
			w.gone[r.Name] = now
		}
	}
	c.loading.Add(-int64(w.follow(d, now)))
	loading := map[string]string{}
	for id, l := range w.loading {
		loading[id] = l.model
	}
	warming := map[string]bool{}
	for id, at := range w.warming {
		if now.Sub(at) > warmTimeout {
			delete(w.warming, id)
			continue
		}
		warming[id] = true
	}
	return &Input{
		Now:         now,
		Engine:      d.service.Engine,
		Assignment:  w.current,
		Runners:     d.runners,
		Dead:        w.dead,
		Since:       w.since,
		Gone:        w.gone,
		Left:        w.left,
		StallTime:   c.StallTime(),
		Silent:      w.silent,
		Refusing:    w.refusing,
		IdleSince:   w.idle,
		Last:        w.last,
		Loading:     loading,
		Warming:     warming,
		Lapsed:      w.noteLapsed(listed),
		Filled:      c.filled(d.service, domains),
		Loads:       c.loadsLeft(w, d, now, len(domains)),
		IsEarly:     c.IsEarly(),
		IsCutOff:    !isReached,
		ReachedFor:  now.Sub(w.reachedAt),
		AnsweredAgo: now.Sub(w.answeredAt),
	}
}

// loadsLeft returns this domain's part of the loads that may begin now. More
// loads at once than the weight store serves at full speed would only slow each
// other down.
func (c *Controller) loadsLeft(w *worker, d *domain, now time.Time, domains int) int {
	own := int(c.loading.Load())
	atOnce := max(d.service.Engine.LoadsAtOnce-own-c.LoadsElsewhere(), 0)
	if len(w.loading) == 0 {
		atOnce = max(atOnce, 1)
	}
	if c.IsEarly() {
		return atOnce
	}
	if now.Sub(w.ownedAt) < takeoverPause {
		return 0
	}
	kept := w.loads[:0]
	for _, at := range w.loads {
		if now.Sub(at) < loadWindow {
			kept = append(kept, at)
		}
	}
	w.loads = kept
	return min(atOnce, int(c.LoadsPerWindow()/float64(max(domains, 1)))-len(kept))
}

// filled returns the share of the replicas of each model that should be there,
// in all domains of a service, which are open.
func (c *Controller) filled(service *matcher.Service, domains []*domain) map[string]float64 {
	goal := map[string]int{}
	for _, d := range domains {
		if d.service.Name != service.Name {
			continue
		}
		for name, n := range mixedGoal(service.Engine.Models, len(d.runners)) {
			goal[name] += n
		}
	}
	filled := map[string]float64{}
	for name, n := range goal {
		filled[name] = float64(len(c.View().Targets(service.Name, name))) / float64(max(n, 1))
	}
	return filled
}

// Loading returns how many loads this node has under way.
func (c *Controller) Loading() int { return int(c.loading.Load()) }
