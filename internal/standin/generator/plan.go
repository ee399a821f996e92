package generator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// Plan describes a load test.
type Plan struct {
	// Seed is the seed of the random numbers, which makes a run repeatable.
	Seed uint64 `json:"seed"`
	// Seconds is how long new requests are sent.
	Seconds float64 `json:"seconds"`
	// WarmupSeconds is the time at the start that the report leaves out, except
	// for its values by second.
	WarmupSeconds float64 `json:"warmup_seconds"`
	// Nodes are the ip:port addresses to which requests are sent: nodes' addresses
	// for callers, or a runner's address to measure without nodes.
	Nodes []string `json:"nodes"`
	// Direct has no effect; it is accepted so that plans with the field parse.
	Direct bool `json:"direct"`
	// Model and Service name the deployments to call.
	Model    string    `json:"model"`
	Service  string    `json:"service"`
	Teams    []Team    `json:"teams"`
	Failures []Failure `json:"failures"`
}

// Team is one team's load.
type Team struct {
	Name       string `json:"name"`
	Credential string `json:"credential"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Surge replaces Rate for a time.
	Surge *Surge `json:"surge"`
	// PlainShare is the share of requests, from 0 to 1, that call the plain
	// service.
	PlainShare float64 `json:"plain_share"`
	// Prefixes is the number of prompt prefixes that requests share, and
	// PrefixSkew the exponent of their Zipf distribution, larger than 1. Without
	// prefixes each prompt is unique.
	Prefixes   int     `json:"prefixes"`
	PrefixSkew float64 `json:"prefix_skew"`
	// PrefixBytes and PromptBytes are the lengths of the prefix and of the whole
	// prompt.
	PrefixBytes int `json:"prefix_bytes"`
	PromptBytes int `json:"prompt_bytes"`
	MaxTokens   int `json:"max_tokens"`
}

// Surge is a period with another rate. From and Until are in seconds from the start,
// Rate is in requests per second.
type Surge struct {
	From  float64 `json:"from"`
	Until float64 `json:"until"`
	Rate  float64 `json:"rate"`
}

// Failure is an HTTP request that switches a fault on or off.
type Failure struct {
	// At is the time in seconds from the start.
	At float64 `json:"at"`
	// URL receives Body in a POST request, for example a stand-in's /control.
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// Parse reads a plan from JSON with comments. Unknown fields are an error.
func Parse(b []byte) (*Plan, error) {
	plain, err := hujson.Standardize(b)
	if err != nil {
		return nil, trace.BadParameter("not JSON with comments: %v", err)
	}
	p := &Plan{}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		return nil, trace.BadParameter("plan: %v", err)
	}
	return p, p.check()
}

func (p *Plan) check() error {
	switch {
	case p.Seconds <= 0:
		return trace.BadParameter("seconds: %v: expected a positive number", p.Seconds)
	case len(p.Nodes) == 0:
		return trace.BadParameter("nodes: expected at least one ip:port")
	case len(p.Teams) == 0:
		return trace.BadParameter("teams: expected at least one team")
	}
	for i, t := range p.Teams {
		if t.Rate < 0 || t.PlainShare < 0 || t.PlainShare > 1 {
			return trace.BadParameter("teams[%d]: expected a rate of at least 0 and a plain_share from 0 to 1", i)
		}
		if t.Prefixes > 0 && t.PrefixSkew <= 1 {
			return fmt.Errorf("teams[%d]: %w", i, trace.BadParameter("prefix_skew: %v: expected a number larger than 1", t.PrefixSkew))
		}
	}
	return nil
}

// rateAt returns the rate at a time in seconds from the start.
func (t *Team) rateAt(elapsed float64) float64 {
	if t.Surge != nil && elapsed >= t.Surge.From && elapsed < t.Surge.Until {
		return t.Surge.Rate
	}
	return t.Rate
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
