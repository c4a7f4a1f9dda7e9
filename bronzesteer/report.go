package bronzesteer

import (
	"cmp"
	"slices"
	"time"
)

// maxReports bounds the reports sent at a time, maxReporters those kept of one server, and
// maxReportsPerServer those of them that are sent: the findings of three nodes mostly
// suffice to act on. A report takes 14 bytes, and maxReports fit into one message. If more
// servers fail at once, each message covers some of them.
const (
	maxReports          = 32
	maxReporters        = 6
	maxReportsPerServer = 3
)

// Report is what a node has found of a server, as exchanged between nodes. There are no
// reports of servers that no node suspects.
type Report struct {
	// Server is half of the server's identifier, as in Load.
	Server uint32
	// Node identifies the node that made the finding.
	Node uint32
	// SameZone is set if the node is in the server's zone, so that no partition between
	// zones can be the cause.
	SameZone bool
	// Answered is set if the server answered the node, at the age Last. Otherwise the
	// server left Openings openings and Requests requests unanswered; First is the age of
	// the first of them when sent, Last that of the last when found unanswered.
	Answered    bool
	Openings    int
	Requests    int
	First, Last time.Duration
}

// suspects are the servers that some node suspects, or recently did. The value is set if
// there is something new to report.
type suspects map[*backend]bool

// HasNewReports reports whether Reports has something new since HasNewReports was last
// called.
func (s *Steerer) HasNewReports() bool { return s.newReports.Swap(false) }

// queueReport marks the server as having something new to report.
func (s *Steerer) queueReport(b *backend) {
	s.mu.Lock()
	s.suspects[b] = true
	s.mu.Unlock()
	s.newReports.Store(true)
}

// Reports returns the reports to be sent to other nodes: what has changed since it was last
// called, or everything if all is set. If there are too many, it returns some of them.
func (s *Steerer) Reports(all bool, now time.Time) (list []Report) {
	s.init()
	at := s.sinceStart(now)
	var done []*backend
	for _, b := range s.suspectsToReport(all) {
		reports, later := s.reportsOf(b, at)
		switch {
		case later && !all:
			s.requeueReport(b)
		case len(reports) == 0 && !later:
			done = append(done, b)
		}
		list = append(list, reports...)
	}
	s.removeSuspects(done)
	return s.limitReports(list)
}

// limitReports returns some of the reports if there are too many, answers before findings:
// while delayed nodes find more servers silent than fit into a message, the answers that
// clear these must get through.
func (s *Steerer) limitReports(list []Report) []Report {
	if len(list) <= maxReports {
		return list
	}
	s.shuffle(list)
	slices.SortStableFunc(list, func(a, b Report) int {
		switch {
		case a.Answered == b.Answered:
			return 0
		case a.Answered:
			return -1
		default:
			return 1
		}
	})
	return list[:maxReports]
}

func (s *Steerer) shuffle(list []Report) {
	for i := range list {
		j := i + s.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
}

// requeueReport marks the server again as having something new to report, without signaling
// it.
func (s *Steerer) requeueReport(b *backend) {
	s.mu.Lock()
	s.suspects[b] = true
	s.mu.Unlock()
}

// signalQueuedReports makes HasNewReports return true if something new was too recent to be
// reported before.
func (s *Steerer) signalQueuedReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, changed := range s.suspects {
		if changed {
			s.newReports.Store(true)
			return
		}
	}
}

// suspectsToReport returns the servers to be reported, in a fixed order, and marks them as
// reported unless all is set.
func (s *Steerer) suspectsToReport(all bool) (list []*backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b, changed := range s.suspects {
		if !all && !changed {
			continue
		}
		list = append(list, b)
		if !all {
			s.suspects[b] = false
		}
	}
	slices.SortFunc(list, (*backend).compare)
	return list
}

// compare orders servers by their identifiers.
func (b *backend) compare(other *backend) int {
	return cmp.Or(cmp.Compare(b.shortID, other.shortID), cmp.Compare(b.instance, other.instance))
}

func (s *Steerer) removeSuspects(done []*backend) {
	if len(done) == 0 {
		return
	}
	s.mu.Lock()
	for _, b := range done {
		delete(s.suspects, b)
	}
	s.mu.Unlock()
	for _, b := range done {
		b.mu.Lock()
		b.reported = false
		b.mu.Unlock()
	}
}

// reportsOf returns the reports of one server, and whether there is something to be
// reported later.
func (s *Steerer) reportsOf(b *backend, at time.Duration) (list []Report, later bool) {
	sameZone := b.zoneName == s.AvailabilityZone
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, ok := b.ownFinding(at, sameZone, s.health.validFrom()); ok && s.health.isHealthy(at) {
		if later = s.isLargeFleet() && at-f.first < reportDelay; !later {
			list = append(list, f.report(b.shortID, s.Node, at))
			b.reported = true
		}
	}
	for node, f := range b.findings {
		if at-f.last < suspicionTimeout && b.lastAnswer() <= f.first {
			list = append(list, f.report(b.shortID, node, at))
		}
	}
	slices.SortFunc(list, Report.compare)
	if !b.shouldReportAnswer(len(list) > 0, at) {
		return list[:min(len(list), maxReportsPerServer)], later
	}
	list = list[:min(len(list), maxReportsPerServer-1)]
	answer := Report{Server: b.shortID, Node: s.Node, SameZone: sameZone, Answered: true, Last: at - b.lastAnswer()}
	return append(list, answer), later
}

// shouldReportAnswer reports whether peers are to be told when the server last answered.
// That is the case if it was recently reported as not answering, but beside findings that
// are newer than its answer only if the answer contradicted others. The caller holds the
// lock.
func (b *backend) shouldReportAnswer(found bool, at time.Duration) bool {
	if !b.reported || b.lastAnswer() == 0 || at-b.lastAnswer() >= suspicionTimeout {
		return false
	}
	return !found || b.disputedAt > 0 && at-b.disputedAt < suspicionTimeout
}

// compare orders reports by their value to peers: first those from the server's zone, then
// those of most flows.
func (r Report) compare(other Report) int {
	if r.SameZone != other.SameZone {
		if r.SameZone {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.Openings+other.Requests, r.Openings+r.Requests), cmp.Compare(r.Node, other.Node))
}

func (f finding) report(server, node uint32, at time.Duration) Report {
	return Report{
		Server: server, Node: node, SameZone: f.sameZone, Openings: f.openings, Requests: f.requests,
		First: at - f.first, Last: at - f.last,
	}
}

// MergeReports merges the reports of another node. New information among them is passed on
// by Reports.
func (s *Steerer) MergeReports(reports []Report, now time.Time) {
	s.init()
	vs := s.state.Load()
	if vs == nil || len(reports) == 0 {
		return
	}
	at := s.sinceStart(now)
	for i := range reports {
		for _, m := range vs.members {
			if m.backend.shortID == reports[i].Server {
				s.mergeReport(m.backend, &reports[i], len(vs.members), at)
			}
		}
	}
}

// mergeReport merges one report. The parameter servers is the number of servers.
func (s *Steerer) mergeReport(b *backend, r *Report, servers int, at time.Duration) {
	if r.Node == s.Node || r.Last < 0 || r.Last >= suspicionTimeout {
		return
	}
	changed := false
	switch {
	case r.Answered:
		changed = s.mergeAnswer(b, at-r.Last, at)
	case s.acceptFinding(r.Node, r.Server, servers, at):
		changed = s.mergeFinding(b, r, at)
	}
	if changed {
		s.queueReport(b)
	}
}
