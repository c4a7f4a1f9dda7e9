package bronzepool

import "time"

const (
	// trialTimeout is how long to wait for the outcome of a trial before the
	// next one.
	trialTimeout = time.Second
	// trialShare is the fraction of new flows that may be trials of servers
	// that failed. It is half of a retry budget of 0.1, so that failed trials
	// leave the other half to flows that meet a new failure.
	trialShare = 0.05
	// trialBurst is the number of trials allowed ahead of trialShare, so that
	// a service with few flows tries a server as soon as its back-off ends.
	trialBurst = 3
)

// trialAllowed reports whether s has no failures or a trial of it is allowed
// now. When a third of a pool refuses flows, the first short back-offs of all
// these servers end within the same second. Trying each of them once or twice
// would use up the retry budget, and callers would be refused although two
// thirds of the pool serve.
func (p *Pool) trialAllowed(s *server) bool {
	return s.fails == 0 || p.trials < trialBurst
}

// countTrial updates the trial budget for a flow on s. If s failed before, the
// flow is a trial, and the next one waits until its outcome should be known.
func (p *Pool) countTrial(s *server, now int64) {
	p.trials = max(p.trials-trialShare, 0)
	if s.fails > 0 {
		p.trials++
		s.retryAt = now + int64(trialTimeout)
		s.trialPending = true
	}
	s.fullTrialAt = now + int64(fullTrialInterval)
}
