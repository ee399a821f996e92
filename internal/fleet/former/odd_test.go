package former

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
	"marjorammoor/internal/store/follower"
	"marjorammoor/internal/store/sequencer"
)

// oddAssignment is one entry of testdata/odd_assignments.json.
type oddAssignment struct {
	Name    string          `json:"name"`
	Spec    json.RawMessage `json:"spec"`
	Problem string          `json:"problem"`
	OK      bool            `json:"ok"`
}

// object returns the assignment of the domain "odd".
func (o *oddAssignment) object() follower.Object {
	x := follower.Object{Kind: AssignmentKind, Name: "pool--odd", At: sequencer.Position{Revision: 5}, Spec: o.Spec}
	if o.Problem != "" {
		x.Problem = errors.New(o.Problem)
	}
	return x
}

const goodAssignment = `{"service":"pool","domain":"good","data_center":"dc","epoch":3,"model":"m","replicas":[]}`

// newOddController returns a controller of the domains "odd" and "good" with two runners each.
func newOddController(o follower.Object, log *slog.Logger, orders *[]Order, failures *int) *Controller {
	good := follower.Object{Kind: AssignmentKind, Name: "pool--good", At: sequencer.Position{Revision: 4}, Spec: []byte(goodAssignment)}
	runners := []*tracker.Runner{}
	for i, id := range []string{"odd-0", "odd-1", "good-0", "good-1"} {
		domain, _, _ := strings.Cut(id, "-")
		runners = append(runners, &tracker.Runner{ID: id, Service: "pool", Address: "10.0.0.1:80", DataCenter: "dc", Domain: domain, State: tracker.Ready, Slots: 4, BootTime: int64(i)})
	}
	services := map[string]*matcher.Service{"pool": {Name: "pool", Engine: &matcher.Engine{Slots: 4, Models: []matcher.Model{{Name: "m", Size: 2, InitialShare: 1}}}}}
	tr := &tracker.Tracker{}
	tr.SetServices(services)
	tr.Replace(runners, 0)
	return &Controller{
		View: tr.View, ViewAt: follower.Now, Services: func() map[string]*matcher.Service { return services },
		Store: &follower.Store{
			Get: func(_ context.Context, _, name string) (follower.Object, error) {
				if name == good.Name {
					return good, nil
				}
				return o, nil
			},
			List: func(context.Context, string, bool) ([]follower.Object, sequencer.Position, error) {
				nameless := follower.Object{Kind: AssignmentKind, Problem: errors.New("no name")}
				return []follower.Object{nameless, o, good}, sequencer.Position{Revision: 5}, nil
			},
			Replace: func(context.Context, follower.Object) (sequencer.Position, error) {
				return sequencer.Position{Revision: 9}, nil
			},
		},
		Send: func(_ context.Context, o Order) Result {
			*orders = append(*orders, o)
			return Accepted
		},
		Probe:    func(context.Context, Member) ProbeResult { return Reachable },
		InFlight: func(string) int { return 0 }, Owns: func(_, _ string) bool { return true }, CreatesAssignments: func(string) bool { return true },
		Suspects: func() map[string]bool { return nil }, AnswersPeers: func(string) bool { return false }, PeerLoads: func() int { return 0 },
		IsStartup: func() bool { return true }, LoadsPerWindow: func() float64 { return 9 }, StallTime: func() time.Duration { return time.Second },
		StoreFailed: func() { *failures++ }, Log: log,
	}
}

// TestOddAssignmentHoldsItsDomainOnly guards against an assignment that ends the process, that
// is taken for an empty one, or for which the node no longer counts as reaching the store.
func TestOddAssignmentHoldsItsDomainOnly(t *testing.T) {
	b, err := os.ReadFile("testdata/odd_assignments.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []oddAssignment{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			out, orders, failures := &strings.Builder{}, []Order{}, 0
			c := newOddController(x.object(), slog.New(slog.NewTextHandler(out, nil)), &orders, &failures)
			for range 3 {
				for _, d := range c.domains() {
					s := c.state(d)
					s.readTriedAt = time.Time{}
					c.reconcile(t.Context(), s, d, c.domains())
				}
			}
			states := c.states
			if failures > 0 || states["pool/odd"].hasAssignment != x.OK || !states["pool/good"].hasAssignment {
				t.Errorf("%d store failures, read %t, other domain read %t", failures, states["pool/odd"].hasAssignment, states["pool/good"].hasAssignment)
			}
			for _, o := range orders {
				if strings.HasPrefix(o.Runner.ID, "odd") && !x.OK {
					t.Errorf("%s ordered from %s", o.Operation, o.Runner.ID)
				}
			}
			if n := strings.Count(out.String(), "cannot be used"); !x.OK && n != 1 {
				t.Errorf("%d lines on the odd assignment", n)
			}
			if err := c.createAssignments(t.Context(), c.domains(), c.domains()); err != nil {
				t.Errorf("create assignments: %v", err)
			}
		})
	}
}
