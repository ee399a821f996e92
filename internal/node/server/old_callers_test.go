package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestBrokenResponseIsNotWholeToCallersOfHTTP10 guards against callers who take a response for whole that
// has no length and broke off, since in HTTP/1.0 it ends with the connection.
func TestBrokenResponseIsNotWholeToCallersOfHTTP10(t *testing.T) {
	t.Parallel()
	const event = "id: 1\ndata: x\n\n"
	for _, x := range []struct {
		name    string
		serve   func(s *callerServer, w http.ResponseWriter, r *http.Request)
		isWhole bool
	}{
		{"whole", func(*callerServer, http.ResponseWriter, *http.Request) {}, true},
		{"the runner breaks off", func(*callerServer, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
		{"the runner ends inside an event", func(_ *callerServer, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "id: 2") }, false},
		{"the node closes its connections", func(s *callerServer, _ http.ResponseWriter, r *http.Request) {
			_ = s.server.Close()
			<-r.Context().Done()
		}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := startCallerServer(t)
			runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(leavingTime)
				x.serve(s, w, r)
			}))
			defer runner.Close()
			s.useRunner("streaming", strings.TrimPrefix(runner.URL, "http://"))
			c := s.connect(t)
			if _, err := fmt.Fprint(c.conn, strings.Replace(requestHead, "HTTP/1.1", "HTTP/1.0", 1)+"\r\n"); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusOK || response.ContentLength >= 0 {
				t.Errorf("status %d, length %d", response.StatusCode, response.ContentLength)
			}
			body, err := io.ReadAll(response.Body)
			if string(body) != event || (err == nil) != x.isWhole {
				t.Errorf("body %q, %v; want whole %t", body, err, x.isWhole)
			}
		})
	}
}
