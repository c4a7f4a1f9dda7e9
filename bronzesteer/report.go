package bronzesteer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxReports bounds the reports that a node tells at a time, maxReporters those that it
	// keeps of one server, and toldReporters those of them that it tells: what three nodes
	// found is mostly enough to act on. A report takes 14 bytes, and all fit into one
	// message. Where more servers fail at once, each message tells of some of them.
	maxReports    = 32
	maxReporters  = 6
	toldReporters = 3
	// suspicionFor is how long a finding counts. While a server stays silent some node
	// tries it about every 2 s and renews it; without an end, flows would be ended long
	// after a cut has healed that kept nodes from a server.
	suspicionFor = 3500 * time.Millisecond
	// deadNodes is how many nodes must have found a server silent for silentFor to be
	// enough to end its flows, and deadProof how many openings and requests it must have
	// left unanswered in all where there are many nodes, silentFlows where there are few. An opening is given up after a few milliseconds, in which a
	// link may be full: with three that nodes with full links gave up, callers lost flows
	// that were open at a server that was well.
	deadNodes = 2
	deadProof = 5
	// deadOpenings is how many openings must be among what a node has found if it goes by
	// itself alone. A server takes openings at once whatever it has to do.
	deadOpenings = 2
	// tellAfter is how old a finding is before it is told where there are many nodes. Of openings that are overdue
	// because a link is full for a moment, the answer comes within some 50 ms: of 66 nodes
	// with links of 10 Mbit/s some had such a finding three times a second, and all nodes
	// told each other of each, and again that it was wrong.
	tellAfter = 100 * time.Millisecond
	// refuteEvery is how often others are told at most that a server has answered of which
	// they still tell the contrary. It is well under the time in which that has to reach
	// all, before they end flows (newsTakes).
	refuteEvery = 200 * time.Millisecond
)

// Report is what a node has found of a server, as nodes tell each other. Of a server that
// nobody suspects there is none.
type Report struct {
	// Server is half of the server's identifier, as in Load.
	Server uint32
	// Node stands for the node that found it.
	Node uint32
	// Near tells that the node is in the server's zone, so that no cut between zones is
	// what keeps it from being answered.
	Near bool
	// Answered tells that the server has answered the node, Last ago. Otherwise it left
	// Openings openings and Requests requests unanswered, the first of them sent First
	// ago and the last found unanswered Last ago.
	Answered    bool
	Openings    int
	Requests    int
	First, Last time.Duration
}

// finding is what another node has found of a server, in this node's time.
type finding struct {
	near        bool
	openings    int
	requests    int
	first, last time.Duration
}

// suspicion is what all nodes together have found of a server since anybody was answered.
type suspicion struct {
	nodes    int
	near     bool
	openings int
	all      int
	first    time.Duration
}

// add adds one node's part.
func (u *suspicion) add(f finding) {
	u.nodes++
	u.near = u.near || f.near
	u.openings += f.openings
	u.all += f.openings + f.requests
	if u.nodes == 1 || f.first < u.first {
		u.first = f.first
	}
}

// beSuspected notes that something is found at at, unless something was before; the
// caller holds the lock.
func (b *backend) beSuspected(at time.Duration) {
	if b.unanswered == 0 && len(b.found) == 0 {
		b.suspectedAt = at
	}
}

// answeredAt returns when any node was last seen to be answered; the caller holds the
// lock.
func (b *backend) answeredAt() time.Duration { return max(b.goodAt, b.othersGoodAt) }

// own returns what this node itself has found since from; the caller holds the lock.
func (b *backend) own(at time.Duration, near bool, from time.Duration) (f finding, ok bool) {
	if b.unanswered == 0 || at-b.silentAt >= suspicionFor || b.answeredAt() > b.silentSince || b.silentSince < from {
		return f, false
	}
	return finding{
		near: near, openings: b.openings, requests: b.unanswered - b.openings, first: b.silentSince, last: b.silentAt,
	}, true
}

// suspicion returns what all nodes together have found; the caller holds the lock.
func (b *backend) suspicion(at time.Duration, near bool, from time.Duration) (u suspicion) {
	if f, ok := b.own(at, near, from); ok {
		u.add(f)
	}
	for node, f := range b.found {
		if at-f.last >= suspicionFor || b.answeredAt() > f.first {
			delete(b.found, node)
			continue
		}
		u.add(f)
	}
	return u
}

// suspects are the servers that some node suspects, or did a moment ago, and whether
// there is something new to be told of them.
type suspects map[*backend]bool

// News reports whether Reports has something new since News was last called.
func (s *Steerer) News() bool { return s.news.Swap(false) }

// suspect notes that there is something new to be told of a server.
func (s *Steerer) suspect(b *backend) {
	s.mu.Lock()
	s.suspects[b] = true
	s.mu.Unlock()
	s.news.Store(true)
}

// Reports returns what is to be told to other nodes: what has changed since it was last
// called, or all there is. If that is too much, it is some of it.
func (s *Steerer) Reports(all bool, now time.Time) (list []Report) {
	s.init()
	at := s.since(now)
	var over []*backend
	for _, b := range s.toTell(all) {
		told, later := s.reportsOf(b, at)
		switch {
		case later && !all:
			s.tellLater(b)
		case len(told) == 0 && !later:
			over = append(over, b)
		}
		list = append(list, told...)
	}
	s.unsuspect(over)
	return s.some(list)
}

// some returns some of the reports if they are too many: answers before findings. While
// nodes that are late find more servers silent than a message holds, what clears those has
// to come through.
func (s *Steerer) some(list []Report) []Report {
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
func (s *Steerer) tellLater(b *backend) {
	s.mu.Lock()
	s.suspects[b] = true
	s.mu.Unlock()
}

// renewNews has News say so if there is something new that was too young to be told.
func (s *Steerer) renewNews() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, changed := range s.suspects {
		if changed {
			s.news.Store(true)
			return
		}
	}
}

// toTell returns the servers that others are to be told of.
func (s *Steerer) toTell(all bool) (list []*backend) {
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

func (s *Steerer) unsuspect(over []*backend) {
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
		b.told = false
		b.mu.Unlock()
	}
}

// reportsOf returns what is to be told of one server, and whether there is something to
// be told later.
func (s *Steerer) reportsOf(b *backend, at time.Duration) (list []Report, later bool) {
	near := b.zoneName == s.AvailabilityZone
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, ok := b.own(at, near, s.fit.from()); ok && s.fit.isFit(at) {
		if later = s.manyNodes() && at-f.first < tellAfter; !later {
			list = append(list, f.report(b.short, s.Node, at))
			b.told = true
		}
	}
	for node, f := range b.found {
		if at-f.last < suspicionFor && b.answeredAt() <= f.first {
			list = append(list, f.report(b.short, node, at))
		}
	}
	slices.SortFunc(list, Report.compare)
	if !b.tellsAnswer(len(list) > 0, at) {
		return list[:min(len(list), toldReporters)], later
	}
	list = list[:min(len(list), toldReporters-1)]
	answer := Report{Server: b.short, Node: s.Node, Near: near, Answered: true, Last: at - b.answeredAt()}
	return append(list, answer), later
}

// tellsAnswer reports whether others are to be told when the server last answered: if it
// was said lately that it doesn't, and beside findings that are newer than its answer only
// if that contradicts others. The caller holds the lock.
func (b *backend) tellsAnswer(found bool, at time.Duration) bool {
	if !b.told || b.answeredAt() == 0 || at-b.answeredAt() >= suspicionFor {
		return false
	}
	return !found || b.disputedAt > 0 && at-b.disputedAt < suspicionFor
}

// compare orders reports by what they are worth to others: those from the server's zone
// first, and of these the ones of most flows.
func (r Report) compare(other Report) int {
	if r.Near != other.Near {
		if r.Near {
			return -1
		}
		return 1
	}
	return cmp.Compare(other.Openings+other.Requests, r.Openings+r.Requests)
}

func (f finding) report(server, node uint32, at time.Duration) Report {
	return Report{
		Server: server, Node: node, Near: f.near, Openings: f.openings, Requests: f.requests,
		First: at - f.first, Last: at - f.last,
	}
}

// SetReports takes in what another node tells. What was new in it is then in Reports.
func (s *Steerer) SetReports(reports []Report, now time.Time) {
	s.init()
	k := s.known.Load()
	if k == nil || len(reports) == 0 {
		return
	}
	at := s.since(now)
	for i := range reports {
		for _, m := range k.members {
			if m.backend.short == reports[i].Server {
				s.takeReport(m.backend, &reports[i], len(k.members), at)
			}
		}
	}
}

// takeReport takes in one report; servers is how many there are.
func (s *Steerer) takeReport(b *backend, r *Report, servers int, at time.Duration) {
	if r.Node == s.Node || r.Last < 0 || r.Last >= suspicionFor {
		return
	}
	news := false
	switch {
	case r.Answered:
		news = s.answeredOther(b, at-r.Last, at)
	case s.mayBlame(r.Node, r.Server, servers, at):
		news = s.foundByOther(b, r, at)
	}
	if news {
		s.suspect(b)
	}
}

// foundByOther takes in that another node has found a server silent, and reports whether
// others are to be told: of that, or that it isn't so.
func (s *Steerer) foundByOther(b *backend, r *Report, at time.Duration) (news bool) {
	f := finding{near: r.Near, openings: r.Openings, requests: r.Requests, first: at - r.First, last: at - r.Last}
	b.mu.Lock()
	before, known := b.found[r.Node]
	b.told = true
	switch {
	case b.answeredAt() > f.first:
		b.disputedAt = at
		news = b.refutedAt == 0 || at-b.refutedAt >= refuteEvery
		if news {
			b.refutedAt = at
		}
		b.mu.Unlock()
		return news
	case known && before.openings >= f.openings && before.requests >= f.requests, !known && len(b.found) >= maxReporters:
		b.mu.Unlock()
		return false
	}
	if b.found == nil {
		b.found = make(map[uint32]finding)
	}
	b.beSuspected(at)
	b.found[r.Node] = f
	e, begins := b.avoidAsOthersDo(f, at)
	b.mu.Unlock()
	if begins {
		s.event(e)
	}
	return true
}

// avoidAsOthersDo keeps new flows away from a server that has left another node's
// opening unanswered, and reports whether that begins; the caller holds the lock. That
// takes weak evidence: it costs the server some new flows, and they have others to go to.
func (b *backend) avoidAsOthersDo(f finding, at time.Duration) (e Event, begins bool) {
	until := f.last + avoidFirst
	if f.openings == 0 || until <= max(at, b.avoidUntil) {
		return e, false
	}
	begins = at >= b.avoidUntil
	b.avoidFor = max(b.avoidFor, avoidFirst)
	b.avoidUntil = until
	return Event{
		Kind: Avoided, Instance: b.instance, AvailabilityZone: b.zoneName,
		Unanswered: f.openings + f.requests, Silence: at - b.goodAt, For: until - at, Nodes: len(b.found),
	}, begins
}

// answeredOther notes that the server has answered another node at goodAt, and reports
// whether that contradicts what is known here. What is then still said against it has to
// wait for further answers as if it was new: while some nodes keep finding a server silent,
// one that answers others is never without a finding that no answer has contradicted yet.
func (s *Steerer) answeredOther(b *backend, goodAt, at time.Duration) (news bool) {
	b.mu.Lock()
	if goodAt <= b.answeredAt() {
		b.mu.Unlock()
		return false
	}
	b.othersGoodAt = goodAt
	news = len(b.found) > 0 || b.unanswered > 0
	for node, f := range b.found {
		if goodAt > f.first {
			delete(b.found, node)
			b.disputedAt, b.suspectedAt = at, at
		}
	}
	if goodAt > b.silentSince {
		b.silent, b.unanswered, b.openings, b.silentSince = 0, 0, 0, 0
	}
	cleared := news && len(b.found) == 0 && b.unanswered == 0 && b.avoidUntil > 0
	if cleared {
		b.avoidUntil, b.avoidFor = 0, 0
	}
	silence := goodAt - b.goodAt
	b.mu.Unlock()
	if cleared {
		s.event(Event{Kind: Cleared, Instance: b.instance, AvailabilityZone: b.zoneName, Silence: silence})
	}
	return news
}
