package main

import (
	"math"
	"slices"
)

// Line is a straight line fitted to points by least squares.
type Line struct {
	Intercept float64
	Slope     float64
	// Spread is the root mean square of the residuals, divided by the absolute
	// value of the mean.
	Spread float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// fit returns the least-squares line of points. With fewer than two different
// sizes its slope is 0.
func fit(points []Point) (l Line) {
	n := float64(len(points))
	if n == 0 {
		return l
	}
	var meanX, meanY, xx, xy float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	for _, p := range points {
		xx += (p.Size - meanX) * (p.Size - meanX)
		xy += (p.Size - meanX) * (p.Value - meanY)
	}
	if xx > 0 {
		l.Slope = xy / xx
	}
	l.Intercept = meanY - l.Slope*meanX
	square := 0.0
	for _, p := range points {
		d := p.Value - l.At(p.Size)
		square += d * d / n
	}
	if meanY != 0 {
		l.Spread = math.Sqrt(square) / math.Abs(meanY)
	}
	return l
}

// median returns the median of values, or 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	mid := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[mid]
	}
	return (sorted[mid-1] + sorted[mid]) / 2
}
