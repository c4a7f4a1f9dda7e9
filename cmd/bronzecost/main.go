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
	From  string `help:"Data file to read in place of measuring." type:"existingfile" env:"BRONZECOST_FROM"`
	Name  string `help:"Only the costs whose name starts so; not with --out or --page." env:"BRONZECOST_NAME"`
	Quick bool   `help:"Short runs, for trying the command out." env:"BRONZECOST_QUICK"`
}

// errPartial tells that a file was to be written from a part of the costs.
var errPartial = errors.New("--name measures a part only, which --out and --page can't be written from")

// AfterApply is called by kong to check the flags.
func (o *options) AfterApply() error {
	if o.Name != "" && (o.Out != "" || o.Page != "") {
		return errPartial
	}
	return nil
}

func main() {
	var opts options
	k := kong.Parse(&opts, kong.Description("Measures what the balancer costs and what it will cost."))
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

func load(ctx context.Context, opts *options) (r *Report, err error) {
	if opts.From != "" {
		return readReport(opts.From)
	}
	return measure(ctx, opts)
}
