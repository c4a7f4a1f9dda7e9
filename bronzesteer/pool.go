package bronzesteer

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// maxFullScan is up to how many servers a pool has for all of them to be looked
	// at for each opening. Beyond it a sample is: of a thousand servers, finding the best
	// would take a node with a tenth of a core a fifth of its time.
	maxFullScan = 48
	// ownZoneSample and sampleOthers are how many servers of the own zone and of the
	// others a sample has. The best of so many is nearly always among the best tenth of
	// the zone, which is more than what is known of loads is worth; and the
	// others only serve to see whether the zone is left.
	ownZoneSample    = 24
	otherZonesSample = 12
	// summaryMaxAge is how old what is known of a large pool as a whole may be, but for
	// the requests at work. Rates are brought up to date that often, and a silent
	// server is avoided for three times as long.
	summaryMaxAge = loadInterval
	// latencySample is of how many servers of a large pool the latency is taken.
	latencySample = 2 * maxFullScan
)

// pool are the servers of a pool that aren't gone, as a view has them.
type pool struct {
	// servers are the same as the view has them.
	servers []*bronzeroute.Server
	// members begin with the own zone's servers, which are own many. While the pool
	// is put together, the rest is in others.
	members      []member
	ownZoneCount int
	otherZones   []member

	mu           sync.Mutex
	hasSummary   bool
	summarizedAt time.Duration
	summary      summary
}

// summary is what counts of a pool as a whole.
type summary struct {
	// mayAvoid says that silent servers may be kept away from, and latency is the
	// median of the servers'.
	mayAvoid bool
	latency  time.Duration
	// ownZone is the use of the ownZone zone's servers, region that of all of the region.
	ownZone, region usage
	inFlight        poolInFlight
}

// usage is how many slots servers have, and how many are in usage.
type usage struct{ used, slots float64 }

// add adds a member while the pool is put together.
func (p *pool) add(m member, ofOwnZone bool) {
	if !ofOwnZone {
		p.otherZones = append(p.otherZones, m)
		return
	}
	p.members = append(p.members, m)
	p.ownZoneCount++
}

// hasServers reports whether the pool hasServers of these servers, which views share that have the
// same ones.
func (p *pool) hasServers(servers []*bronzeroute.Server) bool {
	return len(p.servers) == len(servers) && &p.servers[0] == &servers[0]
}

// summary returns what counts of a large pool as a whole, at most summaryFor old.
func (s *Steerer) summary(p *pool, at time.Duration, now time.Time) summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasSummary && at-p.summarizedAt < summaryMaxAge {
		return p.summary
	}
	sum := s.newSummary(p, at)
	for _, m := range p.members {
		if t := s.tier(m.server, m.backend, sum.mayAvoid, at); t != tierNone {
			c := m.backend.candidate(m.server, t, sum.latency, now)
			sum.add(&c)
		}
	}
	p.summary, p.hasSummary, p.summarizedAt = sum, true, at
	return sum
}

// newSummary returns the part of a summary that candidates depend on.
func (s *Steerer) newSummary(p *pool, at time.Duration) summary {
	return summary{
		mayAvoid: s.mayAvoid(p.members, at),
		latency:  poolLatency(s.sampleMembers(p.members, latencySample)),
		inFlight: s.newPoolInFlight(p.members[0].backend.stats),
	}
}

// add counts a candidate.
func (sum *summary) add(c *candidate) {
	sum.inFlight.add(c)
	if c.tier != tierOwnZone && c.tier != tierOtherZone {
		return
	}
	sum.region.add(c)
	if c.tier == tierOwnZone {
		sum.ownZone.add(c)
	}
}

func (u *usage) add(c *candidate) {
	u.used += c.utilization * c.slots
	u.slots += c.slots
}

// samplePool appends some members of a large pool, at most sampleOwn and
// sampleOthers.
func (s *Steerer) samplePool(list []member, p *pool) []member {
	list = s.appendSample(list, p.members[:p.ownZoneCount], ownZoneSample)
	return s.appendSample(list, p.members[p.ownZoneCount:], otherZonesSample)
}

// sampleMembers returns n of the members, all if there are no more.
func (s *Steerer) sampleMembers(from []member, n int) []member {
	if len(from) <= n {
		return from
	}
	return s.appendSample(make([]member, 0, n), from, n)
}

// appendSample appends n of the members, all if there are no more.
func (s *Steerer) appendSample(list, from []member, n int) []member {
	if len(from) <= n {
		return append(list, from...)
	}
	// One of each n-th part: no member comes twice.
	for i := range n {
		begin, end := i*len(from)/n, (i+1)*len(from)/n
		list = append(list, from[begin+s.random(end-begin)])
	}
	return list
}
