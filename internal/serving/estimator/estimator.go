// Package estimator predicts how long a model engine takes, from the figures that its
// service declares. All functions are pure.
//
// # Usage
//
//	alone := estimator.FirstEvent(engine, model, promptTokens)
package estimator

import (
	"math"
	"time"

	"marjorammoor/internal/serving/matcher"
)

const (
	pairsPerUnit = 1e6
	// pairShare is the share of a prompt's pairs of tokens that the engine computes:
	// each token is paired with the tokens before it.
	pairShare = 0.5
	// maxEstimate is the longest time that is predicted. Callers name the number of tokens, so
	// that a prediction may be beyond any time.
	maxEstimate = time.Hour
)

// FirstEvent returns how long an engine without other requests takes until the first
// event of a response, or 0 if the engine is nil. Without a number of prompt tokens,
// the usual prompt is assumed.
func FirstEvent(e *matcher.Engine, m *matcher.Model, promptTokens int) time.Duration {
	if e == nil || e.ReadPerSecond <= 0 {
		return 0
	}
	if promptTokens <= 0 {
		promptTokens = e.UsualPrompt
	}
	tokens := float64(promptTokens)
	seconds := tokens/e.ReadPerSecond + tokens*tokens*pairShare/pairsPerUnit*e.PairsTime.Seconds()
	steps := 1.0
	if e.Chunk > 0 {
		steps += math.Floor(tokens / float64(e.Chunk))
	}
	seconds += steps * (e.Step.Seconds() + e.StepPerRequest.Seconds() + tokens/1000*e.StepPerContext.Seconds())
	if m != nil && m.TimeFactor > 0 {
		seconds *= m.TimeFactor
	}
	if !(seconds < maxEstimate.Seconds()) {
		return maxEstimate
	}
	return time.Duration(seconds * float64(time.Second))
}
