// Package estimator predicts how long a model engine takes, from the figures that its
// service declares. All functions are pure.
//
// # Usage
//
//	alone := estimator.FirstEvent(engine, model, promptTokens)
package estimator

import (
	"time"

	"marjorammoor/internal/serving/matcher"
)

const (
	pairsPerUnit = 1e6
	// pairShare is the share of a prompt's pairs of tokens that the engine computes:
	// each token is paired with the tokens before it.
	pairShare = 0.5
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
	reading := time.Duration(tokens / e.ReadPerSecond * float64(time.Second))
	reading += time.Duration(tokens * tokens * pairShare / pairsPerUnit * float64(e.PairsTime))
	steps := 1 + promptTokens/max(e.Chunk, 1)
	if e.Chunk <= 0 {
		steps = 1
	}
	return scale(reading+time.Duration(steps)*Step(e, 1, promptTokens), m)
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
	return FirstEvent(e, m, promptTokens) + scale(time.Duration(tokens)*Step(e, 1, promptTokens), m)
}

// Step returns how long one step of a batch takes that writes requests with the given
// tokens of context in all.
func Step(e *matcher.Engine, requests, contextTokens int) time.Duration {
	return e.Step + time.Duration(requests)*e.StepPerRequest + time.Duration(float64(contextTokens)/1000*float64(e.StepPerContext))
}

// scale applies the model's factor to a time.
func scale(d time.Duration, m *matcher.Model) time.Duration {
	if m == nil || m.TimeFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * m.TimeFactor)
}
