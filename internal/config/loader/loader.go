// Package loader reads and validates a node's settings file, which is JSON with
// comments. Each key that is not documented as required has a default.
//
// # Usage
//
//	s, err := loader.ReadFile("node.json")
//	if err != nil {
//		// err names the key, its value and the expected value.
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
	DefaultDrainTimeoutMS         = 120_000
	DefaultBalancerDelayMS        = 3_000
	DefaultMaxConnections         = 10_000
	DefaultMaxBodyBytes           = 4 << 20
	DefaultProbeIntervalMS        = 500
	DefaultProofLifetimeMS        = 2_500
	DefaultProbeWatchers          = 2
	DefaultPlatformCallsPerSecond = 20
	DefaultLogFormat              = "text"
	DefaultLogLevel               = "info"
	// minProbesPerLifetime is how many probe intervals a proof lifetime must span.
	minProbesPerLifetime = 3
	maxDurationMS        = 3_600_000
)

// Settings are the settings of one node.
type Settings struct {
	// Name is the node's name; required.
	Name string `json:"name"`
	// DataCenter is the data centre in which the node runs; required.
	DataCenter string `json:"data_center"`
	// CallerAddress is the ip:port that listens for callers; required.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the ip:port that listens for other nodes; required.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is the ip:port that listens for operators; required. It must be a
	// loopback address unless admin_token is set.
	AdminAddress string `json:"admin_address"`
	// PlatformURL is the platform's base URL; required.
	PlatformURL string `json:"platform_url"`
	// PeerToken authenticates nodes to each other; required.
	PeerToken string `json:"peer_token"`
	// AdminToken authenticates operators; without it every client on the loopback
	// interface is an operator.
	AdminToken string `json:"admin_token"`
	// Peers are the peer addresses, as ip:port, of nodes to contact after the start.
	Peers []string `json:"peers"`
	// LogFormat is "text" or "json"; default "text".
	LogFormat string `json:"log_format"`
	// LogLevel is "debug", "info", "warn" or "error"; default "info".
	LogLevel string `json:"log_level"`
	// DrainTimeoutMS limits how long a stopping node waits for requests in progress;
	// default 120000.
	DrainTimeoutMS int `json:"drain_timeout_ms"`
	// BalancerDelayMS is how long a stopping node keeps accepting requests until the
	// load balancer has removed it; default 3000.
	BalancerDelayMS int `json:"balancer_delay_ms"`
	// MaxConnections limits callers' connections; default 10000.
	MaxConnections int `json:"max_connections"`
	// MaxBodyBytes limits a request's body; default 4194304.
	MaxBodyBytes int `json:"max_body_bytes"`
	// ProbeIntervalMS is the time between two probes of a VM; default 500.
	ProbeIntervalMS int `json:"probe_interval_ms"`
	// ProofLifetimeMS is how long a successful probe of a VM is accepted as proof
	// that the VM serves; default 2500. At least three probe intervals.
	ProofLifetimeMS int `json:"proof_lifetime_ms"`
	// ProbeWatchers is the number of nodes that probe each VM; default 2.
	ProbeWatchers int `json:"probe_watchers"`
	// PlatformCallsPerSecond limits the node's calls to the platform, except those
	// for claims; default 20.
	PlatformCallsPerSecond float64 `json:"platform_calls_per_second"`
	// ReloadMS is the expected time to load a replica; 0 means the planner's default
	// of 30000.
	ReloadMS int `json:"reload_ms"`
	// SilentReturnMS is the expected time until a VM that does not answer probes
	// answers again; 0 means the planner's default of 20000.
	SilentReturnMS int `json:"silent_return_ms"`
	// GoneReturnMS is the expected time until a failed VM is replaced; 0 means the
	// planner's default of 600000.
	GoneReturnMS int `json:"gone_return_ms"`
	// AddressMap is for networks that translate addresses. It maps the address by
	// which a host is known to the address under which this node reaches it, both as
	// ip:port; default empty.
	AddressMap map[string]string `json:"address_map"`
}

// ReadFile reads settings from a file.
func ReadFile(path string) (*Settings, error) {
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
	if err := checkDuplicateKeys(json.NewDecoder(bytes.NewReader(plain)), ""); err != nil {
		return nil, err
	}
	s := &Settings{}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, decodeError(err)
	}
	s.setDefaults()
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// checkDuplicateKeys returns an error if an object at path, or an object nested in
// it, has a key twice. The JSON decoder would silently use the last one.
func checkDuplicateKeys(d *json.Decoder, path string) error {
	token, err := d.Token()
	if err != nil {
		return trace.BadParameter("not JSON: %v", err)
	}
	if token != json.Delim('{') && token != json.Delim('[') {
		return nil
	}
	isObject, seen := token == json.Delim('{'), map[string]bool{}
	for d.More() {
		keyPath := path
		if isObject {
			key, err := d.Token()
			if err != nil {
				return trace.BadParameter("not JSON: %v", err)
			}
			keyPath = strings.TrimPrefix(path+"."+fmt.Sprint(key), ".")
			if seen[keyPath] {
				return trace.BadParameter("%s: duplicate key", keyPath)
			}
			seen[keyPath] = true
		}
		if err := checkDuplicateKeys(d, keyPath); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return trace.BadParameter("not JSON: %v", err)
	}
	return nil
}

// decodeError turns an error of the JSON decoder into one that names the key.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return trace.BadParameter("%s: got %s, expected %s", wrongType.Field, wrongType.Value, wrongType.Type)
	}
	if key, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return trace.BadParameter("%s: unknown key", strings.Trim(key, `"`))
	}
	return trace.BadParameter("%v", err)
}

func (s *Settings) setDefaults() {
	setDefault(&s.LogFormat, DefaultLogFormat)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.DrainTimeoutMS, DefaultDrainTimeoutMS)
	setDefault(&s.BalancerDelayMS, DefaultBalancerDelayMS)
	setDefault(&s.MaxConnections, DefaultMaxConnections)
	setDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.ProbeIntervalMS, DefaultProbeIntervalMS)
	setDefault(&s.ProofLifetimeMS, DefaultProofLifetimeMS)
	setDefault(&s.ProbeWatchers, DefaultProbeWatchers)
	setDefault(&s.PlatformCallsPerSecond, DefaultPlatformCallsPerSecond)
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
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
		{"drain_timeout_ms", float64(s.DrainTimeoutMS), 1, maxDurationMS},
		{"balancer_delay_ms", float64(s.BalancerDelayMS), 1, maxDurationMS},
		{"max_connections", float64(s.MaxConnections), 1, 1e6},
		{"max_body_bytes", float64(s.MaxBodyBytes), 1, 64 << 20},
		{"probe_interval_ms", float64(s.ProbeIntervalMS), 10, maxDurationMS},
		{"proof_lifetime_ms", float64(s.ProofLifetimeMS), float64(minProbesPerLifetime * s.ProbeIntervalMS), maxDurationMS},
		{"probe_watchers", float64(s.ProbeWatchers), 1, 16},
		{"platform_calls_per_second", s.PlatformCallsPerSecond, 1, 1e4},
		{"reload_ms", float64(s.ReloadMS), 0, maxDurationMS},
		{"silent_return_ms", float64(s.SilentReturnMS), 0, maxDurationMS},
		{"gone_return_ms", float64(s.GoneReturnMS), 0, maxDurationMS},
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

// Millis converts a setting in milliseconds to a time.Duration.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
