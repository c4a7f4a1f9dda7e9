package bronzesoak

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// Table returns a table with one row per result.
func Table(results []Result) *bronzereport.Table {
	t := &bronzereport.Table{Head: []string{"seed", "nodes", "events", "served", "failed", "rejected", "99% of worst second, ms", "stalls", "broken promises"}}
	for i := range results {
		r := &results[i]
		broken := "none"
		if r.BrokenTotal > 0 {
			broken = fmt.Sprintf("**%d**, first %s", r.BrokenTotal, r.Broken[0])
		}
		t.Rows = append(t.Rows, []string{
			strconv.FormatUint(r.Plan.Seed, 10), strconv.Itoa(r.Plan.Zones * r.Plan.NodesPerZone), strconv.Itoa(len(r.Plan.Events)),
			strconv.Itoa(r.Served), strconv.Itoa(r.Failed), strconv.Itoa(r.Rejected),
			strconv.FormatInt(sum(r.Seconds).WorstMS, 10), strconv.FormatInt(r.Stalls, 10), broken,
		})
	}
	return t
}

// The size of a plot in its SVG file.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes an SVG plot of the first result to the file path: requests that
// were served or not by second, with marks at zero for the events.
func Plot(path string, results []Result) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	if len(results) == 0 {
		return errors.New("no results to plot")
	}
	r := &results[0]
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d", r.Plan.Seed)
	p.X.Label.Text, p.Y.Label.Text = "second", "requests"
	p.Y.Min = 0
	p.Legend.Top = true
	var served, failed, events plotter.XYs
	for i := range r.Seconds {
		served = append(served, plotter.XY{X: float64(i), Y: float64(r.Seconds[i].Served)})
		failed = append(failed, plotter.XY{X: float64(i), Y: float64(r.Seconds[i].Failed + r.Seconds[i].Rejected)})
	}
	for i := range r.Plan.Events {
		events = append(events, plotter.XY{X: r.Plan.Events[i].offset().Seconds()})
	}
	if err = plotutil.AddLinePoints(p, "served", served, "failed or rejected", failed); err != nil {
		return err
	}
	if err = plotutil.AddScatters(p, "events", events); err != nil {
		return err
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	return bronzereport.Save(path, c)
}
