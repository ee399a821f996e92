package server

import (
	"sync"
	"time"
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
	// to any other node, by runner ID.
	ownAnswers  map[string]time.Time
	peerAnswers map[string]time.Time
}

// probeAll probes the runners that do not answer another node. unreachable holds
// their addresses by runner ID.
func (d *indirectProbes) probeAll(unreachable map[string]string, probe func(id, address string) bool) {
	for id, address := range unreachable {
		if !d.startProbe(id) {
			continue
		}
		go func() {
			if probe(id, address) {
				d.mu.Lock()
				d.ownAnswers[id] = time.Now()
				d.mu.Unlock()
			}
		}()
	}
}

// startProbe reports whether a probe of the runner is due, and records its start.
func (d *indirectProbes) startProbe(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt == nil {
		d.startedAt, d.ownAnswers, d.peerAnswers = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	}
	if time.Since(d.startedAt[id]) < indirectProbeInterval {
		return false
	}
	d.startedAt[id] = time.Now()
	return true
}

// answered returns the runners that answered this node within probeAnswerLifetime.
func (d *indirectProbes) answered() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []string{}
	for id, at := range d.ownAnswers {
		if time.Since(at) > probeAnswerLifetime {
			delete(d.ownAnswers, id)
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
