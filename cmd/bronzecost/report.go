package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Report is the content of the data file.
type Report struct {
	Machine  Machine
	Revision string
	// Modified tells that the tree had changes beside Revision.
	Modified bool
	Date     time.Time
	// Quick tells that the runs were short, so that timings are rough.
	Quick bool
	// Runs is how often each benchmark ran; the values are medians.
	Runs   int
	Series []Series
}

// Machine is where the costs were measured.
type Machine struct {
	Processor string
	Cores     int
	GoVersion string
	// Load is the load average of the last minute before the start.
	Load string
}

// Series is one cost at several sizes, with the line fitted to it.
type Series struct {
	Name   string
	What   string
	Source string
	Size   string
	Unit   string
	Points []Point
	Line   Line
}

// Point is the median of the runs at one size, with the lowest and highest.
type Point struct {
	Size, Value, Low, High float64
}

func newReport(ctx context.Context, quick bool) (r *Report, err error) {
	revision, err := output(ctx, "git", "rev-parse", "--short", "HEAD")
	if err != nil {
		return nil, err
	}
	status, err := output(ctx, "git", "status", "--porcelain", "--untracked-files=no", "--", "*.go", "go.mod")
	if err != nil {
		return nil, err
	}
	return &Report{
		Machine: Machine{
			Processor: processor(),
			Cores:     runtime.NumCPU(),
			GoVersion: runtime.Version(),
			Load:      loadAverage(),
		},
		Revision: revision,
		Modified: status != "",
		Date:     time.Now().UTC().Truncate(time.Second),
		Quick:    quick,
	}, nil
}

// output returns what a command prints, without the space around it.
func output(ctx context.Context, name string, args ...string) (text string, err error) {
	b, err := exec.CommandContext(ctx, name, args...).Output()
	if err != nil {
		return "", errors.Wrap(err, name)
	}
	return strings.TrimSpace(string(b)), nil
}

func moduleRoot(ctx context.Context) (dir string, err error) {
	return output(ctx, "go", "list", "-m", "-f", "{{.Dir}}")
}

// processor returns the model's name where Linux tells it.
func processor() string {
	f, err := os.Open("/proc/cpuinfo")
	if err != nil {
		return runtime.GOARCH
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if key, value, ok := strings.Cut(lines.Text(), ":"); ok && strings.TrimSpace(key) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return runtime.GOARCH
}

func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	load, _, _ := strings.Cut(string(b), " ")
	return load
}

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

// print writes a table of all series.
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

// values returns the points as text.
func (s *Series) values() string {
	list := make([]string, len(s.Points))
	for i, p := range s.Points {
		list[i] = number(p.Size) + ": " + number(p.Value)
	}
	return strings.Join(list, ", ")
}

// series returns the series of that name.
func (r *Report) series(name string) (s *Series, err error) {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i], nil
		}
	}
	return nil, errors.Errorf("no series %s in the data; measure again", name)
}
