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
