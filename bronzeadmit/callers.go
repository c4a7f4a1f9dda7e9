package bronzeadmit

import (
	"math"
	"time"
)

const (
	// window is the time in which openings are counted by caller, as long as an epoch. It
	// follows the node's own time, since counts needn't agree between nodes.
	window = epochSeconds * time.Second
	// sketchRows and sketchColumns are the size of a sketch. With 512 counters a row, one
	// caller who opens many flows shares all four counters with 1 of 7e10 others.
	sketchRows    = 4
	sketchColumns = 512
	// fairFactor is the ratio of the fair rate to the mean of all callers. Usual callers differ
	// by less, also when each of their requests takes three tries.
	fairFactor = 4
)

// callers counts openings by caller, in the current window and the one before.
type callers struct {
	sketches [2]sketch
	current  int
	index    int64   // of the current window
	fair     float64 // openings per window up to which a caller isn't frequent; 0 if unknown
}

// count counts an opening.
func (c *callers) count(caller uint64, at time.Duration) {
	c.advance(int64(at / window))
	s := &c.sketches[c.current]
	s.add(caller)
	if c.fair == 0 || s.estimate(caller) <= c.fair {
		s.usual++
	}
}

// advance begins the window with the given index, unless it is the current one. The one before
// is not begun again: callers that read the time before the window changed come a little late.
func (c *callers) advance(index int64) {
	if index == c.index || index == c.index-1 {
		return
	}
	before := &c.sketches[c.current]
	c.current = 1 - c.current
	if index != c.index+1 {
		*before = sketch{}
	}
	c.sketches[c.current] = sketch{salt: uint64(index) * goldenRatio}
	c.index = index
	c.fair = before.fair()
}

// excess returns the part of a caller's openings that is above the fair rate.
func (c *callers) excess(caller uint64) (part float64) {
	current, before := &c.sketches[c.current], &c.sketches[1-c.current]
	// When all callers open more flows than before, none of them is frequent.
	fair := max(c.fair, current.fair())
	return max(current.excess(caller, fair), before.excess(caller, fair))
}

// draw returns a number from 0 to 1 that differs for each opening of a caller.
func (c *callers) draw(caller uint64) float64 {
	s := &c.sketches[c.current]
	return fraction(mix(caller ^ mix(s.salt+uint64(s.openings))))
}

// sketch counts the openings of any number of callers in fixed space. A counter holds the
// openings of all callers with the same hash, so the lowest of a caller's counters is an upper
// bound, from which the mean of what others add to a counter is subtracted.
type sketch struct {
	counts   [sketchRows][sketchColumns]uint32
	salt     uint64 // changes who shares counters with whom
	used     uint32 // counters that aren't 0
	openings uint32
	usual    uint32 // openings of callers up to the fair rate
}

// add counts an opening.
func (s *sketch) add(caller uint64) {
	h := mix(caller + s.salt)
	for row := range s.counts {
		n := &s.counts[row][h%sketchColumns]
		if *n == 0 {
			s.used++
		}
		*n++
		h /= sketchColumns
	}
	s.openings++
}

// estimate returns the number of openings of a caller. It is too low rather than too high.
func (s *sketch) estimate(caller uint64) float64 {
	h := mix(caller + s.salt)
	lowest := s.openings
	for row := range s.counts {
		lowest = min(lowest, s.counts[row][h%sketchColumns])
		h /= sketchColumns
	}
	return float64(lowest) - float64(s.openings-lowest)/(sketchColumns-1)
}

// fair returns the fair rate: a multiple of the mean of the callers, each counted up to the fair
// rate of the window before. Otherwise one caller among ten who opens a hundred times as many
// flows would raise it to forty times what the others open. It is 0 if none was counted.
func (s *sketch) fair() float64 {
	if s.openings == 0 {
		return 0
	}
	// The number of callers follows from the counters that none of them has (linear counting).
	// It is too low beyond 3,000 callers, when hardly any are left, which makes the fair rate
	// too high and harms nobody.
	free := max(sketchRows*sketchColumns-float64(s.used), sketchRows) / (sketchRows * sketchColumns)
	return fairFactor * max(float64(s.usual)/(-sketchColumns*math.Log(free)), 1)
}

// excess returns the part of a caller's openings that is above the fair rate. Noise hardly makes
// usual callers exceed it: all four counters would have to be too high by three times the mean,
// and beyond 3,000 callers the fair rate grows faster than the noise.
func (s *sketch) excess(caller uint64, fair float64) (part float64) {
	return max(1-fair/max(s.estimate(caller), 1), 0)
}

// mix returns a hash of x, by the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
