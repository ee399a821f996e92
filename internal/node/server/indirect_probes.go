package server

import (
	"sync"
	"time"

	"marjorammoor/internal/fleet/former"
)

const (
	// indirectProbeTimeout bounds a probe on behalf of another node.
	indirectProbeTimeout = 350 * time.Millisecond
	// indirectProbeInterval is the minimum time between two probes of a runner.
	indirectProbeInterval = 500 * time.Millisecond
	// probeAnswerLifetime is how long an answered probe shows that a runner is alive.
	probeAnswerLifetime = 1200 * time.Millisecond
)

// indirectProbes probes runners that do not answer another node, and records which
// of them answered this node or a peer. A runner that only one node cannot reach is
// thereby not taken for dead. The zero value is ready to use.
type indirectProbes struct {
	mu        sync.Mutex
	startedAt map[string]time.Time
	// ownAnswers and peerAnswers hold the time of the last answer to this node and
	// to any other node, by runner ID. ownRefusals hold when a runner has refused this
	// node's connection since then.
	ownAnswers  map[string]time.Time
	ownRefusals map[string]time.Time
	peerAnswers map[string]time.Time
}

// probeAll probes the runners that do not answer another node. unreachable holds
// their addresses by runner ID.
func (d *indirectProbes) probeAll(unreachable map[string]string, probe func(id, address string) former.ProbeResult) {
	for id, address := range unreachable {
		if !d.startProbe(id) {
			continue
		}
		go func() { d.recordResult(id, probe(id, address)) }()
	}
}

func (d *indirectProbes) recordResult(id string, result former.ProbeResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch result {
	case former.Reachable:
		d.ownAnswers[id] = time.Now()
		delete(d.ownRefusals, id)
	case former.Refused:
		d.ownRefusals[id] = time.Now()
		delete(d.ownAnswers, id)
	}
}

// startProbe reports whether a probe of the runner is due, and records its start.
func (d *indirectProbes) startProbe(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt == nil {
		d.startedAt, d.ownAnswers, d.ownRefusals = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	}
	if time.Since(d.startedAt[id]) < indirectProbeInterval {
		return false
	}
	d.startedAt[id] = time.Now()
	return true
}

// results returns the runners that answered this node within probeAnswerLifetime, and
// those that refused its connections.
func (d *indirectProbes) results() (answered, refused []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return recent(d.ownAnswers), recent(d.ownRefusals)
}

// recent returns the runners with a time within probeAnswerLifetime, and forgets the others.
func recent(times map[string]time.Time) []string {
	list := []string{}
	for id, at := range times {
		if time.Since(at) > probeAnswerLifetime {
			delete(times, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

// recordPeerAnswers records the runners that answered another node.
func (d *indirectProbes) recordPeerAnswers(alive []string) {
	if len(alive) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peerAnswers == nil {
		d.peerAnswers = map[string]time.Time{}
	}
	for _, id := range alive {
		d.peerAnswers[id] = time.Now()
	}
}

// answeredPeer reports whether a runner answered another node within
// probeAnswerLifetime.
func (d *indirectProbes) answeredPeer(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.peerAnswers[id]
	return ok && time.Since(at) < probeAnswerLifetime
}
