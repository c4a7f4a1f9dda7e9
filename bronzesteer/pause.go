package bronzesteer

import "time"

// callerRetransmits is how often a caller retransmits an opening. If the last retransmission
// waits in a paused node, the others do too. If it doesn't, routers have moved the caller to
// another node, where the flow may be open, or it will still come.
const callerRetransmits = 2

// Discarded counts what a node discards after a pause.
type Discarded struct {
	// Openings and Requests count those that waited for answers, Findings the servers that
	// were found silent, here or by peers.
	Openings int
	Requests int
	Findings int
}

// Paused tells the Steerer that the process was paused until now. While paused, the node
// couldn't see whether servers answered, so that nothing sent before counts as unanswered.
// Otherwise each server that it waited for would seem silent for as long as the pause;
// reported by many nodes that resume together, that would end open flows at healthy
// servers.
//
// Failure detection is suspended for two seconds from now. Until RecordsConfirmed is
// called, the records may be out of date: openings without a route or a server, and packets
// of open flows whose route or server is gone, are dropped instead of refused, and their
// callers retransmit them.
func (s *Steerer) Paused(now time.Time) (discarded Discarded) {
	s.init()
	at := s.sinceStart(now)
	s.health.suspend(at)
	s.recordsUnconfirmed.Store(true)
	s.hedges.clear()
	for i := range s.shards {
		s.shards[i].discardPending(&discarded, at)
	}
	discarded.Findings = s.discardFindings()
	return discarded
}

// RecordsConfirmed tells the Steerer that the records in force are known to be up to date
// since Paused.
func (s *Steerer) RecordsConfirmed() { s.recordsUnconfirmed.Store(false) }

// discardPending discards what the shard's flows wait for. Unanswered openings stay
// tracked, since their callers may continue with the server that was tried.
func (sh *shard) discardPending(discarded *Discarded, at time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, f := range sh.flows {
		switch {
		case !f.open:
			discarded.Openings++
			f.retriedAt = at
			f.dropPending()
			if f.opening != nil {
				f.opening.announced = false
			}
		case f.requestAt != 0:
			discarded.Requests++
			f.finishRequest()
			f.uncountWaiting(at)
			f.requestAt, f.countedUnanswered = 0, false
		}
	}
}

// dropPending stops waiting for the answer to the flow's opening, which no longer tells
// anything about the server.
func (f *flow) dropPending() {
	if f.pending != nil {
		f.pending.settled.Store(true)
		f.pending = nil
	}
}

// clear removes all waiting openings.
func (h *hedgeQueue) clear() {
	h.mu.Lock()
	h.waiting = nil
	h.mu.Unlock()
}

// discardFindings discards this node's and the peers' findings, and returns the number of
// servers that had any.
func (s *Steerer) discardFindings() (n int) {
	s.mu.Lock()
	suspects := s.suspects
	s.suspects = make(map[*backend]bool)
	clear(s.reportedBy)
	zones := make([]*zone, 0, len(s.zones))
	for _, z := range s.zones {
		zones = append(zones, z)
	}
	s.mu.Unlock()
	for b := range suspects {
		if b.discardFindings() {
			n++
		}
	}
	for _, z := range zones {
		z.mu.Lock()
		clear(z.silentSinceAnswer)
		clear(z.unanswered)
		clear(z.silentNow)
		z.mu.Unlock()
	}
	return n
}

// discardFindings discards the findings of the server, and reports whether there were any.
func (b *backend) discardFindings() (had bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	had = b.unanswered > 0 || len(b.findings) > 0
	clear(b.findings)
	b.clearUnanswered()
	b.reported = false
	return had
}
