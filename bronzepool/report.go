package bronzepool

import (
	"math"
	"time"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Report is what a server's own endpoint, or a peer that polled it, says.
type Report struct {
	Server      bronzeflow.ServerID
	Connections int
	Leaving     bool
	At          time.Time
}

const (
	// ReportedLeavingHold is how long a server's own word that it is leaving
	// holds. Later reports that don't say so don't end it sooner: of two
	// sources that contradict each other the one that stops new work wins.
	ReportedLeavingHold = 30 * time.Second

	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 3 * time.Second
	// reportLife is the age from which a report doesn't count at all.
	reportLife = 30 * time.Second
	// reportWeight is the weight of a fresh, trusted report when all other
	// owners share their counts, which are then the better source. It grows
	// with the part of the owners that are not heard.
	reportWeight = 0.2

	// A contradiction takes this part of the trust that is left; a report
	// without one takes this part of the distrust away.
	distrustStep = 0.5
	trustStep    = 0.1
	// trusted is the least trust at which a report can shut a server.
	trusted = 0.5
	// shutTrial is how often a server that says it is full is tried.
	shutTrial = time.Second

	// quickAccept is the time in which a full server doesn't accept.
	quickAccept = 100 * time.Millisecond
	// reportSlack is how many flows a true report may be off, and
	// reportSlackPart the part of the flows: ends are seen at two places.
	reportSlack     = 4
	reportSlackPart = 0.1
	// frozenReports is how many equal reports in a row, while this node's
	// count moved, are taken for a figure that doesn't move at all.
	frozenReports = 3
)

// evidence is what this node saw of a server since its last report.
type evidence struct {
	accepted int
	quick    int
	refused  int
}

// report is the last word of a server and how far to trust it.
type report struct {
	connections int
	at          int64
	own         int
	seen        evidence

	// same counts equal reports in a row, sameOwn is this node's count at
	// the first of them.
	same    int
	sameOwn int

	distrust       float64
	contradictions uint64
}

// observe takes a report in. One that is older than the last is ignored; one
// from a clock that is ahead counts as of now, or it would shut out others.
func (s *server) observe(r *Report, now int64) {
	at := min(r.At.UnixNano(), now)
	if at < s.report.at {
		return
	}
	if s.report.at != 0 {
		s.judge(r)
	}
	if r.Connections != s.report.connections || s.report.at == 0 {
		s.report.same = 0
		s.report.sameOwn = s.own
	}
	s.report.same++
	s.report.connections = r.Connections
	s.report.at = at
	s.report.own = s.own
	s.report.seen = evidence{}
}

// judge moves the distrust of s by what r says against what was seen.
func (s *server) judge(r *Report) {
	if s.understated(r) || s.overstated(r) || s.frozen(r) {
		s.report.distrust += (1 - s.report.distrust) * distrustStep
		s.report.contradictions++
		return
	}
	// A server that fails openings is tried rarely. Its reports in between
	// were checked against nothing, so they earn no trust.
	if s.fails == 0 {
		s.report.distrust *= 1 - trustStep
	}
}

// understated: the server reports fewer flows than this node alone has had
// on it all the time since the last report, or to be idle while it fails
// openings. Such a server would draw flows only to refuse them.
func (s *server) understated(r *Report) bool {
	least := float64(min(s.own, s.report.own))
	said := float64(r.Connections)
	if said < least*(1-reportSlackPart)-reportSlack {
		return true
	}
	seen := &s.report.seen
	idle := said <= s.counted()/2 || r.Connections == 0
	return idle && seen.refused > seen.accepted
}

// overstated: the server reports to be full while it accepts at once.
// Believing it would leave its capacity unused.
func (s *server) overstated(r *Report) bool {
	seen := &s.report.seen
	full := s.connections > 0 && r.Connections >= s.connections
	return full && seen.quick > 0 && seen.refused == 0 && s.counted() < float64(s.connections)/2
}

// frozen: the same figure again and again, while the count of this node
// alone has moved.
func (s *server) frozen(r *Report) bool {
	if r.Connections != s.report.connections || s.report.same+1 < frozenReports {
		return false
	}
	moved := math.Abs(float64(s.own - s.report.sameOwn))
	return moved > reportSlack
}

// believed returns the weight of the last report against the counts, when
// unheard is the part of the owners that don't share theirs. One that says
// it is full is left to shut.
func (s *server) believed(now int64, unheard float64) float64 {
	age := time.Duration(max(now-s.report.at, 0))
	if s.report.at == 0 || age >= reportLife || s.saysFull() {
		return 0
	}
	fresh := math.Exp2(-float64(age) / float64(reportHalfLife))
	return (1 - s.report.distrust) * fresh * max(reportWeight, unheard)
}

func (s *server) saysFull() bool {
	return s.connections > 0 && s.report.connections >= s.connections
}

// shut reports whether the server's own word, as far as it is trusted, is
// that it is full, and it isn't time to try it all the same.
func (s *server) shut(now int64) bool {
	if !s.saysFull() || now >= s.tryShutAt {
		return false
	}
	return now-s.report.at < int64(reportLife) && 1-s.report.distrust >= trusted
}
