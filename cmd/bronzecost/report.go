package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// Report is the content of the data file.
type Report struct {
	bronzereport.Source
	// Quick is set if the runs were short, which makes timings imprecise.
	Quick bool
	// Runs is the number of runs of each benchmark. Values are their medians.
	Runs   int
	Series []Series
}

// Series is one cost measured at several sizes, with the fitted line.
type Series struct {
	Name   string
	What   string
	Source string
	Size   string
	Unit   string
	Points []Point
	Line   Line
}

// Point is the median of the runs at one size, with their lowest and highest
// values.
type Point struct {
	Size, Value, Low, High float64
}

// newReport returns a report without series that describes this machine and
// revision.
func newReport(ctx context.Context, quick bool) (r *Report, err error) {
	source, err := bronzereport.NewSource(ctx)
	if err != nil {
		return nil, err
	}
	return &Report{Source: source, Quick: quick}, nil
}

// output runs a command and returns its standard output, with surrounding white
// space removed.
func output(ctx context.Context, name string, args ...string) (text string, err error) {
	b, err := exec.CommandContext(ctx, name, args...).Output()
	if err != nil {
		return "", errors.Wrap(err, name)
	}
	return strings.TrimSpace(string(b)), nil
}

// moduleRoot returns the root directory of the module.
func moduleRoot(ctx context.Context) (dir string, err error) {
	return output(ctx, "go", "list", "-m", "-f", "{{.Dir}}")
}

// readReport reads a report from a data file.
func readReport(path string) (r *Report, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read "+path)
		}
	}()
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r = &Report{}
	return r, json.Unmarshal(b, r)
}

// write writes the report to a data file.
func (r *Report) write(path string) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "write "+path)
		}
	}()
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// print writes a table of all series to w.
func (r *Report) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "NAME\tSIZE\tVALUES\tUNIT\tINTERCEPT\tSLOPE\tSPREAD"); err != nil {
		return err
	}
	for i := range r.Series {
		s := &r.Series[i]
		_, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f%%\n", s.Name, s.Size, s.values(), s.Unit,
			number(s.Line.Intercept), number(s.Line.Slope), 100*s.Line.Spread)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}

// values formats the points as a list of sizes and values.
func (s *Series) values() string {
	list := make([]string, len(s.Points))
	for i, p := range s.Points {
		list[i] = number(p.Size) + ": " + number(p.Value)
	}
	return strings.Join(list, ", ")
}

// series returns the series with the given name, or an error if there is none.
func (r *Report) series(name string) (s *Series, err error) {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i], nil
		}
	}
	return nil, errors.Errorf("no series %s in the data; measure again", name)
}
