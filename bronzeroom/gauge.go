package bronzeroom

import (
	"math"
	"sync"
	"time"
)

const (
	// tickSpan and ringTicks cover usual times up to maxUsual and the tick in progress.
	tickSpan  = 8 * time.Millisecond
	ringTicks = 64
	maxUsual  = 500 * time.Millisecond
	// The time constant of the average is smoothing times the usual time, but long enough for
	// smoothed requests, and at most maxSmoothing. A longer one lags behind queues that fill and
	// empty in a few usual times; over fewer requests the estimate is mostly noise.
	smoothing    = 2
	smoothed     = 24
	maxSmoothing = 150 * time.Millisecond
	// pauseTicks is the time without any call, 2 s, after which the process may have been
	// suspended. A node that sees one request per second calls several times in 2 s.
	pauseTicks = int64(2 * time.Second / tickSpan)
)

// Gauge estimates the requests of one node that wait at the servers of a pool. The zero Gauge
// works. All methods may be called concurrently and cost no allocation.
//
// By Little's law, the requests in flight less those begun within the usual time are, on
// average, those that wait. The difference is taken at the end of each tick, whenever the
// methods are called, so that rare calls don't turn the average into a single sample.
type Gauge struct {
	mu       sync.Mutex
	tick     int64 // the tick in progress
	inFlight int64
	usual    time.Duration // of the last call of Waiting, 0 if unknown
	average  float64       // of the difference; may be negative
	begun    [ringTicks]uint32
}

// Begin counts a request that is sent to a server.
func (g *Gauge) Begin(at time.Duration) {
	g.mu.Lock()
	g.advance(at)
	g.begun[g.tick%ringTicks]++
	g.inFlight++
	g.mu.Unlock()
}

// Finish counts a request that was acknowledged or given up. Each request that was begun must be
// finished once, however long ago it was begun.
func (g *Gauge) Finish(at time.Duration) {
	g.mu.Lock()
	g.advance(at)
	g.inFlight--
	g.mu.Unlock()
}

// Waiting returns the number of requests that wait for a slot, given the usual time from a request
// to its acknowledgement at a server with free slots: the smoothed number or the present one,
// whichever is lower if there are enough requests to tell. The average alone would go on after the
// queues have emptied. It returns 0 as long as the usual time is unknown (0). A usual time over
// 500 ms counts as 500 ms.
func (g *Gauge) Waiting(usual, at time.Duration) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(at)
	g.usual = min(max(usual, 0), maxUsual)
	if g.usual == 0 {
		return 0
	}
	if g.constant() < maxSmoothing {
		return max(min(g.average, g.difference()), 0)
	}
	return max(g.average, 0)
}

// advance ends the ticks before at. A time before the tick in progress counts as in it.
func (g *Gauge) advance(at time.Duration) {
	now := int64(at / tickSpan)
	if now <= g.tick {
		return
	}
	if now-g.tick > pauseTicks {
		// Nothing is known of the time in between. The requests in flight count as begun
		// now, so that those whose acknowledgements are still to be read don't count as
		// waiting.
		g.tick, g.average = now, 0
		clear(g.begun[:])
		g.begun[now%ringTicks] = uint32(max(g.inFlight, 0))
		return
	}
	constant := g.constant()
	for range min(now-g.tick, ringTicks) {
		g.sample(weight(tickSpan, constant))
		g.tick++
		g.begun[g.tick%ringTicks] = 0
	}
	if rest := now - g.tick; rest > 0 {
		// The ring is empty by now, so the samples of the rest are equal.
		g.sample(weight(time.Duration(rest)*tickSpan, constant))
		g.tick = now
	}
}

// sample adds the difference at the end of the tick in progress to the average.
func (g *Gauge) sample(weight float64) {
	if g.usual > 0 {
		g.average += weight * (g.difference() - g.average)
	}
}

// constant returns the time constant of the average.
func (g *Gauge) constant() time.Duration {
	requests := uint32(1)
	for _, n := range g.begun {
		requests += n
	}
	return min(max(smoothing*g.usual, tickSpan, smoothed*ringTicks*tickSpan/time.Duration(requests)), maxSmoothing)
}

// weight returns that of a sample for a time in an average with the given time constant.
func weight(passed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(passed)/float64(constant))
}

// difference returns the requests in flight less those begun within the usual time.
func (g *Gauge) difference() float64 {
	whole := int64(g.usual / tickSpan)
	var recent uint32
	for i := range whole {
		recent += g.begun[(g.tick-i)&(ringTicks-1)]
	}
	part := float64(g.usual%tickSpan) / float64(tickSpan)
	oldest := part * float64(g.begun[(g.tick-whole)&(ringTicks-1)])
	return float64(g.inFlight) - float64(recent) - oldest
}
