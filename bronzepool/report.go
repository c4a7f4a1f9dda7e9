package bronzepool

import (
	"math"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Report is the state that a server reports of itself, polled by this node or by
// a peer.
type Report struct {
	Server      bronzeflow.ServerID
	Connections int
	Leaving     bool
	At          time.Time
}

const (
	// ReportedLeavingHold is how long a server counts as leaving after it
	// reported so. Later reports without the flag don't end it sooner: of two
	// contradicting sources, the one that stops new flows wins.
	ReportedLeavingHold = 30 * time.Second

	// reportHalfLife is the age at which a report has half its weight.
	reportHalfLife = 3 * time.Second
	// reportMaxAge is the age from which a report has no weight.
	reportMaxAge = 30 * time.Second
	// minReportWeight is the weight of a fresh, trusted report if all other
	// owners share their counts, which are then the better source. The weight
	// grows with the fraction of owners whose counts are missing.
	minReportWeight = 0.2

	// A contradiction removes the fraction distrustStep of the remaining
	// trust; a consistent report removes the fraction trustStep of the
	// distrust.
	distrustStep = 0.5
	trustStep    = 0.1
	// minTrust is the trust from which a report can close a server to new
	// flows.
	minTrust = 0.5
	// fullTrialInterval is how often a server that reports to be full is
	// tried.
	fullTrialInterval = time.Second

	// quickAccept is the time within which a full server doesn't accept a
	// flow.
	quickAccept = 100 * time.Millisecond
	// A correct report may be off by reportSlack flows plus the fraction
	// reportSlackFraction of the flows, since the server and this node see
	// the end of a flow at different times.
	reportSlack         = 4
	reportSlackFraction = 0.1
	// frozenReports is the number of equal reports in a row, while this
	// node's own count changed, from which the figure counts as frozen.
	frozenReports = 3
)

// observations counts what this node saw of a server since its last report.
type observations struct {
	accepted int
	quick    int
	refused  int
}

// report is the last report of a server and how far to trust it. own is this
// node's count when the report arrived.
type report struct {
	connections int
	at          int64
	own         int
	observed    observations

	// sameReports counts equal reports in a row; ownAtFirstSame is this
	// node's count at the first of them.
	sameReports    int
	ownAtFirstSame int

	distrust       float64
	contradictions uint64
}

// observe processes a report. A report older than the last one is ignored. One
// from a clock that is ahead is dated now; otherwise it would block all later
// reports until that time.
func (s *server) observe(r *Report, now int64) {
	at := min(r.At.UnixNano(), now)
	if at < s.report.at {
		return
	}
	if s.report.at != 0 {
		s.updateTrust(r)
	}
	if r.Connections != s.report.connections || s.report.at == 0 {
		s.report.sameReports = 0
		s.report.ownAtFirstSame = s.own
	}
	s.report.sameReports++
	s.report.connections = r.Connections
	s.report.at = at
	s.report.own = s.own
	s.report.observed = observations{}
}

// updateTrust adjusts the distrust of s by comparing r with what this node
// observed.
func (s *server) updateTrust(r *Report) {
	if s.understated(r) || s.overstated(r) || s.frozen(r) {
		s.report.distrust += (1 - s.report.distrust) * distrustStep
		s.report.contradictions++
		return
	}
	// A server that fails openings is tried rarely. Its reports in between
	// can't be checked against anything, so they earn no trust.
	if s.fails == 0 {
		s.report.distrust *= 1 - trustStep
	}
}

// understated reports whether the server reports fewer flows than this node
// alone has had on it since the last report, or to be idle while it fails
// openings. Such a server would attract flows only to refuse them.
func (s *server) understated(r *Report) bool {
	minimum := float64(min(s.own, s.report.own))
	reported := float64(r.Connections)
	if reported < minimum*(1-reportSlackFraction)-reportSlack {
		return true
	}
	seen := &s.report.observed
	idle := reported <= s.sharedCount()/2 || r.Connections == 0
	return idle && seen.refused > seen.accepted
}

// overstated reports whether the server reports to be full while it accepts
// flows at once. Believing it would leave its capacity unused.
func (s *server) overstated(r *Report) bool {
	seen := &s.report.observed
	full := s.connections > 0 && r.Connections >= s.connections
	return full && seen.quick > 0 && seen.refused == 0 && s.sharedCount() < float64(s.connections)/2
}

// frozen reports whether the server repeats the same figure although this
// node's own count has changed.
func (s *server) frozen(r *Report) bool {
	if r.Connections != s.report.connections || s.report.sameReports+1 < frozenReports {
		return false
	}
	change := math.Abs(float64(s.own - s.report.ownAtFirstSame))
	return change > reportSlack
}

// reportWeight returns the weight of the last report relative to the shared
// counts, given the fraction of owners whose counts are missing. A report of a
// full server has no weight here; closedByReport handles it.
func (s *server) reportWeight(now int64, missing float64) float64 {
	age := time.Duration(max(now-s.report.at, 0))
	if s.report.at == 0 || age >= reportMaxAge || s.reportsFull() {
		return 0
	}
	fresh := math.Exp2(-float64(age) / float64(reportHalfLife))
	return (1 - s.report.distrust) * fresh * max(minReportWeight, missing)
}

func (s *server) reportsFull() bool {
	return s.connections > 0 && s.report.connections >= s.connections
}

// closedByReport reports whether a recent, trusted report says that the server
// is full and the next trial isn't due yet.
func (s *server) closedByReport(now int64) bool {
	if !s.reportsFull() || now >= s.fullTrialAt {
		return false
	}
	return now-s.report.at < int64(reportMaxAge) && 1-s.report.distrust >= minTrust
}
