package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"marjorammoor/internal/peer/deliverer"
)

// TestSizeOfARequestIsCheckedByItsFirstNodeOnly guards against a final 413 or 431 of a node whose
// configuration is older than that of the node that has let the request pass.
func TestSizeOfARequestIsCheckedByItsFirstNodeOnly(t *testing.T) {
	t.Parallel()
	s := startCallerServer(t)
	s.setLimits(connectionLimits{HeaderBytes: minHeaderBytes, BodyBytes: 1})
	for _, x := range []struct {
		delivery *deliverer.Delivery
		field    int
		wanted   int
	}{
		{nil, minHeaderBytes, http.StatusRequestHeaderFieldsTooLarge},
		{nil, 0, http.StatusRequestEntityTooLarge},
		{&deliverer.Delivery{Node: "n2"}, minHeaderBytes, notAdmitted},
	} {
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("hello"))
		r.Header.Set("X", strings.Repeat("x", x.field))
		w := httptest.NewRecorder()
		s.node.serve(w, r, x.delivery)
		if w.Code != x.wanted {
			t.Errorf("status %d, wanted %d", w.Code, x.wanted)
		}
	}
}

// TestNodeWithoutConfigurationRefusesNoSize guards against a final 413 or 431 of a node that knows
// no limits yet.
func TestNodeWithoutConfigurationRefusesNoSize(t *testing.T) {
	t.Parallel()
	s := startCallerServer(t)
	for _, x := range []struct{ field, body int }{{defaultHeaderBytes + 1, 0}, {0, defaultBodyBytes + 1}} {
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", x.body)))
		r.Header.Set("X", strings.Repeat("x", x.field))
		w := httptest.NewRecorder()
		s.node.serve(w, r, nil)
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d, wanted %d", w.Code, http.StatusServiceUnavailable)
		}
	}
}
