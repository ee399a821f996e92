package exchanger

import (
	"context"
	"math"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"marjorammoor/internal/peer/encoder"
	"marjorammoor/internal/state/recorder"
)

const (
	// minDemandChange is the relative change of a demand above which it is sent again.
	minDemandChange = 0.1
	// summaryInterval is the minimum time between two summaries of this data centre on
	// a stream.
	summaryInterval = time.Second
)

// link keeps an outgoing stream of heartbeats to one peer address.
type link struct {
	exchanger *Exchanger
	address   string
	// isLocal is set if the address was known to belong to a node of this data centre
	// when the link was created.
	isLocal bool
	stop    context.CancelFunc
	wake    chan struct{}

	mu sync.Mutex
	// lastAck is nil until the stream's first acknowledgement. ackedAt is the time of
	// the last acknowledgement, or of the stream's start.
	lastAck *encoder.Ack
	ackedAt time.Time
	// peerRevision is the configuration revision that the peer has acknowledged or that
	// was sent to it, whichever is later.
	peerRevision int64
	// configBeat is the sequence number of the last heartbeat with configuration.
	configBeat uint64

	// sequence is the number of the last heartbeat. The fields below hold what was sent
	// on this stream, by VM, by node name or by data centre.
	sequence      uint64
	sentSightings map[string]recorder.Sighting
	sentLeaving   map[string]recorder.LeavingMark
	sentDemand    []recorder.Demand
	sentNodes     map[string]recorder.Node
	sentSelf      *encoder.Node
	summarySentAt time.Time
	// relayedSummaries holds At of the last summary that was relayed.
	relayedSummaries map[string]time.Time
}

// wakeUp makes the stream send a heartbeat soon.
func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run keeps a stream open until ctx ends, and opens a new one after a failure.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.stream(ctx)
		if ctx.Err() == nil {
			streamsLost.Inc()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// stream opens a stream and sends heartbeats until it fails.
func (l *link) stream(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, release := l.exchanger.client(l.address)
	defer release()
	s := c.Exchange(ctx)
	defer s.CloseRequest() //nolint:errcheck
	s.RequestHeader().Set(tokenHeader, l.exchanger.Token)
	l.reset()
	go func() {
		defer cancel()
		l.receiveAcks(s)
	}()
	t := time.NewTicker(l.exchanger.HeartbeatInterval)
	defer t.Stop()
	for ctx.Err() == nil && !l.isStale() {
		b := l.nextBeat()
		if err := s.Send(b); err != nil {
			return
		}
		beatsSent.Inc()
		beatBytes.Add(proto.Size(b))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-l.wake:
			time.Sleep(wakeDelay)
		}
	}
}

// reset clears what was sent and received on the previous stream.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAck, l.ackedAt, l.peerRevision, l.configBeat = nil, time.Now(), 0, 0
	l.sequence = 0
	l.sentSightings, l.sentLeaving = map[string]recorder.Sighting{}, map[string]recorder.LeavingMark{}
	l.sentDemand, l.sentNodes, l.sentSelf = nil, map[string]recorder.Node{}, nil
	l.summarySentAt, l.relayedSummaries = time.Time{}, map[string]time.Time{}
}

// isStale reports whether no acknowledgement has arrived for ackTimeout. Without this
// check, a half-open connection would count as working.
func (l *link) isStale() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stale := time.Since(l.ackedAt) > ackTimeout
	if stale {
		streamsStale.Inc()
	}
	return stale
}

func (l *link) receiveAcks(s *connect.BidiStreamForClient[encoder.Beat, encoder.Ack]) {
	for {
		a, err := s.Receive()
		if err != nil {
			return
		}
		l.handleAck(a)
	}
}

// handleAck records an acknowledgement. If the peer did not apply the configuration
// that was sent, it has the next heartbeat send it again.
func (l *link) handleAck(a *encoder.Ack) {
	if a.Node != nil {
		l.exchanger.recordIdentity(l.address, fromNode(a.Node))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	isFirst := l.lastAck == nil
	l.lastAck, l.ackedAt = a, time.Now()
	if a.Revision > l.peerRevision {
		l.peerRevision = a.Revision
	}
	if a.Beat >= l.configBeat && a.Revision < l.peerRevision {
		configBehind.Inc()
		l.peerRevision = a.Revision
		l.wakeUp()
	}
	if isFirst {
		l.wakeUp()
	}
}

// nextBeat returns a heartbeat with what has changed since the last one.
func (l *link) nextBeat() *encoder.Beat {
	x := l.exchanger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	b := &encoder.Beat{Sequence: l.sequence}
	self, _ := x.Board.Nodes.Get(x.Self)
	b.Revision = x.Board.Revision()
	sender := toNode(self)
	sender.Revision = 0
	if !proto.Equal(sender, l.sentSelf) {
		l.sentSelf, b.Sender = sender, sender
	}
	if l.lastAck != nil {
		b.Echo = l.lastAck.Sequence
		l.addConfig(b)
	}
	if l.isLocal || x.isLocalSeed(l.address) {
		l.addSightings(b)
		l.addLeaving(b)
		l.addDemand(b, self.Demand)
		l.relaySummaries(b)
	} else if time.Since(l.summarySentAt) > summaryInterval {
		l.summarySentAt = time.Now()
		b.Summaries = []*encoder.Summary{x.ownSummary()}
	}
	l.addNodes(b)
	return b
}

// addConfig adds the configuration that the peer lacks.
func (l *link) addConfig(b *encoder.Beat) {
	if b.Revision <= l.peerRevision {
		return
	}
	u := l.exchanger.Board.ConfigSince(l.peerRevision)
	b.Config = toConfig(u)
	l.peerRevision, l.configBeat = u.To, l.sequence
}

// addSightings adds the sightings that have changed, withdraws those that are older
// than ShareWithin, and sets the age of the oldest of the others.
func (l *link) addSightings(b *encoder.Beat) {
	oldest := time.Duration(0)
	present := map[string]bool{}
	for _, o := range l.exchanger.ownSightings() {
		age := time.Since(o.sighting.ConfirmedAt)
		if age > l.exchanger.ShareWithin {
			continue
		}
		present[o.vm] = true
		oldest = max(oldest, age)
		previous, known := l.sentSightings[o.vm]
		switch {
		case !known || !previous.SameState(o.sighting):
			b.Sightings = append(b.Sightings, toSighting(o.vm, o.sighting))
		case o.sighting.Identity.Head && previous.Identity.Load != o.sighting.Identity.Load:
			b.Loads = append(b.Loads, &encoder.HeadLoad{Vm: o.vm, Load: toLoad(o.sighting.Identity.Load)})
		default:
			continue
		}
		l.sentSightings[o.vm] = o.sighting
	}
	for vm := range l.sentSightings {
		if !present[vm] {
			b.Withdrawn = append(b.Withdrawn, vm)
			delete(l.sentSightings, vm)
		}
	}
	b.FactsAgeMs = oldest.Milliseconds() + 1
}

func (l *link) addLeaving(b *encoder.Beat) {
	l.exchanger.Board.Leaving.Each(func(vm string, m recorder.LeavingMark) bool {
		if l.sentLeaving[vm] != m {
			l.sentLeaving[vm] = m
			b.Leaving = append(b.Leaving, &encoder.LeavingMark{Vm: vm, Reason: m.Source, BootId: m.BootID, ListRevision: m.ListRevision})
		}
		return true
	})
}

func (l *link) addDemand(b *encoder.Beat, demand []recorder.Demand) {
	if isSimilarDemand(l.sentDemand, demand) {
		return
	}
	l.sentDemand = demand
	b.HasDemand = true
	b.Demand = toDemand(demand)
}

// isSimilarDemand reports whether two lists have the same teams and deployments and
// each demand in tokens differs by at most minDemandChange.
func isSimilarDemand(a, b []recorder.Demand) bool {
	if len(a) != len(b) {
		return false
	}
	type key struct{ team, deployment string }
	tokens := map[key]float64{}
	for _, d := range a {
		tokens[key{d.Team, d.Deployment}] = d.Tokens
	}
	for _, d := range b {
		old, ok := tokens[key{d.Team, d.Deployment}]
		if !ok || math.Abs(old-d.Tokens) > minDemandChange*max(old, d.Tokens) {
			return false
		}
	}
	return true
}

// addNodes adds the nodes whose incarnation, peer address or leaving state is not yet
// sent on this stream.
func (l *link) addNodes(b *encoder.Beat) {
	l.exchanger.Board.Nodes.Each(func(name string, n recorder.Node) bool {
		n.HeardAt, n.Revision, n.Demand, n.Watching = time.Time{}, 0, nil, false
		previous, ok := l.sentNodes[name]
		isSame := ok && previous.Incarnation == n.Incarnation && previous.PeerAddress == n.PeerAddress && previous.Leaving == n.Leaving
		if !isSame && name != l.exchanger.Self {
			l.sentNodes[name] = n
			b.Nodes = append(b.Nodes, toNode(n))
		}
		return true
	})
}

// relaySummaries adds the summaries that this node received from nodes of the
// summarized data centres. Summaries that were relayed to this node are left out.
func (l *link) relaySummaries(b *encoder.Beat) {
	l.exchanger.Board.Summaries.Each(func(name string, s recorder.Summary) bool {
		if l.exchanger.isDirect(name, s) && l.relayedSummaries[name] != s.At {
			l.relayedSummaries[name] = s.At
			b.Summaries = append(b.Summaries, toSummary(s))
		}
		return true
	})
}
