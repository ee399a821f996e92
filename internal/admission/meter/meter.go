// Package meter measures the load that callers offer: requests and tokens per
// second, for each team and deployment, as moving averages.
//
// # Usage
//
//	m := &meter.Meter{}
//	m.Add("north", "drafting", 250)
//	demand := m.Tick() // once a second
package meter

import (
	"sync/atomic"

	"marjorammoor/internal/state/recorder"
	"marjorammoor/internal/state/sharder"
)

const (
	// weightOfNew is the weight of the newest second in the average.
	weightOfNew = 0.5
	// negligible is the rate below which a team's demand is forgotten.
	negligible = 0.01
)

type key struct{ team, deployment string }

type rates struct {
	requests, tokens     atomic.Int64
	perSecond, tokenRate float64
}

// Meter counts offered load. The zero value is ready.
type Meter struct {
	rates sharder.Map[key, *rates]
}

// Add counts one request and its expected tokens.
func (m *Meter) Add(team, deployment string, tokens int) {
	r := m.rates.GetOrCreate(key{team, deployment}, func() *rates { return &rates{} })
	r.requests.Add(1)
	r.tokens.Add(int64(tokens))
}

// Tick moves the averages on by the second that has passed, and returns them.
// It is called by one goroutine.
func (m *Meter) Tick() []recorder.Demand {
	list := []recorder.Demand{}
	m.rates.Each(func(k key, r *rates) bool {
		n, t := r.requests.Swap(0), r.tokens.Swap(0)
		r.perSecond += weightOfNew * (float64(n) - r.perSecond)
		r.tokenRate += weightOfNew * (float64(t) - r.tokenRate)
		if r.perSecond < negligible && n == 0 {
			m.rates.Delete(k)
			return true
		}
		list = append(list, recorder.Demand{Team: k.team, Deployment: k.deployment, Requests: r.perSecond, Tokens: r.tokenRate})
		return true
	})
	return list
}
