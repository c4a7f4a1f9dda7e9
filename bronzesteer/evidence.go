package bronzesteer

import "time"

// ownEvidence is what this node has found of a server itself.
type ownEvidence struct {
	// goodAt is when it was last seen to answer.
	goodAt time.Duration
	// silent is the weight of what it left unanswered since.
	silent int
	// unanswered is how many flows it left unanswered since, openings how many of them
	// weren't open.
	unanswered int
	openings   int
	// silentSince is when the first of that was sent, silentAt when the last
	// was found unanswered.
	silentSince time.Duration
	silentAt    time.Duration
	// avoidUntil is until when new flows keep away from it, and avoidFor for how long they
	// were last to.
	avoidUntil time.Duration
	avoidFor   time.Duration
}

// hearsay is what other nodes tell of a server.
type hearsay struct {
	// found is what they have found of it, by node, and othersGoodAt when it last
	// answered one of them as far as they tell. suspectedAt is since when this node knows
	// that anybody found it silent, refutedAt when that was last contradicted.
	found        map[uint32]finding
	othersGoodAt time.Duration
	suspectedAt  time.Duration
	// told says that nodes have told each other lately that it doesn't answer, and
	// disputedAt is when an answer last contradicted one of them.
	told       bool
	refutedAt  time.Duration
	disputedAt time.Duration
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
	b.clearUnanswered()
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

// asked reports whether the server has left something unanswered lately.
func (b *backend) asked(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unanswered > 0 && at-b.silentAt < silenceCounts
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
		b.clearUnanswered()
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
		Unanswered: b.unanswered, Silence: at - b.goodAt, AvoidedFor: b.avoidFor,
	}, true, true
}

// clearUnanswered forgets what this node's flows left unanswered.
func (e *ownEvidence) clearUnanswered() {
	e.silent, e.unanswered, e.openings, e.silentSince = 0, 0, 0, 0
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

// foundByOther takes in that another node has found a server silent, and reports whether
// others are to be told: of that, or that it isn't so.
func (s *Steerer) foundByOther(b *backend, r *Report, at time.Duration) (news bool) {
	f := finding{near: r.SameZone, openings: r.Openings, requests: r.Requests, first: at - r.First, last: at - r.Last}
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
		b.clearUnanswered()
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
