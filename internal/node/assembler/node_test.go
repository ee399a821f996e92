package assembler

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

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
