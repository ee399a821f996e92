package server

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
)

// TestDenialIsLoggedWithWhatItRestsOn guards against denials of which nobody can tell which
// version decided, and against credentials in logs.
func TestDenialIsLoggedWithWhatItRestsOn(t *testing.T) {
	s := startCallerServer(t)
	out := &strings.Builder{}
	s.node.Log = slog.New(slog.NewTextHandler(out, nil))
	s.node.catalog.Store(&matcher.Catalog{Version: 11})
	s.node.versions.newestVersion.Store(12)
	s.node.Platform.ParseRequest = func(r *http.Request) *admitter.Incoming {
		return &admitter.Incoming{ID: "a1", Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Header: r.Header, Credential: "secret-key"}
	}
	if err := s.connect(t).do(&connectionStep{Do: "request"}); err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"request=a1", "catalog_version=11", "newest_version=12", "catalog_age_ms=86400000", "host=h.example", "path=/x", "credential=85dbe15d"} {
		if !strings.Contains(out.String(), " "+field) {
			t.Errorf("%q is missing in %s", field, out)
		}
	}
	if strings.Contains(out.String(), "secret-key") {
		t.Errorf("the credential is logged: %s", out)
	}
}
