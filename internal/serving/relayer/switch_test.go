package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// randomRunners serve resumed streams of a number of events, and do something random at a
// random point of each.
type randomRunners struct {
	events int

	mu     sync.Mutex
	random *rand.Rand
	// runs and refusals count the attempts that were run and refused, by request.
	runs, refusals map[string]int
}

// act returns what happens to an attempt, before which of its events, and how long a pause is.
func (s *randomRunners) act(id string, left int) (what string, at int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := []string{"pause", "pause", "pause", "pauses", "break", "hang", "refuse", "late_refuse", "late_head", "error", "end"}
	what = actions[s.random.IntN(len(actions))]
	if strings.HasSuffix(what, "refuse") {
		s.refusals[id]++
	} else {
		s.runs[id]++
	}
	return what, s.random.IntN(max(left, 1)), time.Duration(s.random.IntN(60)) * time.Millisecond
}

func (s *randomRunners) respond(c net.Conn) {
	defer c.Close() //nolint:errcheck
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Id")
	last, _ := strconv.Atoi(q.Header.Get("Last") + q.Header.Get("X-Delivery-Last-Event"))
	what, at, pause := s.act(id, s.events-last)
	head := "HTTP/1.1 %d X\r\nId: " + id + "\r\nConnection: close\r\nSigned: 1\r\n%s\r\n"
	if n, err := strconv.Atoi(q.Header.Get("X-Delivery-Attempts")); err == nil {
		isRefused := strings.HasSuffix(what, "refuse")
		if !isRefused {
			n++
		}
		head = strings.Replace(head, "Signed", fmt.Sprintf("X-Delivery-Attempts: %d\r\nSigned", n), 1)
		if isRefused {
			head = strings.Replace(head, "Signed", "X-Delivery-Outcome: not_run\r\nX-Delivery-Reason: replicas_full\r\nSigned", 1)
		}
	}
	switch what {
	case "late_refuse", "late_head", "error":
		time.Sleep(pause)
	}
	switch what {
	case "refuse", "late_refuse":
		_, _ = fmt.Fprintf(c, head, 503, "Not-Run: 1\r\nContent-Length: 0\r\n")
		return
	case "error":
		_, _ = fmt.Fprintf(c, head, 500, "Content-Length: 0\r\n")
		return
	}
	if q.Method == http.MethodPut {
		s.respondWhole(c, head, what, pause)
		return
	}
	_, _ = fmt.Fprintf(c, head, 200, "Transfer-Encoding: chunked\r\n")
	for i := last + 1; i <= s.events; i++ {
		switch {
		case what == "pauses", what == "pause" && i-last-1 == at:
			time.Sleep(pause)
		case what == "break" && i-last-1 == at:
			return
		case what == "hang" && i-last-1 == at:
			time.Sleep(time.Second)
			return
		}
		e := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// respondWhole writes a response that is not a stream.
func (s *randomRunners) respondWhole(c net.Conn, head, what string, pause time.Duration) {
	switch what {
	case "hang":
		time.Sleep(time.Second)
		return
	case "pause", "pauses":
		time.Sleep(pause)
	case "break":
		_, _ = fmt.Fprintf(c, head+"o", 200, "Content-Length: 2\r\n")
		return
	}
	_, _ = fmt.Fprintf(c, head+"ok", 200, "Content-Length: 2\r\n")
}

// switchTest is a relayer before randomRunners.
type switchTest struct {
	*randomRunners
	relayer *Relayer
}

func newSwitchTest(t *testing.T, seed uint64) *switchTest {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &randomRunners{events: 8, random: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}, refusals: map[string]int{}}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go s.respond(c)
		}
	}()
	tr := &tracker.Tracker{}
	tr.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	list := []*tracker.Runner{}
	for i := range switchRunners {
		list = append(list, &tracker.Runner{ID: fmt.Sprintf("r%d", i), Service: "s", Address: l.Addr().String(), State: tracker.Ready, Slots: 3})
	}
	tr.Replace(list, 0)
	budget := &retrier.SharedBudget{Ratio: 1, Burst: 1000}
	// Half of the time, the runners are out of reach of this node and in reach of others.
	reach := func(balancer.Target) (balancer.Reach, time.Time) {
		if time.Now().UnixMilli()/100%2 == 0 {
			return balancer.InReach, time.Time{}
		}
		return balancer.CutOff, time.Time{}
	}
	peers := func(string, string) []deliverer.Peer {
		return []deliverer.Peer{{Name: "x", Address: l.Addr().String()}, {Name: "y", Address: l.Addr().String()}}
	}
	return &switchTest{s, &Relayer{
		Balancer: &balancer.Balancer{View: tr.View, Reach: reach}, Peers: &deliverer.Deliverer{Self: "here", Client: &requester.Client{}, Peers: peers}, Client: &requester.Client{}, Wire: wire(),
		Breaker: &breaker.Breaker{HasEnded: func(breaker.Runner) bool { return false }, Log: slog.New(slog.DiscardHandler)},
		Budget:  func(string) *retrier.SharedBudget { return budget }, Log: slog.New(slog.DiscardHandler),
	}}
}

const switchRunners = 6

// switchCall is one request. The others are set for a caller that leaves after a time, that takes a
// time for each write, and that fails to write after some.
type switchCall struct {
	id          string
	kind        matcher.RouteType
	maxAttempts int
	leaves      time.Duration
	slow        time.Duration
	writes      int
}

func newSwitchCall(id string, random *rand.Rand) *switchCall {
	kinds := []matcher.RouteType{matcher.Stream, matcher.Stream, matcher.Idempotent, matcher.NonIdempotent}
	x := &switchCall{id: id, kind: kinds[random.IntN(len(kinds))], maxAttempts: 1 + random.IntN(3), writes: 99}
	switch random.IntN(8) {
	case 0, 1:
		x.leaves = time.Duration(1+random.IntN(120)) * time.Millisecond
	case 2, 3:
		x.slow = time.Duration(random.IntN(40)) * time.Millisecond
	case 4:
		x.slow, x.writes = 30*time.Millisecond, random.IntN(3)
	}
	return x
}

// call serves a request and checks what its caller gets.
func (s *switchTest) call(t *testing.T, x *switchCall) {
	now := time.Now()
	c := &Call{
		ID: x.id, Service: "s", Method: "POST", Target: "/", Host: "h", Header: http.Header{"Id": {x.id}}, Arrived: now, Deadline: now.Add(2 * time.Second), CallerDeadline: now.Add(2 * time.Second),
		Route: &matcher.Route{Type: x.kind, Resumable: x.kind == matcher.Stream, MaxAttempts: x.maxAttempts, TargetLatency: time.Second, Patience: time.Second},
	}
	if x.kind != matcher.Stream {
		c.Method = http.MethodPut
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if x.leaves > 0 {
		time.AfterFunc(x.leaves, cancel)
	}
	status, body, ended := 0, strings.Builder{}, time.Time{}
	failure := s.relayer.Serve(ctx, c, &ResponseWriter{
		Start: func(code int, _ http.Header) { status = code },
		Write: func(b []byte) error {
			time.Sleep(x.slow)
			if x.writes--; x.writes < 0 {
				ended = time.Now()
				return io.ErrClosedPipe
			}
			_, err := body.Write(b)
			return err
		},
	})
	if x.leaves > 0 {
		ended = now.Add(x.leaves)
	}
	if x.kind == matcher.NonIdempotent && !ended.IsZero() {
		// It is not cancelled midway, but ends by its deadline.
		ended = c.Deadline
	}
	if late := time.Since(ended); !ended.IsZero() && late > 400*time.Millisecond {
		t.Errorf("%s of kind %d: ended %v after the caller had left", x.id, x.kind, late)
	}
	s.checkResponse(t, x, failure, status, body.String(), x.writes < 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	most := x.maxAttempts
	if x.kind == matcher.NonIdempotent {
		most = 1
	}
	if s.runs[x.id] > most {
		t.Errorf("%s: run %d times, wanted %d at most; refused %d times", x.id, s.runs[x.id], most, s.refusals[x.id])
	}
	if failure != nil && failure.Outcome == responder.NotRun && s.runs[x.id] > 0 {
		t.Errorf("%s: reported as not run after %d runs: %s", x.id, s.runs[x.id], failure.Message)
	}
}

// checkResponse checks that a caller has got a response, each event once and in order, or a failure.
func (s *switchTest) checkResponse(t *testing.T, x *switchCall, failure *responder.Failure, status int, body string, isCut bool) {
	want, n := strings.Builder{}, strings.Count(body, "\n\n")
	for i := range n {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: x\n\n", i+1)
	}
	isWhole := n == s.events || status == http.StatusInternalServerError
	if x.kind != matcher.Stream && status == http.StatusOK {
		isWhole = true
		if failure == nil && !isCut {
			want.WriteString("ok")
		}
	}
	if body != want.String() || failure == nil && !isWhole {
		t.Errorf("%s: got status %d, %d of %d events, failure %v: %q", x.id, status, n, s.events, failure, body)
	}
	if failure != nil && strings.Contains(failure.Message, errOutOfOrder.Error()) {
		t.Errorf("%s: %s", x.id, failure.Message)
	}
}

// TestSwitchKeepsOrderAndSlots checks that callers get each event once and in order while attempts
// replace each other at random times, that no request runs too often, and that nothing is left.
func TestSwitchKeepsOrderAndSlots(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkSwitches(t, seed) })
	}
}

func checkSwitches(t *testing.T, seed uint64) {
	before := runtime.NumGoroutine()
	s := newSwitchTest(t, seed)
	stop := make(chan struct{})
	go believeLost(s.relayer.Balancer, stop)
	workers := sync.WaitGroup{}
	for w := range 6 {
		random := rand.New(rand.NewPCG(seed, uint64(w+1)))
		workers.Go(func() {
			for i := range 12 {
				s.call(t, newSwitchCall(fmt.Sprintf("%d-%d", w, i), random))
			}
		})
	}
	workers.Wait()
	close(stop)
	checkNothingLeft(t, s.relayer, before+1)
}

// checkNothingLeft checks that all slots are free again, that no call is registered with the
// breaker, and that no more than a number of goroutines run, those of the test's runners among them.
func checkNothingLeft(t *testing.T, r *Relayer, goroutines int) {
	t.Helper()
	held, running := 0, 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		held = 0
		for _, x := range r.Balancer.View().All() {
			held += r.Balancer.InFlight(x.ID)
		}
		if running = runtime.NumGoroutine(); held == 0 && running <= goroutines {
			return
		}
	}
	t.Errorf("%d slots are held, %d goroutines run, %d at most before", held, running, goroutines)
}
