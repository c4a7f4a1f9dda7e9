package bronzesteer

import "time"

// Discarded is what a node no longer goes by after it stood still.
type Discarded struct {
	// Openings and Requests are those whose answers it waited for, and Findings the
	// servers that it or others had found silent.
	Openings int
	Requests int
	Findings int
}

// Paused notes that the node stood still for some time, until now. It couldn't see
// meanwhile whether a server answered, so that nothing counts as unanswered that was sent
// before. Otherwise each server that it waited for seems to have been silent for as long
// as it slept itself; told to a fleet by all that woke together, that ended open flows at
// servers that answered all the while.
//
// For two seconds from now on it judges no server, and until RecordsConfirmed is called it ends
// no flow by its records, which may have changed meanwhile: packets that old records say
// to refuse are dropped, and their callers repeat them.
func (s *Steerer) Paused(now time.Time) (aside Discarded) {
	s.init()
	at := s.sinceStart(now)
	s.health.suspend(at)
	s.recordsUnconfirmed.Store(true)
	s.hedges.clear()
	for i := range s.shards {
		s.shards[i].discardPending(&aside, at)
	}
	aside.Findings = s.discardFindings()
	return aside
}

// RecordsConfirmed notes that the records in force are known to be the newest since Paused.
func (s *Steerer) RecordsConfirmed() { s.recordsUnconfirmed.Store(false) }

// pause forgets what the shard's flows wait for. Openings are kept: their callers may go
// on with the server that was asked.
func (sh *shard) discardPending(aside *Discarded, at time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, f := range sh.flows {
		switch {
		case !f.open:
			aside.Openings++
			f.retriedAt = at
			f.dropPending()
		case f.requestAt != 0:
			aside.Requests++
			f.finishRequest()
			f.requestAt, f.countedUnanswered = 0, false
		}
	}
}

// dropOpening ends the waiting for an opening's answer, which shows nothing any more.
func (f *flow) dropPending() {
	if f.pending != nil {
		f.pending.settled.Store(true)
		f.pending = nil
	}
}

// clear forgets the openings that wait.
func (h *hedgeQueue) clear() {
	h.mu.Lock()
	h.waiting = nil
	h.mu.Unlock()
}

// forgetFindings forgets what was found of servers, here and elsewhere, and returns how
// many servers there was something of.
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
		clear(z.silentNow)
		z.mu.Unlock()
	}
	return n
}

// forgetFindings forgets what was found of the server, and reports whether there was
// something.
func (b *backend) discardFindings() (had bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	had = b.unanswered > 0 || len(b.findings) > 0
	clear(b.findings)
	b.clearUnanswered()
	b.reported = false
	return had
}
