package bronzesteer

import (
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroom"
)

const (
	// ownZoneSubset is the number of servers of its own zone that a node prefers in a busy
	// pool, otherZoneSubset that in each other zone. About as many nodes then share a server,
	// so that a node's own requests in flight tell something of what the server has to do.
	// Rates that peers report are too old for that: all nodes would choose the servers that
	// were idle seconds ago. The subset in another zone is larger than minUnansweredInZone, so
	// that a partition shows.
	ownZoneSubset   = 5
	otherZoneSubset = 8
)

// subsets holds where in each zone's servers this node begins to place. All methods may be
// called concurrently.
type subsets struct {
	mu sync.Mutex
	// names are those of the other live nodes of the own zone.
	names []string
	first map[int]int // by number of servers
}

// SetLivePeers sets the names of the other live nodes of this node's zone, in order. The Steerer
// keeps the slice.
func (s *Steerer) SetLivePeers(names []string) {
	s.subsets.mu.Lock()
	defer s.subsets.mu.Unlock()
	if !slices.Equal(names, s.subsets.names) {
		s.subsets.names, s.subsets.first = names, nil
	}
}

// begin returns where to begin among the given number of servers.
func (sub *subsets) begin(self string, servers int) int {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	first, ok := sub.first[servers]
	if !ok {
		first = bronzeroom.Subset(sub.names, self, servers)
		if sub.first == nil {
			sub.first = make(map[int]int)
		}
		sub.first[servers] = first
	}
	return first
}

// chooseFromSubset returns the server for a flow in a busy pool: the zone by the shares of zones,
// then the least loaded server of this node's subset there. ok is false if the shares are
// unknown or the subset has no usable server.
func (s *Steerer) chooseFromSubset(p *pool, tried *backend, sum summary, at time.Duration, now time.Time) (c choice, ok bool) {
	shares, ok := s.zoneShares(p, sum.mayAvoid, at)
	if !ok {
		return c, false
	}
	zone := s.zoneWithRoom(sum.inFlight.stats, shares, at)
	best := s.leastLoadedOfSubset(p, zone, tried, sum, at, now)
	for i := range shares {
		if best != nil {
			break
		}
		// Without a usable server in the zone, which has just been cut off, any other will do.
		best = s.leastLoadedOfSubset(p, shares[i].zone, tried, sum, at, now)
	}
	if best == nil {
		return c, false
	}
	return choice{server: best.server, backend: best.backend, tier: best.tier, sum: sum}, true
}

// zoneWithRoom returns the zone for a flow. Flows within the own zone survive a partition between
// zones. They leave it only as far as answer times confirm that requests wait there: the capacity
// of zones is underestimated if callers acknowledge late. They go by the shares, or to another
// zone if answers are as late in the one that was drawn, and not there.
func (s *Steerer) zoneWithRoom(ps *poolStats, shares []zoneShare, at time.Duration) string {
	leaves := ps.slownessOf(s.AvailabilityZone).leaves(at)
	if leaves == 0 || s.randomFloat() >= leaves {
		return s.AvailabilityZone
	}
	zone := s.drawZone(shares)
	least := ps.slownessOf(zone).delayed(at)
	if least == 0 {
		return zone
	}
	for i := range shares {
		if d := ps.slownessOf(shares[i].zone).delayed(at); d < least {
			zone, least = shares[i].zone, d
		}
	}
	return zone
}

// drawZone draws a zone by the shares.
func (s *Steerer) drawZone(shares []zoneShare) string {
	x := s.randomFloat()
	for i := range shares {
		if x -= shares[i].part; x < 0 {
			return shares[i].zone
		}
	}
	return s.AvailabilityZone
}

// leastLoadedOfSubset returns the usable server of this node's subset in a zone with the least
// of its requests, or nil if there is none.
func (s *Steerer) leastLoadedOfSubset(p *pool, zone string, tried *backend, sum summary, at time.Duration, now time.Time) *candidate {
	members := p.zones[zone]
	if len(members) == 0 {
		return nil
	}
	t, size := tierOtherZone, otherZoneSubset
	if zone == s.AvailabilityZone {
		t, size = tierOwnZone, ownZoneSubset
	}
	var candidates [max(ownZoneSubset, otherZoneSubset)]candidate
	list := candidates[:0]
	first := s.subsets.begin(s.Name, len(members))
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.backend == tried || s.tier(m.server, m.backend, sum.mayAvoid, at) != t || s.isRateLimited(m.server, now) && !s.canSendCold(m.server, m.backend, at) {
			continue
		}
		c := m.backend.candidate(m.server, t, sum.latency, at, now)
		c.utilization = 0
		if list = append(list, c); len(list) == size {
			break
		}
	}
	return s.leastLoaded(list, t)
}
