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
	service  *service
	slots    int
	// short stands for the server between nodes.
	short uint32
	// born is when the server started, the zero time if it doesn't tell, and next
	// what is seen of its next start once there is one.
	born time.Time
	next atomic.Pointer[backend]

	// The lock guards what follows, each subject in a type of its own.
	mu sync.Mutex
	serverLoad
	responseTime
	ownEvidence
	hearsay
	warmup warmup
}

// newBackend returns the entry of a server that is new.
func (s *Steerer) newBackend(server *bronzeroute.Server) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &backend{
		instance: server.Instance, zoneName: server.AvailabilityZone,
		zone: s.zone(server.AvailabilityZone), service: s.service(server.Pool), slots: server.Slots,
		short: shortID(server), born: server.StartedAt,
	}
}

// service returns what is known of a pool's servers together; the caller holds
// the lock.
func (s *Steerer) service(pool string) *service {
	t := s.services[pool]
	if t == nil {
		t = &service{}
		s.services[pool] = t
	}
	return t
}

// forget drops what is known of endpoints and pools that are no more.
func (s *Steerer) forget(k *known) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetFree(k.view)
	s.forgetAccounts(k.view)
	for pool := range s.services {
		if k.pools[pool] == nil {
			delete(s.services, pool)
		}
	}
}
