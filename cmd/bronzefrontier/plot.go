package main

import (
	"fmt"
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// Sizes of the panels.
const (
	panelWidth  = 11 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
	panelGap    = 6 * vg.Millimeter
	// legendMargin is the space above the curves, as a fraction of their height.
	legendMargin = 0.6
)

// axis is a result of a Point that a panel plots against the exceptions.
type axis struct {
	label string
	value func(*Point) float64
}

var axes = []axis{
	{label: "imbalance (max over mean)", value: func(p *Point) float64 { return p.Imbalance.Median }},
	{label: "flows broken by a kill", value: func(p *Point) float64 { return p.BrokenByKill.Median }},
}

// writePlot writes an SVG file with a row of panels for each service.
func writePlot(name string, points []Point) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "plot")
		}
	}()
	var rows [][]*plot.Plot
	for _, w := range workloads {
		row, err := panels(w, points)
		if err != nil {
			return err
		}
		if row != nil {
			rows = append(rows, row)
		}
	}
	width := vg.Length(len(axes)) * panelWidth
	canvas := vgsvg.New(width, vg.Length(len(rows))*panelHeight)
	tiles := draw.Tiles{Rows: len(rows), Cols: len(axes), PadX: panelGap, PadY: panelGap, PadRight: panelGap, PadTop: panelGap}
	for i, dcs := range plot.Align(rows, tiles, draw.New(canvas)) {
		for j, dc := range dcs {
			rows[i][j].Draw(dc)
		}
	}
	return bronzereport.Save(name, canvas)
}

// panels returns the row of panels of a service, or nil if it has no points.
func panels(w Workload, points []Point) (row []*plot.Plot, err error) {
	var own []*Point
	for i := range points {
		if points[i].Deployment == w.Deployment && points[i].Service == w.Service {
			own = append(own, &points[i])
		}
	}
	if len(own) == 0 {
		return nil, nil
	}
	for _, a := range axes {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s %s, %d servers", w.Deployment, w.Service, w.Servers)
		p.X.Label.Text = "exceptions (% of new flows)"
		p.Y.Label.Text = a.label
		p.X.Tick.Marker = bronzereport.Ticks("%.0f")
		p.Y.Tick.Marker = bronzereport.Ticks("%.2f")
		p.Legend.Top = true
		p.Add(plotter.NewGrid())
		for i, flows := range flowsPerServer {
			if err := addCurve(p, own, a, flows, i); err != nil {
				return nil, err
			}
		}
		// Leave space for the legend above the curves.
		p.Y.Max += legendMargin * (p.Y.Max - p.Y.Min)
		row = append(row, p)
	}
	return row, nil
}

// addCurve adds the points of Bounded as a line, and the baselines HashAlone and
// TwoChoices as single points.
func addCurve(p *plot.Plot, points []*Point, a axis, flows, index int) error {
	var bounded plotter.XYs
	baselines := make(map[Placement]plotter.XYs)
	for _, r := range points {
		xy := plotter.XY{X: 100 * r.Exceptions.Median, Y: a.value(r)}
		switch {
		case r.FlowsPerServer != flows:
		case r.Placement == Bounded:
			bounded = append(bounded, xy)
		default:
			baselines[r.Placement] = append(baselines[r.Placement], xy)
		}
	}
	line, marks, err := plotter.NewLinePoints(bounded)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	marks.Color = line.Color
	marks.Shape = draw.CircleGlyph{}
	p.Add(line, marks)
	p.Legend.Add(fmt.Sprintf("%d flows a server", flows), line, marks)
	if err := addPoint(p, baselines[HashAlone], line.Color, draw.CrossGlyph{}, "hash alone", index); err != nil {
		return err
	}
	return addPoint(p, baselines[TwoChoices], line.Color, draw.TriangleGlyph{}, "two choices", index)
}

// addPoint adds a baseline. Only that of index 0 is added to the legend.
func addPoint(p *plot.Plot, xys plotter.XYs, c color.Color, shape draw.GlyphDrawer, name string, index int) error {
	s, err := plotter.NewScatter(xys)
	if err != nil {
		return err
	}
	s.Color = c
	s.Shape = shape
	s.Radius = vg.Points(4)
	p.Add(s)
	if index == 0 {
		p.Legend.Add(name, s)
	}
	return nil
}
