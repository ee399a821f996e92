package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
)

// TestBrokenResponseIsNotWhole guards against callers who take a large body that broke off for whole:
// those of HTTP/1.0 too, for whom it ends with the connection.
func TestBrokenResponseIsNotWhole(t *testing.T) {
	errBroken := errors.New("scripted")
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, isWhole := range []bool{true, false} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body := io.Reader(bytes.NewReader(make([]byte, maxBufferedBytes+1)))
				if !isWhole {
					body = io.MultiReader(body, iotest.ErrReader(errBroken))
				}
				response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}
				c := &Call{}
				if failure := (&Forwarder{}).relayBuffered(r.Context(), &responseWriter{w: w, call: c}, c, response); failure != nil {
					t.Errorf("%s, whole %t: %s", version, isWhole, failure.Message)
				}
			}))
			n, err := readBody(s.Listener.Addr().String(), version)
			if (err == nil) != isWhole || isWhole && n != maxBufferedBytes+1 {
				t.Errorf("%s, whole %t: %d bytes, %v", version, isWhole, n, err)
			}
			s.Close()
		}
	}
}

// readBody sends a request and returns the size of the response's body.
func readBody(address, version string) (int64, error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, err
	}
	defer c.Close() //nolint:errcheck
	if _, err := fmt.Fprintf(c, "GET / %s\r\nHost: h\r\nConnection: close\r\n\r\n", version); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	if strings.HasSuffix(version, "0") != (len(response.TransferEncoding) == 0) {
		return 0, fmt.Errorf("transfer coding %q", response.TransferEncoding)
	}
	return io.Copy(io.Discard, response.Body)
}
