package bronzesteer

import (
	"math/rand/v2"
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// coldSlotFraction is the fraction of its slots that a server counts with while it is
	// cold, since it is slow then.
	coldSlotFraction = 0.5
	// maxAvoidedFraction is the fraction of a pool that may be avoided. If more servers
	// seem silent, the cause is probably elsewhere, and avoiding them would only overload
	// the rest. In a pool of fewer than minServersForAvoidLimit servers, all may be
	// avoided: they are still used where there are no others, and routes with a second pool
	// use that.
	maxAvoidedFraction      = 0.75
	minServersForAvoidLimit = 4
	// maxZoneImbalance is how far the utilization of the own zone's servers may exceed the
	// region's before flows are placed in other zones. Below idleUtilization the imbalance
	// doesn't matter, since hardly any request waits for another.
	maxZoneImbalance = 1.25
	idleUtilization  = 0.4
	// maxZoneLead is how many requests per slot the least loaded server of the own zone may
	// have more than the best of other zones. Rates show a surge only after seconds: when
	// all nodes are back from a power failure, a zone's callers open their flows within
	// half a second and would fill its servers' queues. A smaller lead moves more flows out
	// of the zone than necessary, and these fail when zones are partitioned from each
	// other.
	maxZoneLead = 1.0
	// maxSlowdown bounds the factor by which a server counts as slower than its pool.
	maxSlowdown = 10
)

// tier ranks servers. A server is chosen only if there is none of a higher tier, except
// that flows may leave the own zone for other zones of the region.
type tier uint8

const (
	tierNone tier = iota
	tierMissing
	tierAvoided
	tierOtherRegion
	tierOtherZone
	tierOwnZone
)

// candidate is a server that may take a flow.
type candidate struct {
	server  *bronzeroute.Server
	backend *backend
	tier    tier
	// utilization is the average fraction of the server's slots in use by requests of all
	// nodes, slots the number of requests it can process at once.
	utilization float64
	slots       float64
	// load is the present load of this node's requests per slot, with the flow to be
	// placed.
	load float64
	// inFlight is this node's load without the flow to be placed, for all slots. rate and
	// peerRate are the request rates of this node and of its peers, in requests per second.
	inFlight float64
	rate     float64
	peerRate float64
}

// choice is the server chosen for a flow, with its tier and the summary of its pool.
type choice struct {
	server  *bronzeroute.Server
	backend *backend
	tier    tier
	sum     summary
}

// score is the candidate's load per slot, the lower the better.
func (c *candidate) score() float64 { return c.load + c.utilization }

// place chooses the server for a new flow, other than the one already tried. The choice is
// empty if there is none. For a cold server it takes the opening from its warm-up limit.
func (s *Steerer) place(vs *viewState, route *bronzeroute.Route, p *Packet, tried *backend, at time.Duration, now time.Time) choice {
	for {
		c := s.chooseServer(vs, route, p, tried, at, now)
		if c.server == nil || !s.isRateLimited(c.server, now) || s.takeColdSend(c.server, c.backend, at) {
			return c
		}
		// Another goroutine has used up the limit; the server is no longer a candidate.
	}
}

// chooseServer returns the best server for a flow. The pool is chosen by the route's
// weights; if none of its servers can be used, or it is closed, another pool of the route with a
// better one is.
func (s *Steerer) chooseServer(vs *viewState, route *bronzeroute.Route, p *Packet, tried *backend, at time.Duration, now time.Time) choice {
	pool, ok := route.Pick(p.Key.Hash())
	if !ok {
		return choice{}
	}
	best := s.chooseFromPool(vs.pools[pool], route, tried, at, now)
	closed := s.isClosed(pool)
	for i := range route.Pools {
		if best.tier > tierAvoided && !closed {
			break
		}
		weighted := &route.Pools[i]
		if weighted.Weight <= 0 || weighted.Pool == pool || s.isClosed(weighted.Pool) {
			continue
		}
		if c := s.chooseFromPool(vs.pools[weighted.Pool], route, tried, at, now); c.tier > best.tier || closed && c.server != nil {
			best, closed = c, false
		}
	}
	return best
}

// chooseFromPool returns the server of a pool for a flow of the route.
func (s *Steerer) chooseFromPool(p *pool, route *bronzeroute.Route, tried *backend, at time.Duration, now time.Time) choice {
	if p == nil {
		return choice{}
	}
	// Both arrays stay on the stack, so that openings don't allocate here.
	var candidates [maxFullScan]candidate
	var sampled [ownZoneSample + otherZonesSample]member
	if len(p.members) <= maxFullScan {
		sum := s.newSummary(p, at)
		list := s.candidates(candidates[:0], p.members, tried, sum, at, now)
		for i := range list {
			sum.add(&list[i])
		}
		if sum.inFlight.stats.isControlled(route) && s.isBusy(sum.inFlight.stats, sum, at) {
			if c, ok := s.chooseFromSubset(p, tried, sum, at, now); ok {
				return c
			}
		}
		return s.pickCandidate(list, sum)
	}
	sum := s.summary(p, at, now)
	if sum.inFlight.stats.isControlled(route) && s.isBusy(sum.inFlight.stats, sum, at) {
		if c, ok := s.chooseFromSubset(p, tried, sum, at, now); ok {
			return c
		}
	}
	c := s.pickCandidate(s.candidates(candidates[:0], s.samplePool(sampled[:0], p), tried, sum, at, now), sum)
	if c.tier <= tierAvoided {
		c = s.pickCandidate(s.candidates(candidates[:0], p.members, tried, sum, at, now), sum)
	}
	return c
}

// pickCandidate returns the candidate for a flow.
func (s *Steerer) pickCandidate(candidates []candidate, sum summary) choice {
	if len(candidates) == 0 {
		return choice{}
	}
	best := tierNone
	for i := range candidates {
		best = max(best, candidates[i].tier)
	}
	c := s.leastLoaded(candidates, best)
	if best == tierOwnZone {
		other := s.leastLoaded(candidates, tierOtherZone)
		if other != nil && (c.score() > other.score()+maxZoneLead || s.shouldSpill(sum)) {
			c = other
		}
	}
	return choice{server: c.server, backend: c.backend, tier: c.tier, sum: sum}
}

// candidates appends those members that may take a flow.
func (s *Steerer) candidates(list []candidate, members []member, tried *backend, sum summary, at time.Duration, now time.Time) []candidate {
	for _, m := range members {
		if m.backend == tried {
			continue
		}
		t := s.tier(m.server, m.backend, sum.mayAvoid, at)
		if t == tierNone || s.isRateLimited(m.server, now) && !s.canSendCold(m.server, m.backend, at) {
			continue
		}
		list = append(list, m.backend.candidate(m.server, t, sum.latency, at, now))
	}
	return list
}

// leastLoaded returns the least loaded candidate of a tier, or nil. Ties are broken at
// random, so that nodes with the same information don't all choose the same server.
func (s *Steerer) leastLoaded(candidates []candidate, t tier) (best *candidate) {
	bestLoad, equals := 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.tier != t {
			continue
		}
		load := c.score()
		switch {
		case best == nil || load < bestLoad:
			best, bestLoad, equals = c, load, 1
		case load == bestLoad:
			equals++
			if s.random(equals) == 0 {
				best = c
			}
		}
	}
	return best
}

// shouldSpill reports whether a flow is to be placed outside the own zone. Flows within the
// zone survive a partition between zones, and their packets don't cross zones. If callers
// are distributed over zones unlike servers, as many flows are placed elsewhere as bring
// the own zone's servers down to the bound.
func (s *Steerer) shouldSpill(sum summary) bool {
	own, all := sum.ownZone, sum.region
	if own.slots == 0 || own.slots == all.slots {
		return false
	}
	utilization := own.used / own.slots
	bound := max(idleUtilization, maxZoneImbalance*all.used/all.slots)
	return utilization > bound && s.randomFloat() > bound/utilization
}

// randomFloat returns a number in [0, 1).
func (s *Steerer) randomFloat() float64 {
	if s.Random != nil {
		return float64(s.Random(randomSteps)) / randomSteps
	}
	return rand.Float64()
}

// randomSteps is the resolution of randomFloat if it uses Random.
const randomSteps = 1 << 20

// mayAvoid reports whether so few of the pool's servers seem silent that these may be
// avoided.
func (s *Steerer) mayAvoid(members []member, at time.Duration) bool {
	serving, avoided := 0, 0
	for _, m := range members {
		if m.server.Status != bronzeroute.Serving {
			continue
		}
		serving++
		if s.avoids(m.backend, at) {
			avoided++
		}
	}
	return serving < minServersForAvoidLimit || float64(avoided) <= maxAvoidedFraction*float64(serving)
}

func (s *Steerer) tier(server *bronzeroute.Server, b *backend, mayAvoid bool, at time.Duration) tier {
	switch {
	case server.Status == bronzeroute.Missing:
		return tierMissing
	case server.Status != bronzeroute.Serving:
		return tierNone
	case mayAvoid && s.avoids(b, at):
		return tierAvoided
	case server.AvailabilityZone == s.AvailabilityZone:
		return tierOwnZone
	case s.Regions[server.AvailabilityZone] == s.Region:
		return tierOtherZone
	default:
		return tierOtherRegion
	}
}

// poolLatency returns the median latency of a pool's servers, so that a few slow servers
// stand out, and defaultLatency if none is known.
func poolLatency(members []member) time.Duration {
	if median := medianLatency(members); median > 0 {
		return median
	}
	return defaultLatency
}

// medianLatency is like poolLatency, but returns 0 if no latency is known.
func medianLatency(members []member) time.Duration {
	latencies := make([]time.Duration, 0, len(members))
	for _, m := range members {
		m.backend.mu.Lock()
		if l := m.backend.fleetLatency(); l > 0 {
			latencies = append(latencies, l)
		}
		m.backend.mu.Unlock()
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}

// candidate returns the server as a candidate. One that has just rejected requests counts as
// slower by its factor.
func (b *backend) candidate(server *bronzeroute.Server, t tier, latency, at time.Duration, now time.Time) candidate {
	factor := b.room.Factor(at)
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := float64(max(server.Slots, 1))
	if !server.Warm(now) {
		slots *= coldSlotFraction
	}
	slowdown := 1.0
	if own := b.fleetLatency(); own > latency {
		slowdown = min(float64(own)/float64(latency), maxSlowdown)
	}
	slowdown /= factor
	inFlight := float64(b.inFlight + b.openings)
	return candidate{
		server: server, backend: b, tier: t, slots: slots,
		utilization: (b.rate + b.peerRate) * latency.Seconds() * slowdown / slots,
		load:        (1 + inFlight) * slowdown / slots,
		inFlight:    inFlight, rate: b.rate, peerRate: b.peerRate,
	}
}
