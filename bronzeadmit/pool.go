package bronzeadmit

import (
	"sync"
	"time"
)

// guaranteed is the part of the openings of each priority that is admitted at any pressure.
const guaranteed = 1.0 / 50

// Request is what admission depends on of an opening.
type Request struct {
	// Priority is that of the route, 0 for the most urgent.
	Priority int
	Customer string
	// Caller is a hash of the caller's address without its port. Its bits must be evenly
	// distributed, since the caller's position derives from its value.
	Caller uint64
}

// Load is the state of a pool. A value that is negative or not a number counts as 0.
type Load struct {
	// Waiting is the number of requests per slot that wait at the pool's servers, of all nodes.
	Waiting float64
	// Limit is the number of waiting requests per slot up to which all openings are admitted, 0
	// if there is none.
	Limit float64
	// Ceiling is the number of waiting requests per slot from which requests miss their
	// objective, 0 if there is none. Beside less urgent priorities, which are refused before,
	// the most urgent one is only refused around it.
	Ceiling float64
}

// IsFull reports whether openings of some priority are refused.
func (l Load) IsFull() bool { return l.pressure() >= 1 }

// pressure returns the ratio of waiting requests to the limit, 0 if either is unknown.
func (l Load) pressure() float64 {
	if p := l.Waiting / l.Limit; l.Limit > 0 && p > 0 {
		return p
	}
	return 0
}

// ceiling returns the pressure from which requests miss their objective, 0 if it is unknown.
func (l Load) ceiling() float64 {
	if c := l.Ceiling / l.Limit; l.Limit > 0 && c > 0 {
		return c
	}
	return 0
}

// Verdict is the decision on an opening.
type Verdict struct {
	Admit  bool
	Reason Reason
	// Fraction is the part of openings like this one that is refused now: of the same priority
	// and Customer, and for FairShare of the same caller. For Shed, it is the ordered part.
	Fraction float64
}

// Pool decides who is admitted to one pool on one node. The zero Pool works. All methods may be
// called concurrently.
type Pool struct {
	mu sync.Mutex
	// levels are all levels, competing those that have had openings recently.
	levels    levels
	competing levels
	active    activeLevels
	rules     Rules
	callers   callers
	customers customers
}

// SetLevels sets the priorities of the routes of the pool, in any order and possibly repeated. Without them, all priorities
// are equal. An opening of another priority counts as one of the next less urgent priority of
// these, or of the least urgent one.
func (p *Pool) SetLevels(priorities []int) {
	l := newLevels(priorities)
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.equal(p.levels) {
		return
	}
	p.levels, p.competing, p.active = l, nil, activeLevels{}
	p.customers = customers{} // The rates are counted by level.
}

// SetRules sets what operators have ordered, nil for nothing.
func (p *Pool) SetRules(rules *Rules) {
	copied := rules.clone()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = copied
	p.customers.invalidate()
}

// Decide decides on the first transmission of an opening. The time at is relative to the node's
// start; now is only used to choose the epoch and to end rules.
func (p *Pool) Decide(r Request, l Load, at time.Duration, now time.Time) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rules.Closed {
		return Verdict{Reason: Closed, Fraction: 1}
	}
	pos := position(r.Caller, now)
	k, priority := p.levels.find(r.Priority)
	shed := p.rules.shed(priority, now)
	if pos < shed {
		return Verdict{Reason: Shed, Fraction: shed}
	}
	// Pressure orders those whom the rules leave, so that it refuses the same part of these.
	pos = (pos - shed) / (1 - shed)
	v := p.decide(k, pos, &r, l.pressure(), l.ceiling(), at)
	v.Fraction = shed + (1-shed)*v.Fraction
	return v
}

// decide decides by the pressure on an opening of level k whose caller has the position pos
// among those whom the rules leave.
func (p *Pool) decide(k int, pos float64, r *Request, pressure, ceiling float64, at time.Duration) Verdict {
	p.callers.count(r.Caller, at)
	if p.active.see(k, len(p.levels), at) {
		p.competing = p.active.of(p.levels, at)
	}
	start, refused := p.competing.refused(p.competingIndex(k), pressure, ceiling)
	// Frequent callers of a level are limited when openings of the level are about to be
	// refused, and for some time after: earlier, less urgent openings are still admitted.
	if p.active.pressed(k, pressure >= start, at) {
		if part := p.callers.excess(r.Caller); part > 0 && p.callers.draw(r.Caller) < part {
			return Verdict{Reason: FairShare, Fraction: part + (1-part)*min(refused, 1-guaranteed)}
		}
	}
	c := p.customers.count(r.Customer, k, len(p.levels), at)
	switch {
	case refused <= 0:
		return Verdict{Admit: true}
	case refused >= 1-guaranteed:
		// Without room for the level, Customers have nothing to share but the guarantee.
		return guarantee(pos, Priority)
	}
	own := p.customers.refused(c, k, refused, p.rules.Shares, at)
	switch {
	case pos >= own:
		return Verdict{Admit: true, Fraction: own}
	case own >= 1-guaranteed:
		return guarantee(pos, CustomerShare)
	case pos >= refused:
		return Verdict{Reason: CustomerShare, Fraction: own}
	}
	return Verdict{Reason: Priority, Fraction: own}
}

// competingIndex returns the index of level k among those that compete.
func (p *Pool) competingIndex(k int) int {
	if len(p.levels) == 0 {
		return 0
	}
	i, _ := p.competing.find(p.levels[k].Priority)
	return i
}

// guarantee admits the callers with the highest positions, and refuses others for the reason.
func guarantee(pos float64, reason Reason) Verdict {
	if pos >= 1-guaranteed {
		return Verdict{Admit: true, Reason: Guaranteed, Fraction: 1 - guaranteed}
	}
	return Verdict{Reason: reason, Fraction: 1 - guaranteed}
}

const (
	// epochSeconds is longer than the three tries of a caller take, so that they meet the same
	// order, and shorter than callers wait.
	epochSeconds = 4
	// goldenRatio is 2^64 times 0.6180339887..., the fractional part of the golden ratio. Of all
	// steps, it distributes the positions of a caller over the epochs most evenly.
	goldenRatio = 0x9E3779B97F4A7C15
)

// position returns the place of a caller in the order of the epoch of now, from 0 to 1. It is
// the fractional part of caller/2^64 + epoch x 0.6180339887..., which unsigned arithmetic wraps
// around. Callers with the lowest positions are refused.
func position(caller uint64, now time.Time) float64 {
	epoch := uint64(now.Unix() / epochSeconds)
	return fraction(caller + epoch*goldenRatio)
}

// fraction returns x/2^64, below 1.
func fraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }
