package main

import (
	"context"

	"bronzeusher.example/bronzeusher/bronzeedge"
	"bronzeusher.example/bronzeusher/platform"
)

// edgeCommand runs a balancer on the platform.
type edgeCommand struct {
	Settings string `required:"" env:"BRONZEUSHER_CONFIG" help:"JSON file with the settings of this node." type:"path"`
}

// Run serves until a signal ends it.
func (c *edgeCommand) Run(ctx context.Context, p *program) (err error) {
	cfg, err := bronzeedge.ReadConfig(c.Settings)
	if err != nil {
		return err
	}
	e, err := bronzeedge.New(cfg, platform.Seams(cfg.Store), bronzeedge.NewLog(p.Stdout))
	if err != nil {
		return err
	}
	go func() {
		<-p.Signals
		e.Leave()
	}()
	return e.Run(ctx)
}
