package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"bronzeusher.example/bronzeusher/bronzereport"
	"bronzeusher.example/bronzeusher/bronzetest"
)

// Data is the content of matrix.json. A part that was not measured is nil.
type Data struct {
	// Matrix has the runs with one number of balancers, by default under all
	// disturbances. Sizes has those with several numbers, under the
	// sizeDisturbances.
	Matrix *Experiment
	Sizes  *Experiment
}

func (d *Data) set(e *Experiment, sizes bool) {
	if sizes {
		d.Sizes = e
		return
	}
	d.Matrix = e
}

func (d *Data) experiments() (all []*Experiment) {
	for _, e := range []*Experiment{d.Matrix, d.Sizes} {
		if e != nil {
			all = append(all, e)
		}
	}
	return all
}

// Experiment is a sequence of runs.
type Experiment struct {
	bronzereport.Source
	// Arguments are the flags that reproduce the experiment.
	Arguments string
	// Seconds is how long callers were busy in each run. A run whose rolling
	// replacement of balancers took longer lasted until its end.
	Seconds float64
	Runs    []Run
}

// Run is one run of the demo.
type Run struct {
	bronzetest.Result
	// Faults are the promises that the run broke, or the error of a failed run.
	Faults []string
	// Failed reports that the run ended with an error and has no counts.
	Failed bool
}

// sizeDisturbances are run for every number of balancers.
var sizeDisturbances = []string{bronzetest.NoDisturbance, bronzetest.Rolling, bronzetest.Kill}

// measure runs every case that the flags select. An interrupt ends it without
// a result because the counts of the interrupted run are incomplete.
func measure(ctx context.Context, opts *options, progress io.Writer) (e *Experiment, err error) {
	e = &Experiment{Arguments: opts.arguments(), Seconds: opts.Duration.Seconds()}
	if e.Source, err = bronzereport.NewSource(ctx); err != nil {
		return nil, err
	}
	all := demos(opts)
	for i, demo := range all {
		_, err = fmt.Fprintf(progress, "%d of %d: %s %s, %d balancers, seed %d\n",
			i+1, len(all), demo.Deployment, demo.Disturb, demo.Balancers, demo.Seed)
		if err != nil {
			return nil, err
		}
		e.Runs = append(e.Runs, runDemo(ctx, demo))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return e, nil
}

// runDemo runs a demo. Its error is recorded in the Run and doesn't end the
// experiment, which takes minutes.
func runDemo(ctx context.Context, demo bronzetest.Demo) Run {
	result, err := demo.Run(ctx)
	if err != nil {
		r := Run{Failed: true, Faults: []string{err.Error()}}
		r.Deployment, r.Disturb, r.Seed, r.Balancers = demo.Deployment, demo.Disturb, demo.Seed, demo.Balancers
		return r
	}
	return Run{Result: *result, Faults: result.Violations()}
}

// demos returns the cases in the order of the tables.
func demos(opts *options) (all []bronzetest.Demo) {
	sizes, disturbances := []int{opts.Balancers}, opts.Disturbances
	if len(opts.Sizes) > 0 {
		sizes, disturbances = opts.Sizes, sizeDisturbances
	}
	for _, deployment := range opts.Deployments {
		for _, disturb := range disturbances {
			for _, size := range sizes {
				for seed := range uint64(opts.Seeds) {
					all = append(all, bronzetest.Demo{
						Deployment: deployment, Disturb: disturb, Balancers: size,
						Duration: opts.Duration, Seed: seed + 1,
					})
				}
			}
		}
	}
	return all
}

// arguments returns the flags that determine what is measured.
func (o *options) arguments() string {
	selection := fmt.Sprintf("--disturbances %s --balancers %d", strings.Join(o.Disturbances, ","), o.Balancers)
	if len(o.Disturbances) == len(bronzetest.Disturbances()) {
		selection = fmt.Sprintf("--disturbances %s --balancers %d", allDisturbances, o.Balancers)
	}
	if len(o.Sizes) > 0 {
		selection = "--sizes " + strings.Trim(strings.ReplaceAll(fmt.Sprint(o.Sizes), " ", ","), "[]")
	}
	return fmt.Sprintf("--deployments %s %s --duration %s --seeds %d",
		strings.Join(o.Deployments, ","), selection, o.Duration, o.Seeds)
}
