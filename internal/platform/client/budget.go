package client

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
)

// Class orders calls to the platform by urgency.
type Class string

// The classes of calls, most urgent first.
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

// Budget bounds the calls of one node. Claims have a budget of their own.
// Assignments and operators wait for a token; the other classes are refused when
// fewer than half of the burst is left, so that they never delay an urgent call.
// The zero value admits DefaultCallsPerSecond.
type Budget struct {
	// CallsPerSecond bounds the node's calls but claims; 0 means
	// DefaultCallsPerSecond.
	CallsPerSecond float64
	// ClaimsPerSecond bounds the node's calls for claims; 0 means
	// DefaultClaimsPerSecond.
	ClaimsPerSecond float64
	// Burst is the number of calls that may come at once; 0 means DefaultBurst.
	Burst int

	once   sync.Once
	all    *rate.Limiter
	claims *rate.Limiter
}

// Defaults of a node's budget.
const (
	DefaultCallsPerSecond  = 20
	DefaultClaimsPerSecond = 200
	DefaultBurst           = 40
)

// Admit waits for a token or refuses the call with trace.LimitExceeded.
func (b *Budget) Admit(ctx context.Context, class Class) error {
	b.once.Do(b.start)
	switch class {
	case ClassClaims:
		if err := b.claims.Wait(ctx); err != nil {
			return trace.LimitExceeded("budget of claims: %v", err)
		}
		return nil
	case ClassAssignment, ClassOperator:
		if err := b.all.Wait(ctx); err != nil {
			return trace.LimitExceeded("budget of calls to the platform: %v", err)
		}
		return nil
	default:
		if b.all.Tokens() < float64(b.all.Burst())/2 || !b.all.Allow() {
			return trace.LimitExceeded("budget of calls to the platform is spent for class %s", class)
		}
		return nil
	}
}

func (b *Budget) start() {
	r, n := b.CallsPerSecond, b.Burst
	if r == 0 {
		r = DefaultCallsPerSecond
	}
	if n == 0 {
		n = DefaultBurst
	}
	b.all = rate.NewLimiter(rate.Limit(r), n)
	c := b.ClaimsPerSecond
	if c == 0 {
		c = DefaultClaimsPerSecond
	}
	b.claims = rate.NewLimiter(rate.Limit(c), int(c))
}
