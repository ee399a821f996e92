package starter

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"marjorammoor/internal/standin/generator"
)

type loadCommand struct {
	*output
	Plan string `long:"plan" required:"true" value-name:"FILE" description:"plan of the experiment, in JSON with comments"`
	Seed uint64 `long:"seed" description:"random seed, instead of the plan's"`
	Plot string `long:"plot" value-name:"FILE" description:"plot each team's 95th percentile of the time to first token to a PNG file"`
}

// Execute runs an experiment and prints its report as JSON.
func (c *loadCommand) Execute([]string) error {
	b, err := os.ReadFile(c.Plan)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	p, err := generator.Parse(b)
	if err != nil {
		return fmt.Errorf("load: %s: %w", c.Plan, err)
	}
	if c.Seed != 0 {
		p.Seed = c.Seed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	_, _ = fmt.Fprintf(c.err, "seed %d\n", p.Seed)
	r, err := (&generator.Generator{Plan: p, Progress: c.err}).Run(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return fmt.Errorf("load: %w", err)
		}
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("load: print: %w", err)
	}
	return nil
}
