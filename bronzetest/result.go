package bronzetest

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

const (
	// maxConfigSeconds is the time within which a change must be in force on
	// every balancer.
	maxConfigSeconds = 6
	// maxControlBytesPerSecond is the limit of ControlBytesPerSecond.
	maxControlBytesPerSecond = 6 << 10
	// minFlowsForImbalance is the mean number of flows per host below which a
	// service's imbalance is not checked.
	minFlowsForImbalance = 50
	// maxKillShare is the limit of the flows that a kill breaks, as a share of
	// those that hash alone breaks.
	maxKillShare = 0.25
	// retryBurst is the number of attempts by which a balancer may exceed its
	// retry budget for one service.
	retryBurst = 10
)

// Result has the counts of a Demo. Flows, requests and packets are counted at
// the two ends of the flows. The balancers count only the last four exported
// fields.
type Result struct {
	Deployment string
	Disturb    string
	Seed       uint64
	Balancers  int
	Seconds    float64

	// Flows is the number of established flows, Requests that of answered
	// requests.
	Flows    int64
	Requests int64
	// BrokenFlows were established and then reset, or got no answer within five
	// seconds. CutFlows are those of which a partition separated the two ends;
	// they are not in BrokenFlows.
	BrokenFlows int64
	CutFlows    int64
	// RefusedFlows were told that nothing ran. UnopenedFlows got no reply
	// within five seconds.
	RefusedFlows  int64
	UnopenedFlows int64
	// Misdelivered counts packets to a server that doesn't have the destination
	// address or can't decode them. DoubleRuns counts the runs of a request
	// after its first. FalseRefusals counts flows that were told that nothing
	// ran although something did. WrongAnswers counts requests and replies that
	// couldn't be decoded, and answers that don't belong to the flow's last
	// request.
	Misdelivered  int64
	DoubleRuns    int64
	FalseRefusals int64
	WrongAnswers  int64
	// NewFlowsOnLeaving were accepted by a server more than three seconds
	// after its drain.
	NewFlowsOnLeaving int64
	// StrayPackets counts replies to an opening that neither accept nor refuse
	// it, and resets with an unexpected sequence number. Callers ignore them.
	StrayPackets int64
	// ConfigSeconds is the time from publishing a change, or from when the
	// platform was reachable again if that was later, until the change was in
	// force on every balancer. It is -1 if it never was.
	ConfigSeconds float64
	// Imbalance is, by service, the concurrent flows of the busiest serving
	// host over the mean, averaged over the run after its ramp-up.
	// HashAloneImbalance is that of a rendezvous hash for the same flows.
	// HashAloneBroken counts the flows that this hash would have moved to
	// another server.
	Imbalance          map[string]float64
	HashAloneImbalance map[string]float64
	HashAloneBroken    int
	// FlowsPerHost is, by service, the mean number of concurrent flows of a
	// host.
	FlowsPerHost map[string]float64
	// RelayedShare is the share of packets that were delivered by another
	// balancer than the one that the fabric had chosen.
	RelayedShare     float64
	PacketsPerSecond float64
	// OpensTried is the number of flows whose opening reached a server.
	// FurtherServers counts the servers after the first that they reached.
	OpensTried     int
	FurtherServers int

	// ControlBytesPerSecond is the mean that a balancer sent on its control
	// links, FlowMessageBytesPerSecond that for messages about single flows.
	// Refusals and Retries are by reason. The balancers count all four.
	ControlBytesPerSecond     float64
	FlowMessageBytesPerSecond float64
	Refusals                  map[string]int64
	Retries                   map[string]int64

	maxImbalance map[string]float64
}

// Violations describes each promise that the run broke.
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
		check(r.BrokenFlows == 0 || float64(r.BrokenFlows) < maxKillShare*float64(r.HashAloneBroken),
			"BrokenFlows is %d, hash alone breaks %d", r.BrokenFlows, r.HashAloneBroken)
	case Pause, Silent:
		// Neither is a planned change, so broken flows are only reported.
	default:
		check(r.BrokenFlows == 0, "BrokenFlows is %d", r.BrokenFlows)
	}
	switch r.Disturb {
	case NoDisturbance:
		r.checkUndisturbed(check)
	case PlatformDown:
		check(r.UnopenedFlows == 0, "UnopenedFlows is %d", r.UnopenedFlows)
	case Reject:
		allowed := retryBudget*float64(r.OpensTried) + float64(retryBurst*r.Balancers*len(r.Imbalance))
		check(float64(r.FurtherServers) <= allowed,
			"FurtherServers is %d, the retry budget allows %.0f", r.FurtherServers, allowed)
	}
	return broken
}

// checkUndisturbed checks the promises for a run without a disturbance.
func (r *Result) checkUndisturbed(check func(bool, string, ...any)) {
	check(r.RefusedFlows == 0, "RefusedFlows is %d", r.RefusedFlows)
	check(r.UnopenedFlows == 0, "UnopenedFlows is %d", r.UnopenedFlows)
	check(r.ControlBytesPerSecond <= maxControlBytesPerSecond,
		"ControlBytesPerSecond is %.0f, over %d", r.ControlBytesPerSecond, maxControlBytesPerSecond)
	for _, name := range slices.Sorted(maps.Keys(r.Imbalance)) {
		balanced := r.FlowsPerHost[name] < minFlowsForImbalance || r.Imbalance[name] <= r.maxImbalance[name]
		check(balanced, "Imbalance of %s is %.3f, over %.2f", name, r.Imbalance[name], r.maxImbalance[name])
	}
}

// WriteTable writes the result as a table for people.
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
