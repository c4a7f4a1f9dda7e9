// Bronzeceiling tells what the windows of measured days lost, and how much of it nobody
// could have earned because no node was up.
//
// # Usage
//
//	bronzeceiling docs/data/ceiling.json
//
// The file has a list of days (Day), in JSON. It prints a table in Markdown, a day a row.
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
	Windows bool   `help:"Print the windows that lost something, in place of the days." env:"BRONZECEILING_WINDOWS"`
}

func main() {
	var opts options
	k := kong.Parse(&opts, kong.Description("Tells what measured days lost and couldn't have earned."))
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

// check returns the first fault of a day, with its field.
func (d *Day) check() error {
	if d.Name == "" {
		return errors.New("Name: is missing")
	}
	if len(d.Classes) == 0 {
		return errors.New("Classes: there is none")
	}
	for i, c := range d.Classes {
		if c.Worth <= 0 || c.Share < 0 {
			return errors.Errorf("Classes[%d]: Worth is not over 0, or Share below 0", i)
		}
	}
	for i, w := range d.Windows {
		if w.ToS <= w.FromS {
			return errors.Errorf("Windows[%d].ToS: is not after FromS", i)
		}
	}
	return nil
}

// dayTable has a row for each day.
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
			d.Deployment, d.Name, strconv.Itoa(asked), whole(total), whole(unavoidable), whole(total - unavoidable),
			whole(worst.Avoidable()) + " at " + whole(worst.FromS) + " s",
		})
	}
	return t
}

// windowTable has a row for each window that lost something.
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
				d.Deployment, d.Name, whole(l.FromS), strconv.Itoa(l.Asked), strconv.Itoa(l.Late), strconv.Itoa(l.Lost),
				whole(l.Unavoidable), whole(l.Avoidable()),
			})
		}
	}
	return t
}

func whole(f float64) string { return strconv.FormatFloat(f, 'f', 0, 64) }
