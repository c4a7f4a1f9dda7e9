package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/alitto/pond/v2"
)

// options are the command's flags.
type options struct {
	Seed       uint64 `help:"Seed of the random numbers." default:"1" env:"BRONZEFRONTIER_SEED"`
	Out        string `help:"Directory to write data/frontier.json and frontier.svg to; none means print only." type:"path" env:"BRONZEFRONTIER_OUT"`
	Deployment string `help:"Deployment to draw: riga, klang or all." enum:"riga,klang,all" default:"all" env:"BRONZEFRONTIER_DEPLOYMENT"`
	Workers    int    `help:"Runs at the same time." default:"3" env:"BRONZEFRONTIER_WORKERS"`
}

func main() {
	var opts options
	ctx := kong.Parse(&opts, kong.Description("Draws imbalance against exceptions and broken flows."))
	ctx.FatalIfErrorf(run(&opts, os.Stdout))
}

func run(opts *options, w io.Writer) error {
	results := runAll(opts)
	if err := printTable(w, results); err != nil {
		return err
	}
	if opts.Out == "" {
		return nil
	}
	return writeAll(opts, results)
}

// runAll runs every setting of the chosen workloads. Each run has its own
// random numbers, so the order in which they finish doesn't matter.
func runAll(opts *options) []Result {
	var models []*model
	for _, w := range workloads {
		if opts.Deployment != "all" && opts.Deployment != w.Deployment {
			continue
		}
		for _, flows := range flowsPerServer {
			for _, s := range settings() {
				models = append(models, newModel(w, s, flows, opts.Seed))
			}
		}
	}
	results := make([]Result, len(models))
	workers := pond.NewPool(max(opts.Workers, 1))
	for i, m := range models {
		workers.Submit(func() { results[i] = m.run() })
	}
	workers.StopAndWait()
	return results
}

func printTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	const heading = "Service\tFlowsPerServer\tPlacement\tBound\tImbalance\tP99\tExceptions\tBrokenByKill\tBrokenByJoinAndKill\tOwnedFlows\n"
	if _, err := io.WriteString(t, heading); err != nil {
		return err
	}
	for i := range results {
		r := &results[i]
		_, err := fmt.Fprintf(t, "%s\t%d\t%s\t%.2f\t%.3f\t%.3f\t%.1f%%\t%.2f\t%.2f\t%.0f\n",
			r.Service, r.FlowsPerServer, r.Placement, r.Bound, r.Imbalance, r.ImbalanceP99,
			100*r.Exceptions, r.BrokenByKill, r.BrokenByJoinAndKill, r.OwnedFlows)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}
