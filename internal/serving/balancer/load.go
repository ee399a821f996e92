package balancer

import (
	"errors"
	"sync"
	"time"
)

// ErrStalled is the cause with which a request is moved away from a target that
// shows no progress.
var ErrStalled = errors.New("the target shows no progress")

const (
	// failureDecay is how much of a target's failure rate one answer keeps.
	failureDecay = 0.85
	// failureCost is how many requests in flight a failure rate of 1 weighs.
	failureCost = 20
	// peerLifetime is how long another node's report of its load counts.
	peerLifetime = 1500 * time.Millisecond
	// totalLifetime is how long another data center's report of the load of its
	// targets counts. Such reports are fewer.
	totalLifetime = 2500 * time.Millisecond
)

// Load is what this node knows about one target's work.
type Load struct {
	mu        sync.Mutex
	own       map[*Place]struct{}
	peers     map[string]peerLoad
	total     peerLoad
	progress  time.Time
	avoid     time.Time
	suspected time.Time
	// ownSuspicion is until when this node itself suspects the target. Only that
	// is told to other nodes, or they would keep the suspicion alive among them.
	ownSuspicion time.Time
	failures     float64
}

type peerLoad struct {
	count int
	at    time.Time
}

// count returns the requests in flight from all nodes. l.mu is held.
func (l *Load) count(now time.Time) int {
	n := len(l.own)
	for _, p := range l.peers {
		if now.Sub(p.at) < peerLifetime {
			n += p.count
		}
	}
	if now.Sub(l.total.at) < totalLifetime {
		n = max(n, l.total.count)
	}
	return n
}

// Place is a request's hold on a target.
type Place struct {
	Target Target

	load     *Load
	balancer *Balancer
	lane     *lane
	taken    time.Time
	move     func(error)
	released bool
	// hasStarted says that the target has sent something for this request.
	hasStarted bool
}

// OnMove sets what is called when the target is found to show no progress. It
// is set only for requests that can go on elsewhere.
func (p *Place) OnMove(move func(error)) {
	p.load.mu.Lock()
	p.move = move
	p.load.mu.Unlock()
}

// Progress notes that the target has sent something.
func (p *Place) Progress() {
	now := time.Now()
	p.load.mu.Lock()
	p.load.progress = now
	p.hasStarted = true
	p.load.mu.Unlock()
}

// Succeeded notes a good answer.
func (p *Place) Succeeded() { p.outcome(0) }

// Failed notes an answer that failed by the target's fault.
func (p *Place) Failed() { p.outcome(1) }

func (p *Place) outcome(v float64) {
	p.load.mu.Lock()
	p.load.failures = p.load.failures*failureDecay + v*(1-failureDecay)
	p.load.mu.Unlock()
}

// Avoid keeps requests away from the target for a while.
func (p *Place) Avoid(d time.Duration) {
	p.load.mu.Lock()
	if until := time.Now().Add(d); until.After(p.load.avoid) {
		p.load.avoid = until
	}
	p.load.mu.Unlock()
}

// Release gives the place back and lets a waiting request have it.
func (p *Place) Release() {
	p.load.mu.Lock()
	if p.released {
		p.load.mu.Unlock()
		return
	}
	p.released = true
	delete(p.load.own, p)
	p.load.mu.Unlock()
	p.lane.dispatch(p.balancer)
}
