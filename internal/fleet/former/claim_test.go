package former

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"

	"marjorammoor/internal/serving/matcher"
	"marjorammoor/internal/serving/tracker"
)

// claimCase is one entry of testdata/claims.json: an assignment of an earlier era, what
// the runners report, and the claimed assignment.
type claimCase struct {
	Name     string           `json:"name"`
	Epoch    int64            `json:"epoch"`
	Replicas []claimedReplica `json:"replicas"`
	// Runners have the IDs a, b, c and so on.
	Runners []claimedRunner `json:"runners"`
	// Want are the claimed replicas, as name, state and members.
	Want      []string `json:"want"`
	WantEpoch int64    `json:"want_epoch"`
}

type claimedReplica struct {
	Epoch   int64        `json:"epoch"`
	State   ReplicaState `json:"state"`
	Members []string     `json:"members"`
}

type claimedRunner struct {
	Epoch int64               `json:"epoch"`
	Rank  int                 `json:"rank"`
	State tracker.MemberState `json:"state"`
}

// TestClaims checks what becomes of an assignment that is claimed in the second era.
func TestClaims(t *testing.T) {
	b, err := os.ReadFile("testdata/claims.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []claimCase{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	models := []matcher.Model{{Name: "m", Size: 2}}
	for _, x := range cases {
		t.Run(x.Name, func(t *testing.T) {
			a := Assignment{Service: "pool", Domain: "d", Epoch: x.Epoch, Era: 1}
			for _, r := range x.Replicas {
				replica := Replica{Name: fmt.Sprintf("d-%d", r.Epoch), Model: "m", Epoch: r.Epoch, State: r.State}
				for _, id := range r.Members {
					replica.Members = append(replica.Members, Member{ID: id})
				}
				a.Replicas = append(a.Replicas, replica)
			}
			runners := []*tracker.Runner{}
			for i, r := range x.Runners {
				v := &tracker.Runner{ID: string(rune('a' + i)), Models: []string{"m"}, HasMembership: r.Epoch > 0}
				v.Membership = tracker.Membership{Replica: fmt.Sprintf("d-%d", r.Epoch), Epoch: r.Epoch, Rank: r.Rank, State: r.State}
				runners = append(runners, v)
			}
			next := a.claimed(2, runners, models)
			got := []string{}
			for _, r := range next.Replicas {
				got = append(got, fmt.Sprint(r.Name, " ", r.State, " ", ids(r.Members)))
			}
			if !slices.Equal(got, x.Want) || next.Epoch != x.WantEpoch || next.Era != 2 {
				t.Errorf("epoch %d in era %d, replicas %q; want %d, 2, %q", next.Epoch, next.Era, got, x.WantEpoch, x.Want)
			}
		})
	}
}

// TestAdoptedNamesAreUnique guards against an assignment that no node can use, because entries of
// other writers name one replica with two epochs.
func TestAdoptedNamesAreUnique(t *testing.T) {
	groups := map[ReplicaKey][]*tracker.Runner{}
	for epoch := range int64(3) {
		x := &tracker.Runner{ID: fmt.Sprint("r", epoch), HasMembership: true, Models: []string{"m"}}
		x.Membership = tracker.Membership{Replica: "d-1", Epoch: epoch, State: tracker.MemberOpen}
		groups[keyOf(x)] = append(groups[keyOf(x)], x)
	}
	a := Assignment{Service: "s", Domain: "d"}
	adopted := a.adopt(groups, []matcher.Model{{Name: "m", Size: 1}})
	if err := a.check(assignmentName("s", "d")); err != nil || len(adopted) != 1 || len(a.Replicas) != 1 {
		t.Errorf("adopted %v, assigned %v: %v", adopted, a.Replicas, err)
	}
}
