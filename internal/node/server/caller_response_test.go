package server

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/admitter"
)

// TestPanicOfAHandlerIsAnswered guards against requests that end without an answer since their
// handler panics.
func TestPanicOfAHandlerIsAnswered(t *testing.T) {
	t.Parallel()
	s := startCallerServer(t)
	s.node.Platform.ParseRequest = func(*http.Request) *admitter.Incoming { panic("scripted") }
	c := s.connect(t)
	for range 2 {
		if err := c.do(&connectionStep{Do: "request", Status: http.StatusBadGateway}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestUnansweredRequestsAreCounted checks that each way in which a request ends without a whole
// answer has its own count.
func TestUnansweredRequestsAreCounted(t *testing.T) {
	const late = "counted after the start"
	s := startCallerServer(t)
	s.node.Platform.WriteFailure = func(w http.ResponseWriter, f *responder.Failure) {
		w.Header().Set("Content-Length", "9")
		w.WriteHeader(f.Status)
		panic(late)
	}
	for _, x := range []struct{ reason, request string }{
		{unansweredPanic, requestHead + "\r\n"},
		{unansweredUnserved, "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
	} {
		counter := metrics.GetOrCreateCounter(`marjorammoor_requests_unanswered_total{reason="` + x.reason + `"}`)
		before := counter.Get()
		c := s.connect(t)
		if _, err := io.WriteString(c.conn, x.request); err != nil {
			t.Fatal(err)
		}
		response, err := io.ReadAll(c.reader)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(response), " 200 ") {
			t.Errorf("%s: %q", x.reason, response)
		}
		for end := time.Now().Add(time.Second); counter.Get() == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if n := counter.Get() - before; n != 1 {
			t.Errorf("%s: counted %d times", x.reason, n)
		}
	}
}
