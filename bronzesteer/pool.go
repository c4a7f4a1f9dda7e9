package bronzesteer

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// maxFullScan is the size up to which all servers of a pool are compared for each
	// opening. Larger pools are sampled: finding the best of a thousand servers would take
	// a node with a tenth of a core a fifth of its time.
	maxFullScan = 48
	// ownZoneSample and otherZonesSample are the numbers of servers sampled from the own
	// zone and from the others. The best of so many is nearly always among the best tenth
	// of the zone, which exceeds the accuracy of the loads. Those of other zones only serve
	// to see whether flows should leave the zone.
	ownZoneSample    = 24
	otherZonesSample = 12
	// summaryMaxAge is how long the summary of a large pool is reused, apart from its
	// requests in flight. Rates are updated that often, and a silent server is avoided for
	// three times as long.
	summaryMaxAge = loadInterval
	// latencySample is the number of servers of a large pool whose latencies are sampled.
	latencySample = 2 * maxFullScan
)

// pool holds the servers of a pool in a view, except those that are gone.
type pool struct {
	// servers is the view's own slice.
	servers []*bronzeroute.Server
	// members begins with the ownZoneCount servers of the own zone. While the pool is being
	// built, the rest is in otherZones.
	members      []member
	ownZoneCount int
	otherZones   []member
	// zones holds the members by AvailabilityZone, each in the order of names.
	zones map[string][]member

	mu           sync.Mutex
	hasSummary   bool
	summarizedAt time.Duration
	summary      summary
}

// summary is the state of a pool as a whole.
type summary struct {
	// mayAvoid is set if silent servers may be avoided. latency is the servers' median
	// latency.
	mayAvoid bool
	latency  time.Duration
	// ownZone is the usage of the own zone's servers, region that of the whole region.
	ownZone, region usage
	inFlight        poolInFlight
}

// usage is the number of slots in use and in total.
type usage struct{ used, slots float64 }

// add adds a member while the pool is being built.
func (p *pool) add(m member, inOwnZone bool) {
	if !inOwnZone {
		p.otherZones = append(p.otherZones, m)
		return
	}
	p.members = append(p.members, m)
	p.ownZoneCount++
}

// hasServers reports whether the pool was built from servers. Views with the same servers
// in a pool share the slice.
func (p *pool) hasServers(servers []*bronzeroute.Server) bool {
	return len(p.servers) == len(servers) && &p.servers[0] == &servers[0]
}

// summary returns the summary of a large pool, at most summaryMaxAge old.
func (s *Steerer) summary(p *pool, at time.Duration, now time.Time) summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasSummary && at-p.summarizedAt < summaryMaxAge {
		return p.summary
	}
	sum := s.newSummary(p, at)
	for _, m := range p.members {
		if t := s.tier(m.server, m.backend, sum.mayAvoid, at); t != tierNone {
			c := m.backend.candidate(m.server, t, sum.latency, at, now)
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

// add adds a candidate to the summary.
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

// samplePool appends some members of a large pool, at most ownZoneSample and
// otherZonesSample.
func (s *Steerer) samplePool(list []member, p *pool) []member {
	list = s.appendSample(list, p.members[:p.ownZoneCount], ownZoneSample)
	return s.appendSample(list, p.members[p.ownZoneCount:], otherZonesSample)
}

// sampleMembers returns n of the members, or all if there are no more.
func (s *Steerer) sampleMembers(from []member, n int) []member {
	if len(from) <= n {
		return from
	}
	return s.appendSample(make([]member, 0, n), from, n)
}

// appendSample appends n of the members, or all if there are no more.
func (s *Steerer) appendSample(list, from []member, n int) []member {
	if len(from) <= n {
		return append(list, from...)
	}
	// One member of each n-th part is drawn, so that none is drawn twice.
	for i := range n {
		begin, end := i*len(from)/n, (i+1)*len(from)/n
		list = append(list, from[begin+s.random(end-begin)])
	}
	return list
}
