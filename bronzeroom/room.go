package bronzeroom

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// safeWaiting is the safe limit per slot: with fewer, slots are idle while the next
	// request is on its way; more only add waiting.
	safeWaiting = 1.0
	// objectivePart is the part of the objective that a mean request may take: the slower ones
	// take twice as long.
	objectivePart = 0.45
	// minSafe is the lower bound of the safe limit, however short the objective is: with fewer,
	// slots are idle even if a single node places all requests.
	minSafe = 0.75
	// maxChange bounds the logarithm of the limit's ratio to the safe limit: it is from half
	// to twice the safe limit.
	maxChange = math.Ln2

	// span is that of the windows in which answers are counted.
	span = 300 * time.Millisecond
	// growthStep is the logarithm of a window's growth, a tenth per second. A limit returns
	// from either end to the safe limit by the same steps in 7.3 s.
	growthStep = 0.0953 * float64(span) / float64(time.Second)
	// maxShrinkStep is the logarithm of a window's highest reduction, a tenth.
	maxShrinkStep = 0.1054
	// shrinkStep is the logarithm of the reduction for each rejection above the tolerated
	// ones. With few answers in a window, one wrong sample would otherwise cost a tenth; it
	// has to cost less than 2%.
	shrinkStep = 0.019
	// tolerated is the part of answers that may be rejections before the limit shrinks, and
	// toleratedGrowth that before it stops to grow.
	tolerated       = 1.0 / 33
	toleratedGrowth = 1.0 / 100
	// used is the part of the limit that has to wait for the limit to grow, unused that below
	// which growth is given back. Between the two, an answer counts in part: with one threshold,
	// a limit whose use is at the threshold would go up and down by turns.
	used, unused = 0.8, 0.75
	// minUsedAnswers bounds the effect of a single answer on growth in a window with few.
	minUsedAnswers = 4

	// recentMemory and lastingMemory are the time constants of what is remembered of
	// rejections. The first holds back a reduced limit's return and has to be short, as the
	// return may take 10 s in all. The second holds back growth; at 13 answers/s it holds 65,
	// enough to tell one rejection in a hundred from several.
	recentMemory  = 700 * time.Millisecond
	lastingMemory = 5 * time.Second

	// calm is the number of requests waiting per slot below which usual answers are learned.
	calm = 0.25
	// minSizes is the number of usual answers from which on rejections are detected, sizes
	// the number of those kept.
	minSizes, sizes = 50, 256
	// minUsualBytes is the size of usual answers below which rejections can't be told apart.
	minUsualBytes = 100
	// relearnEvery is how many of the answers that look like rejections in a calm pool are
	// passed over for each that is learned. As one in eight, the answers of servers that reject
	// everything stay under a tenth of what is learned up to 45% of answers; and if all
	// answers become shorter, about 200 of them are enough to learn it.
	relearnEvery = 8
)

// Answer is an answer that a caller has acknowledged.
type Answer struct {
	At      time.Duration // since the node's start
	Bytes   int           // answer bytes acknowledged by that packet
	Waiting float64       // requests that wait per slot in the pool, as estimated at At
}

// Bounds are what the safe limit depends on.
type Bounds struct {
	Usual     time.Duration // mean time to the acknowledgement without waiting; 0 if unknown
	Objective time.Duration // of the route; 0 if none
	At        time.Duration
}

// Room learns the limit of one pool on one node. The zero Room works. All methods may be called
// concurrently and cost no allocation.
type Room struct {
	mu sync.Mutex

	// change is the logarithm of the limit's ratio to the safe limit.
	change float64
	// safe is the highest safe limit that was asked for in the last window with any, and
	// nextSafe that of this window. Routes of a pool can have different objectives.
	safe, nextSafe float64

	start           time.Duration // of the window
	window          counts
	recent, lasting counts

	bytes      [sizes]uint32 // of the latest usual answers
	learned    uint64        // the number of usual answers ever learned
	suspicious uint64        // answers of a calm pool that looked like rejections
	tenth      uint32        // the tenth percentile of bytes, 0 until it is known
}

// counts are numbers of answers; older ones may have decayed.
type counts struct {
	answers, rejected, used float64
}

// exceeds reports whether more than a part of the answers are rejections, one not counted: it
// may be a wrong sample.
func (c counts) exceeds(part float64) bool { return c.rejected-1 > part*c.answers }

// decay adds a window's counts and lets time pass.
func (c *counts) decay(w counts, passed, memory time.Duration) {
	keep := math.Exp(-float64(passed) / float64(memory))
	c.answers = keep * (c.answers + w.answers)
	c.rejected = keep * (c.rejected + w.rejected)
}

// Observe learns from one answer and reports whether it looks like a rejection. An answer without
// bytes is ignored.
func (r *Room) Observe(a Answer) (rejected bool) {
	if a.Bytes <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(a.At)
	rejected = r.detects() && float64(a.Bytes) < float64(r.tenth)/2
	r.window.answers++
	if rejected {
		r.window.rejected++
	}
	part := a.Waiting / (r.safeOrDefault() * math.Exp(r.change))
	r.window.used += min(max((part-unused)/(used-unused), 0), 1)
	if a.Waiting < calm {
		r.learn(a.Bytes, rejected)
	}
	return rejected
}

// Limit returns the number of waiting requests per slot up to which all openings are admitted.
func (r *Room) Limit(b Bounds) float64 {
	highest := 2 * safeWaiting
	if b.Usual > 0 && b.Objective > 0 {
		highest = max(min(highest, objectivePart*float64(b.Objective)/float64(b.Usual)-1), minSafe)
	}
	safe := min(safeWaiting, highest)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(b.At)
	r.nextSafe = max(r.nextSafe, safe)
	return min(safe*math.Exp(r.change), highest)
}

func (r *Room) safeOrDefault() float64 {
	if r.safe == 0 {
		return safeWaiting
	}
	return r.safe
}

// detects reports whether rejections can be told from usual answers.
func (r *Room) detects() bool { return r.tenth >= minUsualBytes }

// learn takes the answer of a calm pool as a usual one.
func (r *Room) learn(n int, rejected bool) {
	if rejected {
		if r.suspicious++; r.suspicious%relearnEvery != 0 {
			return
		}
	}
	r.bytes[r.learned%sizes] = uint32(min(n, math.MaxUint32))
	r.learned++
	if r.learned == minSizes {
		r.updateTenth()
	}
}

func (r *Room) updateTenth() {
	sorted := r.bytes // a copy
	n := int(min(r.learned, sizes))
	slices.Sort(sorted[:n])
	r.tenth = sorted[n/10]
}

// advance ends the window if at is past it. Windows without answers, as many as there may be
// since, return the limit to the safe one.
func (r *Room) advance(at time.Duration) {
	n := (at - r.start) / span
	if n <= 0 {
		return
	}
	r.start += n * span
	if r.nextSafe > 0 {
		r.safe, r.nextSafe = r.nextSafe, 0
	}
	if r.window.answers > 0 && r.learned >= minSizes {
		r.updateTenth()
	}
	// What is remembered covers the window while it is judged, so that the window's own
	// rejections hold back its growth.
	w := r.window
	r.window = counts{}
	r.recent.decay(w, 0, recentMemory)
	r.lasting.decay(w, 0, lastingMemory)
	r.adjust(w)
	r.recent.decay(counts{}, n*span, recentMemory)
	r.lasting.decay(counts{}, n*span, lastingMemory)
	r.giveBack(growthStep * float64(n-1))
}

// adjust changes the limit by what a window has counted.
func (r *Room) adjust(w counts) {
	u := w.used / max(w.answers, minUsedAnswers)
	grown := max(r.change-growthStep*(1-u), 0)
	if r.detects() && !r.lasting.exceeds(toleratedGrowth) {
		grown += growthStep * u
	}
	if r.change >= 0 {
		r.change = grown
	} else if !r.recent.exceeds(tolerated) {
		r.change = min(r.change+growthStep, grown)
	}
	if excess := w.rejected - tolerated*w.answers; excess > 0 {
		r.change -= min(shrinkStep*excess, maxShrinkStep)
	}
	r.change = min(max(r.change, -maxChange), maxChange)
}

// giveBack moves the limit towards the safe one.
func (r *Room) giveBack(step float64) {
	if r.change > 0 {
		r.change = max(r.change-step, 0)
	} else {
		r.change = min(r.change+step, 0)
	}
}
