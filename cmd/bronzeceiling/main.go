// Command bronzeceiling reports how many requests were lost on measured days, and how much
// of the loss was unavoidable because no node was up.
//
// # Usage
//
//	bronzeceiling docs/data/ceiling.json
//
// reads a list of days (Day) in JSON and prints a Markdown table with a row for each day.
// With --windows it prints a row for each window that lost something.
package main

import (
	"io"
	"os"
	"strconv"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzereport"
)

type options struct {
	File    string `arg:"" help:"Days to read, in JSON." type:"existingfile" env:"BRONZECEILING_FILE"`
	Windows bool   `help:"Print the windows that lost something, instead of the days." env:"BRONZECEILING_WINDOWS"`
}

func main() {
	var opts options
	k := kong.Parse(&opts, kong.Description("Reports the losses of measured days, and which part of them was unavoidable."))
	k.FatalIfErrorf(run(&opts, os.Stdout))
}

func run(opts *options, out io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, opts.File) }()
	var days []Day
	if err = bronzereport.LoadJSON(opts.File, &days); err != nil {
		return err
	}
	for i := range days {
		if err = days[i].check(); err != nil {
			return errors.Wrapf(err, "[%d]", i)
		}
	}
	table := dayTable(days)
	if opts.Windows {
		table = windowTable(days)
	}
	_, err = io.WriteString(out, table.Markdown())
	return err
}

// check validates a day. The error names the first invalid field.
func (d *Day) check() error {
	if d.Name == "" {
		return errors.New("Name: is missing")
	}
	if len(d.Classes) == 0 {
		return errors.New("Classes: must not be empty")
	}
	for i, c := range d.Classes {
		if c.Worth <= 0 || c.Share < 0 {
			return errors.Errorf("Classes[%d]: Worth must be above 0, and Share must not be negative", i)
		}
	}
	for i, w := range d.Windows {
		if w.ToS <= w.FromS {
			return errors.Errorf("Windows[%d].ToS: must be after FromS", i)
		}
	}
	return nil
}

// dayTable returns a table with a row for each day.
func dayTable(days []Day) *bronzereport.Table {
	t := &bronzereport.Table{
		Head: []string{"deployment", "day", "asked", "lost", "out of reach", "avoidable", "worst window, avoidable"},
	}
	for i := range days {
		d := &days[i]
		var total, unavoidable float64
		var worst Loss
		asked := 0
		for _, l := range d.Losses() {
			asked += l.Asked
			total += l.Total
			unavoidable += l.Unavoidable
			if l.Avoidable() > worst.Avoidable() {
				worst = l
			}
		}
		t.Rows = append(t.Rows, []string{
			d.Deployment, d.Name, strconv.Itoa(asked), formatWhole(total), formatWhole(unavoidable), formatWhole(total - unavoidable),
			formatWhole(worst.Avoidable()) + " at " + formatWhole(worst.FromS) + " s",
		})
	}
	return t
}

// windowTable returns a table with a row for each window that lost something.
func windowTable(days []Day) *bronzereport.Table {
	t := &bronzereport.Table{
		Head: []string{"deployment", "day", "from second", "asked", "late", "lost", "out of reach", "avoidable"},
	}
	for i := range days {
		d := &days[i]
		for _, l := range d.Losses() {
			if l.Total == 0 {
				continue
			}
			t.Rows = append(t.Rows, []string{
				d.Deployment, d.Name, formatWhole(l.FromS), strconv.Itoa(l.Asked), strconv.Itoa(l.Late), strconv.Itoa(l.Lost),
				formatWhole(l.Unavoidable), formatWhole(l.Avoidable()),
			})
		}
	}
	return t
}

func formatWhole(f float64) string { return strconv.FormatFloat(f, 'f', 0, 64) }
