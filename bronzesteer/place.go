package bronzesteer

import (
	"math/rand/v2"
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// coldShare is the part of its full share that a server gets that has just
	// started and is slow.
	coldSlotFraction = 0.5
	// avoidMostShare is the part of a pool that may be avoided. If more seem
	// silent, it is likelier that something else is wrong, and keeping away
	// from them would only press the rest.
	// With fewer than avoidMostOf servers, all may be: they are still used where
	// there is no other, and routes with a second pool use that.
	maxAvoidedFraction      = 0.75
	minServersForAvoidLimit = 4
	// zoneBound is how far the utilization of the own zone's servers may be
	// over that of all before flows are placed in other zones, and zoneIdle is
	// the utilization up to which it doesn't matter, since hardly a request
	// waits for another.
	maxZoneImbalance = 1.25
	idleUtilization  = 0.4
	// zoneLead is how many requests for each slot the least used server of the
	// own zone may have more than the best of the others. Rates tell of a surge
	// only after seconds: when all nodes are back from a power cut, a zone's callers
	// open their flows within half a second, and would fill its servers' queues, which
	// then refuse. With less of a lead more flows leave the zone than have to, and fail
	// when zones are cut off from each other.
	maxZoneLead = 1.0
	// slowMost bounds how much slower than its pool a server may count.
	maxSlowdown = 10
)

// tier orders servers: of a lower one none is taken while a higher has any.
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
	// used is the part of its slots that is in use on average, all nodes'
	// requests taken together, and slots how many requests it can work on.
	utilization float64
	slots       float64
	// load is what this node has there at this moment, for each slot.
	load float64
	// work is the same without the flow that is placed and for all slots, rate
	// what this node sends there and others what the other nodes do, in requests
	// a second.
	inFlight float64
	rate     float64
	peerRate float64
}

// choice is the server that is to take a flow, its tier, and how many requests
// its pool has at work for each slot.
type choice struct {
	server          *bronzeroute.Server
	backend         *backend
	tier            tier
	inFlightPerSlot float64
}

// use is what the candidate has to do, in requests for each of its slots.
func (c *candidate) score() float64 { return c.load + c.utilization }

// place chooses the server for a new flow, not the one tried before; the choice
// has none if there is none. Of a cold server's part it takes what the flow needs.
func (s *Steerer) place(k *viewState, route *bronzeroute.Route, p *Packet, tried *backend, at time.Duration, now time.Time) choice {
	for {
		c := s.chooseServer(k, route, p, tried, at, now)
		if c.server == nil || !s.isRateLimited(c.server, now) || s.takeColdSend(c.server, c.backend, at) {
			return c
		}
		// Another goroutine took it meanwhile: the server is no candidate any more.
	}
}

// prefer returns the best server for a flow. The pool is chosen by the route's weights. If
// none of its servers can be reached, a pool of the route with a better one is used.
func (s *Steerer) chooseServer(k *viewState, route *bronzeroute.Route, p *Packet, tried *backend, at time.Duration, now time.Time) choice {
	pool, ok := route.Pick(p.Key.Hash())
	if !ok {
		return choice{}
	}
	best := s.chooseFromPool(k.pools[pool], tried, at, now)
	for i := range route.Pools {
		if best.tier > tierAvoided {
			break
		}
		share := &route.Pools[i]
		if share.Weight <= 0 || share.Pool == pool {
			continue
		}
		if c := s.chooseFromPool(k.pools[share.Pool], tried, at, now); c.tier > best.tier {
			best = c
		}
	}
	return best
}

// choose returns the server of a pool that is to take a flow.
func (s *Steerer) chooseFromPool(p *pool, tried *backend, at time.Duration, now time.Time) choice {
	if p == nil {
		return choice{}
	}
	// Both stay on the stack: an opening allocates nothing here.
	var candidates [maxFullScan]candidate
	var drawn [ownZoneSample + otherZonesSample]member
	if len(p.members) <= maxFullScan {
		sum := s.newSummary(p, at)
		list := s.candidates(candidates[:0], p.members, tried, sum, at, now)
		for i := range list {
			sum.add(&list[i])
		}
		return s.pickCandidate(list, sum)
	}
	sum := s.summary(p, at, now)
	c := s.pickCandidate(s.candidates(candidates[:0], s.samplePool(drawn[:0], p), tried, sum, at, now), sum)
	if c.tier <= tierAvoided {
		c = s.pickCandidate(s.candidates(candidates[:0], p.members, tried, sum, at, now), sum)
	}
	return c
}

// pick returns which of the candidates is to take a flow.
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
	return choice{server: c.server, backend: c.backend, tier: c.tier, inFlightPerSlot: sum.inFlight.perSlot()}
}

// candidates appends those of the members that may take a flow at all.
func (s *Steerer) candidates(list []candidate, members []member, tried *backend, sum summary, at time.Duration, now time.Time) []candidate {
	for _, m := range members {
		if m.backend == tried {
			continue
		}
		t := s.tier(m.server, m.backend, sum.mayAvoid, at)
		if t == tierNone || s.isRateLimited(m.server, now) && !s.canSendCold(m.server, m.backend, at) {
			continue
		}
		list = append(list, m.backend.candidate(m.server, t, sum.latency, now))
	}
	return list
}

// least returns the least loaded candidate of a tier, nil if there is none;
// among equals one at random, so that nodes that know the same spread.
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

// leaveZone reports whether a flow is to be placed outside the own zone. Flows
// that stay go on when zones are cut off from each other, and their packets
// cross no zone. But callers may be spread over zones otherwise than servers:
// then as many leave as bring the own zone's servers to the bound.
func (s *Steerer) shouldSpill(sum summary) bool {
	own, all := sum.ownZone, sum.region
	if own.slots == 0 || own.slots == all.slots {
		return false
	}
	used := own.used / own.slots
	bound := max(idleUtilization, maxZoneImbalance*all.used/all.slots)
	return used > bound && s.randomFloat() > bound/used
}

// chance returns a number in [0,1).
func (s *Steerer) randomFloat() float64 {
	if s.Random != nil {
		return float64(s.Random(randomSteps)) / randomSteps
	}
	return rand.Float64()
}

// chances is how finely Random is asked for a chance.
const randomSteps = 1 << 20

// mayAvoid reports whether few enough of the pool's servers are silent to
// keep away from them.
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

// poolLatency returns the median latency of a pool's servers, which a few
// slow ones don't change, so that they stand out.
func poolLatency(members []member) time.Duration {
	if median := medianLatency(members); median > 0 {
		return median
	}
	return defaultLatency
}

// medianLatency returns the same, 0 if none is known.
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

// candidate returns the server as one that may take a flow.
func (b *backend) candidate(server *bronzeroute.Server, t tier, latency time.Duration, now time.Time) candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := float64(max(server.Slots, 1))
	if !server.Warm(now) {
		slots *= coldSlotFraction
	}
	slow := 1.0
	if own := b.fleetLatency(); own > latency {
		slow = min(float64(own)/float64(latency), maxSlowdown)
	}
	work := float64(b.inFlight + b.openings)
	return candidate{
		server: server, backend: b, tier: t, slots: slots,
		utilization: (b.rate + b.peerRate) * latency.Seconds() * slow / slots,
		load:        (1 + work) * slow / slots,
		inFlight:    work, rate: b.rate, peerRate: b.peerRate,
	}
}
