package bronzepool

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

const (
	// minSlack is how many flows over its fair share a server may always
	// have, so that a service with few flows doesn't have exceptions only.
	minSlack = 1
	// tolerance absorbs the rounding of loads.
	tolerance = 1e-9
	// weighEvery is how often ramps and the age of reports are brought up to
	// date. All else that changes loads does so at once.
	weighEvery = 50 * time.Millisecond
	// failsOut is how many openings in a row a server fails before it is
	// left out of the fair share. With its part kept free for it, all that
	// serve would be over their limit, and nothing would balance them.
	failsOut = 3
)

// weigh brings the loads and weights of all servers up to date, if something
// may have changed since the last time that weighOne didn't see.
func (p *Pool) weigh(now int64) {
	if now >= p.weighedAt && now < p.weighedUntil {
		return
	}
	until := now + int64(weighEvery)
	p.total, p.weight = 0, 0
	for _, s := range p.servers {
		s.load = p.estimate(s, now)
		s.weight = s.ramp(now, p.policy.ColdStart)
		if p.weighted {
			s.weight *= float64(s.connections)
		}
		s.serving = !s.leaving(now)
		s.inSums = s.serving && s.fails < failsOut
		if s.inSums {
			p.total += s.load
			p.weight += s.weight
		}
		if !s.serving && !s.draining {
			until = min(until, s.leavingUntil)
		}
	}
	p.weighedAt, p.weighedUntil = now, until
}

// weighOne follows a change of this node's own count on s.
func (p *Pool) weighOne(s *server) {
	load := p.estimate(s, p.weighedAt)
	if s.inSums {
		p.total += load - s.load
	}
	s.load = load
}

// reweigh makes the next weigh compute everything.
func (p *Pool) reweigh() {
	p.weighedUntil = 0
}

// recount makes the next weigh compute everything if s fails, or no longer
// fails, often enough to change the sums.
func (p *Pool) recount(s *server) {
	if s.inSums != (s.serving && s.fails < failsOut) {
		p.reweigh()
	}
}

// fits reports whether s is under its limit.
func (p *Pool) fits(s *server) bool {
	if !s.serving || p.weight == 0 {
		return false
	}
	share := (p.total + 1) * s.weight / p.weight
	return s.load+1 <= p.limit(s, share)+tolerance
}

// limit returns how many flows s may have before it is passed over, given its
// fair share of them.
func (p *Pool) limit(s *server, share float64) float64 {
	bound := p.policy.ImbalanceBound
	if bound < 1 {
		bound = bronzeconf.DefaultImbalanceBound
	}
	limit := max(share*bound, share+minSlack)
	if s.slots > 0 && share <= float64(s.slots) {
		// While there are slots for all flows, none needs to wait for one.
		limit = min(limit, float64(s.slots))
	}
	return limit
}

const (
	// crowdedFactor times its fair part of new flows is what a server may
	// have for long, exceptions included; crowdedMost bounds the part in a
	// small pool. crowdedBurst is how many it may have ahead of that.
	crowdedFactor = 2
	crowdedMost   = 0.75
	crowdedBurst  = 3
)

// crowded reports whether s had too much of what this node placed of late.
func (p *Pool) crowded(s *server) bool {
	return p.debt(s)+1 > crowdedBurst
}

// debt returns how many flows s had more than its part, forgetting at the
// pace at which this node places flows.
func (p *Pool) debt(s *server) float64 {
	part := crowdedMost
	if p.weight > 0 {
		part = min(crowdedFactor*s.weight/p.weight, crowdedMost)
	}
	return max(s.debt-part*float64(p.placed-s.debtAt), 0)
}

// notePlaced counts a new flow on s.
func (p *Pool) notePlaced(s *server) {
	s.debt = min(p.debt(s)+1, 2*crowdedBurst)
	p.placed++
	s.debtAt = p.placed
}
