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

// buildClaims connects idempotency keys with the platform and the peers.
func (n *Node) buildClaims() {
	s := n.Settings
	n.claimer = &claimer.Claimer{Platform: n.platform, Self: s.Name, Live: n.liveNames, Peer: n.claimAtPeer}
	n.executor = &executor.Executor{
		Claimer: n.claimer, Serve: n.forwarder.Serve, Self: s.Name, Incarnation: n.Incarnation, Fetch: n.fetchFromPeer,
	}
	n.gateway.Once = n.executor.Once
	n.exchanger.OnClaim = n.onClaim
	n.exchanger.OnFetch = n.executor.OnFetch
}

// liveNames returns the names of all live nodes that this node knows of.
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
		return "", trace.NotFound("node %s is not known", name)
	}
	return x.PeerAddress, nil
}

func (n *Node) claimAtPeer(ctx context.Context, node string, c claimer.Claim) (claimer.Claim, error) {
	address, err := n.peerAddress(node)
	if err != nil {
		return c, err
	}
	reply, err := n.exchanger.Claim(ctx, address, &encoder.ClaimRequest{
		Key: c.Key, Fingerprint: c.Fingerprint, Node: c.Node, Incarnation: c.Incarnation, Attempt: c.Attempt, At: c.At,
	})
	if err != nil {
		return c, fmt.Errorf("claim at peer: %w", err)
	}
	return claimer.Claim{
		Key: c.Key, Fingerprint: reply.Fingerprint, Node: reply.Node, Incarnation: reply.Incarnation, Attempt: reply.Attempt,
	}, nil
}

func (n *Node) onClaim(ctx context.Context, r *encoder.ClaimRequest) (*encoder.ClaimReply, error) {
	holder, err := n.claimer.ClaimHere(ctx, claimer.Claim{
		Key: r.Key, Fingerprint: r.Fingerprint, Node: r.Node, Incarnation: r.Incarnation, Attempt: r.Attempt, At: r.At,
	})
	if err != nil {
		return nil, err
	}
	return &encoder.ClaimReply{
		Fingerprint: holder.Fingerprint, Node: holder.Node, Incarnation: holder.Incarnation, Attempt: holder.Attempt,
	}, nil
}

func (n *Node) fetchFromPeer(ctx context.Context, node, _ string, r *encoder.FetchRequest) (*encoder.FetchReply, error) {
	address, err := n.peerAddress(node)
	if err != nil {
		return nil, err
	}
	return n.exchanger.Fetch(ctx, address, r)
}
