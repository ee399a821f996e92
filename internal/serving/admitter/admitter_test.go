package admitter

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/matcher"
)

// admissionCase is one entry of testdata/admissions.json.
type admissionCase struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Model     string `json:"model"`
	AgeMS     int64  `json:"age_ms"`
	NoCatalog bool   `json:"no_catalog"`
	NoID      bool   `json:"no_id"`
	// NewestVersion is the newest known version, or 0 if the admitter does not ask.
	NewestVersion int64  `json:"newest_version"`
	Service       string `json:"service"`
	Team          string `json:"team"`
	Priority      int    `json:"priority"`
	// Status and Reason describe the expected failure. A Status of 0 means that the
	// request is admitted.
	Status int              `json:"status"`
	Reason responder.Reason `json:"reason"`
}

func catalog() *matcher.Catalog {
	c := &matcher.Catalog{Version: 3, Services: map[string]*matcher.Service{"one": {Name: "one"}, "two": {Name: "two"}, "engine": {
		Name: "engine", Engine: &matcher.Engine{Models: []matcher.Model{{Name: "m", Size: 2}}},
	}, "plain_engine": {Name: "plain_engine", Engine: &matcher.Engine{}}}}
	route := func(prefix, service string, priority int, public bool) *matcher.Route {
		return &matcher.Route{
			Host: "A.example", PathPrefix: prefix, Priority: priority, Public: public, Timeout: time.Second,
			Targets: []matcher.Target{{Service: service, Weight: 1}, {Service: "never", Weight: 0}},
		}
	}
	c.AddRoutes([]*matcher.Route{route("/x/", "one", 4, false), route("/x/y/", "two", 4, false), route("/open/", "one", 5, true), route("/m/", "engine", 5, true), route("/p/", "plain_engine", 5, true)})
	c.AddCredential("k1", &matcher.Team{Name: "red", Priority: 1, HasPriority: true})
	c.AddCredential("k2", &matcher.Team{Name: "blue"})
	return c
}

func TestAdmit(t *testing.T) {
	b, err := os.ReadFile("testdata/admissions.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []admissionCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *admissionCase) check(t *testing.T) {
	c := catalog()
	if x.NoCatalog {
		c = nil
	}
	a := &Admitter{
		Catalog: func() *matcher.Catalog { return c }, RevocationTimeout: func() time.Duration { return 5 * time.Second },
		Age: func() time.Duration { return time.Duration(x.AgeMS) * time.Millisecond },
	}
	if x.NewestVersion > 0 {
		a.MayDeny = func(version int64) bool { return version >= x.NewestVersion }
	}
	in := &Incoming{ID: "q", Host: x.Host, Path: x.Path, Credential: x.Key, Model: x.Model, Timeout: 4 * time.Second, Arrived: time.Now()}
	if x.NoID {
		in.ID = ""
	}
	call, failure := a.Admit(in)
	if failure != nil {
		if failure.Status != x.Status || failure.Reason != x.Reason || failure.Outcome != responder.NotRun {
			t.Errorf("refused with status %d, reason %s, outcome %s", failure.Status, failure.Reason, failure.Outcome)
		}
		if failure.Status == 503 && failure.RetryAfter <= 0 {
			t.Error("a response with status 503 has no RetryAfter")
		}
		x.checkVerdict(t, failure)
		return
	}
	if call.CatalogVersion != c.Version {
		t.Errorf("admitted by version %d, want %d", call.CatalogVersion, c.Version)
	}
	if x.Status != 0 || call.Service != x.Service || call.Team != x.Team || call.Priority != x.Priority {
		t.Errorf("admitted to service %q for team %q with priority %d", call.Service, call.Team, call.Priority)
	}
	if timeout := call.Deadline.Sub(in.Arrived); timeout != time.Second {
		t.Errorf("deadline %v after arrival, wanted the route's timeout of 1 s", timeout)
	}
	if timeout := call.CallerDeadline.Sub(in.Arrived); timeout != 4*time.Second {
		t.Errorf("caller's deadline %v after arrival, wanted 4 s", timeout)
	}
}

// checkVerdict checks that a denial names what it rests on, in bounded length and without
// the credential.
func (x *admissionCase) checkVerdict(t *testing.T, f *responder.Failure) {
	v := f.Verdict
	if f.Status != 401 && f.Status != 404 {
		return
	}
	if v == nil {
		t.Fatal("a denial has no verdict")
	}
	if v.Version != 3 || v.Age != time.Duration(x.AgeMS)*time.Millisecond || v.Host != x.Host || len(v.Path) > maxVerdictBytes || !strings.HasPrefix(x.Path, v.Path) {
		t.Errorf("verdict %+v", v)
	}
	if (v.Credential == "") != (x.Key == "") || x.Key != "" && (len(v.Credential) != fingerprintDigits || strings.Contains(v.Credential, x.Key)) {
		t.Errorf("credential %q is named %q", x.Key, v.Credential)
	}
}
