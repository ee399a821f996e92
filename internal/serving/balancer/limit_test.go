package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"marjorammoor/internal/serving/tracker"
)

// limitCase is one entry of testdata/limits.json: nodes that would send a limited target
// more requests than it takes.
type limitCase struct {
	Name        string  `json:"name"`
	Nodes       int     `json:"nodes"`
	DataCentres int     `json:"data_centres"`
	Limit       float64 `json:"limit"`
	// LocalRate and RemoteRate are the requests per second that a node of the target's
	// data centre and of another one would send it.
	LocalRate  float64 `json:"local_rate"`
	RemoteRate float64 `json:"remote_rate"`
	// MinUsed is the least part of the limit that is to be used.
	MinUsed float64 `json:"min_used"`
}

const (
	// limitWindow is the time in which a target may get limitFactor times its limit and
	// limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitRun    = 60 * time.Second
	limitStep   = 10 * time.Millisecond
)

// TestLimits checks that nodes together keep to a limit, and use it.
func TestLimits(t *testing.T) {
	list := []limitCase{}
	readJSON(t, "testdata/limits.json", &list)
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			sent := x.run()
			most := mostWithin(sent, limitWindow)
			used := float64(len(sent)) / limitRun.Seconds() / x.Limit
			t.Logf("%.2f of the limit used, at most %d in %s", used, most, limitWindow)
			if allowed := x.Limit*limitFactor*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
				t.Errorf("%d requests in %s, allowed %.1f", most, limitWindow, allowed)
			}
			if used < x.MinUsed {
				t.Errorf("%.2f of the limit is used, wanted %.2f", used, x.MinUsed)
			}
		})
	}
}

// run returns the times of the requests that reach the target.
func (x *limitCase) run() []time.Duration {
	target := &tracker.Target{ID: "r", DataCenter: "d0"}
	start := time.Now()
	limits := make([]limit, x.Nodes)
	rates := make([]float64, x.Nodes)
	for i := range limits {
		b := &Balancer{DataCenter: fmt.Sprintf("d%d", i%x.DataCentres), Self: fmt.Sprintf("n%d", i), Nodes: x.names}
		limits[i].share, rates[i] = b.limitShare(target, x.Limit), x.RemoteRate
		if b.DataCenter == target.DataCenter {
			rates[i] = x.LocalRate
		}
		limits[i].set(x.Limit, start, start)
	}
	random := rand.New(rand.NewPCG(1, 1))
	sent := []time.Duration{}
	for at := time.Duration(0); at < limitRun; at += limitStep {
		for i := range limits {
			if random.Float64() < rates[i]*limitStep.Seconds() && limits[i].allows(start.Add(at)) {
				limits[i].use()
				sent = append(sent, at)
			}
		}
	}
	return sent
}

func (x *limitCase) names(dataCentre string) []string {
	names := []string{}
	for i := range x.Nodes {
		if dataCentre == "" || fmt.Sprintf("d%d", i%x.DataCentres) == dataCentre {
			names = append(names, fmt.Sprintf("n%d", i))
		}
	}
	return names
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// limitChanges is one entry of testdata/limit_changes.json.
type limitChanges struct {
	Name   string `json:"name"`
	Events []struct {
		AtMS int `json:"at_ms"`
		// SentMS is when the request was sent to whose response the event belongs. With
		// Peer, the event is another node's report of something that is AgeMS old.
		SentMS int  `json:"sent_ms"`
		Peer   bool `json:"peer"`
		AgeMS  int  `json:"age_ms"`
		// Names is the named limit; 0 is none, unless Named is set.
		Names float64 `json:"names"`
		Named bool    `json:"named"`
	} `json:"events"`
	Limit float64 `json:"limit"`
}

func TestLimitChanges(t *testing.T) {
	list := []limitChanges{}
	readJSON(t, "testdata/limit_changes.json", &list)
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { synctest.Test(t, x.check) })
	}
}

func (x *limitChanges) check(t *testing.T) {
	b := &Balancer{}
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, e := range x.Events {
		time.Sleep(time.Until(at(e.AtMS)))
		s := &Slot{Target: &tracker.Target{ID: "r"}, load: b.load("r"), balancer: b, acquiredAt: at(e.SentMS)}
		switch {
		case e.Peer:
			b.SetPeerLoad("peer", PeerReport{Limits: map[string]ReportedLimit{"r": {AgeMS: int64(e.AgeMS), PerSecond: e.Names}}})
		case e.Named || e.Names > 0:
			s.RecordLimit(e.Names)
		default:
			s.RecordNoLimit()
		}
	}
	if got := b.load("r").asked.limit.perSecond; got != x.Limit {
		t.Errorf("limit %v, wanted %v", got, x.Limit)
	}
	reported, ok := b.LocalLoad().Limits["r"]
	if last := x.Events[len(x.Events)-1]; !last.Peer && (!ok || reported.PerSecond != x.Limit) {
		t.Errorf("reports %v, %t", reported, ok)
	}
}
