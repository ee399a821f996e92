package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"marjorammoor/internal/serving/tracker"
)

// heldListener accepts connections of which the server gets what has arrived only later.
type heldListener struct {
	net.Listener
	// holds is set while reads are held.
	holds atomic.Bool
	// arrived gets a value for each read that is held, until release is closed.
	arrived, release chan struct{}
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &heldConn{c, l}, err
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.holds.Load() {
		c.listener.arrived <- struct{}{}
		<-c.listener.release
	}
	return n, err
}

// TestRequestReadWhileIdleConnectionsAreClosedIsAnswered guards against a request that is passed
// on to a runner although its connection was closed as idle just before.
func TestRequestReadWhileIdleConnectionsAreClosedIsAnswered(t *testing.T) {
	t.Parallel()
	x := &stopCase{Route: "brief", Runner: "ok"}
	n := newStoppingNode(t, x)
	l := &heldListener{Listener: listenForStop(t), arrived: make(chan struct{}, 1), release: make(chan struct{})}
	go func() { _ = n.callers.server.Serve(l) }()
	c := x.dial(t, l.Addr().String())
	responses := bufio.NewReader(c)
	for _, isHeld := range []bool{false, true} {
		l.holds.Store(isHeld)
		if _, err := io.WriteString(c, x.request("q")); err != nil {
			t.Fatal(err)
		}
		if isHeld {
			<-l.arrived
			go n.stop(n.callers, n.deliveries)
			time.Sleep(stopGrace/2 + 200*time.Millisecond)
			close(l.release)
		}
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("no response (held %t), the runner got %d requests: %v", isHeld, n.sends.Load(), err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("status %d (held %t)", response.StatusCode, isHeld)
		}
	}
}

// TestNodeWithoutRunnersClosesNoneAsUnused guards against a node that ends while it has no list of
// runners yet, or closes connections that may be used.
func TestNodeWithoutRunnersClosesNoneAsUnused(t *testing.T) {
	t.Parallel()
	n := startCallerServer(t).node
	n.closeUnused()
	if !n.newUsedAddresses()("10.0.0.1:80") {
		t.Error("an address is not used although no list of runners is known")
	}
	n.tracker.Replace([]*tracker.Runner{{ID: "r", Service: "s", Address: "10.0.0.1:80", State: tracker.Ready}}, 0)
	n.closeUnused()
	isUsed := n.newUsedAddresses()
	if !isUsed("10.0.0.1:80") || isUsed("10.0.0.2:80") {
		t.Error("not just the addresses of runners are used")
	}
}
