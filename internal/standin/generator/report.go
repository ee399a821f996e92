package generator

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	lowestMicros    = 1
	highestMicros   = 120_000_000
	histogramDigits = 3
)

// Report holds the outcomes and latencies that callers observed.
type Report struct {
	Seed    uint64       `json:"seed"`
	Seconds float64      `json:"seconds"`
	Teams   []TeamReport `json:"teams"`
}

// TeamReport holds the results of one team's requests. Times are in milliseconds.
type TeamReport struct {
	Name string `json:"name"`
	// Outcomes counts requests by outcome: "completed", "broken", "no_answer", or
	// the reason of an error response.
	Outcomes map[string]int `json:"outcomes"`
	// CompletedPerSecond and TokensPerSecond are averages over the time after the
	// warm-up.
	CompletedPerSecond float64 `json:"completed_per_second"`
	TokensPerSecond    float64 `json:"tokens_per_second"`
	// FirstToken, BetweenTokens and Plain are the times to the first token, between
	// successive tokens, and to the end of the response of a plain request.
	FirstToken    Quantiles `json:"first_token_ms"`
	BetweenTokens Quantiles `json:"between_tokens_ms"`
	Plain         Quantiles `json:"plain_ms"`
	// FirstTokenP95BySecond is the 95th percentile of the time to the first token,
	// by the second in which the request was due, warm-up included.
	FirstTokenP95BySecond []float64 `json:"first_token_p95_by_second_ms"`
	// CompletedBySecond counts the completed model requests by the second in which
	// they were due, warm-up included.
	CompletedBySecond []int `json:"completed_by_second"`
}

// Quantiles summarizes a distribution of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// sample holds the measurements of one request.
type sample struct {
	team int
	// due is the time at which the plan scheduled the request.
	due     time.Time
	isPlain bool
	outcome string
	// latency is the time from due to the first token, or to the end of the
	// response of a plain request.
	latency time.Duration
	// tokenGaps are the times between successive tokens.
	tokenGaps []time.Duration
}

// stats collects the samples of a run, by team in the order of the plan.
type stats struct {
	mu      sync.Mutex
	started time.Time
	warmup  time.Duration
	teams   []*teamStats
	count   int
}

type teamStats struct {
	outcomes                         map[string]int
	firstToken, betweenTokens, plain *hdrhistogram.Histogram
	firstTokenBySecond               []*hdrhistogram.Histogram
	completed, tokens                int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, histogramDigits)
}

func newStats(p *Plan) *stats {
	s := &stats{started: time.Now(), warmup: seconds(p.WarmupSeconds)}
	for range p.Teams {
		t := &teamStats{outcomes: map[string]int{}, firstToken: newHistogram(), betweenTokens: newHistogram(), plain: newHistogram()}
		for range int(p.Seconds) + 1 {
			t.firstTokenBySecond = append(t.firstTokenBySecond, newHistogram())
		}
		s.teams = append(s.teams, t)
	}
	return s
}

func (s *stats) finished() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

func (s *stats) add(x *sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	t := s.teams[x.team]
	elapsed := x.due.Sub(s.started)
	if x.outcome == "completed" && !x.isPlain {
		if i := int(elapsed.Seconds()); i >= 0 && i < len(t.firstTokenBySecond) {
			record(t.firstTokenBySecond[i], x.latency)
		}
	}
	if elapsed < s.warmup {
		return
	}
	t.outcomes[x.outcome]++
	switch {
	case x.outcome != "completed":
	case x.isPlain:
		t.completed++
		record(t.plain, x.latency)
	default:
		t.completed++
		t.tokens += len(x.tokenGaps) + 1
		record(t.firstToken, x.latency)
		for _, g := range x.tokenGaps {
			record(t.betweenTokens, g)
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), lowestMicros))
}

const microsPerMilli = 1000

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{
		Count: h.TotalCount(), Mean: h.Mean() / microsPerMilli, P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMilli,
	}
}

func (s *stats) report(p *Plan) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	measured := p.Seconds - p.WarmupSeconds
	r := &Report{Seed: p.Seed, Seconds: p.Seconds}
	for i, t := range s.teams {
		x := TeamReport{
			Name: p.Teams[i].Name, Outcomes: t.outcomes, FirstToken: quantiles(t.firstToken), BetweenTokens: quantiles(t.betweenTokens),
			Plain: quantiles(t.plain), CompletedPerSecond: float64(t.completed) / measured, TokensPerSecond: float64(t.tokens) / measured,
		}
		for _, h := range t.firstTokenBySecond[:len(t.firstTokenBySecond)-1] {
			x.FirstTokenP95BySecond = append(x.FirstTokenP95BySecond, float64(h.ValueAtQuantile(95))/microsPerMilli)
			x.CompletedBySecond = append(x.CompletedBySecond, int(h.TotalCount()))
		}
		r.Teams = append(r.Teams, x)
	}
	return r
}

// Plot draws the 95th percentile of each team's time to the first token, by second.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("First token, 95th percentile by second (seed %d)", r.Seed)
	p.X.Label.Text = "s"
	p.Y.Label.Text = "ms"
	lines := []any{}
	for _, t := range r.Teams {
		points := plotter.XYs{}
		for i, y := range t.FirstTokenP95BySecond {
			points = append(points, plotter.XY{X: float64(i), Y: y})
		}
		lines = append(lines, t.Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(20*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
