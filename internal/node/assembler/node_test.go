package assembler

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"marjorammoor/internal/config/loader"
)

// TestLibraryGivesNoSuccessOfItsOwn guards against a 200 to OPTIONS * that no handler has given.
func TestLibraryGivesNoSuccessOfItsOwn(t *testing.T) {
	t.Parallel()
	n := &Node{Settings: &loader.Settings{}, Log: slog.New(slog.DiscardHandler)}
	if err := n.listen("127.0.0.1:0", http.NotFoundHandler()); err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.servers[0].Serve(n.listeners[0]) }()
	defer n.servers[0].Close() //nolint:errcheck
	c, err := net.Dial("tcp", n.listeners[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close() //nolint:errcheck
	if _, err := io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("status %d", response.StatusCode)
	}
}

// TestIdleConnectionsKeepOutNoCallers guards against callers that are not served since others hold as
// many connections as the node takes, and send nothing more or never the end of a request.
func TestIdleConnectionsKeepOutNoCallers(t *testing.T) {
	t.Parallel()
	const held = 40
	address := "127.0.0.1:0"
	n := &Node{Settings: &loader.Settings{CallerAddress: address, MaxConnections: held / 2}, Log: slog.New(slog.DiscardHandler)}
	if err := n.listen(address, http.NotFoundHandler()); err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.servers[0].Serve(n.listeners[0]) }()
	defer n.servers[0].Close() //nolint:errcheck
	for i := range held + 1 {
		c, err := net.Dial("tcp", n.listeners[0].Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close() //nolint:errcheck
		if i < held {
			sent := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
			if i%4 == 3 {
				sent = "GET / HTTP/1.1\r\n"
			}
			if _, err := io.WriteString(c, sent); err != nil {
				t.Fatal(err)
			}
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(answerBound))
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Errorf("a caller beside %d idle connections gets no answer: %v", held, err)
		}
	}
}

// answerBound ends a test that gets no answer at all.
const answerBound = 15 * time.Second
