package bronzepool

import "time"

const (
	// trialEvery is how long the outcome of a trial is waited for.
	trialEvery = time.Second
	// trialShare is the part of new flows that may be trials of servers that
	// failed: half of a retry budget of a tenth, so that trials that fail leave
	// the other half to the flows that meet a failure first.
	trialShare = 0.05
	// trialBurst is how many trials can be saved up, so that a service with few
	// flows tries a server again as soon as its back-off ends.
	trialBurst = 3
)

// mayTry reports whether s may have a flow, as far as its failures go. When a
// third of a pool sheds, the first short back-offs of all its servers end
// within the same second; a trial of each, and then another, would use up the
// retry budget, and a caller would be refused although two thirds serve.
func (p *Pool) mayTry(s *server) bool {
	return s.fails == 0 || p.trials < trialBurst
}

// noteTrial counts a flow on s. If s failed, it is a trial: the next is put off
// until this one's outcome should be known.
func (p *Pool) noteTrial(s *server, now int64) {
	p.trials = max(p.trials-trialShare, 0)
	if s.fails > 0 {
		p.trials++
		s.retryAt = now + int64(trialEvery)
		s.trying = true
	}
	s.tryShutAt = now + int64(shutTrial)
}
