package admitter

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"marjorammoor/internal/gateway/responder"
	"marjorammoor/internal/serving/matcher"
)

// admission is one entry of testdata/admissions.json.
type admission struct {
	Name      string           `json:"name"`
	Host      string           `json:"host"`
	Path      string           `json:"path"`
	Key       string           `json:"key"`
	Model     string           `json:"model"`
	AgeMS     int64            `json:"age_ms"`
	NoCatalog bool             `json:"no_catalog"`
	NoID      bool             `json:"no_id"`
	Service   string           `json:"service"`
	Team      string           `json:"team"`
	Priority  int              `json:"priority"`
	Status    int              `json:"status"`
	Reason    responder.Reason `json:"reason"`
}

func catalog() *matcher.Catalog {
	c := &matcher.Catalog{Version: 3, HasTeams: true, Services: map[string]*matcher.Service{"one": {Name: "one"}, "two": {Name: "two"}, "engine": {
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
	list := []admission{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *admission) check(t *testing.T) {
	c := catalog()
	if x.NoCatalog {
		c = nil
	}
	a := &Admitter{
		Catalog: func() *matcher.Catalog { return c }, RevocationTimeout: func() time.Duration { return 5 * time.Second },
		Age: func() time.Duration { return time.Duration(x.AgeMS) * time.Millisecond },
	}
	in := &Incoming{ID: "q", Host: x.Host, Path: x.Path, Credential: x.Key, Model: x.Model, Timeout: 4 * time.Second, Arrived: time.Now()}
	if x.NoID {
		in.ID = ""
	}
	call, failure := a.Admit(in)
	if failure != nil {
		if failure.Status != x.Status || failure.Reason != x.Reason || failure.Outcome != responder.NotRun {
			t.Errorf("refused with %d, %s, %s", failure.Status, failure.Reason, failure.Outcome)
		}
		if failure.Status == 503 && failure.RetryAfter <= 0 {
			t.Error("a refusal that may be temporary does not say when to come back")
		}
		return
	}
	if x.Status != 0 || call.Service != x.Service || call.Team != x.Team || call.Priority != x.Priority {
		t.Errorf("admitted to %q for %q with priority %d", call.Service, call.Team, call.Priority)
	}
	if left := call.Deadline.Sub(in.Arrived); left != time.Second {
		t.Errorf("the deadline is after %v, wanted the route's second", left)
	}
	if left := call.CallerDeadline.Sub(in.Arrived); left != 4*time.Second {
		t.Errorf("the caller's deadline is after %v", left)
	}
}
