package beater

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// checkInterval is the time between two checks of all pairs of nodes.
	checkInterval = 150 * time.Millisecond
	// minPeerAge and maxPeerReachAge are those of node/server, which hands requests over.
	minPeerAge      = 2 * time.Second
	maxPeerReachAge = 400 * time.Millisecond
)

var (
	firstSeed = flag.Uint64("clusters.first", 1, "the first seed of the clusters")
	seeds     = flag.Uint64("clusters.seeds", 1, "the number of seeds")
)

// TestClusters plays the scripts of testdata/clusters.json, with as many nodes as the users have.
//
//	go test ./internal/peer/beater -run TestClusters -clusters.seeds 10 -v
func TestClusters(t *testing.T) {
	b, err := os.ReadFile("testdata/clusters.json")
	if err != nil {
		t.Fatal(err)
	}
	scripts := []clusterScript{}
	if err := json.Unmarshal(b, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			t.Run(fmt.Sprintf("%s/%d", s.Name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playCluster(t, s, seed) })
			})
		}
	}
}

func playCluster(t *testing.T, s clusterScript, seed uint64) {
	c := newCluster(t, s, seed)
	k := &clusterChecks{cluster: c}
	c.onStep = func() {
		k.check()
		k.publish()
	}
	c.startAll()
	c.run()
	for _, f := range []*fault{&k.unknown, &k.dead, &k.late, &k.refused, &k.unchanged} {
		if f.count > 0 {
			t.Errorf("%d times in checks every %v, first at %v: "+f.format, append([]any{f.count, checkInterval, f.at}, f.values...)...)
		}
	}
	perSecond := float64(c.sent) / float64(s.Nodes) / c.elapsed().Seconds()
	t.Logf("%.0f datagrams a second and node, all known after at most %v", perSecond, k.known)
	if s.PublishMS > 0 {
		t.Logf("%d reads of the store in %d changes", c.reads, c.revision())
	}
	if c.reads > s.MaxReads {
		t.Errorf("nodes had to read the store %d times, want at most %d", c.reads, s.MaxReads)
	}
	if s.MaxPerSecond > 0 && perSecond > s.MaxPerSecond {
		t.Errorf("%.0f datagrams a second and node, want at most %.0f", perSecond, s.MaxPerSecond)
	}
}

// clusterChecks are the properties that hold for each pair of nodes at any time.
type clusterChecks struct {
	*cluster
	unknown, dead, late, refused, unchanged fault
	// known is the greatest time after a start at which a node was not known yet.
	known time.Duration
}

// fault counts how often a property was found broken, and describes the first time.
type fault struct {
	count  int
	at     time.Duration
	format string
	values []any
}

func (f *fault) add(at time.Duration, format string, values ...any) {
	if f.count == 0 {
		f.at, f.format, f.values = at, format, values
	}
	f.count++
}

func (k *clusterChecks) check() {
	if k.elapsed()%checkInterval != 0 {
		return
	}
	now := time.Now()
	for _, m := range k.members {
		for _, o := range k.members {
			if m != o && m.Beater != nil && o.Beater != nil {
				k.checkPair(m, o, now)
			}
		}
	}
}

// checkPair checks what a node m knows of another one.
func (k *clusterChecks) checkPair(m, o *member, now time.Time) {
	p, ok := m.peers[o.name]
	isNew := ok && p.Start == o.start
	if !isNew {
		k.checkKnown(m, o, now)
	}
	if !ok || k.areCut(m.dataCenter, o.dataCenter) {
		return
	}
	hasCaughtUp := k.togetherFor(m, o, now) > liveTimeout(p.Interval())
	if k.script.NoDeaths && isNew && hasCaughtUp && !p.isLive(now) {
		k.dead.add(k.elapsed(), "%s seems dead to %s: up for %v, silent for %v, interval %v", o.name, m.name, now.Sub(o.startedAt), now.Sub(p.SeenAt), p.Interval())
	}
	if busy := min(k.busyFor(o, now), k.togetherFor(m, o, now)); k.script.ContentMS > 0 && busy > time.Duration(k.script.ContentMS)*time.Millisecond && len(p.InFlight) == 0 {
		k.late.add(k.elapsed(), "%s does not know of the requests that %s, up for %v, has had for %v", m.name, o.name, now.Sub(o.startedAt), busy)
	}
	if k.script.HandOvers {
		k.checkHandOver(m, o, p, now)
	}
}

// checkKnown records that a node does not know another one's process.
func (k *clusterChecks) checkKnown(m, o *member, now time.Time) {
	together, limit := k.togetherFor(m, o, now), k.script.KnownMS
	if up := min(now.Sub(m.startedAt), now.Sub(o.startedAt)); up > together {
		limit = k.script.RejoinedMS
	} else {
		k.known = max(k.known, together)
	}
	if limit > 0 && together > time.Duration(limit)*time.Millisecond {
		k.unknown.add(k.elapsed(), "%s, up for %v, does not know %s, up for %v", m.name, now.Sub(m.startedAt), o.name, now.Sub(o.startedAt))
	}
}

// checkHandOver checks that a node would serve a request that m would hand over to it.
func (k *clusterChecks) checkHandOver(m, o *member, p *Peer, now time.Time) {
	if p.Leaving || p.Age() < minPeerAge || !p.isLive(now) || now.Sub(p.SeenAt) > p.Interval()+maxPeerReachAge {
		return
	}
	if o.listed && !o.Knows(m.name, m.host) {
		k.refused.add(k.elapsed(), "%s would refuse what %s hands over: up for %v, heard of %v ago", o.name, m.name, now.Sub(o.startedAt), now.Sub(p.SeenAt))
	}
}

// togetherFor returns how long two nodes have run without a cut between them.
func (k *clusterChecks) togetherFor(m, o *member, now time.Time) time.Duration {
	since := m.startedAt
	if o.startedAt.After(since) {
		since = o.startedAt
	}
	if m.dataCenter == o.dataCenter {
		return now.Sub(since)
	}
	for _, d := range []int{m.dataCenter, o.dataCenter} {
		if k.isCut[d] {
			return 0
		}
		if k.joinedAt[d].After(since) {
			since = k.joinedAt[d]
		}
	}
	return now.Sub(since)
}

// busyFor returns for how long a node has had requests in flight.
func (k *clusterChecks) busyFor(m *member, now time.Time) time.Duration {
	if !k.isBusy(m, now) {
		return 0
	}
	return time.Duration((now.UnixMilli()+m.busyOffset)%k.script.PeriodMS) * time.Millisecond
}
