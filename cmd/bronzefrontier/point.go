package main

import (
	"fmt"
	"slices"
)

// Spread is the lowest, median and highest value of a result over several seeds.
type Spread struct {
	Low, Median, High float64
}

// newSpread returns the spread of the given value of the results.
func newSpread(results []Result, value func(*Result) float64) Spread {
	values := make([]float64, 0, len(results))
	for i := range results {
		values = append(values, value(&results[i]))
	}
	slices.Sort(values)
	last := len(values) - 1
	return Spread{Low: values[0], Median: values[last/2], High: values[last]}
}

// Point is one point of the frontier: the results of a setting over all seeds.
// See Result for the fields with a Spread.
type Point struct {
	Deployment          string
	Service             string
	FlowsPerServer      int
	Placement           Placement
	Bound               float64
	Imbalance           Spread
	ImbalanceP99        Spread
	Exceptions          Spread
	BrokenByKill        Spread
	BrokenByJoinAndKill Spread
	OwnedFlows          Spread
}

func newPoint(w Workload, s Setting, flows int, results []Result) Point {
	return Point{
		Deployment:          w.Deployment,
		Service:             w.Service,
		FlowsPerServer:      flows,
		Placement:           s.Placement,
		Bound:               s.Bound,
		Imbalance:           newSpread(results, func(r *Result) float64 { return r.Imbalance }),
		ImbalanceP99:        newSpread(results, func(r *Result) float64 { return r.ImbalanceP99 }),
		Exceptions:          newSpread(results, func(r *Result) float64 { return r.Exceptions }),
		BrokenByKill:        newSpread(results, func(r *Result) float64 { return r.BrokenByKill }),
		BrokenByJoinAndKill: newSpread(results, func(r *Result) float64 { return r.BrokenByJoinAndKill }),
		OwnedFlows:          newSpread(results, func(r *Result) float64 { return r.OwnedFlows }),
	}
}

// name returns the name of the point's setting in tables.
func (p *Point) name() string {
	switch p.Placement {
	case HashAlone:
		return "hash alone"
	case TwoChoices:
		return "two choices"
	default:
		return fmt.Sprintf("bound %.2f", p.Bound)
	}
}

// tableHead is the head of a Markdown table with the rows that row returns.
const tableHead = `| service | flows a server | placement | imbalance | P99 | exceptions | broken by a kill | after a join |
| --- | --- | --- | --- | --- | --- | --- | --- |
`

// row formats the point as a row of a Markdown table.
func (p *Point) row() string {
	return fmt.Sprintf("| %s | %d | %s | %.3f (%.3f-%.3f) | %.3f | %.1f%% (%.1f-%.1f) | %.2f | %.2f |\n",
		p.Service, p.FlowsPerServer, p.name(),
		p.Imbalance.Median, p.Imbalance.Low, p.Imbalance.High, p.ImbalanceP99.Median,
		100*p.Exceptions.Median, 100*p.Exceptions.Low, 100*p.Exceptions.High,
		p.BrokenByKill.Median, p.BrokenByJoinAndKill.Median)
}
