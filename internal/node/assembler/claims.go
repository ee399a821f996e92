package assembler

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"marjorammoor/internal/claims/claimer"
	"marjorammoor/internal/claims/executor"
	"marjorammoor/internal/health/prober"
	"marjorammoor/internal/peer/encoder"
)

// buildClaims creates the components for requests with idempotency keys, and
// connects them to the platform and the peers.
func (n *Node) buildClaims() {
	s := n.Settings
	n.claimer = &claimer.Claimer{Platform: n.platform, Self: s.Name, Live: n.liveNames, ClaimAtPeer: n.claimViaPeer}
	n.executor = &executor.Executor{
		Claimer: n.claimer, Serve: n.forwarder.Serve, Self: s.Name, Incarnation: n.Incarnation, Fetch: n.fetchFromPeer,
	}
	n.gateway.ServeOnce = n.executor.ServeOnce
	n.exchanger.OnClaim = n.onClaim
	n.exchanger.OnFetch = n.executor.OnFetch
}

// liveNames returns the names of the live nodes of all data centres, as far as they
// are on the board or in recent summaries.
func (n *Node) liveNames() []string {
	names := []string{}
	for _, x := range n.board.LiveNodes(n.Settings.DataCenter, prober.DefaultLifetime) {
		names = append(names, x.Name)
	}
	for _, s := range n.freshSummaries() {
		for _, x := range s.Nodes {
			names = append(names, x.Name)
		}
	}
	return names
}

func (n *Node) peerAddress(name string) (string, error) {
	x, ok := n.board.Nodes.Get(name)
	if !ok {
		return "", trace.NotFound("node %s is not on the board, so its peer address is unknown", name)
	}
	return x.PeerAddress, nil
}

// claimViaPeer asks another node to record a claim, and returns the holder.
func (n *Node) claimViaPeer(ctx context.Context, node string, c claimer.Claim) (claimer.Claim, error) {
	address, err := n.peerAddress(node)
	if err != nil {
		return c, err
	}
	reply, err := n.exchanger.Claim(ctx, address, &encoder.ClaimRequest{
		Key: c.Key, Fingerprint: c.Fingerprint, Node: c.Node, Incarnation: c.Incarnation, Attempt: c.Attempt, At: c.At,
	})
	if err != nil {
		return c, fmt.Errorf("send claim to peer: %w", err)
	}
	return claimer.Claim{
		Key: c.Key, Fingerprint: reply.Fingerprint, Node: reply.Node, Incarnation: reply.Incarnation, Attempt: reply.Attempt,
	}, nil
}

// onClaim records a claim on behalf of another node.
func (n *Node) onClaim(ctx context.Context, r *encoder.ClaimRequest) (*encoder.ClaimReply, error) {
	holder, err := n.claimer.ClaimLocally(ctx, claimer.Claim{
		Key: r.Key, Fingerprint: r.Fingerprint, Node: r.Node, Incarnation: r.Incarnation, Attempt: r.Attempt, At: r.At,
	})
	if err != nil {
		return nil, err
	}
	return &encoder.ClaimReply{
		Fingerprint: holder.Fingerprint, Node: holder.Node, Incarnation: holder.Incarnation, Attempt: holder.Attempt,
	}, nil
}

// fetchFromPeer asks another node for the result of a request with an idempotency
// key.
func (n *Node) fetchFromPeer(ctx context.Context, node, _ string, r *encoder.FetchRequest) (*encoder.FetchReply, error) {
	address, err := n.peerAddress(node)
	if err != nil {
		return nil, err
	}
	return n.exchanger.Fetch(ctx, address, r)
}
