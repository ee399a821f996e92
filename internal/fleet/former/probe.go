package former

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	probeTimeout  = 350 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	// reachabilityProbes is how many other runners of a domain are probed to check
	// that this node can reach the domain at all.
	reachabilityProbes = 3
	// missLifetime is how long a missed probe counts. Runners under suspicion are
	// probed every probeInterval, so a runner without a new miss for this long has
	// answered or is no longer suspected.
	missLifetime = 1500 * time.Millisecond
	// missesUntilDead is how many consecutive probes a runner must miss to be
	// considered dead.
	missesUntilDead = 2
	// maxSoundSilence is how long a runner may answer no probe before it is considered
	// dead, unless it refuses connections. A sound one may pause for about a second.
	maxSoundSilence = time.Second
)

// probe checks the members of suspected replicas and other members that may be gone.
// If a replica is to be closed without its head, it also probes other runners of the
// domain.
func (c *Controller) probe(ctx context.Context, s *domainState, d *domain) {
	s.expireMisses(time.Now())
	if time.Since(s.probedAt) < probeInterval {
		return
	}
	members := s.runnersToProbe(c.Suspects(), d)
	if len(members) == 0 {
		return
	}
	s.probedAt = time.Now()
	results := make([]ProbeResult, len(members))
	wg := sync.WaitGroup{}
	for i, m := range members {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			results[i] = c.Probe(callCtx, m)
		})
	}
	wg.Wait()
	for i, m := range members {
		s.recordProbe(c, m, results[i])
	}
	if !slices.Contains(results, Reachable) {
		// This node may have lost contact with the domain. The silence of a runner
		// counts only while others answer.
		s.resetSilence()
	}
	c.Log.Info("runners probed", "domain", d.name, "runners", ids(members), "seen", results, "ms", time.Since(s.probedAt).Milliseconds())
}

// runnersToProbe returns the members of suspected replicas, the missing heads of
// closing replicas with runners to check reachability, and the unlisted and dead
// members.
func (s *domainState) runnersToProbe(suspects map[string]bool, d *domain) []Member {
	members := []Member{}
	add := func(m Member) {
		if !slices.ContainsFunc(members, func(x Member) bool { return x.ID == m.ID }) {
			members = append(members, m)
		}
	}
	for _, r := range s.assignment.Replicas {
		if r.State == Open && suspects[r.Members[0].ID] {
			for _, m := range r.Members {
				add(m)
			}
		}
		if _, isGone := s.headMissingSince[r.Name]; r.State == Closing && isGone {
			add(r.Members[0])
			s.addReachabilityProbes(d, add)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.unlistedMisses)) {
		if m, ok := s.findMember(id); ok {
			add(m)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.dead)) {
		if m, ok := s.findMember(id); ok {
			add(m)
		}
	}
	return members
}

// addReachabilityProbes adds listed runners whose answers show that this node can
// reach the domain.
func (s *domainState) addReachabilityProbes(d *domain, add func(Member)) {
	remaining := reachabilityProbes
	for _, r := range d.runners {
		if remaining > 0 && !s.dead[r.ID] {
			add(Member{ID: r.ID, Address: r.Address, BootTime: r.BootTime})
			remaining--
		}
	}
}

// findMember returns the assigned member with an ID.
func (s *domainState) findMember(id string) (Member, bool) {
	for _, r := range s.assignment.Replicas {
		for _, m := range r.Members {
			if m.ID == id {
				return m, true
			}
		}
	}
	return Member{}, false
}

// recordProbe records the result of a probe. A runner that does not answer this node
// but recently answered another is not considered missing.
func (s *domainState) recordProbe(c *Controller, m Member, p ProbeResult) {
	now := time.Now()
	s.recordIdle(c, m, p, now)
	s.recordUnlisted(c, m, p)
	if p == Reachable {
		s.answeredAt = now
		s.missedProbes[m.ID] = 0
		delete(s.silentSince, m.ID)
		delete(s.dead, m.ID)
		return
	}
	if c.AnswersPeers(m.ID) {
		s.missedProbes[m.ID] = 0
		delete(s.silentSince, m.ID)
		return
	}
	if _, ok := s.silentSince[m.ID]; !ok {
		s.silentSince[m.ID] = now
	}
	s.missedAt[m.ID] = now
	c.noteUnreachable(m)
	s.missedProbes[m.ID]++
	isSilent := p == Refused || now.Sub(s.silentSince[m.ID]) >= maxSoundSilence
	if s.missedProbes[m.ID] >= missesUntilDead && isSilent && !s.dead[m.ID] {
		s.dead[m.ID] = true
		c.Log.Warn("runner does not answer", "runner", m.ID, "address", m.Address, "probes", s.missedProbes[m.ID], "refuses", p == Refused)
	}
}

// expireMisses drops the missed probes, silence and refusals of runners whose last
// miss is older than missLifetime. Such a runner may have recovered and serve again.
func (s *domainState) expireMisses(now time.Time) {
	for id, at := range s.missedAt {
		if now.Sub(at) <= missLifetime {
			continue
		}
		delete(s.missedAt, id)
		delete(s.missedProbes, id)
		delete(s.silentSince, id)
		delete(s.refusing, id)
		delete(s.idleSince, id)
	}
}

// recordUnlisted records the result of a probe of an unlisted member. A member that
// refuses connections is leaving and counts as gone at once.
func (s *domainState) recordUnlisted(c *Controller, m Member, p ProbeResult) {
	if _, ok := s.unlistedMisses[m.ID]; !ok {
		return
	}
	switch {
	case p == Reachable, p == NoResponse && c.AnswersPeers(m.ID):
		s.unlistedMisses[m.ID] = 0
	case p == Refused:
		s.unlistedMisses[m.ID] = missesUntilDead
	default:
		s.unlistedMisses[m.ID]++
	}
}

// recordIdle records since when a runner that refuses connections has had no request
// in flight.
func (s *domainState) recordIdle(c *Controller, m Member, p ProbeResult, now time.Time) {
	if p != Refused {
		delete(s.refusing, m.ID)
		delete(s.idleSince, m.ID)
		return
	}
	s.refusing[m.ID] = true
	_, known := s.idleSince[m.ID]
	switch {
	case c.InFlight(m.ID) > 0:
		delete(s.idleSince, m.ID)
	case !known:
		s.idleSince[m.ID] = now
	}
}

// String returns the name of the probe result.
func (p ProbeResult) String() string { return [...]string{"silent", "refuses", "answers"}[p] }

// MarshalText writes the probe result by name in logs.
func (p ProbeResult) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Unreachable returns the addresses of the runners that recently missed a probe of
// this node, by runner ID, so that other nodes can probe them.
func (c *Controller) Unreachable() map[string]string {
	c.unreachableMu.Lock()
	defer c.unreachableMu.Unlock()
	list := map[string]string{}
	for id, r := range c.unreachable {
		if time.Since(r.at) > unreachableLifetime {
			delete(c.unreachable, id)
			continue
		}
		list[id] = r.address
	}
	return list
}

// unreachableLifetime is how long other nodes are asked to probe a runner after it
// missed a probe of this node.
const unreachableLifetime = time.Second

// unreachableRunner is a runner that missed a probe of this node.
type unreachableRunner struct {
	address string
	// at is when the runner last missed a probe.
	at time.Time
}

func (c *Controller) noteUnreachable(m Member) {
	if m.Address == "" {
		return
	}
	c.unreachableMu.Lock()
	defer c.unreachableMu.Unlock()
	if c.unreachable == nil {
		c.unreachable = map[string]unreachableRunner{}
	}
	c.unreachable[m.ID] = unreachableRunner{address: m.Address, at: time.Now()}
}
