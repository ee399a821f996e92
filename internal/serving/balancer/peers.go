package balancer

import (
	"sync"
	"time"
)

const (
	// quietTime is how long a target must have sent nothing to a node for the node to
	// report it as quiet. A busy engine sends the events of its batch more often.
	quietTime = 300 * time.Millisecond
	// reportIntervals is the number of report intervals for which a peer's report is
	// used if no newer one arrives.
	reportIntervals = 4
	// minReportTTL is the shortest time for which a report is used.
	minReportTTL = 1500 * time.Millisecond
	// maxReportSilence is the time without any report of a data centre after which it may
	// be cut off. Reports of its many nodes usually come much closer together.
	maxReportSilence = 1500 * time.Millisecond
	// defaultReportInterval is assumed for a report that states no interval.
	defaultReportInterval = 150 * time.Millisecond
)

// PeerReport is what another node reports about its requests.
type PeerReport struct {
	DataCenter string
	// Interval is the time between two reports of the node to this one; 0 means
	// defaultReportInterval.
	Interval time.Duration
	// InFlight is the number of requests that the node has in flight, by target ID.
	InFlight map[string]int
	// Quiet lists the targets among InFlight that have sent the node nothing for
	// quietTime.
	Quiet []string
	// Demand is the number of requests for which the node is about to need a slot, by
	// queue name.
	Demand map[string]float64
	// Failing lists the targets that have lately failed many requests of the node.
	Failing []string
	// Limits are the limits that targets have lately named to the node, or lifted.
	Limits map[string]ReportedLimit
}

// TargetTotals is the load of the targets of another data centre, as one of its
// nodes sees it from the reports of all nodes.
type TargetTotals struct {
	// Interval is the time between two reports; 0 means defaultReportInterval.
	Interval time.Duration
	// InFlight is the number of requests in flight from all nodes, by target ID.
	InFlight map[string]int
	// Quiet lists the targets among InFlight that have sent nothing to any node of
	// that data centre for quietTime.
	Quiet []string
}

// LocalReport is what this node reports to the others.
type LocalReport struct {
	InFlight map[string]int
	Quiet    []string
	Demand   map[string]float64
	Failing  []string
	Limits   map[string]ReportedLimit
	// Suspects are the targets that this node suspects from its own observation.
	Suspects []string
}

// peerReports holds the last report of each other node. The zero value is empty.
type peerReports struct {
	mu     sync.Mutex
	byNode map[string]storedReport
	// heardAt is when a report of a data centre last arrived.
	heardAt map[string]time.Time
}

// heardFrom returns the data centres from which reports arrive.
func (p *peerReports) heardFrom(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := make(map[string]bool, len(p.heardAt))
	for dataCenter, at := range p.heardAt {
		heard[dataCenter] = now.Sub(at) < maxReportSilence
	}
	return heard
}

type storedReport struct {
	PeerReport
	receivedAt time.Time
}

func reportInterval(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultReportInterval
	}
	return d
}

func reportTTL(interval time.Duration) time.Duration {
	return max(reportIntervals*reportInterval(interval), minReportTTL)
}

// progressTime returns the earliest time of the progress that a report shows: the target
// has sent something within quietTime before it.
func progressTime(now time.Time) time.Time { return now.Add(-quietTime) }

// SetPeerLoad replaces what is known of another node's requests.
func (b *Balancer) SetPeerLoad(node string, r PeerReport) {
	now := time.Now()
	b.peers.mu.Lock()
	defer b.peers.mu.Unlock()
	if b.peers.byNode == nil {
		b.peers.byNode, b.peers.heardAt = map[string]storedReport{}, map[string]time.Time{}
	}
	b.peers.heardAt[r.DataCenter] = now
	old := b.peers.byNode[node]
	b.peers.byNode[node] = storedReport{r, now}
	b.addPeerCounts(&old.PeerReport, -1)
	b.addPeerCounts(&r, 1)
	b.recordPeerProgress(r.InFlight, r.Quiet, r.Interval, now)
	b.setPeerLimits(r.Limits, now)
}

// addPeerCounts adds a report's counts to the loads of the targets, or subtracts them
// if factor is -1.
func (b *Balancer) addPeerCounts(r *PeerReport, factor int) {
	for id, n := range r.InFlight {
		l := b.load(id)
		l.mu.Lock()
		l.peerCount += factor * n
		l.mu.Unlock()
	}
	for _, id := range r.Failing {
		l := b.load(id)
		l.mu.Lock()
		l.peerFailing += factor
		l.mu.Unlock()
	}
}

// recordPeerProgress records that the targets of a report that are not quiet have
// made progress for another node.
func (b *Balancer) recordPeerProgress(counts map[string]int, quiet []string, interval time.Duration, now time.Time) {
	isQuiet := make(map[string]bool, len(quiet))
	for _, id := range quiet {
		isQuiet[id] = true
	}
	for id, n := range counts {
		if n <= 0 || isQuiet[id] {
			continue
		}
		l := b.load(id)
		l.mu.Lock()
		l.peerProgress, l.peerInterval = progressTime(now), reportInterval(interval)
		l.mu.Unlock()
	}
}

// expirePeers drops the reports of nodes that no longer send any.
func (b *Balancer) expirePeers(now time.Time) {
	b.peers.mu.Lock()
	defer b.peers.mu.Unlock()
	for node, r := range b.peers.byNode {
		if now.Sub(r.receivedAt) > reportTTL(r.Interval) {
			delete(b.peers.byNode, node)
			b.addPeerCounts(&r.PeerReport, -1)
		}
	}
}

// SetRemoteTotals sets the loads of the targets of another data centre.
func (b *Balancer) SetRemoteTotals(r TargetTotals) {
	now := time.Now()
	for id, n := range r.InFlight {
		l := b.load(id)
		l.mu.Lock()
		l.total = totalReport{count: n, expiresAt: now.Add(reportTTL(r.Interval))}
		l.mu.Unlock()
	}
	b.recordPeerProgress(r.InFlight, r.Quiet, r.Interval, now)
}

// Totals returns the load of the targets that match accepts, as this node sees it.
func (b *Balancer) Totals(accepts func(t Target) bool) TargetTotals {
	now := time.Now()
	r := TargetTotals{InFlight: map[string]int{}}
	for _, t := range b.View().All() {
		if !accepts(t) {
			continue
		}
		l := b.load(t.ID)
		l.mu.Lock()
		n := l.count(now)
		isQuiet := now.Sub(l.newestProgress()) > quietTime+reportInterval(l.peerInterval)
		l.mu.Unlock()
		r.InFlight[t.ID] = n
		if n > 0 && isQuiet {
			r.Quiet = append(r.Quiet, t.ID)
		}
	}
	return r
}

// LocalLoad returns what this node reports to the others.
func (b *Balancer) LocalLoad() LocalReport {
	now := time.Now()
	r := LocalReport{InFlight: map[string]int{}, Demand: b.demand(now), Limits: map[string]ReportedLimit{}}
	b.loads.Each(func(id string, l *targetLoad) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if n := len(l.localSlots); n > 0 {
			r.InFlight[id] = n
			if now.Sub(l.lastProgress) > quietTime {
				r.Quiet = append(r.Quiet, id)
			}
		}
		if l.ownFailures(now) > failingRate {
			r.Failing = append(r.Failing, id)
		}
		if reported, ok := l.asked.limit.report(now); ok {
			r.Limits[id] = reported
		}
		if now.Before(l.locallySuspectedUntil) {
			r.Suspects = append(r.Suspects, id)
		}
		return true
	})
	return r
}

// demand returns the number of requests that wait in each queue or are expected to
// arrive there before the next report.
func (b *Balancer) demand(now time.Time) map[string]float64 {
	list := map[string]float64{}
	b.queues.Each(func(k queueKey, q *queue) bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		if n := float64(len(q.waiting)) + q.arrivals.expected(now, defaultReportInterval); n > 0 {
			list[k.String()] = n
		}
		return true
	})
	return list
}

// othersDemand is what the other nodes report for a queue.
type othersDemand struct {
	// local and all are the demands of this data centre's other nodes and of all.
	local, all float64
	// localInterval and remoteInterval are the longest times between two reports of a
	// node of this data centre and of another one.
	localInterval, remoteInterval time.Duration
}

// othersDemand sums up the last reports of the other nodes.
func (b *Balancer) othersDemand(k queueKey) othersDemand {
	d := othersDemand{localInterval: defaultReportInterval, remoteInterval: defaultReportInterval}
	name := k.String()
	b.peers.mu.Lock()
	defer b.peers.mu.Unlock()
	for _, r := range b.peers.byNode {
		n := r.Demand[name]
		d.all += n
		if r.DataCenter == b.DataCenter {
			d.local += n
			d.localInterval = max(d.localInterval, r.Interval)
		} else {
			d.remoteInterval = max(d.remoteInterval, r.Interval)
		}
	}
	return d
}
