package former

import (
	"slices"
	"strings"
	"testing"
)

const (
	// linksFailAt is when the links of a replica of linkScenario fail, in seconds, and linkFaultTime how
	// long they do.
	linksFailAt   = 14.0
	linkFaultTime = 12.0
)

// linkTable are the values that TestLinks combines: what happens, all at once, to one replica that
// serves. Each row is one field of linkCase.
var linkTable = [][]string{
	// model
	{"small", "large"},
	// link: that between the controllers and the head
	{"", string(linkSilent), string(linkRefused), string(linkReset), string(linkOneWay)},
	// entry: what becomes of the head's entry
	{"listed", "lapsed", "kept", "of an earlier start"},
	// member: what happens to another member
	{"sound", "as the head", "cut off from the head"},
	// orders: those to all runners
	{"in time", "late", "not answered"},
	// assignment: that which a controller knows, one that the store went back to, one that it went back
	// to and another controller claims, and one that did not have the replica yet
	{"current", "restored", "claimed anew", "lost"},
}

// linkCase is one combination of the values of linkTable.
type linkCase struct {
	model, link, entry, member, orders, assignment string
}

// linkCases returns all combinations.
func linkCases() []linkCase {
	rows := [][]string{{}}
	for _, values := range linkTable {
		next := [][]string{}
		for _, row := range rows {
			for _, v := range values {
				next = append(next, append(slices.Clone(row), v))
			}
		}
		rows = next
	}
	list := []linkCase{}
	for _, r := range rows {
		list = append(list, linkCase{r[0], r[1], r[2], r[3], r[4], r[5]})
	}
	return list
}

// scenario returns the world of a combination.
func (x linkCase) scenario() scenario {
	s := scenario{
		Name:  strings.Join([]string{x.model, x.link, x.entry, x.member, x.orders, x.assignment}, "/"),
		Model: x.model, Runners: 7, Controllers: 1, Seeds: 1, Seconds: 100, CalmSeconds: 55, ReturnAfter: 0.6, RestoreBack: 5,
	}
	hit := []string{"vm-01"}
	if x.member == "as the head" {
		hit = append(hit, "vm-02")
	}
	if x.member == "cut off from the head" {
		s.Script = append(s.Script, scriptedFault{At: linksFailAt, Partition: "vm-02", Seconds: linkFaultTime})
	}
	for i, id := range hit {
		if x.link != "" {
			s.Script = append(s.Script, scriptedFault{At: linksFailAt, Unreach: id, As: linkFault(x.link), Seconds: linkFaultTime})
		}
		switch x.entry {
		case "lapsed":
			// The head is listed last.
			s.Script = append(s.Script, scriptedFault{At: linksFailAt, Lapse: id, Seconds: linkFaultTime + 2 - float64(i)})
		case "of an earlier start":
			s.Script = append(s.Script, scriptedFault{At: linksFailAt, Crash: id})
		}
	}
	if x.entry == "kept" {
		s.Script = append(s.Script, scriptedFault{At: linksFailAt, Away: true, Seconds: 5.6})
	}
	switch x.orders {
	case "late":
		// The head's joins and opens come once more after the links have failed.
		s.Late = []lateOrders{
			{From: 0, To: 5, Runner: "vm-01", Delay: 11},
			{From: 6, To: 11, Runner: "vm-01", Delay: 8},
			{From: linksFailAt - 2, To: linksFailAt + linkFaultTime, Delay: 5},
		}
	case "not answered":
		s.Late = []lateOrders{{From: linksFailAt - 2, To: linksFailAt + linkFaultTime, Delay: 0.001}}
	}
	if x.assignment != "current" {
		s.Script = append(s.Script, scriptedFault{At: linksFailAt + 2.5, Restore: true})
	}
	if x.assignment == "claimed anew" || x.assignment == "lost" {
		s.Controllers, s.HandOverEvery = 2, linksFailAt+3
	}
	if x.assignment == "lost" {
		s.RestoreBack = linksFailAt + 2
	}
	return s
}

// TestLinks plays all combinations of failing links, entries, orders and assignments for one replica.
// It guards against members that are taken from a replica that serves because a fact about a link passes
// for one about the replica (review/1, 2 and 3, issue 45), and against replicas that are never repaired.
func TestLinks(t *testing.T) {
	t.Parallel()
	for _, x := range linkCases() {
		s := x.scenario()
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			faults := checkWorld(t, s, 0, map[string]float64{})
			for _, f := range faults {
				t.Error(f)
			}
			if len(faults) > 0 {
				t.Logf("trace:\n%s", traceOf(t, s, 0))
			}
		})
	}
}
