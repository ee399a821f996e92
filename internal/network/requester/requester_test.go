package requester

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// exchange is one entry of testdata/exchanges.json: requests that are sent one after
// the other, what the server writes for each, and the expected result.
type exchange struct {
	Name string `json:"name"`
	// Connections is the expected number of connections.
	Connections int64 `json:"connections"`
	Requests    []struct {
		ID      string   `json:"id"`
		Answers []string `json:"answers"`
		// Repeat is the number of bytes that stand for {} in them.
		Repeat int `json:"repeat"`
		// Later is written after the client has read the response.
		Later string `json:"later"`
		// HangUp makes the server close the connection after the responses.
		HangUp bool `json:"hang_up"`
		// Status is the expected status, or 0 if no response is expected.
		Status int    `json:"status"`
		Body   string `json:"body"`
		// Cut means that reading the body must fail.
		Cut bool `json:"cut"`
		// Sent is the expected result of MaySent if no response is expected.
		Sent bool `json:"sent"`
	} `json:"requests"`
}

// serveExchange starts a server that answers the requests of an exchange, on any
// number of connections, and returns its address.
func serveExchange(t *testing.T, x *exchange, opened *atomic.Int64, bodyRead <-chan struct{}) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go serveConn(c, x, next, bodyRead)
		}
	}()
	return l.Addr().String()
}

func serveConn(c net.Conn, x *exchange, next *atomic.Int64, bodyRead <-chan struct{}) {
	defer c.Close() //nolint:errcheck
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		step := x.Requests[next.Add(1)-1]
		for _, a := range step.Answers {
			_, _ = io.WriteString(c, strings.ReplaceAll(a, "{}", strings.Repeat("x", step.Repeat)))
		}
		if step.Later != "" {
			<-bodyRead
			_, _ = io.WriteString(c, step.Later)
		}
		if step.HangUp {
			return
		}
	}
}

func TestExchanges(t *testing.T) {
	b, err := os.ReadFile("testdata/exchanges.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []exchange{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *exchange) check(t *testing.T) {
	opened, bodyRead := &atomic.Int64{}, make(chan struct{}, 8)
	address := serveExchange(t, x, opened, bodyRead)
	c := &Client{}
	for _, step := range x.Requests {
		ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
		answer, err := c.Do(ctx, &Request{
			Method: http.MethodPost, Address: address, Target: "/x", Host: "h", Body: []byte("q"),
			Header: http.Header{"X-Attempt": {step.ID}}, EchoHeader: "X-Attempt",
		})
		switch {
		case step.Status == 0:
			if err == nil {
				t.Errorf("request %s: got status %d, want an error", step.ID, answer.Status)
			} else if MaySent(err) != step.Sent {
				t.Errorf("request %s: MaySent is %t for error: %v", step.ID, MaySent(err), err)
			}
		case err != nil:
			t.Errorf("request %s: %v", step.ID, err)
		default:
			body, err := io.ReadAll(answer.Body)
			if answer.Status != step.Status || (err != nil) != step.Cut || !step.Cut && string(body) != step.Body {
				t.Errorf("request %s: status %d, body %q, error %v", step.ID, answer.Status, body, err)
			}
			answer.Close()
		}
		stop()
		bodyRead <- struct{}{}
		time.Sleep(20 * time.Millisecond)
	}
	if n := opened.Load(); n != x.Connections {
		t.Errorf("%d connections, want %d", n, x.Connections)
	}
}

// TestNotSent checks that a request counts as not sent if the connection was refused.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = (&Client{}).Do(t.Context(), &Request{Method: "GET", Address: address, Target: "/", Host: "h"})
	if err == nil || MaySent(err) {
		t.Errorf("a request on a refused connection counts as sent, or got no error: %v", err)
	}
}

// TestCancel checks that the connection to the server is closed soon after the context
// of the request is canceled.
func TestCancel(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		// If the client does not close the connection, the read ends at this deadline.
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		_, err = io.Copy(io.Discard, c)
		_ = c.Close()
		ended <- err
	}()
	began := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := (&Client{}).Do(ctx, &Request{Method: "GET", Address: l.Addr().String(), Target: "/", Host: "h"}); err == nil {
		t.Fatal("a canceled request got an answer")
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the canceled request ended after %v, want at most 1s", d)
	}
	select {
	case <-ended:
	case <-time.After(300 * time.Millisecond):
		t.Error("the connection is still open 300 ms after the request ended")
	}
}

// TestEarlyAnswer checks that Do returns a response that the server sends before it
// has read the request's body, and that the connection is not reused.
//
// The connection is a pipe and the time is virtual, so a response that does not come
// within 2 s never comes.
func TestEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opened := 0
		c := &Client{Dial: func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			opened++
			go func() {
				_, _ = bufio.NewReaderSize(server, 16).ReadString('\n')
				_, _ = io.WriteString(server, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			}()
			return client, nil
		}}
		for range 2 {
			ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
			answer, err := c.Do(ctx, &Request{Method: "POST", Address: "x", Target: "/", Host: "h", Body: make([]byte, 16<<20)})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(answer.Body); err != nil && !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			answer.Close()
			stop()
		}
		if opened != 2 {
			t.Errorf("%d connections, want 2", opened)
		}
	})
}

// TestEndlessAnswer checks that bytes without end, which a faulty server sends until its
// connection is closed, end the request after a bounded number of them.
func TestEndlessAnswer(t *testing.T) {
	b, err := os.ReadFile("testdata/endless.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ Name, Begin, Repeat string }{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkEndless(t, x.Begin, x.Repeat) })
		})
	}
}

func checkEndless(t *testing.T, begin, repeat string) {
	const maxRead = maxSkippedBytes + maxHeaderBytes + 2*bufferSize
	written := 0
	c := &Client{Dial: func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			for part := begin; written <= 2*maxRead; part = repeat {
				n, err := io.WriteString(server, part)
				written += n
				if err != nil {
					return
				}
			}
			_ = server.Close()
		}()
		return client, nil
	}}
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	if _, err := c.Do(ctx, &Request{Method: "GET", Address: "x", Target: "/", Host: "h", Header: http.Header{"X-Attempt": {"a"}}, EchoHeader: "X-Attempt"}); err == nil {
		t.Error("the request got an answer")
	}
	synctest.Wait()
	if written > maxRead {
		t.Errorf("%d bytes were read, want at most %d", written, maxRead)
	}
}

// FuzzAnswer checks that no bytes from a server make the client panic, and that a body
// is never longer than the bytes that the server wrote.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			_, _ = server.Write(wire)
			_ = server.Close()
		}()
		c := &Client{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		answer, err := c.Do(ctx, &Request{Method: "GET", Address: "x", Target: "/", Host: "h", Header: http.Header{"X-Attempt": {"a"}}, EchoHeader: "X-Attempt"})
		if err != nil {
			return
		}
		body, _ := io.ReadAll(answer.Body)
		answer.Close()
		if len(body) > len(wire) {
			t.Errorf("body has %d bytes, but the server wrote only %d", len(body), len(wire))
		}
	})
}
