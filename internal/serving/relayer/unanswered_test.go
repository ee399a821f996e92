package relayer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/network/requester"
	"marjorammoor/internal/peer/deliverer"
	"marjorammoor/internal/routing/retrier"
	"marjorammoor/internal/serving/balancer"
	"marjorammoor/internal/serving/breaker"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// unansweredCase is one entry of testdata/unanswered.json: an attempt ends, and a moment later its
// runner does, several times, each time another runner.
type unansweredCase struct {
	Name  string   `json:"name"`
	Types []string `json:"types"`
	// Way is what ends the attempt: "caller", "deadline", "stop", "memory", "upload", or "runner" if
	// the runner has sent all that it sends.
	Way string `json:"way"`
	// Runs are what the runners of one request write; the second one gets it while the first is
	// silent. Ends is the index of the one that ends.
	Runs []string `json:"runs"`
	Ends int      `json:"ends"`
	// Delivered is set if another node has handed the request over.
	Delivered bool `json:"delivered"`
	// Restarts is set if the runner is back before anyone asks it.
	Restarts bool `json:"restarts"`
	// Proved is set if the same request, or one with the same parts, is answered elsewhere each time.
	Proved bool `json:"proved"`
	// IsHarmless is set if nothing may be blocked.
	IsHarmless bool `json:"is_harmless"`
}

// requestCrashes and partCrashes are the numbers of runners that may end before a request, or those
// with a part of a prompt, must be blocked.
const (
	requestCrashes = 3
	partCrashes    = 5
	// suspectTime is how long after its attempt a request may be suspected.
	suspectTime = 5 * time.Second
)

// heldRunner is a runner that gets one request, writes what it is told and keeps the connection
// until it ends.
type heldRunner struct {
	listener net.Listener
	writes   string
	got, end chan struct{}
	once     sync.Once
}

func newHeldRunner(t *testing.T, writes string) *heldRunner {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &heldRunner{listener: l, writes: writes, got: make(chan struct{}), end: make(chan struct{})}
	t.Cleanup(h.stop)
	go h.serve()
	return h
}

func (h *heldRunner) stop() {
	h.once.Do(func() {
		close(h.end)
		_ = h.listener.Close()
	})
}

func (h *heldRunner) serve() {
	c, err := h.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close() //nolint:errcheck
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if h.writes == "reset" {
		close(h.got)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	_, _ = io.WriteString(c, h.writes)
	close(h.got)
	<-h.end
}

// unansweredPlay is one play of a case, with whole requests or with a part of a prompt.
type unansweredPlay struct {
	*unansweredCase
	routeType string
	isPart    bool
	relayer   *Relayer
	tracker   *tracker.Tracker
	// judge is the breaker that has to block the request.
	judge *breaker.Breaker

	mu    sync.Mutex
	ended map[string]bool
}

// TestRunnerEndsAfterItsAttempt guards against requests that end one runner after the other, and
// that nobody suspects because their attempts were over by then.
func TestRunnerEndsAfterItsAttempt(t *testing.T) {
	b, err := os.ReadFile("testdata/unanswered.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []unansweredCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for i := range list {
		for _, routeType := range list[i].Types {
			for key, isPart := range map[string]bool{"request": false, "part": true} {
				p := &unansweredPlay{unansweredCase: &list[i], routeType: routeType, isPart: isPart, ended: map[string]bool{}}
				t.Run(p.Name+"/"+routeType+"/"+key, func(t *testing.T) {
					t.Parallel()
					p.check(t)
				})
			}
		}
	}
}

func (p *unansweredPlay) check(t *testing.T) {
	p.tracker = &tracker.Tracker{}
	p.tracker.SetServices(map[string]*matcher.Service{"s": {Name: "s"}})
	newBreaker := func() *breaker.Breaker {
		return &breaker.Breaker{HasEnded: p.hasEnded, Sign: p.sign, Log: slog.New(slog.DiscardHandler)}
	}
	budget := &retrier.SharedBudget{Burst: 100}
	p.relayer = &Relayer{
		Balancer: &balancer.Balancer{View: p.tracker.View}, Client: &requester.Client{}, Wire: wire(), Breaker: newBreaker(),
		Budget: func(string) *retrier.SharedBudget { return budget }, Log: slog.New(slog.DiscardHandler),
	}
	p.judge = p.relayer.Breaker
	if p.Way == "memory" {
		p.relayer.Memory = &reserver.Reserver{Limit: func() int64 { return 1 }}
	}
	if p.Way == "stop" {
		p.judge = newBreaker()
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			p.judge.Judge()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	rounds := requestCrashes
	if p.isPart {
		rounds = partCrashes
	}
	for round := range rounds {
		if p.blocked() != nil {
			break
		}
		p.playRound(t, round)
		if p.Proved {
			p.prove(t, round)
		}
	}
	err := p.awaitBlock()
	switch {
	case p.IsHarmless && err != nil:
		t.Errorf("blocked: %v", err)
	case !p.IsHarmless && !errors.Is(err, breaker.ErrBlocked):
		t.Errorf("%d runners have ended, and the request is not blocked", rounds)
	}
}

// awaitBlock waits until the request is blocked, or for as long as that may take.
func (p *unansweredPlay) awaitBlock() error {
	for until := time.Now().Add(suspectTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if err := p.blocked(); err != nil {
			return err
		}
	}
	return nil
}

// blocked returns the error with which the request is refused, or nil.
func (p *unansweredPlay) blocked() error {
	c, err := p.judge.Admit(p.call(9).guardRequest(), func(error) {})
	if err != nil {
		return err
	}
	c.Done()
	return nil
}

func (c *Call) guardRequest() breaker.Request {
	return breaker.Request{Parts: c.SharedParts, Fingerprint: c.Fingerprint}
}

func (p *unansweredPlay) hasEnded(r breaker.Runner) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended[r.ID] && !p.Restarts
}

func (p *unansweredPlay) sign(r breaker.Runner, _ time.Time) breaker.Sign {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended[r.ID] && p.Restarts {
		return breaker.Ended
	}
	return breaker.Unknown
}

// call returns the request of a round. With a part, no two are alike.
func (p *unansweredPlay) call(round int) *Call {
	now := time.Now()
	c := &Call{
		ID: "q", Service: "s", Method: "POST", Target: "/", Host: "h", Arrived: now, Deadline: now.Add(2 * time.Second), CallerDeadline: now.Add(2 * time.Second),
		Route: &matcher.Route{Type: routeTypes[p.routeType], Resumable: p.routeType == "stream", MaxAttempts: 2, TargetLatency: time.Second, Patience: 2 * time.Second},
	}
	if p.Way == "deadline" {
		c.Deadline = now.Add(100 * time.Millisecond)
	}
	if p.Way == "upload" {
		c.Body = make([]byte, 4<<20)
	}
	if p.isPart {
		c.SharedParts = slices.Values([]string{"aa", "bb"})
		c.Body = fmt.Append(c.Body, round)
	}
	if p.Delivered {
		c.Adopt(deliverer.Delivery{Node: "there"})
	}
	return c
}

func (p *unansweredPlay) playRound(t *testing.T, round int) {
	runners := []*heldRunner{}
	entries := []*tracker.Runner{}
	add := func(i int) {
		h := newHeldRunner(t, p.Runs[i])
		runners = append(runners, h)
		entries = append(entries, &tracker.Runner{
			ID: fmt.Sprintf("r%d-%d", round, i), Service: "s", Address: h.listener.Addr().String(), State: tracker.Ready, Slots: 9, BootTime: int64(round + 1),
		})
		p.tracker.Replace(append([]*tracker.Runner{}, entries...), 0)
	}
	add(0)
	ctx, leave := context.WithCancelCause(t.Context())
	defer leave(nil)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = p.relayer.Serve(ctx, p.call(round), &ResponseWriter{Start: func(int, http.Header) {}, Write: func([]byte) error { return nil }})
	}()
	await(t, runners[0].got, "the request has reached no runner")
	ends := p.Ends
	switch {
	case len(p.Runs) == 1:
	case round > 0 && !p.IsHarmless:
		// A suspected request is not sent again.
		ends = 0
	default:
		add(1)
		p.relayer.Balancer.LeaveLost(func(balancer.Target) bool { return true })
		await(t, runners[1].got, "the request has reached no second runner")
	}
	time.Sleep(20 * time.Millisecond)
	switch p.Way {
	case "caller":
		leave(errCallerLeft)
	case "stop":
		leave(ErrStopping)
	}
	// The attempt of a request that runs once goes on without its caller.
	if p.Way != "caller" || p.routeType != "non_idempotent" {
		await(t, served, "the attempt has not ended")
	}
	if p.Way == "stop" {
		p.judge.Receive(&breaker.Report{Unanswered: p.relayer.Breaker.ReportUnanswered()})
	}
	time.Sleep(30 * time.Millisecond)
	p.mu.Lock()
	p.ended[entries[ends].ID] = true
	p.mu.Unlock()
	runners[ends].stop()
	await(t, served, "the attempt has not ended with its runner")
	time.Sleep(300 * time.Millisecond)
}

// await waits for a channel to be closed.
func await(t *testing.T, done chan struct{}, otherwise string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal(otherwise)
	}
}

// prove has the request of a round answered by another runner.
func (p *unansweredPlay) prove(t *testing.T, round int) {
	h := newHeldRunner(t, "HTTP/1.1 200 X\r\nId: q\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok")
	p.tracker.Replace([]*tracker.Runner{{ID: fmt.Sprint("sound", round), Service: "s", Address: h.listener.Addr().String(), State: tracker.Ready, Slots: 9}}, 0)
	c := p.call(round)
	c.Route.Type = matcher.Idempotent
	body := strings.Builder{}
	failure := p.relayer.Serve(t.Context(), c, &ResponseWriter{Start: func(int, http.Header) {}, Write: func(b []byte) error { _, err := body.Write(b); return err }})
	if failure != nil || body.String() != "ok" {
		t.Errorf("sound request: %v, %q", failure, body.String())
	}
}
