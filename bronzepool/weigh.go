package bronzepool

import (
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
)

const (
	// minExcess is how many flows over its fair share a server may always
	// have. Without it nearly every flow of a small service would be an
	// exception.
	minExcess = 1
	// loadTolerance absorbs rounding errors of loads.
	loadTolerance = 1e-9
	// refreshInterval is how often ramps and the age of reports are taken
	// into account. All other changes of load take effect at once.
	refreshInterval = 50 * time.Millisecond
	// excludeAfterFails is the number of consecutive failures after which a
	// server is excluded from the fair share. If a share were kept for it, all
	// working servers would be over their limit and no longer be balanced.
	excludeAfterFails = 3
)

// refresh recomputes the loads and weights of all servers, unless the results
// of the last refresh are still valid. updateLoad keeps them up to date in
// between.
func (p *Pool) refresh(now int64) {
	if now >= p.refreshedAt && now < p.validUntil {
		return
	}
	until := now + int64(refreshInterval)
	p.loadSum, p.weightSum = 0, 0
	for _, s := range p.servers {
		s.load = p.estimate(s, now)
		s.weight = s.ramp(now, p.policy.ColdStart)
		if p.weighted {
			s.weight *= float64(s.connections)
		}
		s.serving = !s.leaving(now)
		s.inSums = s.serving && s.fails < excludeAfterFails
		if s.inSums {
			p.loadSum += s.load
			p.weightSum += s.weight
		}
		if !s.serving && !s.draining {
			until = min(until, s.leavingUntil)
		}
	}
	p.refreshedAt, p.validUntil = now, until
}

// updateLoad updates the load of s after a change of this node's own count.
func (p *Pool) updateLoad(s *server) {
	load := p.estimate(s, p.refreshedAt)
	if s.inSums {
		p.loadSum += load - s.load
	}
	s.load = load
}

// invalidate makes the next refresh recompute everything.
func (p *Pool) invalidate() {
	p.validUntil = 0
}

// invalidateOnExclusion calls invalidate if the failures of s now exclude it
// from the sums, or no longer do.
func (p *Pool) invalidateOnExclusion(s *server) {
	if s.inSums != (s.serving && s.fails < excludeAfterFails) {
		p.invalidate()
	}
}

// fits reports whether s serves and stays within its limit with one more flow.
func (p *Pool) fits(s *server) bool {
	if !s.serving || p.weightSum == 0 {
		return false
	}
	share := (p.loadSum + 1) * s.weight / p.weightSum
	return s.load+1 <= p.limit(s, share)+loadTolerance
}

// limit returns the most flows that s may have before it is skipped, given its
// fair share of all flows.
func (p *Pool) limit(s *server, share float64) float64 {
	bound := p.policy.ImbalanceBound
	if bound < 1 {
		bound = bronzeconf.DefaultImbalanceBound
	}
	limit := max(share*bound, share+minExcess)
	if s.slots > 0 && share <= float64(s.slots) {
		// While the slots suffice for all flows, no flow should wait for one.
		limit = min(limit, float64(s.slots))
	}
	return limit
}

const (
	// The quota of a server is quotaFactor times its fair share of new flows,
	// exceptions included, but at most the fraction maxQuota of them, which
	// matters in a small pool. quotaBurst is how many flows ahead of that it
	// may get.
	quotaFactor = 2
	maxQuota    = 0.75
	quotaBurst  = 3
)

// overQuota reports whether another flow would put s more than quotaBurst over
// its quota of the flows that this node placed recently.
func (p *Pool) overQuota(s *server) bool {
	return p.excess(s)+1 > quotaBurst
}

// excess returns how many flows s got beyond its quota. It is the level of a
// leaky bucket that drains by the quota with each flow that this node places.
func (p *Pool) excess(s *server) float64 {
	quota := maxQuota
	if p.weightSum > 0 {
		quota = min(quotaFactor*s.weight/p.weightSum, maxQuota)
	}
	return max(s.excess-quota*float64(p.placed-s.excessAt), 0)
}

// countPlaced counts a new flow on s.
func (p *Pool) countPlaced(s *server) {
	s.excess = min(p.excess(s)+1, 2*quotaBurst)
	p.placed++
	s.excessAt = p.placed
}
