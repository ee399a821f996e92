package generator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// Plan describes an experiment.
type Plan struct {
	// Seed makes the run repeatable.
	Seed uint64 `json:"seed"`
	// Seconds is how long requests are offered.
	Seconds float64 `json:"seconds"`
	// WarmupSeconds are left out of the report.
	WarmupSeconds float64 `json:"warmup_seconds"`
	// Nodes are the callers' addresses of nodes, as ip:port.
	Nodes []string `json:"nodes"`
	// Direct sends model calls to a runner instead: no check of the outcome.
	Direct bool `json:"direct"`
	// Model and Service name the deployments.
	Model    string    `json:"model"`
	Service  string    `json:"service"`
	Teams    []Team    `json:"teams"`
	Failures []Failure `json:"failures"`
}

// Team is one team's load.
type Team struct {
	Name       string `json:"name"`
	Credential string `json:"credential"`
	// Rate is the requests offered per second.
	Rate float64 `json:"rate"`
	// Surge replaces Rate between two times, in seconds from the start.
	Surge *Surge `json:"surge"`
	// PlainShare is the part of the requests that call the plain service.
	PlainShare float64 `json:"plain_share"`
	// Prefixes is the number of prompt prefixes that requests share, and
	// PrefixSkew the exponent of their Zipf distribution, larger than 1; 0
	// prefixes make every prompt its own.
	Prefixes   int     `json:"prefixes"`
	PrefixSkew float64 `json:"prefix_skew"`
	// PrefixBytes and PromptBytes are the lengths of prefix and whole prompt.
	PrefixBytes int `json:"prefix_bytes"`
	PromptBytes int `json:"prompt_bytes"`
	MaxTokens   int `json:"max_tokens"`
}

// Surge is a time of another rate.
type Surge struct {
	From  float64 `json:"from"`
	Until float64 `json:"until"`
	Rate  float64 `json:"rate"`
}

// Failure is a call that switches a fault on or off.
type Failure struct {
	// At is the time in seconds from the start.
	At float64 `json:"at"`
	// URL is posted Body, such as a stand-in's control address.
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
}

// Parse reads a plan from JSON with comments. Errors name the field.
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

func (t *Team) rateAt(elapsed float64) float64 {
	if t.Surge != nil && elapsed >= t.Surge.From && elapsed < t.Surge.Until {
		return t.Surge.Rate
	}
	return t.Rate
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
