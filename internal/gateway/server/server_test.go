package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
