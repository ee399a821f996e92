package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"marjorammoor/internal/network/dialer"
	"marjorammoor/internal/timing/repeater"
)

const (
	connectionsPerNode = 2000
	requestTimeout     = 60 * time.Second
	maxEventBytes      = 1 << 20
	progressInterval   = 5 * time.Second
)

// Generator runs a plan.
type Generator struct {
	Plan *Plan
	// Progress receives a status line every 5 s during a run; nil disables it.
	Progress io.Writer

	client   *http.Client
	started  time.Time
	stats    *stats
	inFlight sync.WaitGroup
}

// Run sends the plan's requests until the plan or ctx ends, waits for the requests
// in flight and returns the report.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	g.client = (&dialer.Dialer{Timeout: requestTimeout}).HTTPClient(connectionsPerNode)
	g.stats = newStats(g.Plan)
	g.started = time.Now()
	offerCtx, cancel := context.WithTimeout(ctx, seconds(g.Plan.Seconds))
	defer cancel()
	var teams sync.WaitGroup
	for i := range g.Plan.Teams {
		teams.Go(func() { g.offer(offerCtx, ctx, i) })
	}
	for _, f := range g.Plan.Failures {
		teams.Go(func() { g.applyFailure(offerCtx, f) })
	}
	go g.reportProgress(offerCtx)
	teams.Wait()
	g.inFlight.Wait()
	return g.stats.report(g.Plan), ctx.Err()
}

func (g *Generator) reportProgress(ctx context.Context) {
	if g.Progress == nil {
		return
	}
	repeater.Every(ctx, progressInterval, func() {
		_, _ = fmt.Fprintf(g.Progress, "%3.0f of %.0f s, %d requests finished\n", time.Since(g.started).Seconds(), g.Plan.Seconds, g.stats.finished())
	})
}

// offer sends one team's requests as a Poisson process. offerCtx ends the arrivals,
// ctx the requests that are in flight.
func (g *Generator) offer(offerCtx, ctx context.Context, team int) {
	t := &g.Plan.Teams[team]
	r := rand.New(rand.NewPCG(g.Plan.Seed, uint64(team)))
	p := newPrompts(t, r)
	next := g.started
	for n := 0; ; n++ {
		rate := t.rateAt(time.Since(g.started).Seconds())
		if rate == 0 {
			rate = 1
		}
		next = next.Add(seconds(r.ExpFloat64() / rate))
		if !sleepUntil(offerCtx, next) {
			return
		}
		if t.rateAt(time.Since(g.started).Seconds()) == 0 {
			continue
		}
		node := g.Plan.Nodes[r.IntN(len(g.Plan.Nodes))]
		isPlain := r.Float64() < t.PlainShare
		prompt, due := p.next(n), next
		g.inFlight.Go(func() { g.send(ctx, team, node, isPlain, prompt, due) })
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// applyFailure posts a failure at its time.
func (g *Generator) applyFailure(ctx context.Context, f Failure) {
	if !sleepUntil(ctx, g.started.Add(seconds(f.At))) {
		return
	}
	resp, err := g.client.Post(f.URL, "application/json", bytes.NewReader(f.Body))
	if err != nil {
		_, _ = fmt.Fprintf(g.Progress, "failed to switch fault: %v\n", err)
		return
	}
	_ = resp.Body.Close()
}

// completionRequest is the body of a model request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// send sends one request and records its sample. Latencies are measured from the
// time at which the request was due, so that a delay in the generator itself is not
// hidden.
func (g *Generator) send(ctx context.Context, team int, node string, isPlain bool, prompt string, due time.Time) {
	t := &g.Plan.Teams[team]
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	path, body := "/v1/completions", any(completionRequest{Model: g.Plan.Model, Prompt: prompt, MaxTokens: t.MaxTokens, Stream: true})
	if isPlain {
		path, body = "/services/"+g.Plan.Service+"/stock", struct{}{}
	}
	b, err := json.Marshal(body)
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, bytes.NewReader(b))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+t.Credential)
	r.Header.Set("X-Attempt-Id", fmt.Sprintf("load-%d-%p", team, r))
	x := &sample{team: team, due: due, isPlain: isPlain}
	defer func() { g.stats.add(x) }()
	resp, err := g.client.Do(r)
	if err != nil {
		x.outcome = "no_answer"
		return
	}
	defer resp.Body.Close() //nolint:errcheck
	if resp.StatusCode != http.StatusOK {
		x.outcome = reasonOf(resp)
		return
	}
	if isPlain {
		_, err = io.Copy(io.Discard, resp.Body)
		x.latency = time.Since(due)
		x.outcome = outcomeOf(err == nil)
		return
	}
	x.readStream(resp.Body)
}

// reasonOf returns the reason of an error response, or its status if it has none.
func reasonOf(resp *http.Response) string {
	f := struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}{}
	if json.NewDecoder(resp.Body).Decode(&f) != nil || f.Error.Reason == "" {
		return fmt.Sprintf("status_%d", resp.StatusCode)
	}
	return f.Error.Reason
}

func outcomeOf(isComplete bool) string {
	if isComplete {
		return "completed"
	}
	return "broken"
}

// readStream reads a streamed response and measures the time of each token.
func (x *sample) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	last, isDone := time.Time{}, false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			isDone = true
			break
		}
		now := time.Now()
		if last.IsZero() {
			x.latency = now.Sub(x.due)
		} else {
			x.tokenGaps = append(x.tokenGaps, now.Sub(last))
		}
		last = now
	}
	x.outcome = outcomeOf(isDone)
}

// prompts generates one team's prompts.
type prompts struct {
	team *Team
	zipf *rand.Zipf
	body string
}

func newPrompts(t *Team, r *rand.Rand) *prompts {
	p := &prompts{team: t, body: strings.Repeat("x", max(t.PromptBytes, t.PrefixBytes, 1))}
	if t.Prefixes > 0 {
		p.zipf = rand.NewZipf(r, t.PrefixSkew, 1, uint64(t.Prefixes-1))
	}
	return p
}

// next returns the n-th prompt: a prefix shared with other prompts, if the team has
// prefixes, and a unique part.
func (p *prompts) next(n int) string {
	unique := fmt.Sprintf("%s request %d ", p.team.Name, n)
	if p.zipf == nil {
		return unique + p.body[:max(p.team.PromptBytes-len(unique), 0)]
	}
	prefix := fmt.Sprintf("%s prefix %d ", p.team.Name, p.zipf.Uint64())
	prefix += p.body[:max(p.team.PrefixBytes-len(prefix), 0)]
	return prefix + unique + p.body[:max(p.team.PromptBytes-len(prefix)-len(unique), 0)]
}
