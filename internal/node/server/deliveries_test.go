package server

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
)

// TestNodeThatHasJustStartedDeniesNoRequest guards against requests of other nodes that are
// turned away for good by a node that has not heard of their sender yet.
func TestNodeThatHasJustStartedDeniesNoRequest(t *testing.T) {
	x := &stopCase{Route: "post", Runner: "ok"}
	n := newStoppingNode(t, x)
	for _, header := range []string{"X-Delivery-Node: n3\r\nX-Delivery-Age-Ms: 0\r\n", "X-Delivery-Node: n3\r\nX-Delivery-Age-Ms: soon\r\n"} {
		c := x.dial(t, n.deliveries.listener.Addr().String())
		_, _ = io.WriteString(c, "POST /post/x HTTP/1.1\r\nHost: h\r\nId: q\r\nX-Delivery-Attempts: 0\r\n"+header+"Content-Length: 4\r\n\r\nbody")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := deliverer.ParseReply(&requester.Response{Status: response.StatusCode, Header: response.Header, Body: strings.NewReader("")})
		f := reply.Failure
		if err != nil || f == nil || f.Status != http.StatusServiceUnavailable || f.Outcome != responder.NotRun || f.Attempts != 0 {
			t.Errorf("status %d, header %v: want a failure that says that the request was not run", response.StatusCode, response.Header)
		}
	}
	if got := n.sends.Load(); got != 0 {
		t.Errorf("the runner got %d requests, wanted none", got)
	}
}

// TestAnswersToOtherNodesNameTheRequest guards against answers that the other node skips on a
// connection that it has used before, and then waits until its deadline.
func TestAnswersToOtherNodesNameTheRequest(t *testing.T) {
	for _, behavior := range []string{"ok", "unnamed", "panic"} {
		x := &stopCase{Route: "post", Runner: behavior}
		n := newStoppingNode(t, x)
		c := x.dial(t, n.deliveries.listener.Addr().String())
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, x.request("q"))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := response.Header.Get("Id"); got != "q" {
			t.Errorf("%s: status %d names the request %q", behavior, response.StatusCode, got)
		}
	}
}

// TestOlderConfigurationServesNoOtherNodesRequest guards against requests that are handled by an
// older version of the configuration than that of the node which the caller has asked.
func TestOlderConfigurationServesNoOtherNodesRequest(t *testing.T) {
	x := &stopCase{Route: "post", Runner: "ok"}
	n := newStoppingNode(t, x)
	time.Sleep(100 * time.Millisecond)
	for version, want := range map[string]int{"": http.StatusOK, "0": http.StatusOK, "1": http.StatusOK, "2": http.StatusServiceUnavailable, "x": http.StatusServiceUnavailable} {
		c, before := x.dial(t, n.deliveries.listener.Addr().String()), n.sends.Load()
		_, _ = io.WriteString(c, strings.Replace(x.request("q"), "\r\n", "\r\nX-Delivery-Version: "+version+"\r\n", 1))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		isRun := n.sends.Load() > before
		if response.StatusCode != want || isRun != (want == http.StatusOK) {
			t.Errorf("version %q: status %d, run %t, want status %d", version, response.StatusCode, isRun, want)
		}
	}
}

// TestSenderNamesItsVersion guards against requests that are handed over without the version of
// the configuration that has admitted them.
func TestSenderNamesItsVersion(t *testing.T) {
	x := &stopCase{Route: "post", Runner: "ok", CutOff: true}
	n := newStoppingNode(t, x)
	c := x.dial(t, n.callers.listener.Addr().String())
	_, _ = io.WriteString(c, x.request("q"))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	if got := n.version.Load(); got != "1" {
		t.Errorf("the other node was told version %v, want 1", got)
	}
}

// TestBrokenStreamTellsTheOtherNodeItsAttempts guards against streams that run more often than
// their route allows, since two nodes have each sent them again.
func TestBrokenStreamTellsTheOtherNodeItsAttempts(t *testing.T) {
	x := &stopCase{Route: "stream", Runner: "broken"}
	n := newStoppingNode(t, x)
	time.Sleep(100 * time.Millisecond)
	for header, want := range map[string]string{"": "id: 1\ndata: x\n\n", "X-Delivery-Notices: 1\r\n": "id: 1\ndata: x\n\n: x-delivery-attempts 1\n\n"} {
		c := x.dial(t, n.deliveries.listener.Addr().String())
		_, _ = io.WriteString(c, strings.Replace(x.request("q"), "\r\n", "\r\n"+header, 1))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err == nil || string(body) != want {
			t.Errorf("with header %q: body %q, error %v, want a broken %q", header, body, err, want)
		}
	}
}
