package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzereport"
	"bronzeusher.example/bronzeusher/bronzetest"
)

// allDisturbances stands for every disturbance of the demo.
const allDisturbances = "all"

// options are the command's flags.
type options struct {
	Deployments  []string      `help:"Deployments to run: ${enum}." enum:"riga,klang" default:"riga,klang" env:"BRONZEMATRIX_DEPLOYMENTS"`
	Disturbances []string      `help:"Disturbances to run, or all." default:"all" env:"BRONZEMATRIX_DISTURBANCES"`
	Balancers    int           `help:"Number of balancers." default:"7" env:"BRONZEMATRIX_BALANCERS"`
	Sizes        []int         `help:"Numbers of balancers to run none, rolling and kill with, in place of the disturbances." env:"BRONZEMATRIX_SIZES"`
	Duration     time.Duration `help:"How long callers are busy in a run." default:"15s" env:"BRONZEMATRIX_DURATION"`
	Seeds        int           `help:"Number of seeds, from 1 on." default:"1" env:"BRONZEMATRIX_SEEDS"`
	Out          string        `help:"Directory with MEASUREMENTS.md to write to; none means print only." type:"path" env:"BRONZEMATRIX_OUT"`
	From         string        `help:"Data file to write the page and the plot from, without a run." type:"existingfile" env:"BRONZEMATRIX_FROM"`
}

// AfterApply is called by kong to check the flags.
func (o *options) AfterApply() error {
	if slices.Equal(o.Disturbances, []string{allDisturbances}) {
		o.Disturbances = bronzetest.Disturbances()
	}
	for _, name := range o.Disturbances {
		if !slices.Contains(bronzetest.Disturbances(), name) {
			return errors.Errorf("--disturbances: %q is not known", name)
		}
	}
	if slices.ContainsFunc(append(o.Sizes, o.Balancers), func(n int) bool { return n < 1 }) {
		return errors.New("--balancers and --sizes must be positive")
	}
	if o.Seeds < 1 {
		return errors.New("--seeds must be positive")
	}
	if o.Duration < time.Second {
		return errors.New("--duration must be a second or more")
	}
	return nil
}

func main() {
	var opts options
	k := kong.Parse(&opts, kong.Description("Runs the demo under every disturbance and writes down what was counted."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, &opts, os.Stdout, os.Stderr)
	stop()
	k.FatalIfErrorf(err)
}

func run(ctx context.Context, opts *options, stdout, stderr io.Writer) (err error) {
	data, err := load(opts)
	if err != nil {
		return err
	}
	var measured []*Experiment
	if opts.From == "" {
		e, err := measure(ctx, opts, stderr)
		if err != nil {
			return err
		}
		data.set(e, len(opts.Sizes) > 0)
		measured = append(measured, e)
	} else {
		measured = data.experiments()
	}
	if err = printTables(stdout, data); err != nil {
		return err
	}
	if opts.Out != "" {
		if err = writeAll(opts, data); err != nil {
			return err
		}
	}
	return failureError(measured)
}

// load reads the data file named by --from, or else the one in the output
// directory, of which the part that is not measured is kept. The latter needn't
// exist.
func load(opts *options) (data *Data, err error) {
	data = &Data{}
	if opts.From != "" {
		return data, bronzereport.LoadJSON(opts.From, data)
	}
	if opts.Out == "" {
		return data, nil
	}
	err = bronzereport.LoadJSON(dataPath(opts), data)
	if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	return data, err
}

func dataPath(opts *options) string { return filepath.Join(opts.Out, "data", "matrix.json") }

// failureError returns an error if any run of the experiments has faults.
func failureError(experiments []*Experiment) error {
	failed, all := 0, 0
	for _, e := range experiments {
		for i := range e.Runs {
			all++
			if len(e.Runs[i].Faults) > 0 {
				failed++
			}
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d runs broke a promise", failed, all)
	}
	return nil
}
