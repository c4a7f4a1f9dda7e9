package bronzepool

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The back-off of a server that fails openings doubles from backoffBase, or
// from backoffSilent after a timeout, at most backoffSteps times and up to
// backoffMax. Jitter then multiplies it by 0.5 to 1.5.
const (
	backoffBase   = 250 * time.Millisecond
	backoffSilent = 400 * time.Millisecond
	backoffMax    = 10 * time.Second
	backoffSteps  = 8
)

// server is the state of one backend server, guarded by the Pool's lock.
// Times are in nanoseconds since the epoch.
type server struct {
	id          bronzeflow.ServerID
	instance    string
	zone        string
	slots       int
	connections int
	draining    bool

	// rampStart is when the cold-start ramp began, or 0 if there is none.
	rampStart int64
	// leavingUntil is when the mark set by SetLeaving or a report expires.
	leavingUntil int64

	// own is the number of flows that this node owns on the server. peerSum
	// and ownBaseSum are the sums of peerCount.count and peerCount.ownBase
	// over all peers.
	own        int
	peerSum    int64
	ownBaseSum int64

	report report

	// excess is how many flows beyond its quota the server had been given
	// when this node had placed excessAt flows.
	excess   float64
	excessAt uint64

	// fails counts failed openings since the last accepted one; silent is
	// set if the last failure was a timeout. trialPending is set while the
	// outcome of a trial is unknown. The back-off ends at retryAt.
	fails        int
	silent       bool
	trialPending bool
	retryAt      int64
	// fullTrialAt is when a server that reports to be full is tried again.
	fullTrialAt int64

	// Results of the last refresh: the estimated load, the weight, whether
	// the server is not leaving, and whether it is included in the sums of
	// the Pool.
	load    float64
	weight  float64
	serving bool
	inSums  bool
}

func (s *server) setConfig(b *bronzeconf.BackendServer) {
	s.instance = b.Instance
	s.zone = b.AvailabilityZone
	s.slots = b.Slots
	s.connections = b.Connections
	s.draining = b.Status == bronzeconf.Draining
}

func (s *server) leaving(now int64) bool {
	return s.draining || now < s.leavingUntil
}

func (s *server) extendLeaving(until int64) {
	s.leavingUntil = max(s.leavingUntil, until)
}

// noteAccepted ends the back-off.
func (s *server) noteAccepted(after time.Duration) {
	s.report.observed.accepted++
	if after <= quickAccept {
		s.report.observed.quick++
	}
	s.fails = 0
	s.retryAt = 0
	s.trialPending = false
}

// noteRefused starts or extends the back-off; jitter is in [0,1).
func (s *server) noteRefused(now int64, silent bool, jitter float64) {
	s.report.observed.refused++
	// Openings that were in flight when the first one failed count as the
	// same failure. Otherwise fifty refusals within a moment would exclude
	// the server for as long as one that has failed for minutes.
	if now < s.retryAt && !s.trialPending {
		return
	}
	step := backoffBase
	if silent {
		step = backoffSilent
	}
	step = min(step<<min(s.fails, backoffSteps), backoffMax)
	s.fails++
	s.silent = silent
	s.trialPending = false
	// Jitter keeps owners that saw the same refusal from retrying together.
	s.retryAt = now + int64(float64(step)*(0.5+jitter))
}

// atCapacity reports whether s has reached its hard limit of connections.
func (s *server) atCapacity() bool {
	return s.connections > 0 && s.load+1 > float64(s.connections)
}

// ramp returns the fraction of its full share that s may have during its cold
// start, from minRamp to 1.
func (s *server) ramp(now int64, coldStart time.Duration) float64 {
	if s.rampStart == 0 || coldStart <= 0 {
		return 1
	}
	f := float64(now-s.rampStart) / float64(coldStart)
	return min(max(f, minRamp), 1)
}

// minRamp is the fraction of its full share that a new server starts with.
const minRamp = 0.05
