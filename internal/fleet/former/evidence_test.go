package former

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// evidenceCase is one entry of testdata/evidence.json: what is known of the members a, b and c
// of replica d-2, and what is decided. Times are seconds before the decision; 0 means never.
type evidenceCase struct {
	Name     string       `json:"name"`
	State    ReplicaState `json:"state"`
	MayOpen  bool         `json:"may_open"`
	Graceful bool         `json:"graceful"`
	// Runners have the IDs a, b, c and so on.
	Runners []evidenceRunner `json:"runners"`
	// HeadLeft is set if the head has confirmed that it left.
	HeadLeft    bool    `json:"head_left"`
	MemberLost  float64 `json:"member_lost_s"`
	HeadMissing float64 `json:"head_missing_s"`
	HeadSilent  float64 `json:"head_silent_s"`
	Seen        float64 `json:"seen_s"`
	Answered    float64 `json:"answered_s"`
	Refuses     bool    `json:"refuses"`
	Idle        float64 `json:"idle_s"`
	// IsLost is set if d-2 was given up, IsClaimed if the assignment was claimed after d-2 was
	// formed, and HasEnded if d-2 is known to have ended since.
	IsLost    bool `json:"lost"`
	IsClaimed bool `json:"claimed"`
	HasEnded  bool `json:"ended"`
	// WantState is the replica's state after the decision, or "removed".
	WantState string `json:"want"`
	// WantOrders are the operations, runners and replicas of the orders.
	WantOrders []string `json:"want_orders"`
	// WantLost and WantEnded are the numbers of replicas that are given up and known to have ended after
	// the decision.
	WantLost  int `json:"want_lost"`
	WantEnded int `json:"want_ended"`
}

type evidenceRunner struct {
	// Epoch is the epoch of the runner's replica; 0 means that it is in none.
	Epoch int64               `json:"epoch"`
	State tracker.MemberState `json:"state"`
	// BootTime is 2 unless it is set, as in the assignment.
	BootTime  int64 `json:"boot_time"`
	IsMissing bool  `json:"missing"`
	IsKept    bool  `json:"kept"`
	IsSilent  bool  `json:"silent"`
}

// TestEvidence checks which evidence closes a replica and which ends it.
func TestEvidence(t *testing.T) {
	cases := []evidenceCase{}
	readJSON(t, "testdata/evidence.json", &cases)
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			out := Decide(x.input())
			got := "removed"
			if i := slices.IndexFunc(out.Assignment.Replicas, func(r Replica) bool { return r.Name == "d-2" }); i >= 0 {
				got = string(out.Assignment.Replicas[i].State)
			}
			orders := []string{}
			for _, o := range out.Orders {
				orders = append(orders, fmt.Sprint(o.Operation, " ", o.Runner.ID, " ", o.Replica))
			}
			slices.Sort(orders)
			hasLists := len(out.Assignment.Lost) == x.WantLost && len(out.Assignment.Ended) == x.WantEnded
			if got != x.WantState || !slices.Equal(orders, x.WantOrders) || !hasLists {
				t.Errorf("%s, orders %q; want %s, %q; notes %q", got, orders, x.WantState, x.WantOrders, out.Notes)
			}
		})
	}
}

// input returns the input of the case's decision. The model has replicas of three runners.
func (x *evidenceCase) input() *Input {
	now := time.Now()
	ago := func(seconds float64) map[string]time.Time {
		if seconds == 0 {
			return nil
		}
		at := now.Add(-time.Duration(seconds * float64(time.Second)))
		return map[string]time.Time{"d-2": at, "a": at}
	}
	in := &Input{
		Now: now, Engine: &matcher.Engine{Models: []matcher.Model{{Name: "m", Size: 3}}},
		Assignment: Assignment{Service: "s", Domain: "d", Epoch: 5, Model: "m"}, Dead: map[string]bool{},
		LastModel: map[string]string{"a": "m", "b": "m", "c": "m", "d": "m"}, StallTime: 4 * time.Second,
		FirstSeen: ago(x.Seen), MemberLostAt: ago(x.MemberLost), HeadMissingSince: ago(x.HeadMissing), SilentSince: ago(x.HeadSilent),
		ReachableFor: time.Minute, AnsweredAgo: time.Duration(x.Answered * float64(time.Second)),
		Refusing: map[string]bool{"a": x.Refuses}, IdleSince: ago(x.Idle),
	}
	if x.HeadLeft {
		in.HeadLeft = map[string]bool{"d-2": true}
	}
	old := ReplicaKey{Name: "d-2", Epoch: 2}
	if x.IsLost {
		in.Assignment.Lost = []ReplicaKey{old}
	}
	if x.IsClaimed {
		in.Assignment.ClaimedEpoch = 3
	}
	if x.HasEnded {
		in.Assignment.Ended = []ReplicaKey{old}
	}
	if x.State != "" {
		r := Replica{Name: "d-2", Model: "m", Epoch: 2, State: x.State, MayOpen: x.MayOpen, Graceful: x.Graceful}
		for _, id := range []string{"a", "b", "c"} {
			r.Members = append(r.Members, Member{ID: id, Address: id, BootTime: 2})
		}
		in.Assignment.Replicas = []Replica{r}
	}
	for i, r := range x.Runners {
		id := string(rune('a' + i))
		in.Dead[id] = r.IsSilent
		if r.IsMissing {
			continue
		}
		v := &tracker.Runner{ID: id, Address: id, BootTime: cmp.Or(r.BootTime, 2), State: tracker.Ready, StagedModels: []string{"m"}, HasMembership: r.Epoch > 0, IsKept: r.IsKept}
		if v.HasMembership {
			v.Models = []string{"m"}
		}
		v.Membership = tracker.Membership{Replica: fmt.Sprintf("d-%d", r.Epoch), Epoch: r.Epoch, Rank: i, State: r.State}
		in.Runners = append(in.Runners, v)
	}
	return in
}
