package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/alitto/pond/v2"
)

// options are the command's flags.
type options struct {
	Seed       uint64 `help:"First seed of the random numbers." default:"1" env:"BRONZEFRONTIER_SEED"`
	Seeds      int    `help:"Number of seeds, at least 1." default:"5" env:"BRONZEFRONTIER_SEEDS"`
	Out        string `help:"Directory to write data/frontier.json and frontier.svg to; none means print only." type:"path" env:"BRONZEFRONTIER_OUT"`
	Deployment string `help:"Deployment to draw: riga, klang or all." enum:"riga,klang,all" default:"all" env:"BRONZEFRONTIER_DEPLOYMENT"`
	Workers    int    `help:"Runs at the same time." default:"3" env:"BRONZEFRONTIER_WORKERS"`
}

func main() {
	var opts options
	ctx := kong.Parse(&opts, kong.Description("Plots imbalance and broken flows against exceptions."))
	ctx.FatalIfErrorf(run(&opts, os.Stdout))
}

func run(opts *options, w io.Writer) error {
	points := runAll(opts)
	if err := printTable(w, points); err != nil {
		return err
	}
	if opts.Out == "" {
		return nil
	}
	return writeAll(opts, points)
}

// runAll runs all settings of the selected workloads. Each run has its own
// random numbers, so the results don't depend on the order of the runs.
func runAll(opts *options) []Point {
	var points []Point
	workers := pond.NewPool(max(opts.Workers, 1))
	defer workers.StopAndWait()
	for _, w := range workloads {
		if opts.Deployment != "all" && opts.Deployment != w.Deployment {
			continue
		}
		for _, flows := range flowsPerServer {
			for _, s := range settings() {
				results := runSeeds(workers, w, s, flows, opts)
				points = append(points, newPoint(w, s, flows, results))
			}
		}
	}
	return points
}

// runSeeds runs one setting with each seed.
func runSeeds(workers pond.Pool, w Workload, s Setting, flows int, opts *options) []Result {
	results := make([]Result, max(opts.Seeds, 1))
	group := workers.NewGroup()
	for i := range results {
		m := newModel(w, s, flows, opts.Seed+uint64(i))
		group.Submit(func() { results[i] = m.run() })
	}
	// The tasks return no error, and the group is never stopped.
	_ = group.Wait()
	return results
}

func printTable(w io.Writer, points []Point) error {
	if _, err := io.WriteString(w, tableHead); err != nil {
		return err
	}
	for i := range points {
		if _, err := io.WriteString(w, points[i].row()); err != nil {
			return err
		}
	}
	return nil
}
