package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

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
