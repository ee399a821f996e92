// Package generator is an open-loop load generator: it sends requests at the rates
// of a plan, whether or not earlier requests have finished, injects failures at set
// times, and reports the outcomes and latencies that callers observed.
//
// The same seed gives the same arrival times, prompts, nodes and kinds of request.
//
// # Usage
//
//	g := &generator.Generator{Plan: plan, Progress: os.Stderr}
//	report, err := g.Run(ctx)
package generator
