package exchanger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"marjorammoor/internal/gateway/authenticator"
	"marjorammoor/internal/peer/encoder"
	"marjorammoor/internal/state/recorder"
)

const (
	tokenHeader = authenticator.HeaderPeerToken
	// keptAcks is how many acknowledgements a beat may lag behind.
	keptAcks = 16
	// maxMessageBytes bounds one message of a peer.
	maxMessageBytes = 64 << 20
)

// Handler returns the peers' HTTP interface, which refuses callers without the
// nodes' token.
func (x *Exchanger) Handler() http.Handler {
	x.setDefaults()
	mux := http.NewServeMux()
	mux.Handle(encoder.NewPeerServiceHandler(&service{exchanger: x}, connect.WithReadMaxBytes(maxMessageBytes)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !authenticator.Equal(r.Header.Get(tokenHeader), x.Token) {
			badPeerTokens.Inc()
			http.Error(w, "wrong or missing token", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

type service struct{ exchanger *Exchanger }

// Exchange takes the beats of one peer.
func (s *service) Exchange(_ context.Context, stream *connect.BidiStream[encoder.Beat, encoder.Ack]) error {
	r := &receiver{exchanger: s.exchanger, ackedAt: map[uint64]time.Time{}}
	for {
		b, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if b.Sender.GetName() != "" {
			r.sender = fromNode(b.Sender)
		}
		if r.sender.Name == "" {
			return connect.NewError(connect.CodeInvalidArgument, trace.BadParameter("first beat without sender"))
		}
		if !r.take(b) {
			return nil
		}
		if err := stream.Send(r.ack(b)); err != nil {
			return err
		}
	}
}

// Claim answers a peer's claim.
func (s *service) Claim(ctx context.Context, r *connect.Request[encoder.ClaimRequest]) (*connect.Response[encoder.ClaimReply], error) {
	if s.exchanger.OnClaim == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, trace.NotImplemented("claims"))
	}
	a, err := s.exchanger.OnClaim(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(a), nil
}

// Fetch tells a peer how a request ended here.
func (s *service) Fetch(ctx context.Context, r *connect.Request[encoder.FetchRequest]) (*connect.Response[encoder.FetchReply], error) {
	if s.exchanger.OnFetch == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, trace.NotImplemented("fetch"))
	}
	a, err := s.exchanger.OnFetch(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(a), nil
}

// classify turns a call's failure into an error class.
func classify(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented, connect.CodeUnauthenticated, connect.CodeInvalidArgument:
		return trace.BadParameter("peer: %v", err)
	default:
		return trace.ConnectionProblem(err, "peer")
	}
}

// receiver takes the beats of one stream.
type receiver struct {
	exchanger *Exchanger
	sender    recorder.Node
	id        uint64
	sequence  uint64
	ackedAt   map[uint64]time.Time
}

// take records what a beat says, and reports false if a newer stream of the same
// node has taken this one's place.
func (r *receiver) take(b *encoder.Beat) bool {
	x := r.exchanger
	if r.id == 0 {
		r.id = x.openStream(r.sender.Name)
		x.dropMissing(r.sender.Name, b)
	} else if !x.isCurrent(r.sender.Name, r.id) {
		return false
	}
	beatsTaken.Inc()
	x.learnSender(r.sender, b)
	if b.Config != nil {
		if err := x.Board.ApplyConfig(fromConfig(b.Config)); err != nil {
			configBehind.Inc()
		}
	}
	isLocal := r.sender.DataCenter == x.DataCenter
	if isLocal {
		x.takeSightings(r.sender.Name, b)
		r.date(b)
	}
	for _, m := range b.Leaving {
		x.Board.MarkLeaving(m.Vm, recorder.LeavingMark{Since: time.Now(), Reason: m.Reason, BootID: m.BootId, ListRevision: m.ListRevision})
	}
	for _, n := range b.Nodes {
		x.learnNode(fromNode(n))
	}
	for _, s := range b.Summaries {
		x.takeSummary(fromSummary(s), !isLocal)
	}
	return true
}

// date says how recently the sender confirmed its sightings: its oldest one's
// age before the time at which this node sent the acknowledgement echoed.
func (r *receiver) date(b *encoder.Beat) {
	at, ok := r.ackedAt[b.Echo]
	if !ok {
		return
	}
	confirmed := at.Add(-time.Duration(b.FactsAgeMs) * time.Millisecond)
	r.exchanger.Board.Watchers.Update(r.sender.Name, func(old time.Time, _ bool) (time.Time, bool) {
		if old.After(confirmed) {
			return old, true
		}
		return confirmed, true
	})
}

func (r *receiver) ack(b *encoder.Beat) *encoder.Ack {
	r.sequence++
	r.ackedAt[r.sequence] = time.Now()
	delete(r.ackedAt, r.sequence-keptAcks)
	a := &encoder.Ack{Sequence: r.sequence, Beat: b.Sequence, Revision: r.exchanger.Board.Revision()}
	if r.sequence == 1 {
		self, _ := r.exchanger.Board.Nodes.Get(r.exchanger.Self)
		a.Node = toNode(self)
	}
	return a
}

// openStream makes a new stream the current one of a node.
func (x *Exchanger) openStream(name string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counter++
	x.streams[name] = x.counter
	x.Board.Watchers.Delete(name)
	return x.counter
}

func (x *Exchanger) isCurrent(name string, id uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.streams[name] == id
}
