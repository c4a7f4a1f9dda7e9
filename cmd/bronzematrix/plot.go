package main

import (
	"math"
	"slices"
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

// The size of one panel.
const (
	panelWidth  = 24 * vg.Centimeter
	panelHeight = 8 * vg.Centimeter
	panelGap    = 6 * vg.Millimeter
	barWidth    = 7 * vg.Millimeter
	// headroom is the space above the highest bar for the legend and the
	// numbers, as a fraction of the bar's height.
	headroom = 0.4
)

// bars is a series of bars, one for each disturbance.
type bars struct {
	name  string
	value func(*Run) float64
	// offset is the distance from the middle of the group in bar widths.
	offset float64
}

var barKinds = []bars{
	{"this design", func(r *Run) float64 { return float64(r.BrokenFlows) }, -0.5},
	{"hash alone", func(r *Run) float64 { return float64(r.HashAloneBroken) }, 0.5},
}

// writePlot draws a panel with the broken flows of each deployment.
func writePlot(name string, runs []Run) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "plot")
		}
	}()
	completed := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Failed })
	var rows [][]*plot.Plot
	for _, deployment := range distinct(completed, func(r *Run) string { return r.Deployment }) {
		selected := slices.DeleteFunc(slices.Clone(completed), func(r Run) bool { return r.Deployment != deployment })
		p, err := panel(deployment, selected)
		if err != nil {
			return err
		}
		rows = append(rows, []*plot.Plot{p})
	}
	if len(rows) == 0 {
		return errors.New("no run completed")
	}
	canvas := vgsvg.New(panelWidth, vg.Length(len(rows))*panelHeight)
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: panelGap, PadRight: panelGap, PadTop: panelGap}
	for i, dcs := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(dcs[0])
	}
	return bronzereport.Save(name, canvas)
}

// distinct returns the distinct values of the runs in order of appearance.
func distinct(runs []Run, value func(*Run) string) (values []string) {
	for i := range runs {
		if v := value(&runs[i]); !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	return values
}

// panel draws a group of bars for each disturbance.
func panel(title string, runs []Run) (p *plot.Plot, err error) {
	p = plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "broken flows"
	p.Y.Tick.Marker = bronzereport.Ticks("%.0f")
	p.Legend.Top = true
	p.Legend.Left = true
	disturbances := distinct(runs, func(r *Run) string { return r.Disturb })
	p.NominalX(disturbances...)
	for i, kind := range barKinds {
		values := kind.means(runs, disturbances)
		if err = addBars(p, kind, values, i); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1) * (1 + headroom)
	return p, nil
}

// means returns the mean over the seeds for each disturbance.
func (b bars) means(runs []Run, disturbances []string) plotter.Values {
	values := make(plotter.Values, len(disturbances))
	for i, disturb := range disturbances {
		n := 0.0
		for j := range runs {
			if runs[j].Disturb == disturb {
				values[i] += b.value(&runs[j])
				n++
			}
		}
		values[i] /= n
	}
	return values
}

// addBars adds a series of bars with their values above them, so that a zero
// can be told from a missing measurement.
func addBars(p *plot.Plot, kind bars, values plotter.Values, index int) error {
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	chart.Offset = vg.Length(kind.offset) * barWidth
	chart.Color = plotutil.Color(index)
	chart.LineStyle.Width = 0
	numbers := plotter.XYLabels{}
	for i, v := range values {
		numbers.XYs = append(numbers.XYs, plotter.XY{X: float64(i), Y: v})
		tenths := math.Round(10*v) / 10
		numbers.Labels = append(numbers.Labels, strconv.FormatFloat(tenths, 'f', -1, 64))
	}
	labels, err := plotter.NewLabels(numbers)
	if err != nil {
		return err
	}
	labels.Offset = vg.Point{X: chart.Offset, Y: vg.Points(2)}
	for i := range labels.TextStyle {
		labels.TextStyle[i].XAlign = draw.XCenter
	}
	p.Add(chart, labels)
	p.Legend.Add(kind.name, chart)
	return nil
}
