package server

import (
	"io"
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

// TestHeadFarOverTheLimitIsAnsweredUnread guards against heads that are kept although they exceed
// the limit whatever follows, and against callers that are turned away without an answer, or for
// good by a node that knows no limit.
func TestHeadFarOverTheLimitIsAnsweredUnread(t *testing.T) {
	t.Parallel()
	for status, limit := range map[int]int{http.StatusRequestHeaderFieldsTooLarge: minHeaderBytes, http.StatusServiceUnavailable: 0} {
		s := startCallerServer(t)
		if limit > 0 {
			s.setLimits(connectionLimits{HeaderBytes: limit})
		}
		c := s.connect(t)
		size := headTextFactor*s.node.callerLimits().HeaderBytes + headLineBytes
		if _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", size)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != status || (response.Header.Get("Retry-After") != "") != (limit == 0) {
			t.Errorf("status %d, %v, wanted %d", response.StatusCode, response.Header, status)
		}
	}
}
