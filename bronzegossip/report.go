package bronzegossip

import "time"

const (
	// reportInterval is how often a node passes on reports at most, and largeReportsEvery
	// the same with more than tellAll others, and reportEach later for each report of the
	// last time, so that many reports take no more bytes a second than few.
	reportInterval           = 20 * time.Millisecond
	largeFleetReportInterval = 100 * time.Millisecond
	reportIntervalPerReport  = 5 * time.Millisecond
)

// SpreadReports passes on what is new in Reports, at once or as soon as it may. Reports of a
// server that fails reach all nodes within some steps, so that callers of each don't have
// to find it out.
func (g *Gossip) SpreadReports(now time.Time) {
	g.runLocked(now, func() {
		g.reportsDue = true
		g.sendDueReports(now)
	})
}

// sendDueReports tells a few nodes what is due; the caller holds the lock.
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

// reports returns what is to be told of servers. One node in twenty isn't among those
// that are told at once; it hears with the next message that it asks for.
func (g *Gossip) reports(all bool, now time.Time) []Report {
	if g.Reports == nil {
		return nil
	}
	return g.Reports(all, now)
}
