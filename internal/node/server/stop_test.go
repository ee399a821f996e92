package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marjorammoor/internal/fleet/former"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/relayer"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

const (
	stopGrace = 4 * time.Second
	// promptAnswer is the time in which a request is refused that the node does not take.
	promptAnswer = 300 * time.Millisecond
	// slowAnswer is the time after which the "slow" runner answers.
	slowAnswer = time.Second
)

// stopCase is one entry of testdata/stops.json: a request at a node that stops. Times are
// counted from the begin of the stop.
type stopCase struct {
	Name   string `json:"name"`
	Route  string `json:"route"`
	DialMS int    `json:"dial_ms"`
	SendMS int    `json:"send_ms"`
	// FromNode is set if another node hands the request over, and CutOff if this node has to,
	// since it does not reach the runner.
	FromNode bool `json:"from_node"`
	CutOff   bool `json:"cut_off"`
	// Runner is what the runner does, see stopRunner.
	Runner string `json:"runner"`
	// Busy is set if a request of a caller is in progress, and Full if it has the only slot.
	Busy bool `json:"busy"`
	Full bool `json:"full"`
	// Half is set if the body does not come.
	Half bool `json:"half"`

	Status  int               `json:"status"`
	Outcome responder.Outcome `json:"outcome"`
	// Broken is set if the response has to break off.
	Broken bool `json:"broken"`
	// Sends is the number of requests that the runner gets.
	Sends int64 `json:"sends"`
	// LeftMS is the most time that the runner is given, if it is not 0.
	LeftMS int64 `json:"left_ms"`
}

// TestRequestsOfAStoppingNodeAreAnswered guards against requests that a stopping node has read
// and then cuts off without an answer.
func TestRequestsOfAStoppingNodeAreAnswered(t *testing.T) {
	b, err := os.ReadFile("testdata/stops.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []*stopCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			x.check(t)
		})
	}
}

// stoppingNode is a node with a runner, or another node, that counts what it gets.
type stoppingNode struct {
	*Node
	callers, deliveries *port
	sends, leftMS       atomic.Int64
	// version is the version of the configuration that the last request names.
	version atomic.Value
}

func (x *stopCase) check(t *testing.T) {
	n := newStoppingNode(t, x)
	startsAt := time.Now().Add(700 * time.Millisecond)
	address := n.callers.listener.Addr().String()
	if x.FromNode {
		address = n.deliveries.listener.Addr().String()
	}
	time.Sleep(time.Until(startsAt.Add(time.Duration(x.DialMS-50) * time.Millisecond)))
	if x.Busy || x.Full {
		first := x.dial(t, n.callers.listener.Addr().String())
		_, _ = io.WriteString(first, x.request("first"))
		time.Sleep(50 * time.Millisecond)
	}
	begun, stopped := make(chan time.Time, 1), make(chan time.Time, 1)
	time.AfterFunc(time.Until(startsAt), func() {
		begun <- time.Now()
		n.stop(n.callers, n.deliveries)
		stopped <- time.Now()
	})
	time.Sleep(time.Until(startsAt.Add(time.Duration(x.DialMS) * time.Millisecond)))
	c := x.dial(t, address)
	time.Sleep(time.Until(startsAt.Add(time.Duration(x.SendMS) * time.Millisecond)))
	sentAt := time.Now()
	if _, err := io.WriteString(c, x.request("q")); err != nil {
		t.Errorf("send: %v", err)
	}
	x.checkResponse(t, c, sentAt, startsAt)
	begunAt := <-begun
	if after := (<-stopped).Sub(begunAt); after > stopGrace-200*time.Millisecond {
		t.Errorf("the node stopped after %s, its grace period is %s", after, stopGrace)
	}
	if got := n.sends.Load(); got != x.Sends {
		t.Errorf("the runner got %d requests, wanted %d", got, x.Sends)
	}
	if got, most := n.leftMS.Load(), x.LeftMS+begunAt.Sub(startsAt).Milliseconds()+1; x.LeftMS > 0 && got > most {
		t.Errorf("the runner was given %d ms, wanted at most %d", got, most)
	}
}

func (x *stopCase) dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (x *stopCase) request(id string) string {
	length := 4
	if x.Half {
		length = 8
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nRunner: %s\r\nX-Delivery-Age-Ms: 0\r\nX-Delivery-Attempts: 0\r\nX-Delivery-Node: n2\r\nContent-Length: %d\r\n\r\nbody",
		x.Route, id, x.Runner, length)
}

func (x *stopCase) checkResponse(t *testing.T, c net.Conn, sentAt, startsAt time.Time) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("no response %s after the begin of the stop: %v", time.Since(startsAt), err)
		return
	}
	defer response.Body.Close() //nolint:errcheck
	body, err := io.ReadAll(response.Body)
	endedAt := time.Now()
	if response.StatusCode != x.Status || (err != nil) != x.Broken {
		t.Errorf("status %d, error %v, body %q; wanted status %d, broken off %t", response.StatusCode, err, body, x.Status, x.Broken)
	}
	if got := response.Header.Get("Outcome"); got != string(x.Outcome) {
		t.Errorf("outcome %q, wanted %q", got, x.Outcome)
	}
	if x.Route != "stream" && !response.Close {
		t.Error("the response leaves the connection open")
	}
	if x.Status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		t.Error("the refusal does not say when to come back")
	}
	if x.Status == http.StatusServiceUnavailable && !x.Full && endedAt.Sub(sentAt) > promptAnswer {
		t.Errorf("refused after %s", endedAt.Sub(sentAt))
	}
	if x.Broken && endedAt.Sub(startsAt) < stopGrace-600*time.Millisecond {
		t.Errorf("broken off %s after the begin of the stop", endedAt.Sub(startsAt))
	}
}

// newStoppingNode returns a node that serves. If the case cuts it off from its runner, another
// node takes its requests.
func newStoppingNode(t *testing.T, x *stopCase) *stoppingNode {
	n := &stoppingNode{Node: &Node{
		Settings: &Settings{Name: "n1", DataCenter: "dc", Bounds: Bounds{GracePeriod: stopGrace, RetryBurst: 100, RetryWindow: time.Second}},
		Log:      slog.New(slog.DiscardHandler),
		Platform: &Platform{
			Store:        &follower.Store{Delete: func(context.Context, string, string) error { return nil }},
			Eras:         &sequencer.Eras{},
			Probe:        func(context.Context, former.Member) former.ProbeResult { return former.Reachable },
			Wire:         stopWire(),
			ParseRequest: parseStopRequest,
			WriteFailure: func(w http.ResponseWriter, f *responder.Failure) {
				w.Header().Set("Outcome", string(f.Outcome))
				if f.RetryAfter > 0 {
					w.Header().Set("Retry-After", f.RetryAfter.String())
				}
				w.WriteHeader(f.Status)
			},
		},
	}}
	n.build()
	runner := httptest.NewServer(n.stopRunner())
	t.Cleanup(runner.CloseClientConnections)
	address := strings.TrimPrefix(runner.URL, "http://")
	slots := 2
	if x.Full {
		slots = 1
	}
	n.tracker.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	n.tracker.Replace([]*tracker.Runner{{ID: "r", Service: "s", Address: address, State: tracker.Ready, Slots: slots}}, 0)
	n.balancer.Reach = func(balancer.Target) (balancer.Reach, time.Time) {
		if x.CutOff {
			return balancer.CutOff, time.Time{}
		}
		return balancer.InReach, time.Time{}
	}
	n.deliverer.Peers = func(string, string) []deliverer.Peer {
		return []deliverer.Peer{{Name: "n2", Address: address}}
	}
	n.hearPeer(t)
	n.catalog.Store(stopCatalog())
	n.callers, n.deliveries = &port{n.callerServer(), listenForStop(t)}, &port{n.deliveryServer(), listenForStop(t)}
	for _, p := range []*port{n.callers, n.deliveries} {
		go func() { _ = p.server.Serve(p.listener) }()
	}
	return n
}

// hearPeer makes the node hear from another node, whose requests it then serves.
func (n *stoppingNode) hearPeer(t *testing.T) {
	n.beater.Fill, n.beater.OnHeartbeat = func(*beater.Heartbeat, string, bool) {}, nil
	n.beater.Interval = 10 * time.Millisecond
	peer := &beater.Beater{Self: "n2", DataCenter: "dc", Interval: 10 * time.Millisecond, Fill: n.beater.Fill, Log: n.Log}
	addresses := []string{}
	for range 2 {
		l, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.LocalAddr().String())
		_ = l.Close()
	}
	peer.AddPeer("n1", addresses[0])
	for i, b := range []*beater.Beater{n.beater, peer} {
		go func() {
			if err := b.Run(t.Context(), addresses[i]); err != nil {
				t.Error(err)
			}
		}()
	}
}

func listenForStop(t *testing.T) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// stopCatalog has routes that allow more time than is left, one that needs little and one that
// needs more than the grace period.
func stopCatalog() *matcher.Catalog {
	c := &matcher.Catalog{Version: 1, IsOpen: true, Services: map[string]*matcher.Service{"s": {Name: "s"}}}
	routes := []*matcher.Route{}
	for _, r := range []matcher.Route{
		{Name: "post", Type: matcher.NonIdempotent, Timeout: 20 * time.Second, TargetLatency: 300 * time.Millisecond},
		{Name: "check", Type: matcher.Idempotent, Timeout: 20 * time.Second, TargetLatency: 300 * time.Millisecond},
		{Name: "stream", Type: matcher.Stream, Resumable: true, Timeout: 20 * time.Second, TargetLatency: 300 * time.Millisecond},
		{Name: "brief", Type: matcher.NonIdempotent, Timeout: 600 * time.Millisecond, TargetLatency: 100 * time.Millisecond},
		{Name: "lengthy", Type: matcher.NonIdempotent, Timeout: 20 * time.Second, TargetLatency: 3 * time.Second},
	} {
		r.Host, r.PathPrefix, r.Targets, r.MaxAttempts = "h", "/"+r.Name+"/", []matcher.Target{{Service: "s", Weight: 1}}, 2
		routes = append(routes, &r)
	}
	c.AddRoutes(routes)
	return c
}

func parseStopRequest(r *http.Request) *admitter.Incoming {
	return &admitter.Incoming{ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Header: r.Header}
}

func stopWire() *relayer.Wire {
	return &relayer.Wire{
		Header: func(c *relayer.Call, _ *tracker.Target, remaining time.Duration, _ string) http.Header {
			if c.Header.Get("Runner") == "panic" {
				panic("header")
			}
			return http.Header{"Id": {c.ID}, "Runner": {c.Header.Get("Runner")}, "Left": {strconv.FormatInt(remaining.Milliseconds(), 10)}}
		},
		Echo: "Id",
		Inspect: func(_ int, h http.Header) relayer.Inspection {
			return relayer.Inspection{Verified: h.Get("Signed") != ""}
		},
		EndToEnd: func(h http.Header) http.Header { return h.Clone() },
	}
}

// stopRunner returns a runner that answers at once ("ok"), after slowAnswer ("slow"), never
// ("silent"), without naming the request ("unnamed"), with one event and a broken connection ("broken"), or with
// events, without end or three.
func (n *stoppingNode) stopRunner() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.sends.Add(1)
		left, _ := strconv.ParseInt(r.Header.Get("Left"), 10, 64)
		n.leftMS.Store(left)
		n.version.Store(r.Header.Get("X-Delivery-Version"))
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		events := 3
		switch r.Header.Get("Runner") {
		case "silent":
			<-r.Context().Done()
			return
		case "slow":
			time.Sleep(slowAnswer)
			return
		case "ok":
			return
		case "unnamed":
			w.Header().Del("Id")
			return
		case "events":
			events = 1 << 30
		case "broken":
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		for i := 1; i <= events && r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestStoppingNodeTakesNoNewConnections guards against callers that connect to a node which then
// refuses them, once the load balancer has moved on.
func TestStoppingNodeTakesNoNewConnections(t *testing.T) {
	t.Parallel()
	x := &stopCase{Route: "post", Runner: "silent"}
	n := newStoppingNode(t, x)
	c := x.dial(t, n.callers.listener.Addr().String())
	if _, err := io.WriteString(c, x.request("q")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	go n.stop(n.callers, n.deliveries)
	time.Sleep(stopGrace/2 + 200*time.Millisecond)
	for _, p := range []*port{n.callers, n.deliveries} {
		if late, err := net.Dial("tcp4", p.listener.Addr().String()); err == nil {
			_ = late.Close()
			t.Errorf("%s takes a new connection", p.listener.Addr())
		}
	}
}
