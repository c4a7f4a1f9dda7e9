package main

import (
	"context"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// options are the command's flags.
type options struct {
	Out   string `help:"Data file to write; none means print only." type:"path" env:"BRONZECOST_OUT"`
	Page  string `help:"Page whose marked tables are rewritten." type:"path" env:"BRONZECOST_PAGE"`
	From  string `help:"Data file to read instead of measuring." type:"existingfile" env:"BRONZECOST_FROM"`
	Name  string `help:"Measure only the costs with this name prefix; not with --out or --page." env:"BRONZECOST_NAME"`
	Quick bool   `help:"Short runs, for trying the command out." env:"BRONZECOST_QUICK"`
}

// errPartial is returned if --out or --page is combined with --name. Both need
// all costs.
var errPartial = errors.New("--out and --page need all costs and can't be combined with --name")

// AfterApply checks the flags. It is called by kong.
func (o *options) AfterApply() error {
	if o.Name != "" && (o.Out != "" || o.Page != "") {
		return errPartial
	}
	return nil
}

func main() {
	var opts options
	k := kong.Parse(&opts, kong.Description("Measures the costs of the balancer and calculates those at the target size."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, &opts, os.Stdout)
	stop()
	k.FatalIfErrorf(err)
}

func run(ctx context.Context, opts *options, w io.Writer) (err error) {
	report, err := load(ctx, opts)
	if err != nil {
		return err
	}
	if err = report.print(w); err != nil {
		return err
	}
	if opts.Out != "" {
		if err = report.write(opts.Out); err != nil {
			return err
		}
	}
	if opts.Page == "" {
		return nil
	}
	return rewritePage(opts.Page, report)
}

// load returns the report from the data file of --from, or else from new
// measurements.
func load(ctx context.Context, opts *options) (r *Report, err error) {
	if opts.From != "" {
		return readReport(opts.From)
	}
	return measure(ctx, opts)
}
