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

// Report is what callers saw.
type Report struct {
	Seed    uint64       `json:"seed"`
	Seconds float64      `json:"seconds"`
	Teams   []TeamReport `json:"teams"`
}

// TeamReport is what one team's callers saw. Times are in milliseconds.
type TeamReport struct {
	Name string `json:"name"`
	// Outcomes counts answers by outcome or by the reason of a failure.
	Outcomes map[string]int `json:"outcomes"`
	// CompletedPerSecond and TokensPerSecond are rates over the measured time.
	CompletedPerSecond float64   `json:"completed_per_second"`
	TokensPerSecond    float64   `json:"tokens_per_second"`
	FirstToken         Quantiles `json:"first_token_ms"`
	BetweenTokens      Quantiles `json:"between_tokens_ms"`
	Plain              Quantiles `json:"plain_ms"`
	// FirstTokenP95 is the 95th percentile of each second, for plots.
	FirstTokenP95 []float64 `json:"first_token_p95_by_second_ms"`
	// CompletedBySecond counts the requests due in each second that completed.
	CompletedBySecond []int `json:"completed_by_second"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// sample is one request's measurements.
type sample struct {
	team    int
	due     time.Time
	isPlain bool
	outcome string
	first   time.Duration
	gaps    []time.Duration
}

type stats struct {
	mu      sync.Mutex
	started time.Time
	warmup  time.Duration
	teams   []*teamStats
	count   int
}

type teamStats struct {
	outcomes             map[string]int
	first, between, call *hdrhistogram.Histogram
	bySecond             []*hdrhistogram.Histogram
	completed, tokens    int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, histogramDigits)
}

func newStats(p *Plan) *stats {
	s := &stats{started: time.Now(), warmup: seconds(p.WarmupSeconds)}
	for range p.Teams {
		t := &teamStats{outcomes: map[string]int{}, first: newHistogram(), between: newHistogram(), call: newHistogram()}
		for range int(p.Seconds) + 1 {
			t.bySecond = append(t.bySecond, newHistogram())
		}
		s.teams = append(s.teams, t)
	}
	return s
}

func (s *stats) answers() int {
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
		if i := int(elapsed.Seconds()); i >= 0 && i < len(t.bySecond) {
			record(t.bySecond[i], x.first)
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
		record(t.call, x.first)
	default:
		t.completed++
		t.tokens += len(x.gaps) + 1
		record(t.first, x.first)
		for _, g := range x.gaps {
			record(t.between, g)
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
			Name: p.Teams[i].Name, Outcomes: t.outcomes, FirstToken: quantiles(t.first), BetweenTokens: quantiles(t.between),
			Plain: quantiles(t.call), CompletedPerSecond: float64(t.completed) / measured, TokensPerSecond: float64(t.tokens) / measured,
		}
		for _, h := range t.bySecond[:len(t.bySecond)-1] {
			x.FirstTokenP95 = append(x.FirstTokenP95, float64(h.ValueAtQuantile(95))/microsPerMilli)
			x.CompletedBySecond = append(x.CompletedBySecond, int(h.TotalCount()))
		}
		r.Teams = append(r.Teams, x)
	}
	return r
}

// Plot draws each team's 95th percentile of the first token by second.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("First token, 95th percentile by second (seed %d)", r.Seed)
	p.X.Label.Text = "s"
	p.Y.Label.Text = "ms"
	lines := []any{}
	for _, t := range r.Teams {
		points := plotter.XYs{}
		for i, y := range t.FirstTokenP95 {
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
