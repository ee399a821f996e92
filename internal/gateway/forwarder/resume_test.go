package forwarder

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marjorammoor/internal/objects/parser"
	"marjorammoor/internal/runner/caller"
)

// TestStreamOutlivesAReplicaOutOfReach checks that a stream goes on at its replica once that is in reach
// again, as long as the replica counts as healthy.
func TestStreamOutlivesAReplicaOutOfReach(t *testing.T) {
	broke := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt, isResumed := strings.CutPrefix(r.URL.Path, "/v1/streams/")
		if !isResumed {
			attempt = r.Header.Get(caller.HeaderAttempt)
		}
		if isResumed && time.Since(time.UnixMilli(broke.Load())) < 1200*time.Millisecond {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(caller.HeaderAttempt, attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		event := func(i int, finish string) {
			_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"t\":%d,\"finish_reason\":%s}\n\n", attempt, i, i, finish)
		}
		if !isResumed {
			event(0, "null")
			_ = http.NewResponseController(w).Flush()
			broke.Store(time.Now().UnixMilli())
			panic(http.ErrAbortHandler)
		}
		event(1, `"stop"`)
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	defer server.Close()
	f, spec := newForwarder(t, strings.TrimPrefix(server.URL, "http://"), parser.TypeModel)
	c := &Call{RequestID: "q", Team: "team", Deployment: "d", Spec: spec, Method: http.MethodPost, Path: "/v1/x", Header: http.Header{}, Body: []byte("{}"), Stream: true, ExpectedTokens: 1}
	w := httptest.NewRecorder()
	failure := f.Serve(t.Context(), w, c)
	if failure != nil || strings.Count(w.Body.String(), "data: {\"t\"") != 2 || !strings.Contains(w.Body.String(), "[DONE]") {
		t.Errorf("failure %v, body %q", failure, w.Body.String())
	}
}
