// Package generator is the load and experiment tool: it offers requests at set
// rates, whether or not earlier ones have been answered, switches failures on at
// set times, and reports what callers saw.
//
// The same seed gives the same arrivals, prompts and choices.
//
// # Usage
//
//	g := &generator.Generator{Plan: plan, Progress: os.Stderr}
//	report, err := g.Run(ctx)
package generator
