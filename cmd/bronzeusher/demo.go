package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"bronzeusher.example/bronzeusher/bronzetest"
)

type demoCommand struct {
	Deployment string        `default:"riga" enum:"riga,klang" help:"Deployment to run: ${enum}."`
	Balancers  int           `default:"7" help:"Number of balancers."`
	Flows      int           `default:"2000" help:"Number of flows that are open at a time."`
	Duration   time.Duration `default:"15s" help:"How long callers are busy."`
	Disturb    string        `default:"none" enum:"none,rolling,drain,both,kill,partition,pause,platform-down,silent,reject" help:"What happens meanwhile: ${enum}."`
	Seed       uint64        `default:"1" help:"Seed of the random choices."`
	JSON       bool          `name:"json" help:"Print one JSON object instead of a table."`
}

// Run runs the demo, prints its result and then each promise that it broke.
func (c *demoCommand) Run(ctx context.Context, p *program) (err error) {
	demo := bronzetest.Demo{
		Deployment: c.Deployment,
		Balancers:  c.Balancers,
		Flows:      c.Flows,
		Duration:   c.Duration,
		Disturb:    c.Disturb,
		Seed:       c.Seed,
		Progress:   p.Stderr,
	}
	ctx, stop := p.untilSignal(ctx)
	defer stop()
	result, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	if err = writeResult(p.Stdout, result, c.JSON); err != nil {
		return err
	}
	violations := result.Violations()
	for _, violation := range violations {
		if _, err = fmt.Fprintln(p.Stderr, "broken promise:", violation); err != nil {
			return err
		}
	}
	if len(violations) > 0 {
		return errFailed
	}
	return nil
}

func writeResult(w io.Writer, result *bronzetest.Result, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(result)
	}
	return result.WriteTable(w)
}

// untilSignal returns a context that is canceled by the first signal.
func (p *program) untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-p.Signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
