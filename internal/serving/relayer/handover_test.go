package relayer

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/matcher"
)

// handoverCase is one entry of testdata/handovers.json: a request at a node whose only runner is
// out of reach, and the behaviors of other nodes, each for its requests in order.
type handoverCase struct {
	faultCase
	Peers [][]string `json:"peers"`
	// Delivered is set if another node has handed the request over.
	Delivered bool `json:"delivered"`
}

// TestHandovers checks what callers get from requests that are handed over.
func TestHandovers(t *testing.T) {
	b, err := os.ReadFile("testdata/handovers.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []handoverCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

// listenPeers starts the other nodes and returns them with what they have got together.
func (x *handoverCase) listenPeers(t *testing.T) ([]deliverer.Peer, []*scriptedRunners) {
	peers, scripts := []deliverer.Peer{}, []*scriptedRunners{}
	for i, runs := range x.Peers {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		s := &scriptedRunners{runs: runs}
		if runs[0] == "closed" {
			_ = l.Close()
		} else {
			go s.serve(l)
		}
		peers = append(peers, deliverer.Peer{Name: fmt.Sprint("peer", i), Address: l.Addr().String()})
		scripts = append(scripts, s)
	}
	return peers, scripts
}

func (x *handoverCase) check(t *testing.T) {
	x.Runs = []string{"ok"}
	r := newRelayer(t, &x.faultCase, "127.0.0.1:1")
	r.Balancer.Reach = func(balancer.Target) (balancer.Reach, time.Time) { return balancer.CutOff, time.Time{} }
	peers, scripts := x.listenPeers(t)
	now := time.Now()
	c := &Call{
		ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Header: http.Header{"Id": {"q"}}, Arrived: now, Deadline: now.Add(2 * time.Second),
		CallerDeadline: now.Add(2 * time.Second),
		Route:          &matcher.Route{Type: routeTypes[x.Type], Resumable: x.Resumable, MaxAttempts: 2, TargetLatency: time.Second},
	}
	// Nodes are offered one after the other.
	r.Peers = &deliverer.Deliverer{Self: "here", Client: &requester.Client{}, Peers: func(string, string) []deliverer.Peer {
		n := min(len(c.triedPeers), len(peers))
		return append([]deliverer.Peer{}, peers[n:min(n+1, len(peers))]...)
	}}
	if x.Delivered {
		c.Adopt(deliverer.Delivery{Node: "there"})
	}
	status, body := 0, strings.Builder{}
	failure := r.Serve(t.Context(), c, &ResponseWriter{
		Start: func(code int, _ http.Header) { status = code },
		Write: func(b []byte) error { _, err := body.Write(b); return err },
	})
	all := &scriptedRunners{}
	for _, s := range scripts {
		s.mu.Lock()
		all.sends += s.sends
		if s.sends > 0 {
			all.last = s.last
		}
		s.mu.Unlock()
	}
	x.compare(t, all, status, body.String(), failure)
}
