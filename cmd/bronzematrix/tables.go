package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// noFaults is the cell of a run that kept all promises.
const noFaults = "none"

// column is a column of a table.
type column struct {
	head string
	cell func(*Run) string
	// fromCase marks a column that is known even if the run failed.
	fromCase bool
}

func integer[T int | int64](n T) string { return strconv.FormatInt(int64(n), 10) }

// caseColumns identify the run.
var caseColumns = []column{
	{"deployment", func(r *Run) string { return r.Deployment }, true},
	{"disturbance", func(r *Run) string { return r.Disturb }, true},
	{"seed", func(r *Run) string { return strconv.FormatUint(r.Seed, 10) }, true},
}

var sizeColumn = column{"balancers", func(r *Run) string { return integer(r.Balancers) }, true}

var brokenColumns = []column{
	{"BrokenFlows", func(r *Run) string { return integer(r.BrokenFlows) }, false},
	{"HashAloneBroken", func(r *Run) string { return integer(r.HashAloneBroken) }, false},
}

var promiseColumns = slices.Concat(
	caseColumns,
	[]column{
		{"Flows", func(r *Run) string { return integer(r.Flows) }, false},
		{"Requests", func(r *Run) string { return integer(r.Requests) }, false},
	},
	brokenColumns,
	[]column{
		{"CutFlows", func(r *Run) string { return integer(r.CutFlows) }, false},
		{"RefusedFlows", func(r *Run) string { return integer(r.RefusedFlows) }, false},
		{"UnopenedFlows", func(r *Run) string { return integer(r.UnopenedFlows) }, false},
		{"Misdelivered", func(r *Run) string { return integer(r.Misdelivered) }, false},
		{"DoubleRuns", func(r *Run) string { return integer(r.DoubleRuns) }, false},
		{"FalseRefusals", func(r *Run) string { return integer(r.FalseRefusals) }, false},
		{"WrongAnswers", func(r *Run) string { return integer(r.WrongAnswers) }, false},
		{"NewFlowsOnLeaving", func(r *Run) string { return integer(r.NewFlowsOnLeaving) }, false},
	},
)

var trafficColumns = []column{
	{"RelayedShare", func(r *Run) string { return fmt.Sprintf("%.1f%%", 100*r.RelayedShare) }, false},
	{"control B/s", func(r *Run) string { return fmt.Sprintf("%.0f", r.ControlBytesPerSecond) }, false},
	{"flow-message B/s", func(r *Run) string { return fmt.Sprintf("%.0f", r.FlowMessageBytesPerSecond) }, false},
}

var costColumns = slices.Concat(
	caseColumns,
	[]column{{"Imbalance (hash alone)", (*Run).imbalances, false}},
	trafficColumns,
	[]column{
		{"retries/opens", func(r *Run) string { return fmt.Sprintf("%d/%d", r.FurtherServers, r.OpensTried) }, false},
		{"ConfigSeconds", func(r *Run) string { return fmt.Sprintf("%.2f", r.ConfigSeconds) }, false},
	},
)

var sizeColumns = slices.Concat(caseColumns, []column{sizeColumn}, brokenColumns, trafficColumns)

// imbalances returns each service's imbalance with that of hash alone in
// parentheses.
func (r *Run) imbalances() string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(r.Imbalance)) {
		list = append(list, fmt.Sprintf("%s %.3f (%.3f)", name, r.Imbalance[name], r.HashAloneImbalance[name]))
	}
	return strings.Join(list, ", ")
}

// newTable returns a table with a row for each run. A failed run has dashes in
// place of its counts.
func newTable(columns []column, runs []Run) *bronzereport.Table {
	t := &bronzereport.Table{}
	for _, c := range columns {
		t.Head = append(t.Head, c.head)
	}
	t.Head = append(t.Head, "broken promises")
	for i := range runs {
		t.Rows = append(t.Rows, newRow(columns, &runs[i]))
	}
	return t
}

func newRow(columns []column, r *Run) (cells []string) {
	for _, c := range columns {
		if r.Failed && !c.fromCase {
			cells = append(cells, "-")
			continue
		}
		cells = append(cells, c.cell(r))
	}
	return append(cells, r.faults())
}

// faults returns the run's faults in bold, or noFaults.
func (r *Run) faults() string {
	if len(r.Faults) == 0 {
		return noFaults
	}
	return "**" + strings.Join(r.Faults, "; ") + "**"
}
