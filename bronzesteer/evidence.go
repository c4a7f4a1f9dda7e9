package bronzesteer

import "time"

// localEvidence is what this node itself has observed of a server.
type localEvidence struct {
	// answeredAt is when the server was last seen to answer.
	answeredAt time.Duration
	// unansweredWeight is the weight of what it has left unanswered since.
	unansweredWeight int
	// unanswered counts the flows left unanswered since, unansweredOpenings those of them
	// that weren't open.
	unanswered         int
	unansweredOpenings int
	// firstUnanswered is when the first of these was sent, lastUnanswered when the last one
	// was found unanswered.
	firstUnanswered time.Duration
	lastUnanswered  time.Duration
	// avoidUntil is until when new flows avoid the server, avoidFor the duration of the
	// last avoidance.
	avoidUntil time.Duration
	avoidFor   time.Duration
}

// peerEvidence is what peers report of a server.
type peerEvidence struct {
	// findings holds the peers' findings by node. peersAnsweredAt is when the server last
	// answered a peer, as far as reported. suspectedAt is since when this node has known of
	// any finding, and refutedAt when this node last told peers that their findings are
	// contradicted.
	findings        map[uint32]finding
	peersAnsweredAt time.Duration
	suspectedAt     time.Duration
	// reported is set if nodes have recently reported the server as not answering.
	// disputedAt is when an answer last contradicted a finding.
	reported   bool
	refutedAt  time.Duration
	disputedAt time.Duration
}

// finding is what one node has found of a server, in this node's time.
type finding struct {
	sameZone    bool
	openings    int
	requests    int
	first, last time.Duration
}

// suspicion combines what all nodes have found of a server since it last answered any of
// them.
type suspicion struct {
	reporters int
	sameZone  bool
	openings  int
	total     int
	first     time.Duration
}

// add adds the finding of one node.
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

// recordAnswer records that the server answers.
func (s *Steerer) recordAnswer(b *backend, at time.Duration) {
	b.mu.Lock()
	avoided := at < b.avoidUntil
	silence := at - b.answeredAt
	b.answeredAt = at
	contradicts := b.reported && (avoided || b.unanswered > 0 || len(b.findings) > 0)
	falseSuspicion := b.unanswered > 0 && at-b.firstUnanswered < maxAnswerDelay
	if len(b.findings) > 0 {
		b.disputedAt = at
	}
	clear(b.findings)
	b.clearUnanswered()
	b.avoidUntil, b.avoidFor = 0, 0
	b.mu.Unlock()
	if falseSuspicion {
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

// recentlyUnanswered reports whether the server has recently left something unanswered.
func (b *backend) recentlyUnanswered(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unanswered > 0 && at-b.lastUnanswered < silenceMaxAge
}

// recordUnanswered records that what was sent to the server at sent is still unanswered at
// at. It counts only if the server has answered nobody since; otherwise just one packet may
// have been lost.
func (s *Steerer) recordUnanswered(b *backend, sent, at time.Duration, weight int) {
	e, counts, begins := b.addUnanswered(sent, at, weight)
	if counts {
		s.queueReport(b)
	}
	if begins {
		s.emit(e)
	}
}

// addUnanswered adds to the server's evidence, and reports whether it counts and whether
// the server begins to be avoided.
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
	b.zone.addUnanswered(b, sent, at)
	if b.unansweredWeight < avoidWeight {
		return e, true, false
	}
	b.zone.addSilent(b, at)
	if at < b.avoidUntil {
		return e, true, false
	}
	b.discountWaiting(at)
	b.avoidFor = min(max(2*b.avoidFor, minAvoidTime), maxAvoidTime)
	b.avoidUntil = at + b.avoidFor
	return Event{
		Kind: Avoided, Instance: b.instance, AvailabilityZone: b.zoneName,
		Unanswered: b.unanswered, Silence: at - b.answeredAt, AvoidedFor: b.avoidFor,
	}, true, true
}

// clearUnanswered discards what this node's flows left unanswered.
func (e *localEvidence) clearUnanswered() {
	e.unansweredWeight, e.unanswered, e.unansweredOpenings, e.firstUnanswered = 0, 0, 0, 0
}

// startSuspicion sets suspectedAt unless there is a finding already. The caller holds the
// lock.
func (b *backend) startSuspicion(at time.Duration) {
	if b.unanswered == 0 && len(b.findings) == 0 {
		b.suspectedAt = at
	}
}

// lastAnswer returns when the server last answered this node or, as reported, a peer. The
// caller holds the lock.
func (b *backend) lastAnswer() time.Duration { return max(b.answeredAt, b.peersAnsweredAt) }

// ownFinding returns what this node has found since from. The caller holds the lock.
func (b *backend) ownFinding(at time.Duration, sameZone bool, from time.Duration) (f finding, ok bool) {
	if b.unanswered == 0 || at-b.lastUnanswered >= suspicionTimeout || b.lastAnswer() > b.firstUnanswered || b.firstUnanswered < from {
		return f, false
	}
	return finding{
		sameZone: sameZone, openings: b.unansweredOpenings, requests: b.unanswered - b.unansweredOpenings, first: b.firstUnanswered, last: b.lastUnanswered,
	}, true
}

// suspicion returns the combined findings of all nodes. The caller holds the lock.
func (b *backend) suspicion(at time.Duration, sameZone bool, from time.Duration) (u suspicion) {
	if f, ok := b.ownFinding(at, sameZone, from); ok {
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

// mergeFinding merges a peer's finding, and reports whether to send reports: either the
// finding, or an answer that contradicts it.
func (s *Steerer) mergeFinding(b *backend, r *Report, at time.Duration) (changed bool) {
	f := finding{sameZone: r.SameZone, openings: r.Openings, requests: r.Requests, first: at - r.First, last: at - r.Last}
	b.mu.Lock()
	earlier, known := b.findings[r.Node]
	b.reported = true
	switch {
	case b.lastAnswer() > f.first:
		b.disputedAt = at
		changed = b.refutedAt == 0 || at-b.refutedAt >= refuteInterval
		if changed {
			b.refutedAt = at
		}
		b.mu.Unlock()
		return changed
	case known && earlier.openings >= f.openings && earlier.requests >= f.requests, !known && len(b.findings) >= maxReporters:
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

// mergeAnswer records that the server answered a peer at answeredAt, and reports whether
// that contradicts what is known here. Findings that remain must then wait for
// contradicting answers as if they were new: while some nodes keep reporting a server that
// answers others, there is always a finding that no answer has contradicted yet.
func (s *Steerer) mergeAnswer(b *backend, answeredAt, at time.Duration) (changed bool) {
	b.mu.Lock()
	if answeredAt <= b.lastAnswer() {
		b.mu.Unlock()
		return false
	}
	b.peersAnsweredAt = answeredAt
	changed = len(b.findings) > 0 || b.unanswered > 0
	for node, f := range b.findings {
		if answeredAt > f.first {
			delete(b.findings, node)
			b.disputedAt, b.suspectedAt = at, at
		}
	}
	if answeredAt > b.firstUnanswered {
		b.clearUnanswered()
	}
	cleared := changed && len(b.findings) == 0 && b.unanswered == 0 && b.avoidUntil > 0
	if cleared {
		b.avoidUntil, b.avoidFor = 0, 0
	}
	silence := answeredAt - b.answeredAt
	b.mu.Unlock()
	if cleared {
		s.emit(Event{Kind: Cleared, Instance: b.instance, AvailabilityZone: b.zoneName, Silence: silence})
	}
	return changed
}
