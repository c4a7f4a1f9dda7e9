package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// backend is what this node has seen of one start of a server. Times are
// distances from the Steerer's start.
type backend struct {
	instance string
	zoneName string
	zone     *zone
	stats    *poolStats
	slots    int
	// shortID stands for the server between nodes.
	shortID uint32
	// startedAt is when the server started, the zero time if it doesn't tell, and next
	// what is seen of its next start once there is one.
	startedAt time.Time
	successor atomic.Pointer[backend]

	// The lock guards what follows, each subject in a type of its own.
	mu sync.Mutex
	serverLoad
	latencyStats
	localEvidence
	peerEvidence
	warmup warmup
}

// newBackend returns the entry of a server that is new.
func (s *Steerer) newBackend(server *bronzeroute.Server) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &backend{
		instance: server.Instance, zoneName: server.AvailabilityZone,
		zone: s.zone(server.AvailabilityZone), stats: s.statsOf(server.Pool), slots: server.Slots,
		shortID: shortID(server), startedAt: server.StartedAt,
	}
}

// statsOf returns what is known of a pool's servers together; the caller holds
// the lock.
func (s *Steerer) statsOf(pool string) *poolStats {
	t := s.poolStats[pool]
	if t == nil {
		t = &poolStats{}
		s.poolStats[pool] = t
	}
	return t
}

// removeUnrouted drops what is known of endpoints and pools that are no more.
func (s *Steerer) removeUnrouted(k *viewState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExemptLimits(k.view)
	s.removeAccounts(k.view)
	for pool := range s.poolStats {
		if k.pools[pool] == nil {
			delete(s.poolStats, pool)
		}
	}
}
