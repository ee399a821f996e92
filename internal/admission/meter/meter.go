// Package meter measures the load that callers offer: requests and expected tokens
// per second, for each team and deployment, as exponential moving averages.
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
	// newestWeight is the weight of the last second in the moving average.
	newestWeight = 0.5
	// minRequestRate is the average in requests per second below which the entry of
	// a team and deployment is deleted.
	minRequestRate = 0.01
)

type key struct{ team, deployment string }

// rates holds the counts since the last Tick, and the averages per second, which
// only Tick uses.
type rates struct {
	requests, tokens       atomic.Int64
	requestRate, tokenRate float64
}

// Meter counts offered load. The zero value is ready to use.
type Meter struct {
	rates sharder.Map[key, *rates]
}

// Add counts one request and its expected tokens.
func (m *Meter) Add(team, deployment string, tokens int) {
	r := m.rates.GetOrCreate(key{team, deployment}, func() *rates { return &rates{} })
	r.requests.Add(1)
	r.tokens.Add(int64(tokens))
}

// Tick adds the counts since the last call to the averages and returns the averages.
// It must be called once a second, by one goroutine.
func (m *Meter) Tick() []recorder.Demand {
	list := []recorder.Demand{}
	m.rates.Each(func(k key, r *rates) bool {
		n, t := r.requests.Swap(0), r.tokens.Swap(0)
		r.requestRate += newestWeight * (float64(n) - r.requestRate)
		r.tokenRate += newestWeight * (float64(t) - r.tokenRate)
		if r.requestRate < minRequestRate && n == 0 {
			m.rates.Delete(k)
			return true
		}
		list = append(list, recorder.Demand{Team: k.team, Deployment: k.deployment, Requests: r.requestRate, Tokens: r.tokenRate})
		return true
	})
	return list
}
