package former

import (
	"encoding/json"
	"time"

	"marjorammoor/internal/serving/tracker"
)

// scenario is one entry of testdata/worlds.json: the faults that are injected into
// one simulated domain while controllers form and repair its replicas.
type scenario struct {
	Name        string `json:"name"`
	Runners     int    `json:"runners"`
	Controllers int    `json:"controllers"`
	// Seeds is the number of runs, each with another random seed.
	Seeds   int `json:"seeds"`
	Seconds int `json:"seconds"`
	// CrashEvery is the mean seconds between two crashes; 0 means none. DrainEvery
	// and AddEvery are the same for VMs that are drained and added.
	CrashEvery float64 `json:"crash_every_s"`
	// ReturnAfter is the seconds after which a crashed VM restarts; 0 means never.
	ReturnAfter float64 `json:"return_after_s"`
	DrainEvery  float64 `json:"drain_every_s"`
	AddEvery    float64 `json:"add_every_s"`
	// LateShare is the share of orders that get no answer and are carried out late.
	LateShare float64 `json:"late_share"`
	// LostShare is the share of store writes that take effect but get no answer.
	LostShare float64 `json:"lost_share"`
	// CutEvery is the mean seconds between two times at which the domain is cut off
	// from the store and the controllers.
	CutEvery float64 `json:"cut_every_s"`
	// HandOverEvery is the seconds after which the next controller owns the domain;
	// 0 lets all controllers work on it concurrently.
	HandOverEvery float64 `json:"hand_over_every_s"`
	// ViewLag is the seconds by which the views of all controllers but the first lag
	// behind the store.
	ViewLag float64 `json:"view_lag_s"`
	// CutSeconds is how long the domain stays cut off.
	CutSeconds float64 `json:"cut_s"`
	// CutResets resets the connections to a domain that is cut off. Otherwise they
	// time out.
	CutResets bool `json:"cut_refuses"`
	// UnannouncedLeaveEvery is the mean seconds between two VMs that leave without
	// announcing it: the VM is removed from the list, refuses connections and
	// finishes its requests.
	UnannouncedLeaveEvery float64 `json:"vanish_every_s"`
	// LapseEvery is the mean seconds between two VMs that lose contact with the
	// store: the VM is not listed for some seconds but continues its work.
	LapseEvery float64 `json:"lapse_every_s"`
	// LapseMembersOnly restricts lapses to members that are not heads.
	LapseMembersOnly bool `json:"only_members"`
	// RestoreEvery is the mean seconds between two times at which the store comes back from
	// a copy that is RestoreBack seconds old. Runners write their entries again within 2 s.
	RestoreEvery float64 `json:"restore_every_s"`
	RestoreBack  float64 `json:"restore_back_s"`
	// UnreachedEvery is the mean seconds between two times at which a third of the runners is out
	// of reach of all controllers for up to UnreachedSeconds, but not of the store and each other.
	UnreachedEvery   float64 `json:"unreached_every_s"`
	UnreachedSeconds float64 `json:"unreached_s"`
	// UnreachedAs is how runners are out of reach; empty means linkSilent.
	UnreachedAs linkFault `json:"unreached_as"`
	// NodeCutEvery is the mean seconds between two times at which a controller is cut off from
	// the store for up to NodeCutSeconds.
	NodeCutEvery   float64 `json:"node_cut_every_s"`
	NodeCutSeconds float64 `json:"node_cut_s"`
	// AwayEvery is the mean seconds between two times at which the store is away for up to
	// AwaySeconds, while entries lapse.
	AwayEvery   float64 `json:"away_every_s"`
	AwaySeconds float64 `json:"away_s"`
	// IsMixed draws by the seed which of the faults there are, and the number of runners.
	IsMixed bool `json:"mixed"`
	// Script are faults at fixed times, beside the random ones.
	Script []scriptedFault `json:"script"`
	// Late are orders that get no answer and are carried out late, beside the random ones.
	Late []lateOrders `json:"late"`
	// CalmSeconds are the last seconds without new faults. After them, repair must have ended.
	CalmSeconds float64 `json:"calm_s"`
	// MinOpen is the minimum share of the time during which at least one replica of
	// each model must be open.
	MinOpen float64 `json:"min_open"`
	// Model is what the domain serves from the start; empty means all models.
	Model string `json:"model"`
	// Elsewhere are the models of other domains, which are in the store only.
	Elsewhere []string `json:"elsewhere"`
	// MinOpenOf overrides MinOpen for some models.
	MinOpenOf map[string]float64 `json:"min_open_of"`
	// MinMeanOpenOf is the same as MinOpenOf for the mean of all seeds. A single run may draw many
	// faults in a row.
	MinMeanOpenOf map[string]float64 `json:"min_mean_open_of"`
	// MaxOpenOf is the maximum share of the time for models that the domain should
	// no longer serve.
	MaxOpenOf map[string]float64 `json:"max_open_of"`
}

// scriptedFault is one entry of a scenario's script: the entry of the runner Lapse lapses, no
// controller reaches the runner Unreach, the runner Crash crashes, or the store is restored or away.
type scriptedFault struct {
	At      float64 `json:"at_s"`
	Lapse   string  `json:"lapse"`
	Unreach string  `json:"unreach"`
	// Seconds is how long a runner has no entry or is out of reach; 0 means lapseTime.
	Seconds float64 `json:"for_s"`
	// As is how a runner is out of reach; empty means linkSilent.
	As      linkFault `json:"as"`
	Crash   string    `json:"crash"`
	Restore bool      `json:"restore"`
	// Partition is a runner that is cut off from the head of its replica.
	Partition string `json:"partition"`
	// Away is set if the store is away from all for Seconds.
	Away bool `json:"away"`
}

// linkFault is how the link between the controllers and a runner fails.
type linkFault string

const (
	// linkSilent: no byte passes.
	linkSilent linkFault = "silent"
	// linkRefused: new connections are refused, and open ones live on.
	linkRefused linkFault = "refused"
	// linkReset: new connections are refused, and open ones are reset.
	linkReset linkFault = "reset"
	// linkOneWay: what is sent arrives, and no answer comes back.
	linkOneWay linkFault = "one_way"
)

// unreach puts the runner out of reach of all controllers for a time.
func (v *vm) unreach(as linkFault, d time.Duration) {
	v.unreachedUntil, v.unreachedAs = time.Now().Add(d), as
}

// lapseTime is how long an entry that lapses is missing.
const lapseTime = 5 * time.Second

// duration returns how long a fault lasts.
func (f scriptedFault) duration() time.Duration {
	if f.Seconds == 0 {
		return lapseTime
	}
	return time.Duration(f.Seconds * float64(time.Second))
}

// lateOrders are the orders to a runner, or to all, that are sent between two times.
type lateOrders struct {
	From   float64 `json:"from_s"`
	To     float64 `json:"to_s"`
	Runner string  `json:"runner"`
	// Delay is in seconds.
	Delay float64 `json:"delay_s"`
}

// vm is the actual state of a simulated runner, as opposed to its entry in the
// store.
type vm struct {
	id          string
	number      int
	bootTime    int64
	alive       bool
	state       tracker.State
	staged      []string
	models      []string
	replica     string
	epoch       int64
	rank        int
	members     []string
	memberState tracker.MemberState
	// wasReady contains the replica and epoch of each membership in which the runner
	// became ready. A head may open if such a member is lost afterwards.
	wasReady map[string]bool
	// fence is the highest fence seen, maxEpoch the highest epoch of a join order.
	fence    int64
	maxEpoch int64
	// orders is the number of orders accepted.
	orders int64
	// listed is set while the runner has an entry in the store.
	listed bool
	// refuses is set if the runner refuses new connections.
	refuses bool
	// restored is the entry that the store has for the runner since it was restored, or nil
	// if it has none, until restoredUntil.
	restored      *tracker.Runner
	restoredUntil time.Time
	// unreachedUntil is until when no controller reaches the runner, and unreachedAs how.
	unreachedUntil time.Time
	unreachedAs    linkFault
	// partitionedUntil is until when the runner is cut off from the head of its replica.
	partitionedUntil time.Time
	// stalledSince is when the head of an open replica lost a member.
	stalledSince time.Time
}

// storeCopy is what the store held at a time.
type storeCopy struct {
	at       time.Time
	object   json.RawMessage
	revision int64
	runners  map[string]*tracker.Runner
}
