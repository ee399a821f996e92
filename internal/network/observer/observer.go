package observer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marjorammoor/internal/state/sharder"
)

const (
	// missLifetime is how long a failed connection counts without a newer one.
	missLifetime = 5 * time.Second
	// quietTime is how long all servers of a group may send nothing, while requests wait
	// there, before some are probed.
	quietTime = 300 * time.Millisecond
	// quietAlone is how long one server may, while others of its group answer. It exceeds the
	// time of an engine pass with the longest prompts.
	quietAlone = 800 * time.Millisecond
	// minSilencePause and maxSilencePause bound the time between two probes of a server
	// because of silence that turned out to be none.
	minSilencePause = time.Second
	maxSilencePause = 8 * time.Second
	// quietProbes is the number of silent servers of a group that are probed at once.
	quietProbes = 3
	// doubtPause is the time between two probes of a server because others of its group fail.
	doubtPause = 400 * time.Millisecond
	// returnInterval is the time between two rounds of probes of lost servers, and
	// returnProbes their number in a round. Rounds follow at once on one that succeeds.
	returnInterval = 250 * time.Millisecond
	returnProbes   = 2
	// missesPerAnswer is the number of failed servers for each that answers from which a
	// group counts as lost, and minMisses the least number of them, for all servers
	// together minMissesOfAll.
	missesPerAnswer = 2
	minMisses       = 2
	minMissesOfAll  = 3
	// minSamples is the least number of failed servers that no request was sent to. Requests
	// find those that have ended; the others tell whether they are the exception.
	minSamples = 3
)

// Target is a server that may be observed.
type Target struct {
	ID, Address, Service, DataCenter string
}

// Group names servers by service and data centre; an empty field stands for all.
type Group struct {
	Service    string `cbor:"1,keyasint,omitempty"`
	DataCenter string `cbor:"2,keyasint,omitempty"`
}

// State tells whether a server can be reached.
type State int

// The states.
const (
	Reached State = iota
	// Closed servers answer on open connections only.
	Closed
	// Lost servers are not reached at all.
	Lost
)

// Observer collects what the connections to servers show. The zero value is ready to use.
type Observer struct {
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	paths     sharder.Map[string, *Path]
	epochOnce sync.Once
	epochTime time.Time
	// Doubted, if set, is called when a connection has failed, so that Step is called soon.
	Doubted func()

	mu sync.Mutex
	// lost and closed are the groups that count as such, with the start of the first
	// failed connection that shows it.
	lost, closed map[Group]time.Time
	// returnedAt is when lost servers were last probed.
	returnedAt time.Time
	view       atomic.Pointer[view]
}

// view is the result of the last Step.
type view struct {
	states map[string]State
	// failedSince is when the first connection was started that failed since the server last
	// answered, by address.
	failedSince map[string]time.Time
	// isGroup holds the addresses of servers whose state follows from that of a group.
	isGroup map[string]bool
	groups  []Group
	served  []string
}

func (v *view) isReached(s *sight) bool { return v.states[s.target.Address] == Reached }

func (o *Observer) now() time.Time {
	if o.Now != nil {
		return o.Now()
	}
	return time.Now()
}

func (o *Observer) epoch() time.Time {
	o.epochOnce.Do(func() { o.epochTime = o.now().Add(-time.Hour) })
	return o.epochTime
}

// Path returns the path to an address. A nil Observer has none.
func (o *Observer) Path(address string) *Path {
	if o == nil {
		return nil
	}
	o.epoch()
	return o.paths.GetOrCreate(address, func() *Path { return &Path{observer: o} })
}

// State returns whether a server was reached at the last Step.
func (o *Observer) State(address string) State {
	if v := o.view.Load(); v != nil {
		return v.states[address]
	}
	return Reached
}

// FailedSince returns the start of the first connection to a server that failed since it last
// answered. It is zero if none has.
func (o *Observer) FailedSince(address string) time.Time {
	if v := o.view.Load(); v != nil {
		return v.failedSince[address]
	}
	return time.Time{}
}

// Heard reports whether a server has sent bytes since a time, and whether it has requests whose
// connections would break if it ended.
func (o *Observer) Heard(address string, since time.Time) (hasSent, hasRequests bool) {
	p, ok := o.paths.Get(address)
	if !ok {
		return false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return o.epoch().Add(time.Duration(p.readAt.Load())).After(since), p.waiting > 0
}

// IsGroupLost reports whether a server is out of reach together with others, so that the
// node's own links are at fault.
func (o *Observer) IsGroupLost(address string) bool {
	v := o.view.Load()
	return v != nil && v.isGroup[address]
}

// Groups returns the groups most of whose servers are out of reach.
func (o *Observer) Groups() []Group {
	if v := o.view.Load(); v != nil {
		return v.groups
	}
	return nil
}

// Answering returns the services of which a server has answered this node within a second.
func (o *Observer) Answering() []string {
	if v := o.view.Load(); v != nil {
		return v.served
	}
	return nil
}

// RecordProbe records the result of a probe on a new connection that was started at a time.
func (o *Observer) RecordProbe(address string, started time.Time, answered bool) {
	p := o.Path(address)
	if answered {
		p.Open()
		return
	}
	p.Miss(started)
}

func (o *Observer) notifyDoubt() {
	if o.Doubted != nil {
		o.Doubted()
	}
}

// Step judges which servers are reached and returns those to probe now.
func (o *Observer) Step(targets []Target) []Target {
	now := o.now()
	sights := make([]sight, 0, len(targets))
	groups := tallies{}
	for i := range targets {
		s := o.Path(targets[i].Address).sight(&targets[i], now)
		sights = append(sights, s)
		part := Group{}
		for _, g := range s.target.groups() {
			if groups[g] == nil {
				groups[g] = &tally{parts: map[Group]bool{}}
			}
			groups[g].add(len(sights)-1, &s, part)
			part = g
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.judge(groups)
	v := o.newView(sights, groups, now)
	o.view.Store(v)
	return o.choose(sights, groups, v, now)
}

// groups returns the groups that a server belongs to, the smallest first.
func (t *Target) groups() [3]Group {
	return [3]Group{{t.Service, t.DataCenter}, {t.Service, ""}, {}}
}

// newView returns the states of all servers.
func (o *Observer) newView(sights []sight, groups tallies, now time.Time) *view {
	v := &view{states: map[string]State{}, failedSince: map[string]time.Time{}, isGroup: map[string]bool{}}
	for i := range sights {
		s := &sights[i]
		state, isGroup := o.state(s)
		if state != Reached {
			v.states[s.target.Address], v.failedSince[s.target.Address] = state, s.failedSince
			for _, g := range s.target.groups() {
				groups[g].unreached++
			}
		}
		if isGroup {
			v.isGroup[s.target.Address] = true
		}
		if now.Sub(latest(s.readAt, s.openedAt)) < time.Second && !slices.Contains(v.served, s.target.Service) {
			v.served = append(v.served, s.target.Service)
		}
	}
	for g, t := range groups {
		if g.Service != "" && 2*t.unreached > len(t.members) {
			v.groups = append(v.groups, g)
		}
	}
	return v
}

// state returns the state of a server, and whether it follows from that of a group. A server
// that has answered since its group was lost is reached.
func (o *Observer) state(s *sight) (state State, isGroup bool) {
	for _, g := range s.target.groups() {
		if since, ok := o.lost[g]; ok && latest(s.openedAt, s.readAt).Before(since) || ok && s.isSilent {
			return Lost, true
		}
	}
	if s.isSilent {
		return Lost, false
	}
	for _, g := range s.target.groups() {
		if since, ok := o.closed[g]; ok && (s.openedAt.Before(since) || s.isMissing) {
			return Closed, true
		}
	}
	if s.isMissing {
		return Closed, false
	}
	return Reached, false
}
