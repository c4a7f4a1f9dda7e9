package bronzeroute

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

// Status is the state of a server's registration.
type Status uint8

const (
	// Serving servers take new flows.
	Serving Status = iota
	// Draining servers keep their flows and take no new ones: they are leaving, or their
	// AvailabilityZone is drained.
	Draining
	// Missing servers were registered until just now and never announced that they were
	// draining. They keep their flows, and take new ones only if no other server of the pool
	// can.
	Missing
	// Gone servers no longer exist.
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
	// Incarnation is the number that the server checks on each packet, so that a packet is not
	// accepted by a later user of its address.
	Incarnation uint64
	// RegisteredRevision is the store revision at which it first registered.
	RegisteredRevision uint64
	// StartedAt is when it started, by its own clock, or the zero time if it doesn't report
	// that. A BackendServer may restart under the same name; it has then lost all its flows.
	StartedAt time.Time
	// WarmupLeft is how much longer it is warming up, counted from ReceivedAt, the time at
	// which the registration was received.
	WarmupLeft time.Duration
	ReceivedAt time.Time
	// Draining reports that the server has announced that it is leaving.
	Draining bool
	// Sequence counts the server's writes since its start.
	Sequence uint64

	// The Directory sets the fields below.

	// Status is the state of the registration.
	Status Status
	// ZoneDrained reports that its AvailabilityZone takes no new flows. ZoneUndrainedAt is when
	// the zone's last drain ended, or the zero time if none is remembered.
	ZoneDrained     bool
	ZoneUndrainedAt time.Time
	// Warmup is the warm-up of the servers in its pool.
	Warmup Warmup
}

// Warm reports whether the server has finished its warm-up. After its zone is undrained it
// counts as cold for one warm-up: it may have restarted just before, and the registration that
// says so may arrive after the end of the drain.
func (s *Server) Warm(now time.Time) bool {
	if !s.ZoneUndrainedAt.IsZero() && now.Sub(s.ZoneUndrainedAt) < s.Warmup.Duration {
		return false
	}
	return now.Sub(s.ReceivedAt) >= s.WarmupLeft
}
