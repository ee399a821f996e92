package requester

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"testing"
)

// earlyEnd is one entry of testdata/early_ends.json: a response that a server stops after
// each of its bytes.
type earlyEnd struct {
	Name   string `json:"name"`
	Answer string `json:"answer"`
	// Unframed is set if the body ends with the connection.
	Unframed bool `json:"unframed"`
}

// wholeHead matches a final response up to the end of its head.
var wholeHead = regexp.MustCompile(`^(HTTP/1.1 100 Continue\r\n\r\n)?HTTP/1.1 200 OK\r?\n(.+\r?\n)+\r?\n`)

// TestAnswerThatEndsEarlyIsNotComplete guards against answers that break off, in the head or
// in the body, and pass as complete.
func TestAnswerThatEndsEarlyIsNotComplete(t *testing.T) {
	b, err := os.ReadFile("testdata/early_ends.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []earlyEnd{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			for n := range len(x.Answer) + 1 {
				x.check(t, n, false)
				x.check(t, n, true)
			}
		})
	}
}

// check has a server write the first n bytes and close or reset the connection.
func (x *earlyEnd) check(t *testing.T, n int, reset bool) {
	client, server := tcpPair(t)
	c := &Client{Dial: dialOnce(client)}
	written := make(chan struct{})
	go func() {
		q, err := http.ReadRequest(bufio.NewReader(server))
		if err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
		}
		_, _ = io.WriteString(server, x.Answer[:n])
		if reset {
			if wholeHead.MatchString(x.Answer[:n]) {
				<-written
			}
			_ = server.(*net.TCPConn).SetLinger(0)
		}
		_ = server.Close()
	}()
	answer, err := c.Do(t.Context(), &Request{
		Method: http.MethodPost, Address: "x", Target: "/x", Host: "h", Body: []byte("q"), Header: http.Header{"X-Attempt": {"a1"}}, EchoHeader: "X-Attempt",
	})
	isWhole := n == len(x.Answer)
	hasHead := wholeHead.MatchString(x.Answer[:n])
	if err != nil {
		if hasHead || !MaySent(err) {
			t.Errorf("after %d bytes, reset %t: %v", n, reset, err)
		}
		return
	}
	defer answer.Close()
	if !hasHead {
		t.Fatalf("after %d bytes of the head, reset %t: got status %d", n, reset, answer.Status)
	}
	close(written)
	body, err := io.ReadAll(answer.Body)
	isComplete := err == nil
	switch {
	case x.Unframed && !answer.EndsWithConnection:
		t.Errorf("after %d bytes: a body without length counts as framed", n)
	case isComplete && !isWhole && !x.Unframed, isComplete && reset && x.Unframed:
		t.Errorf("after %d bytes, reset %t: body %q passes as complete", n, reset, body)
	case !isComplete && isWhole && !reset:
		t.Errorf("the whole answer is not complete: %v", err)
	}
}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	if client, err = net.Dial("tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

func dialOnce(c net.Conn) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) { return c, nil }
}
