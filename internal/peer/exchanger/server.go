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
	// keptAcks is the number of acknowledgements whose send time is kept. A heartbeat
	// that echoes an earlier one confirms no sightings.
	keptAcks = 16
	// maxMessageBytes is the maximum size of a message from a peer.
	maxMessageBytes = 64 << 20
)

// Handler returns the HTTP handler for peers. It rejects requests without Token.
func (x *Exchanger) Handler() http.Handler {
	x.setDefaults()
	mux := http.NewServeMux()
	mux.Handle(encoder.NewPeerServiceHandler(&service{exchanger: x}, connect.WithReadMaxBytes(maxMessageBytes)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !authenticator.Equal(r.Header.Get(tokenHeader), x.Token) {
			rejectedTokens.Inc()
			http.Error(w, "wrong or missing token", http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// service implements encoder.PeerServiceHandler.
type service struct{ exchanger *Exchanger }

// Exchange applies and acknowledges the heartbeats of one peer's stream.
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
		if !r.apply(b) {
			return nil
		}
		if err := stream.Send(r.ack(b)); err != nil {
			return err
		}
	}
}

// Claim answers a peer's claim on an idempotency key.
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

// Fetch answers a peer that asks for the result of a request that ran here.
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

// classify converts the error of a call to a peer: trace.BadParameter if the peer
// rejected the call, trace.ConnectionProblem for any other failure.
func classify(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented, connect.CodeUnauthenticated, connect.CodeInvalidArgument:
		return trace.BadParameter("peer: %v", err)
	default:
		return trace.ConnectionProblem(err, "peer")
	}
}

// receiver applies the heartbeats of one incoming stream.
type receiver struct {
	exchanger *Exchanger
	// sender is the peer as its last heartbeat with a Sender described it.
	sender recorder.Node
	// id is the ID of the stream, or 0 before its first heartbeat.
	id uint64
	// sequence is the number of the last acknowledgement, and ackedAt the times at
	// which the last keptAcks acknowledgements were sent, by number.
	sequence uint64
	ackedAt  map[uint64]time.Time
}

// apply records the facts of a heartbeat on the board. It returns false if a newer
// stream of the same node has replaced this one.
func (r *receiver) apply(b *encoder.Beat) bool {
	x := r.exchanger
	if r.id == 0 {
		r.id = x.openStream(r.sender.Name)
		x.dropMissing(r.sender.Name, b)
	} else if !x.isCurrent(r.sender.Name, r.id) {
		return false
	}
	beatsReceived.Inc()
	x.recordSender(r.sender, b)
	if b.Config != nil {
		if err := x.Board.ApplyConfig(fromConfig(b.Config)); err != nil {
			configBehind.Inc()
		}
	}
	isLocal := r.sender.DataCenter == x.DataCenter
	if isLocal {
		x.applySightings(r.sender.Name, b)
		r.updateConfirmedAt(b)
	}
	for _, m := range b.Leaving {
		x.Board.MarkLeaving(m.Vm, recorder.LeavingMark{Since: time.Now(), Source: m.Reason, BootID: m.BootId, ListRevision: m.ListRevision})
	}
	for _, n := range b.Nodes {
		x.recordNode(fromNode(n))
	}
	for _, s := range b.Summaries {
		x.applySummary(fromSummary(s), !isLocal)
	}
	return true
}

// updateConfirmedAt sets the time at or after which the sender has confirmed each of
// its sightings: the time at which this node sent the acknowledgement that the
// heartbeat echoes, minus the age of the sender's oldest sighting. The time never
// moves back.
func (r *receiver) updateConfirmedAt(b *encoder.Beat) {
	ackedAt, ok := r.ackedAt[b.Echo]
	if !ok {
		return
	}
	confirmedAt := ackedAt.Add(-time.Duration(b.FactsAgeMs) * time.Millisecond)
	r.exchanger.Board.Watchers.Update(r.sender.Name, func(old time.Time, _ bool) (time.Time, bool) {
		if old.After(confirmedAt) {
			return old, true
		}
		return confirmedAt, true
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

// openStream returns the ID of a new stream from a node, which replaces the node's
// current one. Its sightings count as unconfirmed until a heartbeat of the new stream
// confirms them.
func (x *Exchanger) openStream(name string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastStreamID++
	x.currentStreams[name] = x.lastStreamID
	x.Board.Watchers.Delete(name)
	return x.lastStreamID
}

// isCurrent reports whether a stream is the newest one of a node.
func (x *Exchanger) isCurrent(name string, id uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.currentStreams[name] == id
}
