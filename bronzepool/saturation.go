package bronzepool

import (
	"math"
	"time"
)

const (
	// saturationMaxAge is the age up to which a report counts for Saturation.
	// Reports are polled each second. Flows end meanwhile, and an older report
	// would refuse callers for whom there is room.
	saturationMaxAge = 3 * time.Second
	// A refused opening adds refusalLoad to the saturation, up to maxRefusalLoad
	// in total, and half of it is gone after refusalHalfLife. Reports alone
	// can't exceed a server's hard limit, so that without refusals they don't
	// tell how many more flows are asked for. Three refusals per second keep a
	// load of 1 above the reported one.
	refusalLoad     = 0.1
	maxRefusalLoad  = 2
	refusalHalfLife = 2 * time.Second
)

// Saturation reports whether all servers that may take new flows have recently
// reported to be full, and then how many flows there are, and are asked for, for
// each that the servers can hold. Servers that aren't full but fail openings are
// left out. The load is at least 1.
func (p *Pool) Saturation() (load float64, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	flows, room := 0, 0
	for _, s := range p.servers {
		switch {
		case s.leaving(now):
		case s.saturated(now):
			flows += s.report.connections + max(s.own-s.report.own, 0)
			room += s.connections
		case s.fails < excludeAfterFails:
			return 0, false
		}
	}
	if room == 0 {
		return 0, false
	}
	return float64(flows)/float64(room) + p.refusals(now), true
}

// saturated reports whether a trusted report of at most saturationMaxAge says
// that s is full.
func (s *server) saturated(now int64) bool {
	return s.reportsFull() && now-s.report.at <= int64(saturationMaxAge) && 1-s.report.distrust >= minTrust
}

// refusals returns what recently refused openings add to the saturation.
func (p *Pool) refusals(now int64) float64 {
	age := float64(max(now-p.refusedAt, 0)) / float64(refusalHalfLife)
	return p.refusedLoad * math.Exp2(-age)
}

// countRefusal counts an opening that a server refused or let time out.
func (p *Pool) countRefusal(now int64) {
	p.refusedLoad = min(p.refusals(now)+refusalLoad, maxRefusalLoad)
	p.refusedAt = now
}
