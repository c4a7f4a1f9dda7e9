package bronzesteer

import (
	"cmp"
	"slices"
	"time"
)

// maxReports bounds the reports that a node tells at a time, maxReporters those that it
// keeps of one server, and toldReporters those of them that it tells: what three nodes
// found is mostly enough to act on. A report takes 14 bytes, and all fit into one
// message. Where more servers fail at once, each message tells of some of them.
const (
	maxReports          = 32
	maxReporters        = 6
	maxReportsPerServer = 3
)

// Report is what a node has found of a server, as nodes tell each other. Of a server that
// nobody suspects there is none.
type Report struct {
	// Server is half of the server's identifier, as in Load.
	Server uint32
	// Node stands for the node that found it.
	Node uint32
	// SameZone tells that the node is in the server's zone, so that no cut between zones is
	// what keeps it from being answered.
	SameZone bool
	// Answered tells that the server has answered the node, Last ago. Otherwise it left
	// Openings openings and Requests requests unanswered, the first of them sent First
	// ago and the last found unanswered Last ago.
	Answered    bool
	Openings    int
	Requests    int
	First, Last time.Duration
}

// suspects are the servers that some node suspects, or did a moment ago, and whether
// there is something new to be told of them.
type suspects map[*backend]bool

// HasNewReports reports whether Reports has something new since HasNewReports was last called.
func (s *Steerer) HasNewReports() bool { return s.newReports.Swap(false) }

// suspect notes that there is something new to be told of a server.
func (s *Steerer) queueReport(b *backend) {
	s.mu.Lock()
	s.suspects[b] = true
	s.mu.Unlock()
	s.newReports.Store(true)
}

// Reports returns what is to be told to other nodes: what has changed since it was last
// called, or all there is. If that is too much, it is some of it.
func (s *Steerer) Reports(all bool, now time.Time) (list []Report) {
	s.init()
	at := s.sinceStart(now)
	var over []*backend
	for _, b := range s.suspectsToReport(all) {
		told, later := s.reportsOf(b, at)
		switch {
		case later && !all:
			s.requeueReport(b)
		case len(told) == 0 && !later:
			over = append(over, b)
		}
		list = append(list, told...)
	}
	s.removeSuspects(over)
	return s.limitReports(list)
}

// some returns some of the reports if they are too many: answers before findings. While
// nodes that are late find more servers silent than a message holds, what clears those has
// to come through.
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

// tellLater keeps a server among those that there is something new of.
func (s *Steerer) requeueReport(b *backend) {
	s.mu.Lock()
	s.suspects[b] = true
	s.mu.Unlock()
}

// renewNews has News say so if there is something new that was too young to be told.
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

// toTell returns the servers that others are to be told of.
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
	return list
}

func (s *Steerer) removeSuspects(over []*backend) {
	if len(over) == 0 {
		return
	}
	s.mu.Lock()
	for _, b := range over {
		delete(s.suspects, b)
	}
	s.mu.Unlock()
	for _, b := range over {
		b.mu.Lock()
		b.reported = false
		b.mu.Unlock()
	}
}

// reportsOf returns what is to be told of one server, and whether there is something to
// be told later.
func (s *Steerer) reportsOf(b *backend, at time.Duration) (list []Report, later bool) {
	near := b.zoneName == s.AvailabilityZone
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, ok := b.ownFinding(at, near, s.health.validFrom()); ok && s.health.isHealthy(at) {
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
	answer := Report{Server: b.shortID, Node: s.Node, SameZone: near, Answered: true, Last: at - b.lastAnswer()}
	return append(list, answer), later
}

// tellsAnswer reports whether others are to be told when the server last answered: if it
// was said lately that it doesn't, and beside findings that are newer than its answer only
// if that contradicts others. The caller holds the lock.
func (b *backend) shouldReportAnswer(found bool, at time.Duration) bool {
	if !b.reported || b.lastAnswer() == 0 || at-b.lastAnswer() >= suspicionTimeout {
		return false
	}
	return !found || b.disputedAt > 0 && at-b.disputedAt < suspicionTimeout
}

// compare orders reports by what they are worth to others: those from the server's zone
// first, and of these the ones of most flows.
func (r Report) compare(other Report) int {
	if r.SameZone != other.SameZone {
		if r.SameZone {
			return -1
		}
		return 1
	}
	return cmp.Compare(other.Openings+other.Requests, r.Openings+r.Requests)
}

func (f finding) report(server, node uint32, at time.Duration) Report {
	return Report{
		Server: server, Node: node, SameZone: f.sameZone, Openings: f.openings, Requests: f.requests,
		First: at - f.first, Last: at - f.last,
	}
}

// MergeReports takes in what another node tells. What was new in it is then in Reports.
func (s *Steerer) MergeReports(reports []Report, now time.Time) {
	s.init()
	k := s.state.Load()
	if k == nil || len(reports) == 0 {
		return
	}
	at := s.sinceStart(now)
	for i := range reports {
		for _, m := range k.members {
			if m.backend.shortID == reports[i].Server {
				s.mergeReport(m.backend, &reports[i], len(k.members), at)
			}
		}
	}
}

// takeReport takes in one report; servers is how many there are.
func (s *Steerer) mergeReport(b *backend, r *Report, servers int, at time.Duration) {
	if r.Node == s.Node || r.Last < 0 || r.Last >= suspicionTimeout {
		return
	}
	news := false
	switch {
	case r.Answered:
		news = s.mergeAnswer(b, at-r.Last, at)
	case s.acceptFinding(r.Node, r.Server, servers, at):
		news = s.mergeFinding(b, r, at)
	}
	if news {
		s.queueReport(b)
	}
}
