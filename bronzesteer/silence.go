package bronzesteer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// openingWeight and dataWeight are what an unanswered opening and
	// unanswered data count for; a server is avoided from avoidAt on. A server
	// accepts openings at once, whatever its load, so one is enough. Data that
	// is repeated may only wait for a slow answer.
	openingWeight = 2
	dataWeight    = 1
	avoidAt       = 2
	// avoidFirst is for how long a server is avoided at first, and avoidMost
	// after it left the flows that tried it again unanswered, too.
	avoidFirst = 1500 * time.Millisecond
	avoidMost  = 6 * time.Second
	// silentFlows is how many flows a server must have left unanswered, and
	// silentFor for how long nobody may have been answered by it, before its
	// flows are ended. Three lost packets in a row have a chance of one in
	// 60,000 where a fortieth is lost; and a server with a full queue goes on
	// answering others every few milliseconds.
	silentFlows = 3
	silentFor   = 350 * time.Millisecond
	// busyFor is the same where what it left unanswered is mostly requests. A server
	// takes openings at once whatever it has to do, but of a full queue of eight, with work
	// that takes twice the usual 30 ms since it has just started, the last is answered
	// after 300 ms.
	busyFor = 500 * time.Millisecond
	// aloneFor is the same where there are other nodes, none has said so, too, and it is
	// less than aloneProof that speaks for it: what a node sends through its own link
	// reaches nobody while that is full.
	aloneFor   = 1200 * time.Millisecond
	aloneProof = 8
	// fewNodes is how many others a node may have for news to take a few milliseconds. With
	// more it takes some steps of newsStep there, and as many back, newsLeast at least:
	// each node that hears tells newsFanout others. Acted upon at once, findings of two
	// nodes in the crowd of callers that moved between zones cost others flows that were
	// open at a server that answered.
	fewNodes   = 12
	newsStep   = 100 * time.Millisecond
	newsFanout = 3
	newsLeast  = 400 * time.Millisecond
	// askedFor is for how long a server must have left this node itself without an answer
	// for others' findings to end flows there. One that is well accepts an opening at once,
	// and through a link that is full for a moment the acceptance comes within some 50 ms.
	askedFor = 100 * time.Millisecond
	// silentServers is how many servers of another zone must be silent, with
	// none of it answering, before the way to the zone counts as cut.
	silentServers = 2
	// hearingFor is how long ago any server must have answered this node at
	// most for it to judge others: a node that hears nobody is itself cut off.
	hearingFor = 400 * time.Millisecond
	// silenceCounts is for how long what was left unanswered counts. Without an
	// end, a node that nobody asked for anything of a zone since a cut would
	// end the flows there that come to it from a node that stops.
	silenceCounts = 2 * time.Second
	// silentMost is the part of the own zone's servers that may be silent for
	// the node to judge any, and silentFew a number that always may. Where more
	// are, it is the node whose packets are late: its link or its processor has
	// too much to do.
	silentMost = 0.34
	silentFew  = 2
	// settling is how long a node that has started doesn't judge servers: it
	// starts with the packets that waited and with all records to read.
	settling = 2 * time.Second
)

// zone is what this node has seen of the servers of an availability zone.
type zone struct {
	// goodAt is when one of them was last seen to answer, since the start.
	goodAt atomic.Int64

	mu sync.Mutex
	// silent are those that have been silent since, with when they last left
	// something unanswered, and quiet those that are now.
	silent map[*backend]time.Duration
	quiet  map[*backend]time.Duration
	// servers is how many there are.
	servers int
	// handshake is the mean time that their answers to openings take, 0 if none is
	// known, and deviation how far off it they are on average.
	handshake time.Duration
	deviation time.Duration
}

// zone returns the entry of a zone; the caller holds the lock.
func (s *Steerer) zone(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{silent: make(map[*backend]time.Duration), quiet: make(map[*backend]time.Duration)}
		s.zones[name] = z
	}
	return z
}

// count adds servers of the zone, or takes some away.
func (z *zone) count(n int) {
	z.mu.Lock()
	z.servers += n
	z.mu.Unlock()
}

// forget drops a server that is gone.
func (z *zone) forget(b *backend) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.silent, b)
	delete(z.quiet, b)
}

// answeredSince reports whether the server was seen to answer after at.
func (b *backend) answeredSince(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.goodAt > at
}

// good notes that the server answers.
func (s *Steerer) good(b *backend, at time.Duration) {
	b.mu.Lock()
	avoided := at < b.avoidUntil
	silence := at - b.goodAt
	b.goodAt = at
	contradicts := b.told && (avoided || b.unanswered > 0 || len(b.found) > 0)
	wrong := b.unanswered > 0 && at-b.silentSince < wrongBy
	if len(b.found) > 0 {
		b.disputedAt = at
	}
	clear(b.found)
	b.silent, b.unanswered, b.openings, b.silentSince = 0, 0, 0, 0
	b.avoidUntil, b.avoidFor = 0, 0
	b.mu.Unlock()
	if wrong {
		s.fit.wasWrong(at)
	}
	if contradicts {
		s.suspect(b)
	}
	s.goodAt.Store(int64(at))
	b.zone.good(b, at)
	if avoided {
		s.event(Event{Kind: Cleared, Instance: b.instance, AvailabilityZone: b.zoneName, Silence: silence})
	}
}

// good notes that a server of the zone answers.
func (z *zone) good(b *backend, at time.Duration) {
	z.goodAt.Store(int64(at))
	z.mu.Lock()
	clear(z.silent)
	delete(z.quiet, b)
	z.mu.Unlock()
}

// addSilent notes that a server of the zone is silent.
func (z *zone) addSilent(b *backend, at time.Duration) {
	z.mu.Lock()
	z.silent[b], z.quiet[b] = at, at
	z.mu.Unlock()
}

// recent counts the servers that have left something unanswered lately.
func recent(silent map[*backend]time.Duration, at time.Duration) (n int) {
	for _, last := range silent {
		if at-last < silenceCounts {
			n++
		}
	}
	return n
}

// cut reports whether nobody in the zone has answered for some time and
// several have left flows unanswered.
func (z *zone) cut(at time.Duration) bool {
	if at-time.Duration(z.goodAt.Load()) < silentFor {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return recent(z.silent, at) >= silentServers
}

// silent reports whether the server answers nobody, so that flows there which
// can be repeated elsewhere are better ended: it left several flows unanswered,
// or one, and the way to its zone seems cut. Of a zone that this node sends
// little to, two servers that crash look like a cut; without a sign of its own
// a server that is well would lose its flows. A node that hears nobody says no:
// it would end the flows that other nodes could still take on. It is asked for a flow
// that waits for an answer itself, or for one that doesn't.
func (s *Steerer) silent(b *backend, waits bool, at time.Duration) bool {
	return s.judges(at) && (s.dead(b, waits, at) || b.asked(at) && s.zoneCut(b, at))
}

// answersNobody reports whether a new flow at the server would wait in vain.
func (s *Steerer) answersNobody(b *backend, at time.Duration) bool {
	return s.judges(at) && (s.believedDead(b, at) || b.asked(at) && s.zoneCut(b, at))
}

// judges reports whether this node is in a state to judge servers.
func (s *Steerer) judges(at time.Duration) bool {
	return at >= max(settling, s.fit.from()) && at-time.Duration(s.goodAt.Load()) <= hearingFor && !s.isLate(at)
}

// asked reports whether the server has left something unanswered lately.
func (b *backend) asked(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unanswered > 0 && at-b.silentAt < silenceCounts
}

// dead reports whether the server has left several flows unanswered, and answered
// nobody meanwhile, neither here nor, as far as other nodes tell, elsewhere, so that its
// flows may be ended. Others' word alone doesn't end a flow: this node must have asked the
// server itself, in vain. A node goes by itself alone only after longer.
func (s *Steerer) dead(b *backend, waits bool, at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.own(at, false, s.fit.from())
	if !ok || !s.fit.isFit(at) {
		return false
	}
	if at-f.first >= askedFor && s.othersFind(b, waits, at) {
		return true
	}
	u := suspicion{}
	u.add(f)
	return u.all >= silentFlows && at-u.first >= s.longEnough(&u)
}

// othersFind reports whether what all nodes together have found says that the server is
// dead, as far as news takes to contradict that. What others found counts if one of them
// is in the server's zone: otherwise the way there may be cut, and the server well. For a
// flow that waits for an answer itself less time is needed. The caller holds the server's
// lock.
func (s *Steerer) othersFind(b *backend, waits bool, at time.Duration) bool {
	u := b.suspicion(at, b.zoneName == s.AvailabilityZone, s.fit.from())
	return u.nodes >= deadNodes && u.near && u.openings > 0 && u.all >= s.proof() &&
		at-u.first >= silentFor && at-b.suspectedAt >= s.newsTakes(waits)
}

// believedDead reports whether no new flow has a chance at the server: it is dead, or
// others find it so.
func (s *Steerer) believedDead(b *backend, at time.Duration) bool {
	if s.dead(b, false, at) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return s.othersFind(b, false, at)
}

// manyNodes reports whether news takes more than some milliseconds to all nodes.
func (s *Steerer) manyNodes() bool { return s.others.Load() > fewNodes }

// proof returns how many flows a server must have left unanswered at all nodes together
// to be dead. Where there are few nodes, each sees as much of it as they do.
func (s *Steerer) proof() int {
	if s.manyNodes() {
		return deadProof
	}
	return silentFlows
}

// newsTakes returns how long it takes until nearly all nodes have heard of a finding, and
// this one of an answer that contradicts it. For a flow that waits for its answer itself,
// half of that is enough.
func (s *Steerer) newsTakes(waits bool) time.Duration {
	if !s.manyNodes() {
		return 0
	}
	steps := math.Ceil(math.Log(float64(s.others.Load()+1)) / math.Log(newsFanout+1))
	there := max(time.Duration(steps)*newsStep, newsLeast)
	if waits {
		return there
	}
	return 2 * there
}

// longEnough returns how long a server must have been silent for a node to go by what it
// has found itself alone. One of many nodes sees too little of each server for that.
func (s *Steerer) longEnough(u *suspicion) time.Duration {
	switch {
	case s.manyNodes() && u.all < aloneProof:
		return suspicionFor
	case s.manyNodes(), s.others.Load() > 0 && u.all < aloneProof:
		return aloneFor
	case u.openings < deadOpenings:
		return busyFor
	default:
		return silentFor
	}
}

// isLate reports whether so many servers of the own zone are silent that it
// must be this node.
func (s *Steerer) isLate(at time.Duration) bool {
	z := s.own
	z.mu.Lock()
	defer z.mu.Unlock()
	return float64(recent(z.quiet, at)) > max(silentFew, silentMost*float64(z.servers))
}

// zoneCut reports whether the way to the server's zone is cut. It never is to
// the node's own.
func (s *Steerer) zoneCut(b *backend, at time.Duration) bool {
	return b.zoneName != s.AvailabilityZone && b.zone.cut(at)
}

// unanswered notes that what was sent to the server at sent has no answer
// at at. It counts only if nobody else was answered meanwhile: then the server
// or the way to it is silent, and not just one packet lost.
func (s *Steerer) unanswered(b *backend, sent, at time.Duration, weight int) {
	e, counts, begins := b.unansweredAt(sent, at, weight)
	if counts {
		s.suspect(b)
	}
	if begins {
		s.event(e)
	}
}

// unansweredAt notes the same in the server's entry, and reports whether it counts and
// whether the server begins to be avoided.
func (b *backend) unansweredAt(sent, at time.Duration, weight int) (e Event, counts, begins bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answeredAt() > sent {
		return e, false, false
	}
	if b.unanswered > 0 && at-b.silentAt >= suspicionFor {
		b.silent, b.unanswered, b.openings = 0, 0, 0
	}
	b.beSuspected(at)
	if b.unanswered == 0 {
		b.silentSince = sent
	}
	b.silentAt = at
	b.silent += weight
	b.unanswered++
	if weight == openingWeight {
		b.openings++
	}
	if b.silent < avoidAt {
		return e, true, false
	}
	b.zone.addSilent(b, at)
	if at < b.avoidUntil {
		return e, true, false
	}
	b.avoidFor = min(max(2*b.avoidFor, avoidFirst), avoidMost)
	b.avoidUntil = at + b.avoidFor
	return Event{
		Kind: Avoided, Instance: b.instance, AvailabilityZone: b.zoneName,
		Unanswered: b.unanswered, Silence: at - b.goodAt, For: b.avoidFor,
	}, true, true
}

func (s *Steerer) event(e Event) {
	if s.OnEvent != nil {
		s.OnEvent(e)
	}
}
