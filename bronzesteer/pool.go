package bronzesteer

import (
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// lookAtAll is up to how many servers a pool has for all of them to be looked
	// at for each opening. Beyond it a sample is: of a thousand servers, finding the best
	// would take a node with a tenth of a core a fifth of its time.
	lookAtAll = 48
	// sampleOwn and sampleOthers are how many servers of the own zone and of the
	// others a sample has. The best of so many is nearly always among the best tenth of
	// the zone, which is more than what is known of loads is worth; and the
	// others only serve to see whether the zone is left.
	sampleOwn    = 24
	sampleOthers = 12
	// summaryFor is how old what is known of a large pool as a whole may be, but for
	// the requests at work. Rates are brought up to date that often, and a silent
	// server is avoided for three times as long.
	summaryFor = loadsEvery
	// latencyOf is of how many servers of a large pool the latency is taken.
	latencyOf = 2 * lookAtAll
)

// pool are the servers of a pool that aren't gone, as a view has them.
type pool struct {
	// servers are the same as the view has them.
	servers []*bronzeroute.Server
	// members begin with the own zone's servers, which are own many. While the pool
	// is put together, the rest is in others.
	members []member
	own     int
	others  []member

	mu      sync.Mutex
	summed  bool
	at      time.Duration
	summary summary
}

// summary is what counts of a pool as a whole.
type summary struct {
	// mayAvoid says that silent servers may be kept away from, and latency is the
	// median of the servers'.
	mayAvoid bool
	latency  time.Duration
	// own is the use of the own zone's servers, region that of all of the region.
	own, region use
	work        atWork
}

// use is how many slots servers have, and how many are in use.
type use struct{ used, slots float64 }

// add adds a member while the pool is put together.
func (p *pool) add(m member, ofOwnZone bool) {
	if !ofOwnZone {
		p.others = append(p.others, m)
		return
	}
	p.members = append(p.members, m)
	p.own++
}

// is reports whether the pool is of these servers, which views share that have the
// same ones.
func (p *pool) is(servers []*bronzeroute.Server) bool {
	return len(p.servers) == len(servers) && &p.servers[0] == &servers[0]
}

// summary returns what counts of a large pool as a whole, at most summaryFor old.
func (s *Steerer) summary(p *pool, at time.Duration, now time.Time) summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.summed && at-p.at < summaryFor {
		return p.summary
	}
	sum := s.judge(p, at)
	for _, m := range p.members {
		if t := s.tier(m.server, m.backend, sum.mayAvoid, at); t != tierNone {
			c := m.backend.candidate(m.server, t, sum.latency, now)
			sum.add(&c)
		}
	}
	p.summary, p.summed, p.at = sum, true, at
	return sum
}

// judge returns the part of a summary that candidates depend on.
func (s *Steerer) judge(p *pool, at time.Duration) summary {
	return summary{
		mayAvoid: s.mayAvoid(p.members, at),
		latency:  poolLatency(s.drawn(p.members, latencyOf)),
		work:     s.newAtWork(p.members[0].backend.service),
	}
}

// add counts a candidate.
func (sum *summary) add(c *candidate) {
	sum.work.add(c)
	if c.tier != tierOwnZone && c.tier != tierOtherZone {
		return
	}
	sum.region.add(c)
	if c.tier == tierOwnZone {
		sum.own.add(c)
	}
}

func (u *use) add(c *candidate) {
	u.used += c.used * c.slots
	u.slots += c.slots
}

// sample appends some members of a large pool, at most sampleOwn and
// sampleOthers.
func (s *Steerer) sample(list []member, p *pool) []member {
	list = s.draw(list, p.members[:p.own], sampleOwn)
	return s.draw(list, p.members[p.own:], sampleOthers)
}

// drawn returns n of the members, all if there are no more.
func (s *Steerer) drawn(from []member, n int) []member {
	if len(from) <= n {
		return from
	}
	return s.draw(make([]member, 0, n), from, n)
}

// draw appends n of the members, all if there are no more.
func (s *Steerer) draw(list, from []member, n int) []member {
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
