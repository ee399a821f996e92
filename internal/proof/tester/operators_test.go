package tester

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"marjorammoor/internal/objects/parser"
)

// change is an operator's conditional write of a team, or a read of it.
type change struct {
	isRead    bool
	ifVersion int64
	value     int
}

// result is the result of a change or a read, as the operator observed it.
type result struct {
	outcome string // "accepted", "conflict", "read" or "unknown"
	version int64
	value   int
}

// teamState is the stored state of the team. After a write with an unknown outcome,
// only a lower bound of the version is known: isLowerBound means that the version is
// larger than the field.
type teamState struct {
	version      int64
	value        int
	isLowerBound bool
}

// allows reports whether v can be the version in this state.
func (s teamState) allows(v int64) bool {
	if s.isLowerBound {
		return v > s.version
	}
	return v == s.version
}

// teamModel is the porcupine model of one object with conditional writes, starting
// in a given state. Versions need not be consecutive, because writes of other objects
// use up versions too.
func teamModel(from teamState) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{from} },
		Step:  teamStep,
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

func teamStep(state, input, output any) []any {
	s, in, out := state.(teamState), input.(change), output.(result)
	switch {
	case out.outcome == "read" && s.allows(out.version) && out.value == s.value:
		return []any{teamState{version: out.version, value: out.value}}
	case out.outcome == "accepted" && s.allows(in.ifVersion) && out.version > in.ifVersion:
		return []any{teamState{version: out.version, value: in.value}}
	case out.outcome == "conflict" && (s.isLowerBound || in.ifVersion != s.version):
		return []any{s}
	case out.outcome == "unknown" && s.allows(in.ifVersion):
		return []any{s, teamState{version: in.ifVersion, value: in.value, isLowerBound: true}}
	case out.outcome == "unknown":
		return []any{s}
	}
	return nil
}

// race OPERATORS CHANGES NODE...: several operators change one team concurrently
// through several nodes. The history must be linearizable for one object with
// conditional writes, so that no accepted change is lost.
func race(c *cluster, args []string) error {
	operators, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	changes, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	h := &raceHistory{cluster: c, nodes: args[2:]}
	initial := h.read()
	var workers sync.WaitGroup
	for i := range operators {
		workers.Go(func() { h.runOperator(i, changes) })
	}
	workers.Wait()
	if h.accepted == 0 || h.conflicts+h.unknown == 0 {
		return fmt.Errorf("%d accepted and %d conflicts: the operators did not race", h.accepted, h.conflicts)
	}
	c.log("operators: %d accepted, %d conflicts, %d unknown", h.accepted, h.conflicts, h.unknown)
	if !porcupine.CheckOperations(teamModel(teamState{version: initial.version, value: initial.value}), h.operations) {
		return fmt.Errorf("the history of the operators' changes is not linearizable")
	}
	return nil
}

type raceHistory struct {
	cluster *cluster
	nodes   []string

	mu                           sync.Mutex
	operations                   []porcupine.Operation
	accepted, conflicts, unknown int
}

func (h *raceHistory) runOperator(operator, changes int) {
	for range changes {
		in := change{isRead: true}
		from := time.Now()
		out := h.read()
		h.add(operator, in, out, from)
		in = change{ifVersion: out.version, value: rand.IntN(900) + 1}
		from = time.Now()
		out = h.write(in)
		h.add(operator, in, out, from)
	}
}

func (h *raceHistory) add(operator int, in change, out result, from time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch out.outcome {
	case "accepted":
		h.accepted++
	case "conflict":
		h.conflicts++
	case "unknown":
		h.unknown++
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: operator, Input: in, Output: out, Call: from.UnixNano(), Return: time.Now().UnixNano(),
	})
}

const racedTeam = "/objects/team/raced"

// read reads the team directly from the platform, which has the authoritative state.
func (h *raceHistory) read() result {
	o := parser.Object{}
	if err := h.cluster.getJSON(h.cluster.platform, "/v1"+racedTeam, "", &o); err != nil {
		return result{outcome: "read"}
	}
	return result{outcome: "read", version: o.Version, value: weightOf(o.Body)}
}

func weightOf(body []byte) int {
	t := parser.TeamSpec{}
	_ = json.Unmarshal(body, &t)
	return int(t.Weight)
}

func (h *raceHistory) write(in change) result {
	node := h.cluster.procs[h.nodes[rand.IntN(len(h.nodes))]]
	body := fmt.Sprintf(`{"weight":%d}`, in.value)
	r, err := http.NewRequest(http.MethodPut, "http://"+node.admin+"/v1"+racedTeam, bytes.NewBufferString(body))
	if err != nil {
		return result{outcome: "unknown"}
	}
	if in.ifVersion != 0 {
		r.Header.Set("If-Match", strconv.FormatInt(in.ifVersion, 10))
	}
	resp, err := directClient.Do(r)
	if err != nil {
		return result{outcome: "unknown"}
	}
	defer resp.Body.Close() //nolint:errcheck
	o := parser.Object{}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return result{outcome: "conflict"}
	case resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&o) != nil:
		return result{outcome: "unknown"}
	}
	return result{outcome: "accepted", version: o.Version}
}

// in_force KIND/NAME WITHIN NODE...: waits until each node has at least the version
// that the platform has when the command starts.
func inForce(c *cluster, args []string) error {
	kind, name, _ := strings.Cut(args[0], "/")
	within, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	wanted := parser.Object{}
	path := "/v1/objects/" + kind + "/" + name
	if err := c.getJSON(c.platform, path, "", &wanted); err != nil {
		return err
	}
	return waitFor(within, func() error {
		for _, node := range args[2:] {
			o := parser.Object{}
			if err := c.getJSON(c.procs[node].admin, path, "", &o); err != nil {
				return err
			}
			if o.Version < wanted.Version {
				return fmt.Errorf("%s has version %d, not %d", node, o.Version, wanted.Version)
			}
		}
		return nil
	})
}
