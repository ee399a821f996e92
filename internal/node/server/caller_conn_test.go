package server

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
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/fleet/former"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

type connectionLimits struct {
	IdleMS      int64 `json:"idle_ms"`
	HeaderMS    int64 `json:"header_ms"`
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
}

// connectionStep is what a caller does on its connection, "limits" for a change of them, or
// "configure" for a new configuration with others.
type connectionStep struct {
	Do string `json:"do"`
	// MS is how long a wait or a slow header lasts, or after which time the node must have
	// closed the connection.
	MS int64 `json:"ms"`
	// HeaderBytes is the size of a long field, Fields the number of fields with 8 bytes in name
	// and value, and TargetBytes the size of a long target.
	HeaderBytes int `json:"header_bytes"`
	Fields      int `json:"fields"`
	TargetBytes int `json:"target_bytes"`
	BodyBytes   int `json:"body_bytes"`
	// Status is that of the response, or 0 for the one of an admitted request.
	Status int `json:"status"`
	// KeepAlive is not compared if it is empty.
	KeepAlive string           `json:"keep_alive"`
	Limits    connectionLimits `json:"limits"`
}

// TestCallersOfIdleConnectionsLoseNoRequest guards against connections that the node closes
// sooner than the limits in force allow, with a request on the way.
func TestCallersOfIdleConnectionsLoseNoRequest(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("testdata/caller_connections.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Name   string           `json:"name"`
		Limits connectionLimits `json:"limits"`
		Steps  []connectionStep `json:"steps"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			n := startCallerServer(t)
			n.setLimits(x.Limits)
			c := n.connect(t)
			for i, step := range x.Steps {
				if step.Do == "limits" {
					n.setLimits(step.Limits)
					continue
				}
				if step.Do == "configure" {
					n.node.useCatalog(&matcher.Catalog{Version: int64(i + 1), Limits: step.Limits.limits()}, follower.Object{})
					continue
				}
				if err := c.do(&step); err != nil {
					t.Fatalf("step %d, %s: %v", i, step.Do, err)
				}
			}
		})
	}
}

// notAdmitted is the status of requests for a node whose configuration has no route.
const notAdmitted = http.StatusNotFound

type callerServer struct {
	node    *Node
	server  *http.Server
	address string
}

// startCallerServer starts a server for callers that has no configuration. One that it is given
// counts as confirmed.
func startCallerServer(t *testing.T) *callerServer {
	n := &Node{
		Settings: &Settings{Name: "n1", DataCenter: "dc", CallerAddress: "127.0.0.1:0"}, Log: slog.New(slog.DiscardHandler),
		Platform: &Platform{
			Store: &follower.Store{}, Eras: &sequencer.Eras{}, Wire: testWire(),
			ParseRequest: func(r *http.Request) *admitter.Incoming {
				return &admitter.Incoming{ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Header: r.Header}
			},
			Probe:        func(context.Context, former.Member) former.ProbeResult { return former.Reachable },
			WriteFailure: func(w http.ResponseWriter, f *responder.Failure) { w.WriteHeader(f.Status) },
		},
	}
	n.build()
	n.admitter.Age = func() time.Duration { return 0 }
	l, err := n.listenToCallers()
	if err != nil {
		t.Fatal(err)
	}
	s := n.callerServer()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return &callerServer{node: n, server: s, address: l.Addr().String()}
}

func (s *callerServer) setLimits(l connectionLimits) {
	s.node.catalog.Store(&matcher.Catalog{Limits: l.limits()})
}

func (l *connectionLimits) limits() matcher.Limits {
	return matcher.Limits{
		IdleTimeout: time.Duration(l.IdleMS) * time.Millisecond, HeaderTimeout: time.Duration(l.HeaderMS) * time.Millisecond,
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes,
	}
}

func (s *callerServer) connect(t *testing.T) *callerClient {
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &callerClient{server: s, conn: c, reader: bufio.NewReader(c)}
}

// callerClient is a caller with a single connection.
type callerClient struct {
	server *callerServer
	conn   net.Conn
	reader *bufio.Reader
}

const requestHead = "GET /x HTTP/1.1\r\nHost: h.example\r\nId: a1\r\n"

func (c *callerClient) do(step *connectionStep) error {
	pause := time.Duration(step.MS) * time.Millisecond
	switch step.Do {
	case "wait":
		time.Sleep(pause)
		return nil
	case "request":
		head := strings.Replace(requestHead, "/x", "/x"+strings.Repeat("x", step.TargetBytes), 1)
		return c.request(step, head+strings.Repeat("Abc: 12345\r\n", step.Fields), "X: "+strings.Repeat("x", step.HeaderBytes)+"\r\n\r\n", 0)
	case "post":
		head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nContent-Length: %d\r\n\r\n", step.BodyBytes)
		return c.request(step, head, strings.Repeat("x", step.BodyBytes), 0)
	case "slow":
		return c.request(step, requestHead, "\r\n", pause)
	case "together":
		if err := c.request(step, requestHead+"\r\n"+requestHead, "\r\n", 0); err != nil {
			return err
		}
		return c.response(step)
	case "body":
		return c.upload(step, pause)
	case "closed":
		return c.expectClosed(pause)
	}
	return fmt.Errorf("unknown step %q", step.Do)
}

// request sends a request in two parts and reads the response.
func (c *callerClient) request(step *connectionStep, first, second string, pause time.Duration) error {
	if _, err := io.WriteString(c.conn, first); err != nil {
		return fmt.Errorf("write the request: %w", err)
	}
	time.Sleep(pause)
	if step.Status != http.StatusRequestTimeout {
		if _, err := io.WriteString(c.conn, second); err != nil {
			return fmt.Errorf("write the rest: %w", err)
		}
	}
	return c.response(step)
}

// upload sends a body late, and changes the limits before that.
func (c *callerClient) upload(step *connectionStep, pause time.Duration) error {
	if _, err := io.WriteString(c.conn, "POST /x HTTP/1.1\r\nHost: h.example\r\nId: a1\r\nContent-Length: 1\r\n\r\n"); err != nil {
		return fmt.Errorf("write the header: %w", err)
	}
	time.Sleep(pause)
	c.server.setLimits(step.Limits)
	if _, err := io.WriteString(c.conn, "x"); err != nil {
		return fmt.Errorf("write the body: %w", err)
	}
	return c.response(step)
}

func (c *callerClient) response(step *connectionStep) error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	want := step.Status
	if want == 0 {
		want = notAdmitted
	}
	if response.StatusCode != want {
		return fmt.Errorf("status %d, wanted %d", response.StatusCode, want)
	}
	if got := response.Header.Get("Keep-Alive"); step.KeepAlive != "" && got != step.KeepAlive {
		return fmt.Errorf("Keep-Alive is %q, wanted %q", got, step.KeepAlive)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (c *callerClient) expectClosed(within time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("the connection is not closed after %v: %w", within, err)
	}
	return nil
}
