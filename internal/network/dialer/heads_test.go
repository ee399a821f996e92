package dialer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/network/validator"
)

const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// TestResponseWithMalformedHeadIsNone plays the list of network/validator, on a new connection and on
// one that has had a sound response.
func TestResponseWithMalformedHeadIsNone(t *testing.T) {
	b, err := os.ReadFile("../validator/testdata/heads.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []struct {
		Name, Head string
		Sound      bool
		Repeat     int
	}{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			answer := strings.ReplaceAll(x.Head, "{}", strings.Repeat("x", x.Repeat)) + "body"
			want := ""
			if x.Sound {
				want = "body"
			}
			checkBodies(t, []string{answer}, []string{want})
			checkPieces(t, []byte(answer), x.Sound)
			checkBodies(t, []string{soundResponse, answer}, []string{"sound", want})
		})
	}
}

// checkPieces checks the head of an answer that arrives in pieces.
func checkPieces(t *testing.T, answer []byte, isSound bool) {
	t.Helper()
	for _, size := range []int{1, 7} {
		c := &headConn{}
		c.expect()
		for piece := range slices.Chunk(answer, size) {
			c.check(piece)
		}
		if err := c.checked(); (err == nil) != isSound {
			t.Errorf("in pieces of %d bytes: %v", size, err)
		}
	}
}

// TestEarlyHeadIsNoResponse guards against a malformed head that is not checked since it has arrived
// with the response before. An http.Transport closes the connection if it sees such bytes in time.
func TestEarlyHeadIsNoResponse(t *testing.T) {
	const early = "HTTP/1.1 200 OK\r\nX Bad: y\r\nContent-Length: 5\r\n\r\nearly"
	checkBodies(t, []string{soundResponse + early}, []string{"sound", ""})
	c := &headConn{}
	c.expect()
	c.check([]byte(soundResponse + early))
	if err := c.checked(); err != nil {
		t.Errorf("the first head: %v", err)
	}
	c.expect()
	if err := c.checked(); !errors.Is(err, errEarlyHead) {
		t.Errorf("the early head: %v", err)
	}
}

// checkBodies sends a request for each body that is wanted to a server that answers the requests on a
// connection one after the other, and then closes it. An empty body stands for no response.
func checkBodies(t *testing.T, answers, want []string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck
	go answerInTurn(l, answers)
	client := (&Dialer{}).HTTPClient(1)
	client.Timeout = 5 * time.Second
	defer client.CloseIdleConnections()
	for i, body := range want {
		got, err := post(client, "http://"+l.Addr().String())
		if got != body || (err != nil) != (body == "") {
			t.Errorf("request %d: body %q, want %q; %v", i, got, body, err)
		}
	}
}

func answerInTurn(l net.Listener, answers []string) {
	c, err := l.Accept()
	_ = l.Close()
	if err != nil {
		return
	}
	defer c.Close() //nolint:errcheck
	r := bufio.NewReader(c)
	for _, answer := range answers {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, answer)
	}
}

func post(client *http.Client, url string) (string, error) {
	response, err := client.Post(url, "text/plain", strings.NewReader("q"))
	if err != nil {
		return "", err
	}
	defer response.Body.Close() //nolint:errcheck
	b, err := io.ReadAll(response.Body)
	return string(b), err
}

// TestMalformedHeadIsTold checks the error of a response whose head is malformed.
func TestMalformedHeadIsTold(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go answerInTurn(l, []string{"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"})
	if _, err := post((&Dialer{}).HTTPClient(1), "http://"+l.Addr().String()); !errors.Is(err, validator.ErrMalformed) {
		t.Errorf("got %v", err)
	}
}
