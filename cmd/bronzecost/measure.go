package main

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// runSettings determine how long and how often benchmarks run.
type runSettings struct {
	benchTime string
	count     int
	// nodes are the fleet sizes of the tests, separated by commas.
	nodes string
}

var (
	fullSettings  = runSettings{benchTime: "200ms", count: 3, nodes: "7,40,82,490"}
	quickSettings = runSettings{benchTime: "20ms", count: 1, nodes: "7,12,20,40"}
)

// nanoseconds is the unit of timings in benchmark results.
const nanoseconds = "ns/op"

// nodesVariable is the environment variable with the fleet sizes of
// TestChangeReachesAll. If it is set, the test prints its counts.
const nodesVariable = "BRONZECOST_NODES"

// measurements holds the measured values by benchmark name, including the size,
// and by unit.
type measurements map[string]map[string][]float64

func (v measurements) add(name, unit string, x float64) {
	if v[name] == nil {
		v[name] = map[string][]float64{}
	}
	v[name][unit] = append(v[name][unit], x)
}

// measure runs the benchmarks and tests of the selected costs.
func measure(ctx context.Context, opts *options) (r *Report, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "measure")
		}
	}()
	p := fullSettings
	if opts.Quick {
		p = quickSettings
	}
	chosen := selectCosts(opts.Name)
	if len(chosen) == 0 {
		return nil, errors.Errorf("no cost has the name prefix %q", opts.Name)
	}
	r, err = newReport(ctx, opts.Quick)
	if err != nil {
		return nil, err
	}
	r.Runs = p.count
	v := measurements{}
	for _, args := range commands(chosen, p) {
		if err = runTest(ctx, args, p, v); err != nil {
			return nil, err
		}
	}
	for _, c := range chosen {
		s, err := newSeries(c, v)
		if err != nil {
			return nil, err
		}
		r.Series = append(r.Series, s)
	}
	return r, nil
}

// commands returns the arguments of the go commands that measure the costs: one
// for the benchmarks of each package, and one for each test.
func commands(chosen []Cost, p runSettings) (list [][]string) {
	patterns := map[string][]string{}
	var packages []string
	for _, c := range chosen {
		if c.Test != "" {
			test := []string{"test", "-count=1", "-timeout=30m", "-v", "-run", "^" + c.Test + "$", c.Package}
			if !slices.ContainsFunc(list, func(o []string) bool { return slices.Equal(o, test) }) {
				list = append(list, test)
			}
			continue
		}
		if patterns[c.Package] == nil {
			packages = append(packages, c.Package)
		}
		bench, _, _ := strings.Cut(c.Bench, "/")
		if !slices.Contains(patterns[c.Package], bench) {
			patterns[c.Package] = append(patterns[c.Package], bench)
		}
	}
	for _, dir := range packages {
		list = append(list, []string{
			"test", "-timeout=30m", "-cpu=1", "-run", "^$",
			"-bench", "^(" + strings.Join(patterns[dir], "|") + ")$",
			"-benchtime", p.benchTime, "-count", strconv.Itoa(p.count), dir,
		})
	}
	return list
}

// runTest runs a go command and adds its results to v.
func runTest(ctx context.Context, args []string, p runSettings, v measurements) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "go %s", strings.Join(args, " "))
		}
	}()
	root, err := moduleRoot(ctx)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), nodesVariable+"="+p.nodes)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Wrap(err, string(out))
	}
	return v.parse(out)
}

// parse adds the results in the output of go test.
func (v measurements) parse(out []byte) (err error) {
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) > 3 && strings.Contains(fields[0], "/"):
			v.parseBenchmark(fields)
		default:
			v.parseTraffic(lines.Text())
		}
	}
	return lines.Err()
}

// parseBenchmark adds the results of a line in the format of Go benchmarks: a
// name, an iteration count, and pairs of a value and a unit. Other lines are
// ignored.
func (v measurements) parseBenchmark(fields []string) {
	if _, err := strconv.Atoi(fields[1]); err != nil {
		return
	}
	for i := 2; i+1 < len(fields); i += 2 {
		x, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return
		}
		v.add(fields[0], fields[i+1], x)
	}
}

// trafficLog matches a line that TestBytesPerNode of package bronzefleet logs.
var trafficLog = regexp.MustCompile(`(\d+) nodes: steady \{sent:(\d+) .*with one replaced \{sent:(\d+) `)

// parseTraffic adds the results of a line that trafficLog matches. Other lines
// are ignored.
func (v measurements) parseTraffic(line string) {
	m := trafficLog.FindStringSubmatch(line)
	if m == nil {
		return
	}
	// The groups match digits only.
	sent, _ := strconv.ParseFloat(m[2], 64)
	replaced, _ := strconv.ParseFloat(m[3], 64)
	v.add("BytesPerNode/nodes="+m[1], "B/s", sent)
	v.add("BytesPerNode/nodes="+m[1], "B/s-replaced", replaced)
}

// minSizes is the minimum number of sizes for fitting a line.
const minSizes = 4

// newSeries returns the points and the fitted line of one cost. It is an error
// if fewer than minSizes sizes were measured.
func newSeries(c Cost, v measurements) (s Series, err error) {
	s = Series{Name: c.Name, What: c.What, Unit: unitName(c.Unit), Size: c.Size, Source: c.Package + " " + c.Bench}
	for name, units := range v {
		rest, ok := strings.CutPrefix(name, c.Bench)
		if !ok {
			continue
		}
		size, err := strconv.ParseFloat(rest, 64)
		if err != nil || len(units[c.Unit]) == 0 {
			continue
		}
		runs := units[c.Unit]
		s.Points = append(s.Points, Point{
			Size: size, Value: median(runs), Low: slices.Min(runs), High: slices.Max(runs),
		})
	}
	if len(s.Points) < minSizes {
		return s, errors.Errorf("%s: %d sizes of %q in %s, want %d", c.Name, len(s.Points), c.Bench, c.Unit, minSizes)
	}
	slices.SortFunc(s.Points, func(a, b Point) int { return int(a.Size - b.Size) })
	s.Line = fit(s.Points)
	return s, nil
}

// unitName returns the unit without the suffix that distinguishes several values
// of one benchmark, such as "B" for "B-heap".
func unitName(unit string) string {
	if unit == nanoseconds {
		return "ns"
	}
	name, _, _ := strings.Cut(unit, "-")
	return name
}
