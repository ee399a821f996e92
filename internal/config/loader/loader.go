// Package loader reads and checks a node's settings, which are JSON with
// comments. Every key but those named as required has a default.
//
// # Usage
//
//	s, err := loader.File("node.json")
//	if err != nil {
//		// err names the key, its value and what was expected.
//	}
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"marjorammoor/internal/objects/parser"
)

// Defaults of the settings.
const (
	DefaultDrainTimeoutMS  = 120_000
	DefaultBalancerDelayMS = 3_000
	DefaultMaxConnections  = 10_000
	DefaultMaxBodyBytes    = 4 << 20
	DefaultProbeIntervalMS = 500
	DefaultProofLifetimeMS = 2_500
	DefaultProbeWatchers   = 2
	DefaultPlatformCalls   = 20
	DefaultLogFormat       = "text"
	DefaultLogLevel        = "info"
	minProbesPerLifetime   = 3
	maxMillis              = 3_600_000
)

// Settings are those of one node.
type Settings struct {
	// Name is the node's name; required.
	Name string `json:"name"`
	// DataCenter is where the node runs; required.
	DataCenter string `json:"data_center"`
	// CallerAddress is where callers are served, as ip:port; required.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is where other nodes are served, as ip:port; required.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is where operators are served, as ip:port; required. It must
	// be a loopback address unless admin_token is set.
	AdminAddress string `json:"admin_address"`
	// PlatformURL is the platform's base URL; required.
	PlatformURL string `json:"platform_url"`
	// PeerToken authenticates nodes to each other; required.
	PeerToken string `json:"peer_token"`
	// AdminToken authenticates operators; empty allows all on loopback.
	AdminToken string `json:"admin_token"`
	// Peers are peer addresses of other nodes, to start from.
	Peers []string `json:"peers"`
	// LogFormat is "text" or "json"; default "text".
	LogFormat string `json:"log_format"`
	// LogLevel is "debug", "info", "warn" or "error"; default "info".
	LogLevel string `json:"log_level"`
	// DrainTimeoutMS bounds how long a stop waits for requests; default 120000.
	DrainTimeoutMS int `json:"drain_timeout_ms"`
	// BalancerDelayMS is how long a stopping node goes on accepting requests, so
	// that the balancer moves on; default 3000.
	BalancerDelayMS int `json:"balancer_delay_ms"`
	// MaxConnections bounds callers' connections; default 10000.
	MaxConnections int `json:"max_connections"`
	// MaxBodyBytes bounds a request's body; default 4194304.
	MaxBodyBytes int `json:"max_body_bytes"`
	// ProbeIntervalMS is the time between two probes of a VM; default 500.
	ProbeIntervalMS int `json:"probe_interval_ms"`
	// ProofLifetimeMS is how long a sighting of a VM proves that it serves;
	// default 2500. At least three probe intervals.
	ProofLifetimeMS int `json:"proof_lifetime_ms"`
	// ProbeWatchers is the number of nodes that watch each VM; default 2.
	ProbeWatchers int `json:"probe_watchers"`
	// PlatformCallsPerSecond bounds the node's calls to the platform; default 20.
	PlatformCallsPerSecond float64 `json:"platform_calls_per_second"`
	// ReloadMS is the expected time to load a replica; default 30000.
	ReloadMS int `json:"reload_ms"`
	// SilentReturnMS is the expected time until a silent VM answers again;
	// default 20000.
	SilentReturnMS int `json:"silent_return_ms"`
	// GoneReturnMS is the expected time until a failed VM is replaced; default
	// 600000.
	GoneReturnMS int `json:"gone_return_ms"`
	// AddressMap gives, for networks that translate addresses, the address under
	// which this node reaches another one; both as ip:port; default empty.
	AddressMap map[string]string `json:"address_map"`
}

// File reads settings from a file.
func File(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", trace.ConvertSystemError(err))
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse reads settings from JSON with comments, checks them and fills in the
// defaults. Errors are trace.BadParameter and name the key.
func Parse(b []byte) (*Settings, error) {
	plain, err := hujson.Standardize(b)
	if err != nil {
		return nil, trace.BadParameter("not JSON with comments: %v", err)
	}
	if err := checkOnce(json.NewDecoder(bytes.NewReader(plain)), ""); err != nil {
		return nil, err
	}
	s := &Settings{}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, explain(err)
	}
	s.setDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// checkOnce makes sure that no object of a value has a key twice. The decoder
// alone would take the last one.
func checkOnce(d *json.Decoder, path string) error {
	token, err := d.Token()
	if err != nil {
		return trace.BadParameter("not JSON: %v", err)
	}
	if token != json.Delim('{') && token != json.Delim('[') {
		return nil
	}
	isObject, seen := token == json.Delim('{'), map[string]bool{}
	for d.More() {
		inner := path
		if isObject {
			key, err := d.Token()
			if err != nil {
				return trace.BadParameter("not JSON: %v", err)
			}
			inner = strings.TrimPrefix(path+"."+fmt.Sprint(key), ".")
			if seen[inner] {
				return trace.BadParameter("%s: given twice", inner)
			}
			seen[inner] = true
		}
		if err := checkOnce(d, inner); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return trace.BadParameter("not JSON: %v", err)
	}
	return nil
}

func explain(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return trace.BadParameter("%s: %s given, expected %s", wrongType.Field, wrongType.Value, wrongType.Type)
	}
	if key, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return trace.BadParameter("%s: unknown key", strings.Trim(key, `"`))
	}
	return trace.BadParameter("%v", err)
}

func (s *Settings) setDefaults() {
	fill(&s.LogFormat, DefaultLogFormat)
	fill(&s.LogLevel, DefaultLogLevel)
	fill(&s.DrainTimeoutMS, DefaultDrainTimeoutMS)
	fill(&s.BalancerDelayMS, DefaultBalancerDelayMS)
	fill(&s.MaxConnections, DefaultMaxConnections)
	fill(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	fill(&s.ProbeIntervalMS, DefaultProbeIntervalMS)
	fill(&s.ProofLifetimeMS, DefaultProofLifetimeMS)
	fill(&s.ProbeWatchers, DefaultProbeWatchers)
	fill(&s.PlatformCallsPerSecond, DefaultPlatformCalls)
}

func fill[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

func (s *Settings) check() error {
	for _, c := range []func() error{s.checkNames, s.checkAddresses, s.checkNumbers, s.checkChoices} {
		if err := c(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	if err := parser.Name(s.Name); err != nil {
		return fmt.Errorf("name: %w", err)
	}
	if err := parser.Name(s.DataCenter); err != nil {
		return fmt.Errorf("data_center: %w", err)
	}
	if s.PeerToken == "" {
		return trace.BadParameter("peer_token: missing: expected a secret that all nodes share")
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	type setting struct{ key, value string }
	addresses := []setting{
		{"caller_address", s.CallerAddress}, {"peer_address", s.PeerAddress}, {"admin_address", s.AdminAddress},
	}
	for _, p := range s.Peers {
		addresses = append(addresses, setting{"peers", p})
	}
	for from, to := range s.AddressMap {
		addresses = append(addresses, setting{"address_map", from}, setting{"address_map", to})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return trace.BadParameter("%s: %q: expected ip:port", a.key, a.value)
		}
	}
	admin, _ := netip.ParseAddrPort(s.AdminAddress)
	if !admin.Addr().IsLoopback() && s.AdminToken == "" {
		return trace.BadParameter("admin_address: %q: expected a loopback address, because admin_token is not set", s.AdminAddress)
	}
	u, err := url.Parse(s.PlatformURL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return trace.BadParameter("platform_url: %q: expected http://ip:port", s.PlatformURL)
	}
	return nil
}

func (s *Settings) checkNumbers() error {
	numbers := []struct {
		key              string
		value, low, high float64
	}{
		{"drain_timeout_ms", float64(s.DrainTimeoutMS), 1, maxMillis},
		{"balancer_delay_ms", float64(s.BalancerDelayMS), 1, maxMillis},
		{"max_connections", float64(s.MaxConnections), 1, 1e6},
		{"max_body_bytes", float64(s.MaxBodyBytes), 1, 64 << 20},
		{"probe_interval_ms", float64(s.ProbeIntervalMS), 10, maxMillis},
		{"proof_lifetime_ms", float64(s.ProofLifetimeMS), float64(minProbesPerLifetime * s.ProbeIntervalMS), maxMillis},
		{"probe_watchers", float64(s.ProbeWatchers), 1, 16},
		{"platform_calls_per_second", s.PlatformCallsPerSecond, 1, 1e4},
		{"reload_ms", float64(s.ReloadMS), 0, maxMillis},
		{"silent_return_ms", float64(s.SilentReturnMS), 0, maxMillis},
		{"gone_return_ms", float64(s.GoneReturnMS), 0, maxMillis},
	}
	for _, n := range numbers {
		if n.value < n.low || n.value > n.high {
			return trace.BadParameter("%s: %v: expected a number from %v to %v", n.key, n.value, n.low, n.high)
		}
	}
	return nil
}

func (s *Settings) checkChoices() error {
	choices := []struct {
		key, value string
		allowed    []string
	}{
		{"log_format", s.LogFormat, []string{"text", "json"}},
		{"log_level", s.LogLevel, []string{"debug", "info", "warn", "error"}},
	}
	for _, c := range choices {
		if !slices.Contains(c.allowed, c.value) {
			return trace.BadParameter("%s: %q: expected one of %s", c.key, c.value, strings.Join(c.allowed, ", "))
		}
	}
	return nil
}

// Millis returns a setting in milliseconds as a duration.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
