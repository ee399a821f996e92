package main

import "time"

// model is a model of the service.
type model struct {
	Name         string  `json:"name"`
	Size         int     `json:"size"`
	InitialShare float64 `json:"initial_share"`
	Pace         float64 `json:"pace"`
	LoadTimeS    float64 `json:"load_time_s"`
	WarmupS      float64 `json:"warmup_s"`
}

// config is the operator's configuration.
type config struct {
	Version  int64            `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`

	models []model
}

const (
	modelName   = "letters"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	hostName    = "ficu95.example"
	pathPrefix  = "/lohu930/"
	formationMS = 300
)

// newConfig returns a configuration with one service, one model of two runners, and one
// streaming route.
func newConfig() *config {
	models := []model{{Name: modelName, Size: 2, InitialShare: 1, Pace: 1, LoadTimeS: 2, WarmupS: 0.5}}
	backend := map[string]any{
		"batch_slots": batchSlots, "kv_capacity_tokens": 1860000, "steps_per_pass": 5, "step_ms": 7.8, "per_seq_ms": 0.0947,
		"context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.0,
		"loads_at_once": 7, "usual": map[string]any{"prompt": 979, "answer": 154}, "retain_count": 1, "far_x": 2.5, "formation_ms": formationMS,
		"models": models,
	}
	route := map[string]any{
		"name": "r-letters", "hostname": hostName, "path_prefix": pathPrefix, "type": "streaming", "timeout_ms": 8000, "target_latency_ms": 400,
		"target_gap_ms": 300, "priority": 1, "service": poolService, "max_attempts": 2, "public": false, "session_affinity": true, "resumable": true,
	}
	return &config{
		Version: 7, Routes: []map[string]any{route},
		Services: []map[string]any{{"name": poolService, "health_check": "/healthz", "max_connections": 428, "backend": backend}},
		Limits:   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants:  []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}},
		models:   models,
	}
}

// times returns how long a model takes to load, and to join with the weights on the host.
func (c *config) times(name string) (load, warm time.Duration) {
	for _, m := range c.models {
		if m.Name == name {
			return seconds(m.LoadTimeS), seconds(m.WarmupS)
		}
	}
	return 0, 0
}

// formation returns how long a head takes to open.
func (c *config) formation() time.Duration { return formationMS * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
