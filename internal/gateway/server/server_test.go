package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/gateway/forwarder"
	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/memory/reserver"
	"marjorammoor/internal/state/recorder"
)

// TestNodeWithoutConfigurationDeniesNothing guards against a final 401 of a node that knows no
// credentials yet.
func TestNodeWithoutConfigurationDeniesNothing(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/v1/models", "/services/s/x"} {
		s := &Server{Board: &recorder.Board{}, Ready: func() bool { return false }}
		r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		r.Header.Set("Authorization", "Bearer key")
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", path, w.Code)
		}
	}
}

// TestBodyWithoutMemoryIsRefused guards against callers' bodies that together take all memory.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	t.Parallel()
	for limit, want := range map[int64]responder.Reason{16 << 10: responder.ReasonOutOfMemory, 1 << 20: ""} {
		s := &Server{Memory: &reserver.Reserver{Limit: func() int64 { return limit }}}
		for _, length := range []int64{64 << 10, -1} {
			r := httptest.NewRequest(http.MethodPost, "/services/s/x", strings.NewReader(strings.Repeat("b", 64<<10)))
			r.ContentLength = length
			memory := s.Memory.Reserve("", func() {})
			f := s.readBody(httptest.NewRecorder(), r, &forwarder.Call{}, memory)
			memory.Release()
			switch {
			case f == nil && want != "":
				t.Errorf("limit %d, length %d: the body was taken", limit, length)
			case f != nil && (f.Reason != want || f.Outcome != responder.NotRun):
				t.Errorf("limit %d, length %d: %v", limit, length, f)
			}
		}
	}
}

// TestRefusedBodyThatStopsIsAnswered guards against callers that hold their connections for ever
// since they get no answer before the end of a body that does not come.
func TestRefusedBodyThatStopsIsAnswered(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer((&Server{Board: &recorder.Board{}}).Handler())
	defer s.Close()
	for path, status := range map[string]int{"/v1/completions": http.StatusUnauthorized, "/unknown": http.StatusNotFound} {
		for _, rest := range []string{"Content-Length: 1000\r\n\r\nb", "Content-Length: 100000\r\n\r\nb", "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n", "Content-Length: 1000\r\nExpect: 100-continue\r\n\r\n"} {
			c, err := net.Dial("tcp4", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(answerBound))
			if _, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\n"+rest); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			switch {
			case err != nil:
				t.Errorf("%s %q: %v", path, rest, err)
			case response.StatusCode != status:
				t.Errorf("%s %q: status %d", path, rest, response.StatusCode)
			}
			_ = c.Close()
		}
	}
}

// answerBound ends a test that gets no answer at all.
const answerBound = 15 * time.Second
