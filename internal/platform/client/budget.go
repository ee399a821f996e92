package client

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
)

// Class is the urgency class of a call to the platform.
type Class string

// The urgency classes, most urgent first.
const (
	ClassClaims     Class = "claims"
	ClassAssignment Class = "assignment"
	ClassOperator   Class = "operator"
	ClassConfig     Class = "config"
	ClassWatch      Class = "watch"
	ClassVMs        Class = "vms"
)

// Classes lists all classes, most urgent first.
var Classes = []Class{ClassClaims, ClassAssignment, ClassOperator, ClassConfig, ClassWatch, ClassVMs}

// Budget limits the rate of one node's calls to the platform with two token
// buckets: one for claims and one for all other classes. ClassAssignment and
// ClassOperator wait for a token. The remaining classes are refused when less than
// half of the burst is available, so that they never delay an urgent call. The zero
// value uses the defaults.
type Budget struct {
	// CallsPerSecond limits all calls except those of ClassClaims; 0 means
	// DefaultCallsPerSecond.
	CallsPerSecond float64
	// ClaimsPerSecond limits the calls of ClassClaims, and is also their burst; 0
	// means DefaultClaimsPerSecond.
	ClaimsPerSecond float64
	// Burst is the size of the token bucket of all calls except claims; 0 means
	// DefaultBurst.
	Burst int

	once   sync.Once
	calls  *rate.Limiter
	claims *rate.Limiter
}

// Defaults of a Budget.
const (
	DefaultCallsPerSecond  = 20
	DefaultClaimsPerSecond = 200
	DefaultBurst           = 40
)

// Admit takes a token for a call, after waiting for it if the class allows, or
// returns trace.LimitExceeded.
func (b *Budget) Admit(ctx context.Context, class Class) error {
	b.once.Do(b.initLimiters)
	switch class {
	case ClassClaims:
		if err := b.claims.Wait(ctx); err != nil {
			return trace.LimitExceeded("budget of claims: %v", err)
		}
		return nil
	case ClassAssignment, ClassOperator:
		if err := b.calls.Wait(ctx); err != nil {
			return trace.LimitExceeded("budget of calls to the platform: %v", err)
		}
		return nil
	default:
		if b.calls.Tokens() < float64(b.calls.Burst())/2 || !b.calls.Allow() {
			return trace.LimitExceeded("budget of calls to the platform is spent for class %s", class)
		}
		return nil
	}
}

func (b *Budget) initLimiters() {
	r, n := b.CallsPerSecond, b.Burst
	if r == 0 {
		r = DefaultCallsPerSecond
	}
	if n == 0 {
		n = DefaultBurst
	}
	b.calls = rate.NewLimiter(rate.Limit(r), n)
	c := b.ClaimsPerSecond
	if c == 0 {
		c = DefaultClaimsPerSecond
	}
	b.claims = rate.NewLimiter(rate.Limit(c), int(c))
}
