package bronzegossip

import "time"

const (
	// reportInterval is the minimum time between two rounds of reports. With more than
	// smallFleet known peers it is largeFleetReportInterval, and reportIntervalPerReport
	// longer for each report in the last round, so that many reports use no more bytes a
	// second than few.
	reportInterval           = 20 * time.Millisecond
	largeFleetReportInterval = 100 * time.Millisecond
	reportIntervalPerReport  = 5 * time.Millisecond
)

// SpreadReports sends the new ones of Reports to a few peers, now or when the next round
// is due. Reports of a server that fails reach all nodes within a few rounds, so that not
// every node has to find the failure out at the cost of its own callers.
func (g *Gossip) SpreadReports(now time.Time) {
	g.runLocked(now, func() {
		g.reportsDue = true
		g.sendDueReports(now)
	})
}

// sendDueReports queues the new reports for a few peers if a round is due. The caller
// holds the lock.
func (g *Gossip) sendDueReports(now time.Time) {
	if !g.reportsDue || now.Before(g.nextReports) {
		return
	}
	g.reportsDue = false
	reports := g.reports(false, now)
	if len(reports) == 0 {
		return
	}
	every := reportInterval
	if len(g.peers) > smallFleet {
		every = largeFleetReportInterval + time.Duration(len(reports))*reportIntervalPerReport
	}
	g.nextReports = now.Add(every)
	for _, to := range g.targets(now, fanout) {
		g.queue(to, now, Message{Reports: reports}, false)
	}
}

// reports returns the reports to send. New ones don't reach one node in twenty right
// away; it gets them with the reply to its next request.
func (g *Gossip) reports(all bool, now time.Time) []Report {
	if g.Reports == nil {
		return nil
	}
	return g.Reports(all, now)
}
