package parser

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"regexp"

	"github.com/gravitational/trace"
)

// Limits of declared values.
const (
	maxNameLength  = 63
	maxReplicaVMs  = 64
	maxReplicas    = 10_000
	maxDurationMS  = 3_600_000
	maxBodyBytes   = 1 << 20
	sha256HexChars = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Name checks that a resource name is safe in URLs and file names.
func Name(name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return trace.BadParameter("name: %q: expected lower-case letters, digits and inner hyphens, at most %d characters", name, maxNameLength)
	}
	return nil
}

// Body validates the body of an object of a kind that operators write.
func Body(kind Kind, body []byte) error {
	var err error
	switch kind {
	case KindTeam:
		_, err = Team(body)
	case KindPool:
		_, err = Pool(body)
	case KindDeployment:
		_, err = Deployment(body)
	default:
		err = trace.BadParameter("kind: %q: expected team, pool or deployment", kind)
	}
	if err != nil {
		return fmt.Errorf("check %s: %w", kind, err)
	}
	return nil
}

// Team parses and validates a team's policy.
func Team(body []byte) (*TeamSpec, error) {
	t := &TeamSpec{}
	if err := decode(body, t); err != nil {
		return nil, fmt.Errorf("parse team: %w", err)
	}
	for i, h := range t.CredentialHashes {
		if _, err := hex.DecodeString(h); err != nil || len(h) != sha256HexChars {
			return nil, trace.BadParameter("credential_hashes[%d]: expected 64 hexadecimal characters of a SHA-256 sum", i)
		}
	}
	checks := []rangeCheck{
		{"weight", t.Weight, 0, 1000},
		{"requests_per_second", t.RequestsPerSecond, 0, 1e6},
		{"tokens_per_second", t.TokensPerSecond, 0, 1e9},
		{"max_queued", float64(t.MaxQueued), 0, 1e6},
		{"max_queue_ms", float64(t.MaxQueueMS), 0, maxDurationMS},
		{"max_streams", float64(t.MaxStreams), 0, 1e6},
	}
	return t, checkRanges(checks)
}

// Pool parses and validates a pool.
func Pool(body []byte) (*PoolSpec, error) {
	p := &PoolSpec{}
	if err := decode(body, p); err != nil {
		return nil, fmt.Errorf("parse pool: %w", err)
	}
	return p, checkRanges([]rangeCheck{{"max_loads", float64(p.MaxLoads), 0, 1e6}})
}

// Deployment parses and validates a deployment.
func Deployment(body []byte) (*DeploymentSpec, error) {
	d := &DeploymentSpec{}
	if err := decode(body, d); err != nil {
		return nil, fmt.Errorf("parse deployment: %w", err)
	}
	switch d.Type {
	case TypeModel:
		if d.Model == "" {
			return nil, trace.BadParameter("model: %q: expected the name of the weights to load", d.Model)
		}
	case TypeService:
	default:
		return nil, trace.BadParameter("type: %q: expected \"model\" or \"service\"", d.Type)
	}
	if err := Name(d.Pool); err != nil {
		return nil, fmt.Errorf("pool: %w", err)
	}
	checks := []rangeCheck{
		{"replica_vms", float64(d.ReplicaVMs), 0, maxReplicaVMs},
		{"max_in_flight", float64(d.MaxInFlight), 0, 1e6},
		{"drain_timeout_ms", float64(d.DrainTimeoutMS), 0, maxDurationMS},
		{"weights.group_downtime", d.Weights.GroupDowntime, 0, 1e6},
		{"weights.stranded_accelerators", d.Weights.StrandedAccelerators, 0, 1e6},
	}
	for name, n := range d.Replicas {
		if err := Name(name); err != nil {
			return nil, fmt.Errorf("replicas: data centre: %w", err)
		}
		checks = append(checks, rangeCheck{"replicas." + name, float64(n), 0, maxReplicas})
	}
	return d, checkRanges(checks)
}

// Assignment parses an assignment. It checks no values, because only the system
// writes assignments.
func Assignment(body []byte) (*AssignmentSpec, error) {
	a := &AssignmentSpec{}
	if err := decode(body, a); err != nil {
		return nil, fmt.Errorf("parse assignment: %w", err)
	}
	return a, nil
}

// rangeCheck is a numeric field with its smallest and largest allowed value.
type rangeCheck struct {
	field     string
	value     float64
	low, high float64
}

func checkRanges(checks []rangeCheck) error {
	for _, c := range checks {
		if math.IsNaN(c.value) || c.value < c.low || c.value > c.high {
			return trace.BadParameter("%s: %v: expected a number from %v to %v", c.field, c.value, c.low, c.high)
		}
	}
	return nil
}

func decode(body []byte, target any) error {
	if len(body) > maxBodyBytes {
		return trace.LimitExceeded("body: %d bytes: expected at most %d", len(body), maxBodyBytes)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return trace.BadParameter("body: %v", err)
	}
	if d.More() {
		return trace.BadParameter("body: expected a single JSON object")
	}
	return nil
}
