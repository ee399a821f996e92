package server

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/peer/beater"
	"marjorammoor/internal/serving/admitter"
	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// TestDenialIsLoggedWithWhatItRestsOn guards against denials of which nobody can tell which
// version decided, and against credentials in logs.
func TestDenialIsLoggedWithWhatItRestsOn(t *testing.T) {
	s := startCallerServer(t)
	out := &strings.Builder{}
	s.node.Log = slog.New(slog.NewTextHandler(out, nil))
	s.node.catalog.Store(&matcher.Catalog{Version: 11})
	s.node.versions.newestVersion.Store(12)
	s.node.admitter.Age = s.node.catalogs.Age
	s.node.Platform.ParseRequest = func(r *http.Request) *admitter.Incoming {
		return &admitter.Incoming{ID: "a1", Host: r.Host, Path: r.URL.Path, Target: r.RequestURI, Header: r.Header, Credential: "secret-key"}
	}
	if err := s.connect(t).do(&connectionStep{Do: "request", Status: http.StatusServiceUnavailable}); err != nil {
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

// denialStep is something that a node learns of the configuration, and how it serves then.
type denialStep struct {
	Do       string `json:"do"`
	Era      int64  `json:"era"`
	Revision int64  `json:"revision"`
	// Object is the name of the object; empty means the configuration's.
	Object  string `json:"object"`
	Spec    string `json:"spec"`
	Problem bool   `json:"problem"`
	Deleted bool   `json:"deleted"`
	// Version is the one that another node uses, or 0 if it does not say.
	Version int64 `json:"version"`
	// Used is the version that must be in use, or 0 for none, and Denies whether the node
	// must deny what that does not allow.
	Used   int64 `json:"used"`
	Denies bool  `json:"denies"`
}

// TestNodeDeniesOnlyByTheNewestConfiguration guards against final answers by a configuration
// that is confirmed as current though the store has one that the node does not use.
func TestNodeDeniesOnlyByTheNewestConfiguration(t *testing.T) {
	b, err := os.ReadFile("testdata/denials.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Name string `json:"name"`
		// Spec is what the store has at the start; empty means version 11.
		Spec  string       `json:"spec"`
		Steps []denialStep `json:"steps"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			n := newDenyingNode(t, cmp.Or(x.Spec, "11"))
			for i, step := range x.Steps {
				n.do(&step)
				n.check(t, i, &step)
			}
		})
	}
}

// denyingNode is a node that follows the configuration through another one.
type denyingNode struct {
	*Node
	// at is the position of the last change.
	at sequencer.Position
}

// newDenyingNode returns a node that has read the store.
func newDenyingNode(t *testing.T, spec string) *denyingNode {
	first := sequencer.Position{Era: 1, Revision: 2}
	store := &follower.Store{
		List: func(context.Context, string, bool) ([]follower.Object, sequencer.Position, error) {
			return []follower.Object{{Kind: "config", Name: "main", At: first, Spec: []byte(spec)}}, first, nil
		},
		Watch: func(ctx context.Context, _ string, since sequencer.Position, _ time.Duration) ([]follower.Object, sequencer.Position, error) {
			<-ctx.Done()
			return nil, since, ctx.Err()
		},
	}
	n := &Node{
		Settings: &Settings{Name: "n1", DataCenter: "dc", Bounds: Bounds{RevocationTimeout: time.Minute}}, Log: slog.New(slog.DiscardHandler),
		Platform: &Platform{Store: store, Eras: &sequencer.Eras{}, CatalogKind: "config", CatalogName: "main", RunnerKind: "runners", DecodeCatalog: decodeRoute},
	}
	n.build()
	n.startedAt = time.Now().Add(-peerDiscoveryTime)
	n.Platform.Eras.Observe(first.Era)
	ctx, stop := context.WithCancel(t.Context())
	followed := make(chan struct{})
	go func() {
		n.catalogs.Run(ctx)
		close(followed)
	}()
	for end := time.Now().Add(5 * time.Second); n.catalogs.ConfirmedAt() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-followed
	return &denyingNode{Node: n, at: first}
}

// decodeRoute decodes a configuration of a version, with one route and one credential.
func decodeRoute(spec []byte) (*matcher.Catalog, error) {
	c, err := decodeVersion(spec)
	c.AddCredential("key", &matcher.Team{Name: "red"})
	c.AddRoutes([]*matcher.Route{{Host: "h", PathPrefix: "/known/", Targets: []matcher.Target{{Service: "s", Weight: 1}}}})
	return c, err
}

func (n *denyingNode) do(step *denialStep) {
	at := sequencer.Position{Era: max(step.Era, 1), Revision: step.Revision}
	o := follower.Object{Kind: "config", Name: cmp.Or(step.Object, "main"), At: at, Spec: []byte(step.Spec), Deleted: step.Deleted}
	if step.Problem {
		o.Problem = errors.New("nested too deeply")
	}
	switch step.Do {
	case "change":
		n.applyPeerChanges(follower.Changes{Kind: "config", Since: n.at, At: at, Objects: []follower.Object{o}})
		n.at = at
	case "list":
		p := follower.ListPart{Kind: "config", At: at, Parts: 1}
		if step.Spec != "" {
			p.Objects = []follower.Object{o}
		}
		n.applyPeerList(p)
		n.at = at
	case "object":
		n.receiveObject(o)
	}
	n.confirm(step.Version)
}

// confirm has another node confirm the copy, which uses a version.
func (n *denyingNode) confirm(version int64) {
	n.receiveHeartbeat(&beater.Heartbeat{
		Node: "n2", DataCenter: "dc", Era: n.at.Era, CatalogVersion: version, Echo: int64(follower.Now()),
		Copies: map[string]follower.Copy{"config": {LastChange: n.at, At: n.at}},
	})
}

// check checks how requests are answered after a step.
func (n *denyingNode) check(t *testing.T, i int, step *denialStep) {
	t.Helper()
	if v, age := n.catalogVersion(), n.catalogs.Age(); v != step.Used || age > time.Second {
		t.Errorf("step %d: version %d, confirmed %v ago", i, v, age)
	}
	unknownRoute, unknownKey, known := http.StatusNotFound, http.StatusUnauthorized, 0
	if !step.Denies {
		unknownRoute, unknownKey = http.StatusServiceUnavailable, http.StatusServiceUnavailable
	}
	if step.Used == 0 {
		known = http.StatusServiceUnavailable
	}
	for _, x := range []struct {
		path, key string
		status    int
	}{{"/unknown/", "key", unknownRoute}, {"/known/", "unknown", unknownKey}, {"/known/", "key", known}} {
		_, f := n.admitter.Admit(&admitter.Incoming{ID: "q", Host: "h", Path: x.path, Credential: x.key})
		if f == nil {
			f = &responder.Failure{}
		}
		if f.Status != x.status || f.Status == http.StatusServiceUnavailable && f.RetryAfter <= 0 {
			t.Errorf("step %d, %s: path %s with key %q got %d (%s), wanted %d", i, step.Do, x.path, x.key, f.Status, f.Reason, x.status)
		}
	}
}

// TestNodeBehindAnotherDeniesNothing guards against final answers by a configuration that was
// just confirmed, while another node is known to use a newer one.
func TestNodeBehindAnotherDeniesNothing(t *testing.T) {
	behind, ahead := newDenyingNode(t, "11"), newDenyingNode(t, "11")
	ahead.Settings.Name = "n2"
	change := &denialStep{Do: "change", Revision: 5, Spec: "12", Used: 12, Denies: true}
	ahead.do(change)
	b := &beater.Heartbeat{Node: "n2", DataCenter: "dc"}
	ahead.fillHeartbeat(b, "dc", false)
	behind.receiveHeartbeat(b)
	ahead.check(t, 0, change)
	behind.check(t, 0, &denialStep{Do: "heartbeat", Used: 11})
	behind.do(change)
	behind.check(t, 1, change)
}

// TestLargeRequestIsDeniedOnlyByTheNewestConfiguration guards against 413 and 431 by the limit of
// an old configuration, or by the default of a node that has none.
func TestLargeRequestIsDeniedOnlyByTheNewestConfiguration(t *testing.T) {
	catalog := &matcher.Catalog{Version: 11, Limits: matcher.Limits{BodyBytes: 9, HeaderBytes: minHeaderBytes}}
	for name, x := range map[string]struct {
		catalog *matcher.Catalog
		newest  int64
		age     time.Duration
		denies  bool
	}{
		"newest":           {catalog: catalog, newest: 11, denies: true},
		"old":              {catalog: catalog, newest: 11, age: 2 * time.Second},
		"newer one exists": {catalog: catalog, newest: 12},
		"none":             {},
	} {
		t.Run(name, func(t *testing.T) {
			n := startCallerServer(t).node
			n.catalog.Store(x.catalog)
			n.versions.newestVersion.Store(x.newest)
			n.admitter.Age = func() time.Duration { return x.age }
			for _, large := range []struct{ body, field, status int }{
				{defaultBodyBytes + 1, 0, http.StatusRequestEntityTooLarge}, {0, defaultHeaderBytes + 1, http.StatusRequestHeaderFieldsTooLarge},
			} {
				want := http.StatusServiceUnavailable
				if x.denies {
					want = large.status
				}
				r := httptest.NewRequest(http.MethodPost, "/x", bytes.NewReader(make([]byte, large.body)))
				r.Header.Set("X", strings.Repeat("x", large.field))
				w := httptest.NewRecorder()
				n.serveCaller(w, r)
				if w.Code != want {
					t.Errorf("body %d, field %d: status %d, want %d", large.body, large.field, w.Code, want)
				}
			}
		})
	}
}
