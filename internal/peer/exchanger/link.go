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
	// demandChange is the relative change of a demand that is worth sending.
	demandChange = 0.1
	// summaryInterval is how often a data centre's summary is sent.
	summaryInterval = time.Second
)

// link sends one stream of beats to a peer address.
type link struct {
	exchanger *Exchanger
	address   string
	isLocal   bool
	stop      context.CancelFunc
	wake      chan struct{}

	mu       sync.Mutex
	lastAck  *encoder.Ack
	ackedAt  time.Time
	revision int64
	// configBeat is the sequence of the last beat that carried configuration.
	configBeat uint64

	sequence    uint64
	sent        map[string]recorder.Sighting
	sentLeaving map[string]recorder.LeavingMark
	sentDemand  []recorder.Demand
	sentNodes   map[string]recorder.Node
	sentSelf    *encoder.Node
	summaryAt   time.Time
	relayed     map[string]time.Time
}

func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run keeps a stream until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.stream(ctx)
		if ctx.Err() == nil {
			streamsLost.Inc()
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// stream opens a stream and sends beats until it fails.
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
		l.takeAcks(s)
	}()
	t := time.NewTicker(l.exchanger.BeatInterval)
	defer t.Stop()
	for ctx.Err() == nil && !l.isStale() {
		b := l.compose()
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
			time.Sleep(minBeatGap)
		}
	}
}

func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAck, l.ackedAt, l.revision, l.configBeat = nil, time.Now(), 0, 0
	l.sequence = 0
	l.sent, l.sentLeaving = map[string]recorder.Sighting{}, map[string]recorder.LeavingMark{}
	l.sentDemand, l.sentNodes, l.sentSelf = nil, map[string]recorder.Node{}, nil
	l.summaryAt, l.relayed = time.Time{}, map[string]time.Time{}
}

// isStale reports whether the stream has been without acknowledgement for too
// long; a half-open one looks alive otherwise.
func (l *link) isStale() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stale := time.Since(l.ackedAt) > ackTimeout
	if stale {
		streamsStale.Inc()
	}
	return stale
}

func (l *link) takeAcks(s *connect.BidiStreamForClient[encoder.Beat, encoder.Ack]) {
	for {
		a, err := s.Receive()
		if err != nil {
			return
		}
		l.takeAck(a)
	}
}

func (l *link) takeAck(a *encoder.Ack) {
	if a.Node != nil {
		l.exchanger.learnAddress(l.address, fromNode(a.Node))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	isFirst := l.lastAck == nil
	l.lastAck, l.ackedAt = a, time.Now()
	if a.Revision > l.revision {
		l.revision = a.Revision
	}
	if a.Beat >= l.configBeat && a.Revision < l.revision {
		configBehind.Inc()
		l.revision = a.Revision
		l.wakeUp()
	}
	if isFirst {
		l.wakeUp()
	}
}

// compose makes the next beat out of what has changed since the last one.
func (l *link) compose() *encoder.Beat {
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
	} else if time.Since(l.summaryAt) > summaryInterval {
		l.summaryAt = time.Now()
		b.Summaries = []*encoder.Summary{x.ownSummary()}
	}
	l.addNodes(b)
	return b
}

func (l *link) addConfig(b *encoder.Beat) {
	if b.Revision <= l.revision {
		return
	}
	u := l.exchanger.Board.ConfigSince(l.revision)
	b.Config = toConfig(u)
	l.revision, l.configBeat = u.To, l.sequence
}

// addSightings adds changed sightings, withdraws lapsed ones and dates all.
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
		before, known := l.sent[o.vm]
		switch {
		case !known || !before.Same(o.sighting):
			b.Sightings = append(b.Sightings, toSighting(o.vm, o.sighting))
		case o.sighting.Identity.Head && before.Identity.Load != o.sighting.Identity.Load:
			b.Loads = append(b.Loads, &encoder.HeadLoad{Vm: o.vm, Load: toLoad(o.sighting.Identity.Load)})
		default:
			continue
		}
		l.sent[o.vm] = o.sighting
	}
	for vm := range l.sent {
		if !present[vm] {
			b.Withdrawn = append(b.Withdrawn, vm)
			delete(l.sent, vm)
		}
	}
	b.FactsAgeMs = oldest.Milliseconds() + 1
}

func (l *link) addLeaving(b *encoder.Beat) {
	l.exchanger.Board.Leaving.Each(func(vm string, m recorder.LeavingMark) bool {
		if l.sentLeaving[vm] != m {
			l.sentLeaving[vm] = m
			b.Leaving = append(b.Leaving, &encoder.LeavingMark{Vm: vm, Reason: m.Reason, BootId: m.BootID, ListRevision: m.ListRevision})
		}
		return true
	})
}

func (l *link) addDemand(b *encoder.Beat, demand []recorder.Demand) {
	if sameDemand(l.sentDemand, demand) {
		return
	}
	l.sentDemand = demand
	b.HasDemand = true
	b.Demand = toDemand(demand)
}

// sameDemand reports whether two demands differ so little that it does not
// matter.
func sameDemand(a, b []recorder.Demand) bool {
	if len(a) != len(b) {
		return false
	}
	type key struct{ team, deployment string }
	known := map[key]float64{}
	for _, d := range a {
		known[key{d.Team, d.Deployment}] = d.Tokens
	}
	for _, d := range b {
		old, ok := known[key{d.Team, d.Deployment}]
		if !ok || math.Abs(old-d.Tokens) > demandChange*max(old, d.Tokens) {
			return false
		}
	}
	return true
}

// addNodes adds nodes whose addresses or incarnations the peer has not heard of
// from this stream.
func (l *link) addNodes(b *encoder.Beat) {
	l.exchanger.Board.Nodes.Each(func(name string, n recorder.Node) bool {
		n.HeardAt, n.Revision, n.Demand, n.Watching = time.Time{}, 0, nil, false
		before, ok := l.sentNodes[name]
		isSame := ok && before.Incarnation == n.Incarnation && before.PeerAddress == n.PeerAddress && before.Leaving == n.Leaving
		if !isSame && name != l.exchanger.Self {
			l.sentNodes[name] = n
			b.Nodes = append(b.Nodes, toNode(n))
		}
		return true
	})
}

// relaySummaries passes on summaries that came from their own data centres.
func (l *link) relaySummaries(b *encoder.Beat) {
	l.exchanger.Board.Summaries.Each(func(name string, s recorder.Summary) bool {
		if l.exchanger.isDirect(name, s) && l.relayed[name] != s.At {
			l.relayed[name] = s.At
			b.Summaries = append(b.Summaries, toSummary(s))
		}
		return true
	})
}
