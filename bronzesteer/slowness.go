package bronzesteer

import (
	"math"
	"sync"
	"time"
)

const (
	// slownessWeight is the least weight of one answer, and maxSlowness the upper bound of a
	// sample. Answers that came before a gap count less.
	slownessWeight = 0.05
	maxSlowness    = 3.0
	// Up to usualSlowness, answers take as long as usual. From delayedSlowness on, they show a
	// queue: the mean of twenty service times is seldom that far above the usual one.
	usualSlowness   = 1.35
	delayedSlowness = 1.7
	// Flows leave their zone from leaveSlowness on, and all that the shares say at
	// allLeaveSlowness. A partition between zones ends flows that cross it, which is worse for
	// callers than a short wait.
	leaveSlowness    = 1.5
	allLeaveSlowness = 2.5
	// slownessDecay is the time constant with which slowness is forgotten without answers: a
	// zone that gets no flows would stay slow for good.
	slownessDecay = time.Second
)

// slowness is how long the servers of a pool in one AvailabilityZone take to answer, relative to
// the usual time. All methods may be called concurrently.
type slowness struct {
	mu sync.Mutex
	// excess is the mean of the last samples less one.
	excess     float64
	observedAt time.Duration
}

// observe records how long an answer took, or that it was a rejection, which shows a full queue.
func (sl *slowness) observe(took, usual time.Duration, rejected bool, at time.Duration) {
	if usual <= 0 {
		return
	}
	ratio := min(float64(took)/float64(usual), maxSlowness)
	if rejected {
		ratio = maxSlowness
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	weight := max(slownessWeight, 1-math.Exp(-float64(at-sl.observedAt)/float64(slownessDecay)))
	sl.excess += weight * (ratio - 1 - sl.excess)
	sl.observedAt = at
}

// delayed returns the part, from 0 to 1, to which answer times confirm that requests wait. While
// requests are left unanswered by servers that have just failed, the others answer as usual.
func (sl *slowness) delayed(at time.Duration) float64 {
	return sl.part(usualSlowness, delayedSlowness, at)
}

// leaves returns the part, from 0 to 1, of the flows to other zones that the shares say.
func (sl *slowness) leaves(at time.Duration) float64 {
	return sl.part(leaveSlowness, allLeaveSlowness, at)
}

// part returns where the slowness lies between two values, from 0 to 1.
func (sl *slowness) part(from, to float64, at time.Duration) float64 {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return min(max((1+sl.decayed(at)-from)/(to-from), 0), 1)
}

// decayed returns the excess as of now. The caller holds the lock.
func (sl *slowness) decayed(at time.Duration) float64 {
	idle := max(at-sl.observedAt, 0)
	return sl.excess * math.Exp(-float64(idle)/float64(slownessDecay))
}

// slownessOf returns the slowness of a zone's servers.
func (ps *poolStats) slownessOf(zone string) *slowness {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	sl := ps.slowness[zone]
	if sl == nil {
		if ps.slowness == nil {
			ps.slowness = make(map[string]*slowness)
		}
		sl = &slowness{}
		ps.slowness[zone] = sl
	}
	return sl
}
