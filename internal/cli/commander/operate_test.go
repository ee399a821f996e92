package commander

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"marjorammoor/internal/platform/client"
)

// TestMalformedAnswerIsNoSuccess guards against an operator who is told that a call has succeeded by a
// response that is none.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	for answer, isSound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}":             true,
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}":              false,
		"HTTP/1.1 200 OK\r\nX Bad: y\r\nContent-Length: 2\r\n\r\n{}": false,
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go answerOnce(l, answer)
		c := &adminClient{Admin: l.Addr().String()}
		if err := c.call(http.MethodGet, "/v1/status", client.MustNotExist, nil, &struct{}{}); (err == nil) != isSound {
			t.Errorf("%q: %v", answer, err)
		}
	}
}

func answerOnce(l net.Listener, answer string) {
	c, err := l.Accept()
	_ = l.Close()
	if err != nil {
		return
	}
	defer c.Close() //nolint:errcheck
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, answer)
	}
}
