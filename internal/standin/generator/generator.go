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
	// Progress is written to while a run goes on; nil is quiet.
	Progress io.Writer

	client  *http.Client
	started time.Time
	stats   *stats
	sent    sync.WaitGroup
}

// Run offers the plan's load until its end or ctx's, waits for the answers and
// reports.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	g.client = (&dialer.Dialer{Timeout: requestTimeout}).HTTPClient(connectionsPerNode)
	g.stats = newStats(g.Plan)
	g.started = time.Now()
	offering, cancel := context.WithTimeout(ctx, seconds(g.Plan.Seconds))
	defer cancel()
	var teams sync.WaitGroup
	for i := range g.Plan.Teams {
		teams.Go(func() { g.offer(offering, ctx, i) })
	}
	for _, f := range g.Plan.Failures {
		teams.Go(func() { g.fail(offering, f) })
	}
	go g.report(offering)
	teams.Wait()
	g.sent.Wait()
	return g.stats.report(g.Plan), ctx.Err()
}

func (g *Generator) report(ctx context.Context) {
	if g.Progress == nil {
		return
	}
	repeater.Every(ctx, progressInterval, func() {
		_, _ = fmt.Fprintf(g.Progress, "%3.0f of %.0f s, %d answers\n", time.Since(g.started).Seconds(), g.Plan.Seconds, g.stats.answers())
	})
}

// offer sends one team's requests with exponential gaps.
func (g *Generator) offer(offering, ctx context.Context, team int) {
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
		if !sleepUntil(offering, next) {
			return
		}
		if t.rateAt(time.Since(g.started).Seconds()) == 0 {
			continue
		}
		node := g.Plan.Nodes[r.IntN(len(g.Plan.Nodes))]
		isPlain := r.Float64() < t.PlainShare
		prompt, due := p.next(n), next
		g.sent.Go(func() { g.send(ctx, team, node, isPlain, prompt, due) })
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

// fail switches a fault at its time.
func (g *Generator) fail(ctx context.Context, f Failure) {
	if !sleepUntil(ctx, g.started.Add(seconds(f.At))) {
		return
	}
	a, err := g.client.Post(f.URL, "application/json", bytes.NewReader(f.Body))
	if err != nil {
		_, _ = fmt.Fprintf(g.Progress, "fault not switched: %v\n", err)
		return
	}
	_ = a.Body.Close()
}

// call is what the tool sends to a model.
type call struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// send sends one request that was due at a time, and measures from then, so that
// a late sender does not hide a delay.
func (g *Generator) send(ctx context.Context, team int, node string, isPlain bool, prompt string, due time.Time) {
	t := &g.Plan.Teams[team]
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	path, body := "/v1/completions", any(call{Model: g.Plan.Model, Prompt: prompt, MaxTokens: t.MaxTokens, Stream: true})
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
	a, err := g.client.Do(r)
	if err != nil {
		x.outcome = "no_answer"
		return
	}
	defer a.Body.Close() //nolint:errcheck
	if a.StatusCode != http.StatusOK {
		x.outcome = reasonOf(a)
		return
	}
	if isPlain {
		_, err = io.Copy(io.Discard, a.Body)
		x.first = time.Since(due)
		x.outcome = outcomeOf(err == nil)
		return
	}
	x.read(a.Body)
}

func reasonOf(a *http.Response) string {
	f := struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}{}
	if json.NewDecoder(a.Body).Decode(&f) != nil || f.Error.Reason == "" {
		return fmt.Sprintf("status_%d", a.StatusCode)
	}
	return f.Error.Reason
}

func outcomeOf(isWhole bool) string {
	if isWhole {
		return "completed"
	}
	return "broken"
}

// read measures a streamed answer.
func (x *sample) read(body io.Reader) {
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
			x.first = now.Sub(x.due)
		} else {
			x.gaps = append(x.gaps, now.Sub(last))
		}
		last = now
	}
	x.outcome = outcomeOf(isDone)
}

// prompts makes one team's prompts.
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

// next returns the n-th prompt: a shared prefix, if there are any, and a part of
// its own.
func (p *prompts) next(n int) string {
	own := fmt.Sprintf("%s request %d ", p.team.Name, n)
	if p.zipf == nil {
		return own + p.body[:max(p.team.PromptBytes-len(own), 0)]
	}
	prefix := fmt.Sprintf("%s prefix %d ", p.team.Name, p.zipf.Uint64())
	prefix += p.body[:max(p.team.PrefixBytes-len(prefix), 0)]
	return prefix + own + p.body[:max(p.team.PromptBytes-len(prefix)-len(own), 0)]
}
