package bronzetest

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

const (
	// maxConfigSeconds is the time in which a change is in force everywhere.
	maxConfigSeconds = 6
	// maxControlBytes is what a balancer may send for control in a second.
	maxControlBytes = 6 << 10
	// fairFlows is how many flows a host must have for its service's
	// imbalance to be judged.
	fairFlows = 50
	// killShare is the part of hash alone's broken flows that a kill may
	// break.
	killShare = 0.25
	// retryBurst is how many attempts a balancer's retry budget of one
	// service may be ahead of its share.
	retryBurst = 10
)

// Result is what a Demo counted. Everything but the four fields whose
// comment says so is counted at the two ends of the flows.
type Result struct {
	Deployment string
	Disturb    string
	Seed       uint64
	Balancers  int
	Seconds    float64

	// Flows is the number of established flows, Requests of answered ones.
	Flows    int64
	Requests int64
	// BrokenFlows were established and then reset, or got no answer in five
	// seconds; CutFlows are those whose two ends a partition separated.
	BrokenFlows int64
	CutFlows    int64
	// RefusedFlows were told that nothing ran; UnopenedFlows were told
	// nothing in five seconds.
	RefusedFlows  int64
	UnopenedFlows int64
	// Misdelivered counts packets for another service's address, DoubleRuns
	// the runs of a request after its first, FalseRefusals the flows that
	// were told that nothing ran while something did, WrongAnswers the
	// answers that were not whole or not the flow's own.
	Misdelivered  int64
	DoubleRuns    int64
	FalseRefusals int64
	WrongAnswers  int64
	// NewFlowsOnLeaving were accepted by a server more than three seconds
	// after its drain.
	NewFlowsOnLeaving int64
	// StrayPackets reached a caller outside its sequence and were ignored.
	StrayPackets int64
	// ConfigSeconds is the time from publishing a change, or from the
	// platform's return, until it was in force on every balancer; -1 if it
	// never was.
	ConfigSeconds float64
	// Imbalance is by service the busiest serving host's concurrent flows
	// over the mean, averaged over the run after its start.
	// HashAloneImbalance is that of a rendezvous hash for the same flows,
	// HashAloneBroken the flows that it would have sent elsewhere.
	Imbalance          map[string]float64
	HashAloneImbalance map[string]float64
	HashAloneBroken    int
	// FlowsPerHost is by service the mean of concurrent flows.
	FlowsPerHost map[string]float64
	// RelayedShare is the share of packets that another balancer delivered
	// than the one that the sender chose.
	RelayedShare     float64
	PacketsPerSecond float64
	// OpensTried are the flows whose opening reached a server, FurtherServers
	// the servers beyond the first that they reached.
	OpensTried     int
	FurtherServers int

	// ControlBytesPerSecond is what a balancer sent on its control links, on
	// average; FlowMessageBytesPerSecond for messages about single flows.
	// Both are the balancers' own counts, as are Refusals and Retries.
	ControlBytesPerSecond     float64
	FlowMessageBytesPerSecond float64
	Refusals                  map[string]int64
	Retries                   map[string]int64

	maxImbalance map[string]float64
}

// Violations names each promise that the run broke.
func (r *Result) Violations() (broken []string) {
	check := func(kept bool, format string, args ...any) {
		if !kept {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	check(r.Requests > 0, "no request was answered")
	check(r.Misdelivered == 0, "Misdelivered is %d", r.Misdelivered)
	check(r.DoubleRuns == 0, "DoubleRuns is %d", r.DoubleRuns)
	check(r.FalseRefusals == 0, "FalseRefusals is %d", r.FalseRefusals)
	check(r.WrongAnswers == 0, "WrongAnswers is %d", r.WrongAnswers)
	check(r.NewFlowsOnLeaving == 0, "NewFlowsOnLeaving is %d", r.NewFlowsOnLeaving)
	check(r.ConfigSeconds >= 0 && r.ConfigSeconds <= maxConfigSeconds,
		"ConfigSeconds is %.1f, over %d or never", r.ConfigSeconds, maxConfigSeconds)
	switch r.Disturb {
	case Kill:
		check(r.BrokenFlows == 0 || float64(r.BrokenFlows) < killShare*float64(r.HashAloneBroken),
			"BrokenFlows is %d, hash alone breaks %d", r.BrokenFlows, r.HashAloneBroken)
	case Pause, Silent:
		// Neither is a planned change; what was lost is shown.
	default:
		check(r.BrokenFlows == 0, "BrokenFlows is %d", r.BrokenFlows)
	}
	switch r.Disturb {
	case NoDisturbance:
		r.checkSteady(check)
	case PlatformDown:
		check(r.UnopenedFlows == 0, "UnopenedFlows is %d", r.UnopenedFlows)
	case Reject:
		allowed := retryBudget*float64(r.OpensTried) + float64(retryBurst*r.Balancers*len(r.Imbalance))
		check(float64(r.FurtherServers) <= allowed,
			"FurtherServers is %d, the retry budget allows %.0f", r.FurtherServers, allowed)
	}
	return broken
}

// checkSteady checks what is promised of a run without a disturbance.
func (r *Result) checkSteady(check func(bool, string, ...any)) {
	check(r.RefusedFlows == 0, "RefusedFlows is %d", r.RefusedFlows)
	check(r.UnopenedFlows == 0, "UnopenedFlows is %d", r.UnopenedFlows)
	check(r.ControlBytesPerSecond <= maxControlBytes,
		"ControlBytesPerSecond is %.0f, over %d", r.ControlBytesPerSecond, maxControlBytes)
	for _, name := range slices.Sorted(maps.Keys(r.Imbalance)) {
		fair := r.FlowsPerHost[name] < fairFlows || r.Imbalance[name] <= r.maxImbalance[name]
		check(fair, "Imbalance of %s is %.3f, over %.2f", name, r.Imbalance[name], r.maxImbalance[name])
	}
}

// WriteTable writes the result for a person to read.
func (r *Result) WriteTable(w io.Writer) (err error) {
	defer annotate(&err, "write table")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
		}
	}
	row("Deployment", "%s, %d balancers, %.0f s, seed %d", r.Deployment, r.Balancers, r.Seconds, r.Seed)
	row("Disturb", "%s", r.Disturb)
	row("Flows", "%d (%d requests answered)", r.Flows, r.Requests)
	row("BrokenFlows", "%d (hash alone: %d; cut off: %d)", r.BrokenFlows, r.HashAloneBroken, r.CutFlows)
	row("Misdelivered", "%d", r.Misdelivered)
	row("DoubleRuns", "%d", r.DoubleRuns)
	row("FalseRefusals", "%d", r.FalseRefusals)
	row("WrongAnswers", "%d", r.WrongAnswers)
	row("NewFlowsOnLeaving", "%d", r.NewFlowsOnLeaving)
	row("RefusedFlows", "%d (told nothing: %d)", r.RefusedFlows, r.UnopenedFlows)
	row("ConfigSeconds", "%.2f", r.ConfigSeconds)
	for _, name := range slices.Sorted(maps.Keys(r.Imbalance)) {
		row("Imbalance", "%s %.3f (hash alone: %.3f; %.0f flows a host)",
			name, r.Imbalance[name], r.HashAloneImbalance[name], r.FlowsPerHost[name])
	}
	row("PacketsPerSecond", "%.0f (relayed: %.1f%%)", r.PacketsPerSecond, 100*r.RelayedShare)
	row("ControlBytesPerSecond", "%.0f (messages about flows: %.0f)", r.ControlBytesPerSecond, r.FlowMessageBytesPerSecond)
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		row("Refusals", "%s %d", reason, r.Refusals[reason])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Retries)) {
		row("Retries", "%s %d", reason, r.Retries[reason])
	}
	if err != nil {
		return err
	}
	return t.Flush()
}
