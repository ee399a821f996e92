package beater

import (
	"slices"
	"time"
)

// The interval of the heartbeats to a data centre, and with it the time after which a
// silent node no longer counts as live, follow from the number of nodes: a node sends
// about as many heartbeats a second however many nodes there are. Each heartbeat states
// its interval, so the receiver needs no figure of its own and no size makes a node
// that sends its heartbeats seem silent.

const (
	// DefaultInterval is the time between two heartbeats to a node of this data centre.
	DefaultInterval = 150 * time.Millisecond
	// maxLocalNodes and maxRemoteNodes are the numbers of nodes of this data centre and
	// of others that get a heartbeat in one interval, on average.
	maxLocalNodes  = 30
	maxRemoteNodes = 40
	// minLiveTimeout is the shortest time for which a node counts as live after its
	// last heartbeat.
	minLiveTimeout = 1500 * time.Millisecond
	// liveIntervals is the number of its intervals for which a node counts as live
	// after its last heartbeat. Some datagrams are always lost.
	liveIntervals = 7
)

// liveTimeout returns how long a node counts as live after a heartbeat that is sent at
// an interval.
func liveTimeout(interval time.Duration) time.Duration {
	return max(minLiveTimeout, liveIntervals*interval)
}

// schedule tells which nodes get the next heartbeat.
type schedule struct {
	own string
	// localPeriod and remotePeriod are the numbers of intervals between two heartbeats
	// to the same node of this data centre and of another one.
	localPeriod, remotePeriod uint64
	// unknownPeriod is the greatest number of intervals between two heartbeats to a node if it
	// turns out to be in another data centre.
	unknownPeriod uint64
	// remote are the names of the other data centres, sorted.
	remote []string
}

// newSchedule returns the schedule for a list of destinations.
func newSchedule(destinations []destination, own string) schedule {
	s := schedule{own: own}
	remoteNodes, unknownNodes := 0, 0
	for _, d := range destinations {
		if d.isUnknown(own) {
			unknownNodes++
		}
		if !d.isRemote(own) {
			continue
		}
		remoteNodes++
		if !slices.Contains(s.remote, d.dataCenter) {
			s.remote = append(s.remote, d.dataCenter)
		}
	}
	slices.Sort(s.remote)
	s.localPeriod = period(len(destinations)-remoteNodes, maxLocalNodes)
	s.remotePeriod = period(remoteNodes+unknownNodes, maxRemoteNodes)
	if len(destinations) > maxFullHeartbeatNodes {
		s.unknownPeriod = idlePeriods * s.remotePeriod
	}
	return s
}

// period returns the number of intervals in which each of the nodes gets one heartbeat.
func period(nodes, nodesPerInterval int) uint64 {
	return uint64(max(1, (nodes+nodesPerInterval-1)/nodesPerInterval))
}

// isDue reports whether a node gets the heartbeat with a sequence number. The other
// data centres, and the nodes of this one, take turns within a period.
func (s *schedule) isDue(d *destination, sequence uint64) bool {
	if d.isRemote(s.own) {
		return (sequence+uint64(slices.Index(s.remote, d.dataCenter)))%s.remotePeriod == 0
	}
	return (sequence+d.turn)%s.localPeriod == 0
}

// interval returns the time between two heartbeats to a node. One whose data centre is not
// known yet may turn out to be in another one.
func (s *schedule) interval(d *destination, base time.Duration) time.Duration {
	if d.isUnknown(s.own) {
		return time.Duration(max(s.localPeriod, s.unknownPeriod)) * base
	}
	if d.isRemote(s.own) {
		return time.Duration(s.remotePeriod) * base
	}
	return time.Duration(s.localPeriod) * base
}

// isRemote reports whether a destination is known to be in another data centre.
func (d *destination) isRemote(own string) bool {
	return d.dataCenter != "" && d.dataCenter != own
}

// isUnknown reports whether a destination may be in another data centre.
func (d *destination) isUnknown(own string) bool { return d.dataCenter == "" && own != "" }

// isLive reports whether a node still counts as live.
func (p *Peer) isLive(now time.Time) bool {
	return now.Sub(p.SeenAt) < liveTimeout(p.Interval())
}

// HasHeard reports whether the node has received a heartbeat of this process.
func (p *Peer) HasHeard() bool { return p.Echo != 0 }

// Interval returns the time between two heartbeats of the node to this one.
func (b *Heartbeat) Interval() time.Duration {
	return time.Duration(b.IntervalMS) * time.Millisecond
}

// Age returns how long the node's process had sent heartbeats at the default interval when it
// sent this one.
func (b *Heartbeat) Age() time.Duration {
	return time.Duration(b.Sequence) * DefaultInterval
}

// idlePeriods is the number of periods between two heartbeats to another data centre
// that hold nothing but that the node is live.
const idlePeriods = 3

// idleLog holds the last heartbeat to each data centre. The zero value is ready to use.
type idleLog map[string]sentBeat

type sentBeat struct {
	// isIdle is set if the heartbeat has told its receivers to expect the next one only
	// after idlePeriods, and next is the sequence number of that one.
	isIdle bool
	next   uint64
	// since is SentAt of the first of the heartbeats without content up to this one.
	since int64
}

// next reports whether the heartbeat with a sequence number is to be sent, and the
// interval that it states.
func (l *idleLog) next(dataCenter string, sequence, period uint64, isEmpty bool, base time.Duration) (time.Duration, bool) {
	interval := time.Duration(period) * base
	last, ok := (*l)[dataCenter]
	if ok && isEmpty && last.isIdle && sequence+period <= last.next {
		return 0, false
	}
	if *l == nil {
		*l = idleLog{}
	}
	if !isEmpty {
		last.since = 0
	}
	(*l)[dataCenter] = sentBeat{isIdle: isEmpty, next: sequence + idlePeriods*period, since: last.since}
	if isEmpty {
		interval *= idlePeriods
	}
	return interval, true
}

// recordSince records a heartbeat to a data centre as the first one without content, if it is.
func (l idleLog) recordSince(dataCenter string, beat *Heartbeat) {
	last := l[dataCenter]
	if last.isIdle && last.since == 0 {
		last.since = beat.SentAt
		l[dataCenter] = last
	}
}

// mayExpectSooner reports whether a node may not know yet that it gets heartbeats less often,
// since it has echoed none of those without content.
func (l idleLog) mayExpectSooner(d *destination) bool {
	last := l[d.dataCenter]
	return last.isIdle && d.heard < last.since
}

// isEmpty reports whether a heartbeat tells only that its node is live.
func (b *Heartbeat) isEmpty() bool {
	return !b.Leaving && len(b.InFlight)+len(b.InFlightTotals)+len(b.Demand)+len(b.Failing)+len(b.Limits)+len(b.Unreached)+len(b.LeavingRunners) == 0 &&
		len(b.Suspects)+len(b.Unreachable)+len(b.Reachable)+len(b.Refusing)+b.Loads == 0 && !b.Breaker.IsUrgent()
}
