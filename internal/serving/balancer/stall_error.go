package balancer

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// ErrStalled reports that the target of a request makes no progress.
var ErrStalled = errors.New("the target shows no progress")

// StallTrigger is what a request counts as stalled for.
type StallTrigger string

// The values of StallTrigger.
const (
	// SilentTarget is a target that has sent nothing to any node, as far as this one knows.
	SilentTarget StallTrigger = "silent_target"
	// ReportedTarget is a target that another node has reported as silent.
	ReportedTarget StallTrigger = "reported_target"
	// SilentStream is a stream that pauses although its target sends events to others.
	SilentStream StallTrigger = "silent_stream"
	// LostTarget is a target out of reach of this node.
	LostTarget StallTrigger = "lost_target"
)

// StallError is the ErrStalled that the stall callback of a request gets.
type StallError struct{ Trigger StallTrigger }

// Error describes the failure.
func (e *StallError) Error() string { return fmt.Sprintf("%v (%s)", ErrStalled, e.Trigger) }

// Is reports that the error is an ErrStalled.
func (e *StallError) Is(target error) bool { return target == ErrStalled }

// notifyStalled calls the stall callbacks of requests.
func notifyStalled(callbacks []func(error), trigger StallTrigger) {
	if len(callbacks) == 0 {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`marjorammoor_stalls_total{trigger=%q}`, string(trigger))).Add(len(callbacks))
	for _, callback := range callbacks {
		callback(&StallError{trigger})
	}
}
