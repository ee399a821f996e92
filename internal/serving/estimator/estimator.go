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
	return bounded(seconds+steps*stepSeconds(e, tokens), m)
}

// Response returns how long an engine without other requests takes until the last event of
// a response, or 0 if the engine is nil. The response is as long as usual, or shorter if the
// request allows no more tokens.
func Response(e *matcher.Engine, m *matcher.Model, promptTokens, maxOutput int) time.Duration {
	if e == nil {
		return 0
	}
	tokens := e.UsualAnswer
	if maxOutput > 0 {
		tokens = min(tokens, maxOutput)
	}
	return FirstEvent(e, m, promptTokens) + bounded(float64(tokens)*stepSeconds(e, float64(promptTokens)), m)
}

// stepSeconds returns how long one step takes that writes a request with the given tokens of
// context.
func stepSeconds(e *matcher.Engine, contextTokens float64) float64 {
	return e.Step.Seconds() + e.StepPerRequest.Seconds() + contextTokens/1000*e.StepPerContext.Seconds()
}

// bounded applies the model's factor to a time.
func bounded(seconds float64, m *matcher.Model) time.Duration {
	if m != nil && m.TimeFactor > 0 {
		seconds *= m.TimeFactor
	}
	if !(seconds < maxEstimate.Seconds()) {
		return maxEstimate
	}
	return time.Duration(seconds * float64(time.Second))
}
