package bronzepool

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// The back-off of a server that fails openings.
const (
	backoffBase   = 250 * time.Millisecond
	backoffSilent = 400 * time.Millisecond
	backoffMax    = 10 * time.Second
	backoffSteps  = 8
)

// server is the state of one backend server; the Pool's lock guards it.
// Times are in nanoseconds since the epoch.
type server struct {
	id          bronzeflow.ServerID
	instance    string
	zone        string
	slots       int
	connections int
	draining    bool

	// since is when the ramp of a new server began, 0 means it has none.
	since int64
	// leavingUntil is until when some source says that it is leaving.
	leavingUntil int64

	own    int
	shared int64
	base   int64

	report report

	// debt is how many flows it had more than its part when this node had
	// placed debtAt flows.
	debt   float64
	debtAt uint64

	fails   int
	silent  bool
	trying  bool
	retryAt int64
	// tryShutAt is when a server that says it is full is tried again.
	tryShutAt int64

	// What weigh found: the estimated load, the weight, whether it isn't
	// leaving, and whether it counts in the sums of all.
	load    float64
	weight  float64
	serving bool
	inSums  bool
}

func (s *server) set(b *bronzeconf.BackendServer) {
	s.instance = b.Instance
	s.zone = b.AvailabilityZone
	s.slots = b.Slots
	s.connections = b.Connections
	s.draining = b.Status == bronzeconf.Draining
}

func (s *server) leaving(now int64) bool {
	return s.draining || now < s.leavingUntil
}

func (s *server) leave(until int64) {
	s.leavingUntil = max(s.leavingUntil, until)
}

// accept ends the back-off.
func (s *server) accept(after time.Duration) {
	s.report.seen.accepted++
	if after <= quickAccept {
		s.report.seen.quick++
	}
	s.fails = 0
	s.retryAt = 0
	s.trying = false
}

// refuse starts or prolongs the back-off; jitter is in [0,1).
func (s *server) refuse(now int64, silent bool, jitter float64) {
	s.report.seen.refused++
	// Openings that were under way when the first of them failed are not
	// further evidence. Counted, a moment's refusal of fifty would shut the
	// server out for as long as one that has failed for minutes.
	if now < s.retryAt && !s.trying {
		return
	}
	step := backoffBase
	if silent {
		step = backoffSilent
	}
	step = min(step<<min(s.fails, backoffSteps), backoffMax)
	s.fails++
	s.silent = silent
	s.trying = false
	// Owners that met the same refusal must not come back together.
	s.retryAt = now + int64(float64(step)*(0.5+jitter))
}

// full reports whether s has reached its hard limit.
func (s *server) full() bool {
	return s.connections > 0 && s.load+1 > float64(s.connections)
}

// ramp returns the part of its full share that a new server may have.
func (s *server) ramp(now int64, coldStart time.Duration) float64 {
	if s.since == 0 || coldStart <= 0 {
		return 1
	}
	f := float64(now-s.since) / float64(coldStart)
	return min(max(f, rampFloor), 1)
}

// rampFloor is the share that a new server starts with.
const rampFloor = 0.05
