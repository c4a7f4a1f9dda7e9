package bronzeadmit

import (
	"slices"
	"time"
)

const (
	// rampPart is the part of the distance between the starts of two levels in which the less
	// urgent one goes from no refusals to all. What is left keeps the levels apart.
	rampPart = 0.8
	// maxRamp bounds the ramp, so that few levels don't wait longer than more of them.
	maxRamp = 0.5
	// lastEnd is the pressure from which the most urgent of several levels is refused.
	lastEnd = 3
	// ceilingStart and ceilingEnd are the fractions of the ceiling between which all but the
	// least urgent level are refused one after the other, if that is later. Requests on open
	// flows, which nobody can refuse, may keep the pressure above lastEnd; urgent requests are
	// still served in time then.
	ceilingStart = 0.8
	ceilingEnd   = 1.2
	// levelTimeout is how long a level counts after its last opening. Routes that nobody uses
	// don't compete with others.
	levelTimeout = 10 * time.Second
	// pressedTime is how long frequent callers of a level are limited after the pressure has
	// fallen. A node's estimate of the pressure falls by chance several times a second.
	pressedTime = 2 * time.Second
)

// level is one of the distinct priorities of a pool.
type level struct {
	Priority int
	// Openings are refused from the pressure Start on, and entirely from End on.
	Start, End float64
}

// levels are the priorities of a pool, the least urgent first. None counts as a single one.
type levels []level

// newLevels returns the levels of the given priorities, in any order and possibly repeated.
func newLevels(priorities []int) (ls levels) {
	sorted := slices.Clone(priorities)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	slices.Reverse(sorted)
	step := 0.0
	if len(sorted) > 1 {
		step = 1 / float64(len(sorted)-1)
	}
	for k, priority := range sorted {
		l := level{Priority: priority, Start: 1 + float64(k)*step}
		switch {
		case len(sorted) == 1:
			l.End = l.Start + maxRamp
		case k == len(sorted)-1:
			l.End = lastEnd
		default:
			l.End = l.Start + min(rampPart*step, maxRamp)
		}
		ls = append(ls, l)
	}
	return ls
}

// equal reports whether both have the same priorities.
func (ls levels) equal(other levels) bool { return slices.Equal(ls, other) }

// activeLevels tells which levels have had openings recently.
type activeLevels struct {
	pressedAt []time.Duration // when openings of the level were last about to be refused
	seen      []time.Duration // the time of the last opening, by level
	next      time.Duration   // when the active levels are to be determined again
}

// see records an opening of level k of n, and reports whether the active levels may have changed.
func (a *activeLevels) see(k, n int, at time.Duration) (changed bool) {
	if len(a.seen) != n {
		// Until the timeout, all levels may be in use.
		a.seen, a.next = slices.Repeat([]time.Duration{at}, n), at
		a.pressedAt = slices.Repeat([]time.Duration{at - pressedTime}, n)
	}
	if n == 0 {
		return false
	}
	changed = at >= a.next || at-a.seen[k] > levelTimeout
	a.seen[k] = at
	return changed
}

// pressed reports whether openings of level k are about to be refused, or recently were.
func (a *activeLevels) pressed(k int, now bool, at time.Duration) bool {
	if k >= len(a.pressedAt) {
		return now
	}
	if now {
		a.pressedAt[k] = at
	}
	return now || at-a.pressedAt[k] < pressedTime
}

// of returns the levels of ls that are active.
func (a *activeLevels) of(ls levels, at time.Duration) levels {
	a.next = at + levelTimeout/10
	var priorities []int
	for k := range ls {
		if at-a.seen[k] <= levelTimeout {
			priorities = append(priorities, ls[k].Priority)
		}
	}
	return newLevels(priorities)
}

// find returns the index of the level of a priority, and the priority by which rules apply to
// it: the less urgent one of the level's and its own.
func (ls levels) find(priority int) (k, effective int) {
	for k := len(ls) - 1; k >= 0; k-- {
		if priority <= ls[k].Priority {
			return k, ls[k].Priority
		}
	}
	return 0, priority
}

// refused returns the pressure from which openings of level k are refused, and the part that is
// refused at the given pressure, from 0 to 1. The ceiling is the pressure from which requests
// miss their objective, 0 if it is unknown.
func (ls levels) refused(k int, pressure, ceiling float64) (start, part float64) {
	start, end := 1.0, 1+maxRamp
	if k < len(ls) {
		start, end = ls[k].Start, ls[k].End
	}
	if k > 0 && k < len(ls) {
		step := (ceilingEnd - ceilingStart) / float64(len(ls)-1)
		from := ceilingStart + step*float64(k-1)
		start, end = max(start, from*ceiling), max(end, (from+rampPart*step)*ceiling)
	}
	return start, min(max((pressure-start)/(end-start), 0), 1)
}
