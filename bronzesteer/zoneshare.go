package bronzesteer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
	"bronzeusher.example/bronzeusher/bronzeshare"
)

// zoneShare is the part of this node's openings that goes to a zone.
type zoneShare struct {
	zone string
	part float64
}

// zoneShares are the shares of a pool's zones. They are unknown unless ok is set.
type zoneShares struct {
	list []zoneShare
	ok   bool
}

// renewed is a value that is computed at most every shareMaxAge, and read much more often. The
// zero value has expired. All methods may be called concurrently.
type renewed[T any] struct {
	renewing sync.Mutex
	value    atomic.Pointer[T]
	at       atomic.Int64
}

// get returns the value. If expired is set, the caller must compute it and call set; other
// callers get the former one meanwhile.
func (r *renewed[T]) get(at time.Duration) (value T, expired bool) {
	v := r.value.Load()
	if v == nil || at-r.setAt() >= shareMaxAge {
		expired = r.renewing.TryLock()
	}
	if v != nil {
		value = *v
	}
	return value, expired
}

// setAt returns when the value was last set.
func (r *renewed[T]) setAt() time.Duration { return time.Duration(r.at.Load()) }

// set sets the value after get has returned that it has expired.
func (r *renewed[T]) set(value T, at time.Duration) {
	r.at.Store(int64(at))
	r.value.Store(&value)
	r.renewing.Unlock()
}

// zoneShares returns the parts of this node's openings that go to each zone of its region. They
// add up to 1. It returns false if too little is known. mayAvoid is that of the pool's summary.
// The caller must not change the list, which is computed at most every shareMaxAge.
func (s *Steerer) zoneShares(p *pool, mayAvoid bool, at time.Duration) (list []zoneShare, ok bool) {
	if p == nil || len(p.members) == 0 {
		return nil, false
	}
	ps := p.members[0].backend.stats
	shares, expired := ps.shares.get(at)
	if expired {
		shares.list, shares.ok = s.newShares(p, ps, mayAvoid, at)
		ps.shares.set(shares, at)
	}
	return shares.list, shares.ok
}

// newShares computes the shares of a pool's zones.
func (s *Steerer) newShares(p *pool, ps *poolStats, mayAvoid bool, at time.Duration) (list []zoneShare, ok bool) {
	zones := s.zoneCapacities(p, ps.serviceTime(), mayAvoid, at)
	if !s.demands.addDemand(zones, ps, s.AvailabilityZone, at) {
		return nil, false
	}
	parts, ok := bronzeshare.Shares(s.AvailabilityZone, zones)
	for i, part := range parts {
		list = append(list, zoneShare{zone: zones[i].Name, part: part})
	}
	return list, ok
}

// addDemand sets the zones' demand for a pool. It returns false if that of any is unknown.
func (t *demandTable) addDemand(zones []bronzeshare.Zone, ps *poolStats, ownZone string, at time.Duration) (ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := ps.demand.rate(at)
	steady := make(map[string]steadyDemand, len(zones))
	for i := range zones {
		inZone := zones[i].Name == ownZone
		d, ok := t.zoneDemand(zones[i].Name, ps.id, inZone, inZone, own, at)
		if !ok {
			return false
		}
		now, known := ps.steady[zones[i].Name]
		if known {
			now = now.update(d, at)
		} else {
			now = steadyDemand{rate: d.rate, at: at}
		}
		zones[i].Demand, steady[zones[i].Name] = now.rate, now
	}
	ps.steady = steady
	return true
}

// zoneCapacities returns the zones of this node's region that have live nodes or servers of
// the pool, by name, with what their usable servers can do. It returns none if the service
// time is unknown.
func (s *Steerer) zoneCapacities(p *pool, service time.Duration, mayAvoid bool, at time.Duration) (zones []bronzeshare.Zone) {
	if service <= 0 {
		return nil
	}
	capacities := map[string]float64{s.AvailabilityZone: 0}
	for _, m := range p.members {
		if t := s.tier(m.server, m.backend, mayAvoid, at); t == tierOwnZone || t == tierOtherZone {
			capacities[m.server.AvailabilityZone] += serverCapacity(m.server, service, s.start.Add(at))
		}
	}
	s.demands.mu.Lock()
	for zone := range s.demands.live {
		if s.Regions[zone] == s.Region {
			capacities[zone] += 0
		}
	}
	s.demands.mu.Unlock()
	for name, capacity := range capacities {
		zones = append(zones, bronzeshare.Zone{Name: name, Capacity: capacity})
	}
	slices.SortFunc(zones, func(a, b bronzeshare.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// serverCapacity returns how many requests per second a server can do.
func serverCapacity(server *bronzeroute.Server, service time.Duration, now time.Time) float64 {
	capacity := float64(max(server.Slots, 1)) / service.Seconds()
	if server.Warm(now) {
		return capacity
	}
	capacity *= coldSlotFraction
	if limit := server.Warmup.RequestsPerSecond; limit > 0 {
		capacity = min(capacity, limit)
	}
	return capacity
}
