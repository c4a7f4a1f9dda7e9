package bronzesteer

import "time"

// ownEvidence is what this node has found of a server itself.
type localEvidence struct {
	// goodAt is when it was last seen to answer.
	answeredAt time.Duration
	// silent is the weight of what it left unanswered since.
	unansweredWeight int
	// unanswered is how many flows it left unanswered since, openings how many of them
	// weren't open.
	unanswered         int
	unansweredOpenings int
	// silentSince is when the first of that was sent, silentAt when the last
	// was found unanswered.
	firstUnanswered time.Duration
	lastUnanswered  time.Duration
	// avoidUntil is until when new flows keep away from it, and avoidFor for how long they
	// were last to.
	avoidUntil time.Duration
	avoidFor   time.Duration
}

// hearsay is what other nodes tell of a server.
type peerEvidence struct {
	// found is what they have found of it, by node, and othersGoodAt when it last
	// answered one of them as far as they tell. suspectedAt is since when this node knows
	// that anybody found it silent, refutedAt when that was last contradicted.
	findings        map[uint32]finding
	peersAnsweredAt time.Duration
	suspectedAt     time.Duration
	// told says that nodes have told each other lately that it doesn't answer, and
	// disputedAt is when an answer last contradicted one of them.
	reported   bool
	refutedAt  time.Duration
	disputedAt time.Duration
}

// finding is what another node has found of a server, in this node's time.
type finding struct {
	sameZone    bool
	openings    int
	requests    int
	first, last time.Duration
}

// suspicion is what all nodes together have found of a server since anybody was answered.
type suspicion struct {
	reporters int
	sameZone  bool
	openings  int
	total     int
	first     time.Duration
}

// add adds one node's part.
func (u *suspicion) add(f finding) {
	u.reporters++
	u.sameZone = u.sameZone || f.sameZone
	u.openings += f.openings
	u.total += f.openings + f.requests
	if u.reporters == 1 || f.first < u.first {
		u.first = f.first
	}
}

// answeredSince reports whether the server was seen to answer after at.
func (b *backend) answeredSince(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answeredAt > at
}

// good notes that the server answers.
func (s *Steerer) recordAnswer(b *backend, at time.Duration) {
	b.mu.Lock()
	avoided := at < b.avoidUntil
	silence := at - b.answeredAt
	b.answeredAt = at
	contradicts := b.reported && (avoided || b.unanswered > 0 || len(b.findings) > 0)
	wrong := b.unanswered > 0 && at-b.firstUnanswered < maxAnswerDelay
	if len(b.findings) > 0 {
		b.disputedAt = at
	}
	clear(b.findings)
	b.clearUnanswered()
	b.avoidUntil, b.avoidFor = 0, 0
	b.mu.Unlock()
	if wrong {
		s.health.recordFalseSuspicion(at)
	}
	if contradicts {
		s.queueReport(b)
	}
	s.lastAnswer.Store(int64(at))
	b.zone.recordAnswer(b, at)
	if avoided {
		s.emit(Event{Kind: Cleared, Instance: b.instance, AvailabilityZone: b.zoneName, Silence: silence})
	}
}

// asked reports whether the server has left something unanswered lately.
func (b *backend) recentlyUnanswered(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unanswered > 0 && at-b.lastUnanswered < silenceMaxAge
}

// unanswered notes that what was sent to the server at sent has no answer
// at at. It counts only if nobody else was answered meanwhile: then the server
// or the way to it is silent, and not just one packet lost.
func (s *Steerer) recordUnanswered(b *backend, sent, at time.Duration, weight int) {
	e, counts, begins := b.addUnanswered(sent, at, weight)
	if counts {
		s.queueReport(b)
	}
	if begins {
		s.emit(e)
	}
}

// unansweredAt notes the same in the server's entry, and reports whether it counts and
// whether the server begins to be avoided.
func (b *backend) addUnanswered(sent, at time.Duration, weight int) (e Event, counts, begins bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastAnswer() > sent {
		return e, false, false
	}
	if b.unanswered > 0 && at-b.lastUnanswered >= suspicionTimeout {
		b.clearUnanswered()
	}
	b.startSuspicion(at)
	if b.unanswered == 0 {
		b.firstUnanswered = sent
	}
	b.lastUnanswered = at
	b.unansweredWeight += weight
	b.unanswered++
	if weight == openingWeight {
		b.unansweredOpenings++
	}
	if b.unansweredWeight < avoidWeight {
		return e, true, false
	}
	b.zone.addSilent(b, at)
	if at < b.avoidUntil {
		return e, true, false
	}
	b.avoidFor = min(max(2*b.avoidFor, minAvoidTime), maxAvoidTime)
	b.avoidUntil = at + b.avoidFor
	return Event{
		Kind: Avoided, Instance: b.instance, AvailabilityZone: b.zoneName,
		Unanswered: b.unanswered, Silence: at - b.answeredAt, AvoidedFor: b.avoidFor,
	}, true, true
}

// clearUnanswered forgets what this node's flows left unanswered.
func (e *localEvidence) clearUnanswered() {
	e.unansweredWeight, e.unanswered, e.unansweredOpenings, e.firstUnanswered = 0, 0, 0, 0
}

// beSuspected notes that something is found at at, unless something was before; the
// caller holds the lock.
func (b *backend) startSuspicion(at time.Duration) {
	if b.unanswered == 0 && len(b.findings) == 0 {
		b.suspectedAt = at
	}
}

// answeredAt returns when any node was last seen to be answered; the caller holds the
// lock.
func (b *backend) lastAnswer() time.Duration { return max(b.answeredAt, b.peersAnsweredAt) }

// own returns what this node itself has found since from; the caller holds the lock.
func (b *backend) ownFinding(at time.Duration, near bool, from time.Duration) (f finding, ok bool) {
	if b.unanswered == 0 || at-b.lastUnanswered >= suspicionTimeout || b.lastAnswer() > b.firstUnanswered || b.firstUnanswered < from {
		return f, false
	}
	return finding{
		sameZone: near, openings: b.unansweredOpenings, requests: b.unanswered - b.unansweredOpenings, first: b.firstUnanswered, last: b.lastUnanswered,
	}, true
}

// suspicion returns what all nodes together have found; the caller holds the lock.
func (b *backend) suspicion(at time.Duration, near bool, from time.Duration) (u suspicion) {
	if f, ok := b.ownFinding(at, near, from); ok {
		u.add(f)
	}
	for node, f := range b.findings {
		if at-f.last >= suspicionTimeout || b.lastAnswer() > f.first {
			delete(b.findings, node)
			continue
		}
		u.add(f)
	}
	return u
}

// foundByOther takes in that another node has found a server silent, and reports whether
// others are to be told: of that, or that it isn't so.
func (s *Steerer) mergeFinding(b *backend, r *Report, at time.Duration) (news bool) {
	f := finding{sameZone: r.SameZone, openings: r.Openings, requests: r.Requests, first: at - r.First, last: at - r.Last}
	b.mu.Lock()
	before, known := b.findings[r.Node]
	b.reported = true
	switch {
	case b.lastAnswer() > f.first:
		b.disputedAt = at
		news = b.refutedAt == 0 || at-b.refutedAt >= refuteInterval
		if news {
			b.refutedAt = at
		}
		b.mu.Unlock()
		return news
	case known && before.openings >= f.openings && before.requests >= f.requests, !known && len(b.findings) >= maxReporters:
		b.mu.Unlock()
		return false
	}
	if b.findings == nil {
		b.findings = make(map[uint32]finding)
	}
	b.startSuspicion(at)
	b.findings[r.Node] = f
	e, begins := b.avoidForPeer(f, at)
	b.mu.Unlock()
	if begins {
		s.emit(e)
	}
	return true
}

// answeredOther notes that the server has answered another node at goodAt, and reports
// whether that contradicts what is known here. What is then still said against it has to
// wait for further answers as if it was new: while some nodes keep finding a server silent,
// one that answers others is never without a finding that no answer has contradicted yet.
func (s *Steerer) mergeAnswer(b *backend, goodAt, at time.Duration) (news bool) {
	b.mu.Lock()
	if goodAt <= b.lastAnswer() {
		b.mu.Unlock()
		return false
	}
	b.peersAnsweredAt = goodAt
	news = len(b.findings) > 0 || b.unanswered > 0
	for node, f := range b.findings {
		if goodAt > f.first {
			delete(b.findings, node)
			b.disputedAt, b.suspectedAt = at, at
		}
	}
	if goodAt > b.firstUnanswered {
		b.clearUnanswered()
	}
	cleared := news && len(b.findings) == 0 && b.unanswered == 0 && b.avoidUntil > 0
	if cleared {
		b.avoidUntil, b.avoidFor = 0, 0
	}
	silence := goodAt - b.answeredAt
	b.mu.Unlock()
	if cleared {
		s.emit(Event{Kind: Cleared, Instance: b.instance, AvailabilityZone: b.zoneName, Silence: silence})
	}
	return news
}
