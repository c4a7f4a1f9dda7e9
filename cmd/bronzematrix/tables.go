package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"bronzeusher.example/bronzeusher/bronzereport"
)

// noFaults is in the row of a run that kept all promises.
const noFaults = "none"

// column is a column of a table.
type column struct {
	head string
	cell func(*Run) string
}

func integer[T int | int64](n T) string { return strconv.FormatInt(int64(n), 10) }

// caseColumns tell which run it is.
var caseColumns = []column{
	{"deployment", func(r *Run) string { return r.Deployment }},
	{"disturbance", func(r *Run) string { return r.Disturb }},
	{"seed", func(r *Run) string { return strconv.FormatUint(r.Seed, 10) }},
}

var sizeColumn = column{"balancers", func(r *Run) string { return integer(r.Balancers) }}

var brokenColumns = []column{
	{"BrokenFlows", func(r *Run) string { return integer(r.BrokenFlows) }},
	{"HashAloneBroken", func(r *Run) string { return integer(r.HashAloneBroken) }},
}

var promiseColumns = slices.Concat(
	caseColumns,
	[]column{
		{"Flows", func(r *Run) string { return integer(r.Flows) }},
		{"Requests", func(r *Run) string { return integer(r.Requests) }},
	},
	brokenColumns,
	[]column{
		{"CutFlows", func(r *Run) string { return integer(r.CutFlows) }},
		{"RefusedFlows", func(r *Run) string { return integer(r.RefusedFlows) }},
		{"UnopenedFlows", func(r *Run) string { return integer(r.UnopenedFlows) }},
		{"Misdelivered", func(r *Run) string { return integer(r.Misdelivered) }},
		{"DoubleRuns", func(r *Run) string { return integer(r.DoubleRuns) }},
		{"FalseRefusals", func(r *Run) string { return integer(r.FalseRefusals) }},
		{"WrongAnswers", func(r *Run) string { return integer(r.WrongAnswers) }},
		{"NewFlowsOnLeaving", func(r *Run) string { return integer(r.NewFlowsOnLeaving) }},
	},
)

var trafficColumns = []column{
	{"RelayedShare", func(r *Run) string { return fmt.Sprintf("%.1f%%", 100*r.RelayedShare) }},
	{"control B/s", func(r *Run) string { return fmt.Sprintf("%.0f", r.ControlBytesPerSecond) }},
	{"flow-message B/s", func(r *Run) string { return fmt.Sprintf("%.0f", r.FlowMessageBytesPerSecond) }},
}

var costColumns = slices.Concat(
	caseColumns,
	[]column{{"Imbalance (hash alone)", (*Run).imbalances}},
	trafficColumns,
	[]column{
		{"retries/opens", func(r *Run) string { return fmt.Sprintf("%d/%d", r.FurtherServers, r.OpensTried) }},
		{"ConfigSeconds", func(r *Run) string { return fmt.Sprintf("%.2f", r.ConfigSeconds) }},
	},
)

var sizeColumns = slices.Concat(caseColumns, []column{sizeColumn}, brokenColumns, trafficColumns)

// imbalances returns each service's imbalance beside that of hash alone.
func (r *Run) imbalances() string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(r.Imbalance)) {
		list = append(list, fmt.Sprintf("%s %.3f (%.3f)", name, r.Imbalance[name], r.HashAloneImbalance[name]))
	}
	return strings.Join(list, ", ")
}

// newTable returns a table with a row for each run. The counts of a run that
// couldn't be made are left out.
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
	for i, c := range columns {
		identity := i < len(caseColumns) || c.head == sizeColumn.head
		if r.Failed && !identity {
			cells = append(cells, "-")
			continue
		}
		cells = append(cells, c.cell(r))
	}
	return append(cells, r.faults())
}

// faults names what the run broke, in bold.
func (r *Run) faults() string {
	if len(r.Faults) == 0 {
		return noFaults
	}
	return "**" + strings.Join(r.Faults, "; ") + "**"
}
