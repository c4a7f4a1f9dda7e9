package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroom"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// backend is what this node has observed of one start of a server. Times are relative to
// the Steerer's start.
type backend struct {
	instance string
	zoneName string
	zone     *zone
	stats    *poolStats
	slots    int
	// slowness is that of the pool's servers in the zone.
	slowness *slowness
	// room is what this node has learned of the server's room.
	room bronzeroom.Server
	// shortID identifies the server in messages between nodes.
	shortID uint32
	// startedAt is when the server started, the zero time if unknown. successor is the
	// entry of the server's next start, once there is one.
	startedAt time.Time
	successor atomic.Pointer[backend]

	// mu guards the following fields, which are grouped by subject.
	mu sync.Mutex
	serverLoad
	latencyStats
	localEvidence
	peerEvidence
	warmup warmup
	// waitingCount is the number of requests that count in the pool's gauge. waitingEpoch
	// changes when these are discounted.
	waitingCount int
	waitingEpoch uint32
}

// newBackend returns the entry for a new server.
func (s *Steerer) newBackend(server *bronzeroute.Server) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.statsOf(server.Pool)
	return &backend{
		instance: server.Instance, zoneName: server.AvailabilityZone,
		zone: s.zone(server.AvailabilityZone), stats: stats, slots: server.Slots,
		slowness: stats.slownessOf(server.AvailabilityZone),
		shortID:  shortID(server), startedAt: server.StartedAt,
	}
}

// statsOf returns the statistics of a pool. The caller holds the lock.
func (s *Steerer) statsOf(pool string) *poolStats {
	ps := s.poolStats[pool]
	if ps == nil {
		ps = &poolStats{id: poolID(pool)}
		s.poolStats[pool] = ps
	}
	return ps
}

// removeUnrouted removes the state of endpoints and pools that no longer exist.
func (s *Steerer) removeUnrouted(vs *viewState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExemptLimits(vs.view)
	s.removeAccounts(vs.view)
	for pool := range s.poolStats {
		if vs.pools[pool] == nil {
			delete(s.poolStats, pool)
		}
	}
}
