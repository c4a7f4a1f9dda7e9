package bronzeadmit

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which the rates of Customers are taken.
	rateWindow = time.Second
	// maxSplitAge and maxSplitChange bound how old a split between Customers may be, and how
	// much the part that is refused may have changed since. They keep the cost of a decision
	// constant where many Customers share a pool.
	maxSplitAge    = 10 * time.Millisecond
	maxSplitChange = 0.01
	// maxIdle is how long a Customer without openings is kept.
	maxIdle = 60 * time.Second
)

// customers counts the openings of Customers and splits what a level admits between them.
type customers struct {
	named  map[string]*customer
	all    []*customer // in the order of their first openings
	splits []split     // by level
	index  int64       // of the current rateWindow
}

// split is the state of the last split of a level.
type split struct {
	Valid   bool
	At      time.Duration
	Refused float64
}

// customer is a Customer whose openings were counted.
type customer struct {
	name   string
	levels []customerLevel
	seen   time.Duration

	// The remaining fields are set while a level is split, in openings per second.
	want   float64 // openings of the level
	urgent float64 // openings of more urgent levels, which are all admitted
	given  float64 // what the Customer gets of the level so far
	bound  float64 // what it may get in this step
}

// customerLevel is the state of a Customer in one level.
type customerLevel struct {
	Current, Before float64 // openings in the current rateWindow and the one before
	Refused         float64 // the part of its openings that the last split refuses
}

// count counts an opening of level k, of the given number of levels.
func (cs *customers) count(name string, k, levels int, at time.Duration) *customer {
	cs.advance(at)
	c := cs.named[name]
	if c == nil {
		c = cs.add(name, max(levels, 1))
	}
	c.seen = at
	c.levels[k].Current++
	return c
}

// add adds a Customer.
func (cs *customers) add(name string, levels int) *customer {
	if cs.named == nil {
		cs.named = make(map[string]*customer)
		cs.splits = make([]split, levels)
	}
	c := &customer{name: name, levels: make([]customerLevel, levels)}
	cs.named[name] = c
	cs.all = append(cs.all, c)
	cs.invalidate()
	return c
}

// advance begins the rateWindow of the given time, unless it is the current one or, for a caller
// that read the time a little earlier, the one before.
func (cs *customers) advance(at time.Duration) {
	index := int64(at / rateWindow)
	if index == cs.index || index == cs.index-1 {
		return
	}
	for _, c := range cs.all {
		for k := range c.levels {
			l := &c.levels[k]
			l.Before, l.Current = l.Current, 0
			if index != cs.index+1 {
				l.Before = 0
			}
		}
	}
	cs.index = index
	cs.all = slices.DeleteFunc(cs.all, func(c *customer) bool {
		if at-c.seen <= maxIdle {
			return false
		}
		delete(cs.named, c.name)
		return true
	})
	cs.invalidate()
}

// invalidate has each level split again before the next decision.
func (cs *customers) invalidate() { clear(cs.splits) }

// refused returns the part of c's openings of level k that is refused if the given part of all
// openings of the level is.
func (cs *customers) refused(c *customer, k int, part float64, shares map[string]Share, at time.Duration) float64 {
	if len(cs.all) == 1 {
		return part
	}
	s := &cs.splits[k]
	if !s.Valid || at-s.At > maxSplitAge || math.Abs(part-s.Refused) > maxSplitChange {
		cs.split(k, part, shares, at)
		*s = split{Valid: true, At: at, Refused: part}
	}
	return c.levels[k].Refused
}

// split splits the openings that level k admits between the Customers: first up to their
// guaranteed shares, then evenly up to their highest shares, and what is left, which no Customer
// below its highest share asks for, evenly beyond these.
func (cs *customers) split(k int, part float64, shares map[string]Share, at time.Duration) {
	left, admitted := cs.measure(k, part, at)
	promised := 0.0
	for _, c := range cs.all {
		c.bound = clamp(shares[c.name].Guaranteed*admitted-c.urgent, 0, c.want)
		promised += c.bound
	}
	if promised > left {
		// More urgent levels leave less than was guaranteed.
		for _, c := range cs.all {
			c.bound *= left / promised
		}
	}
	left = cs.fill(left)
	for _, c := range cs.all {
		c.bound = c.want
		if highest := shares[c.name].Highest; highest > 0 {
			c.bound = clamp(highest*admitted-c.urgent, c.given, c.want)
		}
	}
	left = cs.fill(left)
	for _, c := range cs.all {
		c.bound = c.want
	}
	cs.fill(left)
	for _, c := range cs.all {
		if c.want > 0 {
			c.levels[k].Refused = clamp(1-c.given/c.want, 0, 1)
		}
	}
}

// measure sets what Customers ask for by the rates of the last second. It returns what level k
// admits if the given part is refused, and what it and the more urgent levels admit.
func (cs *customers) measure(k int, part float64, at time.Duration) (left, admitted float64) {
	// Of the window before, the part counts that is less than a second ago.
	weight := clamp(1-float64(at-time.Duration(cs.index)*rateWindow)/float64(rateWindow), 0, 1)
	for _, c := range cs.all {
		c.given, c.urgent = 0, 0
		for j := k; j < len(c.levels); j++ {
			rate := c.levels[j].Current + weight*c.levels[j].Before
			if j > k {
				c.urgent += rate
			} else {
				c.want = rate
			}
		}
		left += (1 - part) * c.want
		admitted += c.urgent
	}
	return left, admitted + left
}

// fill gives the Customers equal amounts, each up to its bound, until nothing is left or all have
// reached their bounds (max-min fairness). It returns what is left.
func (cs *customers) fill(left float64) float64 {
	for {
		open, lowest := 0, math.Inf(1)
		for _, c := range cs.all {
			if room := c.bound - c.given; room > 0 {
				open++
				lowest = min(lowest, room)
			}
		}
		if open == 0 || left <= 0 {
			return max(left, 0)
		}
		last := left <= lowest*float64(open)
		each := min(lowest, left/float64(open))
		for _, c := range cs.all {
			switch room := c.bound - c.given; {
			case room <= 0:
			case room <= each:
				// Sums of floats may miss the bound, and the loop wouldn't end.
				c.given = c.bound
			default:
				c.given += each
			}
		}
		if last {
			return 0
		}
		left -= each * float64(open)
	}
}

// clamp returns x, but at least low and at most high. It returns low if x isn't a number.
func clamp(x, low, high float64) float64 {
	if !(x > low) {
		return low
	}
	return min(x, high)
}
