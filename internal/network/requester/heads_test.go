package requester

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
)

// TestResponseWithMalformedHeadIsNone guards against responses that are passed on, or taken for others,
// although their head is none of HTTP/1.1's. It plays the list of network/validator.
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
			head := strings.ReplaceAll(x.Head, "{}", strings.Repeat("x", x.Repeat))
			client, server := tcpPair(t)
			go answerWith(server, head+"body")
			response, err := (&Client{Dial: dialOnce(client)}).Do(t.Context(), &Request{Method: http.MethodPost, Address: "x", Target: "/x", Host: "h", Body: []byte("q")})
			if err != nil {
				if x.Sound || !MaySent(err) {
					t.Errorf("may be sent %t: %v", MaySent(err), err)
				}
				return
			}
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			if !x.Sound {
				t.Fatalf("status %d, body %q, %v", response.Status, body, err)
			}
			if err != nil || string(body) != "body" {
				t.Errorf("body %q, %v", body, err)
			}
		})
	}
}

// answerWith answers one request and closes the connection.
func answerWith(c net.Conn, answer string) {
	defer c.Close() //nolint:errcheck
	if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	_, _ = io.WriteString(c, answer)
}
