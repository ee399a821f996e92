package deliverer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/network/requester"
)

// TestNodesWithLessEvidenceAreUsedOnceTheBestAreTried guards against requests that are refused
// because the nodes for which most speaks have been tried.
func TestNodesWithLessEvidenceAreUsedOnceTheBestAreTried(t *testing.T) {
	d := &Deliverer{Peers: func(string, string) []Peer {
		return []Peer{{Name: "b", Evidence: NotMissed}, {Name: "a", Load: 50}, {Name: "c", Evidence: Unheard}}
	}}
	tried := []string{}
	for _, want := range []string{"a", "b", "c"} {
		p, ok := d.Choose("s", "", tried)
		if !ok || p.Name != want {
			t.Fatalf("after %v: chose %q, want %q", tried, p.Name, want)
		}
		tried = append(tried, p.Name)
	}
	if p, ok := d.Choose("s", "", tried); ok {
		t.Errorf("chose %q though all were tried", p.Name)
	}
}

// TestNodesBeyondACutAreNotTriedOneByOne guards against requests that leave the queue of their
// node for nodes that cannot be reached, because heartbeats from before the cut count.
func TestNodesBeyondACutAreNotTriedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers, isCut, dials := []Peer{}, true, 0
		for i := range 40 {
			peers = append(peers, Peer{Name: fmt.Sprint("far", i), Address: "far:1", DataCenter: "far", IsRemote: true})
		}
		dial := func(_ context.Context, address string) (net.Conn, error) {
			dials++
			if isCut && address == "far:1" {
				return nil, errors.New("no route to host")
			}
			here, there := net.Pipe()
			go func() {
				_, _ = there.Read(make([]byte, 1<<10))
				_, _ = there.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}()
			return here, nil
		}
		d := &Deliverer{Peers: func(string, string) []Peer { return append([]Peer{}, peers...) }, Client: &requester.Client{Dial: dial}}
		send := func() (Peer, bool) {
			p, ok := d.Choose("s", "", nil)
			if ok {
				response, err := d.Send(t.Context(), p, &requester.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}, NewConnection: true}, Delivery{})
				if err == nil {
					response.Close()
				}
			}
			return p, ok
		}
		for range 20 {
			send()
		}
		if dials != maxMisses || d.HasPeer("s", "") {
			t.Errorf("%d nodes beyond the cut were tried, want %d and no more", dials, maxMisses)
		}
		peers = append(peers, Peer{Name: "near", Address: "near:1", DataCenter: "near"})
		if p, ok := send(); !ok || p.Name != "near" {
			t.Errorf("chose %q, want the node that is not cut off", p.Name)
		}
		peers, isCut = peers[:40], false
		time.Sleep(avoidTime)
		for range 20 {
			if p, ok := send(); !ok || !strings.HasPrefix(p.Name, "far") {
				t.Fatalf("chose %q after the cut", p.Name)
			}
		}
	})
}
