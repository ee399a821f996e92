package server

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
)

// slowAnswerBound ends a test whose caller gets no answer at all.
const slowAnswerBound = 15 * time.Second

// slowBodies is one entry of testdata/slow_bodies.json: callers whose bodies stop, and a request
// beside them.
type slowBodies struct {
	Name      string       `json:"name"`
	MemoryKiB int64        `json:"memory_kib"`
	Holders   []bodyHolder `json:"holders"`
	// StallMS is how long the bodies have stopped before the request comes.
	StallMS int64 `json:"stall_ms"`
	// RequestBytes is the size of the request's body, which must reach the choice of a runner.
	RequestBytes int `json:"request_bytes"`
}

// bodyHolder is a number of callers that send a part of their bodies.
type bodyHolder struct {
	Count int `json:"count"`
	// Key is that of the configuration if it is empty.
	Key string `json:"key"`
	// Announced is the length that the head names, or -1 for one chunk that is followed by none.
	Announced  int   `json:"announced"`
	Sent       int   `json:"sent"`
	DeadlineMS int64 `json:"deadline_ms"`
	// Status and Reason are those of the answer; 0 means that none is looked at.
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// Answered is how many callers get it at least, or 0 for all.
	Answered int `json:"answered"`
}

// TestSlowBodiesHoldUpNoOthers guards against callers whose bodies stop short of their end: those
// that never get an answer, and others that find no memory since.
func TestSlowBodiesHoldUpNoOthers(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("testdata/slow_bodies.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []slowBodies{}
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

func (x *slowBodies) check(t *testing.T) {
	s := startCallerServer(t)
	s.node.reloadedBounds.Store(&Bounds{MemoryBytes: x.MemoryKiB << 10})
	s.useKeys()
	answers := make(chan string, 100)
	wanted := 0
	for _, h := range x.Holders {
		for range h.Count {
			c := s.connect(t)
			_, err := io.WriteString(c.conn, h.request())
			if err != nil {
				t.Fatal(err)
			}
			go func() { answers <- c.readReason() }()
		}
		if h.Status > 0 {
			wanted += max(h.Answered, h.Count*min(1, 1-min(h.Answered, 1)))
		}
	}
	time.Sleep(time.Duration(x.StallMS) * time.Millisecond)
	x.checkRequest(t, s)
	timeout := time.After(slowAnswerBound)
	for i := range wanted {
		select {
		case got := <-answers:
			if h := x.Holders[0]; got != fmt.Sprintf("%d %s", h.Status, h.Reason) {
				t.Errorf("answer %d to a body that stops is %q, wanted %d %s", i, got, h.Status, h.Reason)
			}
		case <-timeout:
			t.Fatalf("%d of %d callers whose bodies stop got an answer", i, wanted)
		}
	}
}

// checkRequest sends a request whose body comes at once. Only that there is no runner may end it.
func (x *slowBodies) checkRequest(t *testing.T, s *callerServer) {
	t.Helper()
	c := s.connect(t)
	h := &bodyHolder{Announced: x.RequestBytes, Sent: x.RequestBytes, DeadlineMS: 500}
	if _, err := io.WriteString(c.conn, h.request()); err != nil {
		t.Fatal(err)
	}
	_, reason, _ := strings.Cut(c.readReason(), " ")
	switch responder.Reason(reason) {
	case responder.ReasonOutOfMemory, responder.ReasonGaveWay, responder.ReasonBodyNotRead, "":
		t.Errorf("a request of %d bytes beside the others is refused: %q", x.RequestBytes, reason)
	}
}

// request returns what is sent of a request.
func (h *bodyHolder) request() string {
	key := "known"
	if h.Key != "" {
		key = h.Key
	}
	length, body := fmt.Sprintf("Content-Length: %d\r\n\r\n", h.Announced), strings.Repeat("b", h.Sent)
	if h.Announced < 0 {
		length, body = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", h.Sent, body)
	}
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h.example\r\nId: i\r\nKey: %s\r\nDeadline: %d\r\n%s%s", key, h.DeadlineMS, length, body)
}

// readReason returns the status and the reason of the response, or why there is none.
func (c *callerClient) readReason() string {
	_ = c.conn.SetReadDeadline(time.Now().Add(slowAnswerBound))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	_ = response.Body.Close()
	return fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Reason"))
}

// useKeys gives the node a configuration with one route and one key, and has answers tell their
// reason.
func (s *callerServer) useKeys() {
	c := &matcher.Catalog{Services: map[string]*matcher.Service{"s": {Name: "s"}}}
	c.AddRoutes([]*matcher.Route{{Host: "h.example", PathPrefix: "/", Type: matcher.Idempotent, MaxAttempts: 1, Timeout: 20 * time.Second, Targets: []matcher.Target{{Service: "s", Weight: 1}}}})
	c.AddCredential("known", &matcher.Team{Name: "team"})
	p := s.node.Platform
	parse := p.ParseRequest
	p.ParseRequest = func(r *http.Request) *admitter.Incoming {
		in := parse(r)
		ms := int64(0)
		_, _ = fmt.Sscan(r.Header.Get("Deadline"), &ms)
		in.Credential, in.Timeout = r.Header.Get("Key"), time.Duration(ms)*time.Millisecond
		return in
	}
	p.WriteFailure = func(w http.ResponseWriter, f *responder.Failure) {
		w.Header().Set("Reason", string(f.Reason))
		w.WriteHeader(f.Status)
	}
	s.node.catalog.Store(c)
}
