// Command bronzesoak injects faults into real balancers between stand-ins of
// their platform and checks the invariants of package bronzesoak. It exits with
// status 1 if one was violated or the soak itself failed.
//
//	bronzesoak --from 1 --seeds 50 --length 20s
//	bronzesoak --plan plan.json --json result.json --plot result.svg
//
// With --write-plan it writes the plan of the first seed to a file, as a starting
// point for a custom plan, and runs nothing.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzereport"
	"bronzeusher.example/bronzeusher/bronzesoak"
)

// flags is the grammar of the command line.
type flags struct {
	From      uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"1" help:"Number of consecutive seeds to run."`
	Length    time.Duration `default:"20s" help:"Duration of traffic for each seed."`
	Overload  bool          `help:"Add an overload to the plan of each seed."`
	Plan      string        `help:"Run this plan (JSON) instead of seeds." type:"existingfile"`
	WritePlan string        `help:"Write the plan of the first seed to this file and run nothing."`
	Program   string        `help:"The program under test; built from this module if omitted." type:"existingfile"`
	Logs      string        `help:"Directory for logs of nodes; a temporary one if omitted. Logs of runs without violations are removed."`
	JSON      string        `name:"json" help:"Write the results to this file."`
	Plot      string        `help:"Plot the requests of each second of the first result to this file (SVG)."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("bronzesoak"), kong.Description("Injects faults into balancers and checks invariants."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ok, err := run(ctx, &f)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run executes the command; ok is false if an invariant was violated.
func run(ctx context.Context, f *flags) (ok bool, err error) {
	plans, err := f.plans()
	if err != nil {
		return false, err
	}
	if f.WritePlan != "" {
		return true, bronzereport.SaveJSON(f.WritePlan, plans[0])
	}
	dir, err := f.directory()
	if err != nil {
		return false, err
	}
	if f.Program == "" {
		if f.Program, err = build(ctx, dir); err != nil {
			return false, err
		}
	}
	var results []bronzesoak.Result
	ok = true
	for _, plan := range plans {
		r, err := runPlan(ctx, plan, f.Program, dir)
		if err != nil {
			return false, err
		}
		results = append(results, r)
		ok = ok && r.BrokenTotal == 0
	}
	fmt.Print(bronzesoak.Table(results).Markdown())
	return ok, f.save(results)
}

// plans returns the plans to run: the one given, or those of the seeds.
func (f *flags) plans() (plans []bronzesoak.Plan, err error) {
	if f.Plan != "" {
		p, err := bronzesoak.ReadPlan(f.Plan)
		return []bronzesoak.Plan{p}, err
	}
	newPlan := bronzesoak.NewPlan
	if f.Overload {
		newPlan = bronzesoak.NewOverloadPlan
	}
	for i := range max(f.Seeds, 1) {
		plans = append(plans, newPlan(f.From+uint64(i), f.Length))
	}
	return plans, nil
}

// directory returns the directory for logs and creates it if there is none.
func (f *flags) directory() (dir string, err error) {
	if f.Logs == "" {
		return os.MkdirTemp("", "bronzesoak-")
	}
	return f.Logs, os.MkdirAll(f.Logs, 0o700)
}

// build builds the program under test.
func build(ctx context.Context, dir string) (program string, err error) {
	program = filepath.Join(dir, "bronzeedge")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", program, "bronzeusher.example/bronzeusher/cmd/bronzeedge")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return program, errors.Wrap(cmd.Run(), "build the program under test")
}

// runPlan runs one plan and prints the violations. It removes the logs of a run
// without any.
func runPlan(ctx context.Context, plan bronzesoak.Plan, program, dir string) (r bronzesoak.Result, err error) {
	logs := filepath.Join(dir, strconv.FormatUint(plan.Seed, 10))
	if err = os.MkdirAll(logs, 0o700); err != nil {
		return r, err
	}
	if r, err = bronzesoak.Run(ctx, plan, bronzesoak.Options{Program: program, Dir: logs}); err != nil {
		return r, err
	}
	fmt.Fprintf(os.Stderr, "seed %d: %d requests served, %d not, %d promises broken\n", plan.Seed, r.Served, r.Failed+r.Rejected, r.BrokenTotal)
	if r.RefusedOpenings > 0 {
		fmt.Fprintf(os.Stderr, "seed %d: %d openings refused for lack of room, %d of them urgent\n", plan.Seed, r.RefusedOpenings, r.RefusedUrgent)
	}
	for _, b := range r.Broken {
		fmt.Fprintf(os.Stderr, "seed %d: %s (logs in %s)\n", plan.Seed, b, logs)
	}
	if r.BrokenTotal == 0 {
		return r, os.RemoveAll(logs)
	}
	return r, nil
}

func (f *flags) save(results []bronzesoak.Result) (err error) {
	if f.JSON != "" {
		if err = bronzereport.SaveJSON(f.JSON, results); err != nil {
			return err
		}
	}
	if f.Plot != "" {
		return bronzesoak.Plot(f.Plot, results)
	}
	return nil
}
