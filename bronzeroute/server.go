package bronzeroute

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

// Status is how far a server's registration is to be believed.
type Status uint8

const (
	// Serving servers take new flows.
	Serving Status = iota
	// Draining servers keep their flows and take no new ones: they leave, or their
	// AvailabilityZone is drained.
	Draining
	// Missing servers were registered until just now and never said that they
	// would leave. They keep their flows, and take new ones only where no
	// other server of the pool can.
	Missing
	// Gone servers are no more.
	Gone
)

var statusNames = [...]string{"Serving", "Draining", "Missing", "Gone"}

// String returns the status's name.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "Unknown"
}

// Server is one start of a BackendServer that registered itself.
type Server struct {
	bronzeconf.BackendServer
	// Pool is the name of the pool that it serves.
	Pool string
	// Incarnation is the number that the server checks on each packet, which
	// keeps a packet from a later user of its address.
	Incarnation uint64
	// RegisteredRevision is the revision at which it first registered.
	RegisteredRevision uint64
	// StartedAt is when it started, by its own clock, the zero time if it doesn't tell. A
	// BackendServer may start again under its name: it then has none of the flows that
	// it had.
	StartedAt time.Time
	// WarmupLeft is how much longer it is slow, counted from Heard.
	WarmupLeft time.Duration
	ReceivedAt time.Time
	// Draining says that it announced to leave.
	Draining bool
	// Sequence counts what the server wrote since its start.
	Sequence uint64

	// The Directory sets what follows.

	// Status is how far the registration is to be believed.
	Status Status
	// ZoneDrained says that its AvailabilityZone takes no new flows, and ZoneReturned
	// when that last ended, the zero time if it never did.
	ZoneDrained     bool
	ZoneUndrainedAt time.Time
	// Warmup is what its pool's servers bear after a start.
	Warmup Warmup
}

// Warm reports whether the server has passed its slow start. After its zone's return
// it counts as cold for as long as a start takes: it may have started just before, and
// its registration that says so come later than the return does.
func (s *Server) Warm(now time.Time) bool {
	if !s.ZoneUndrainedAt.IsZero() && now.Sub(s.ZoneUndrainedAt) < s.Warmup.Duration {
		return false
	}
	return now.Sub(s.ReceivedAt) >= s.WarmupLeft
}
