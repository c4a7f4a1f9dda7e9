package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeroom"
)

const (
	// unqueuedUtilization is the utilization up to which a server's answer times show the
	// service time alone.
	unqueuedUtilization = 0.7
	// minPromptAcks is the fraction of a pool's answers that must be acknowledged promptly
	// for a missing acknowledgement to mean a missing answer, promptAckWeight the weight of
	// one sample.
	minPromptAcks   = 0.8
	promptAckWeight = 0.05
)

// poolStats holds the statistics of a pool's servers: the service time of requests, without
// waiting for a slot, the number of this node's requests and openings in flight, and what its
// callers ask. All methods may be called concurrently.
type poolStats struct {
	// id identifies the pool in messages between nodes.
	id       uint32
	inFlight atomic.Int64
	// demand is what this node's callers ask of the pool.
	demand demandRate
	// gauge estimates what waits at the servers, room learns how much may, and admit decides
	// who is admitted. lastWaiting is the last estimate per slot, of all nodes. rejected
	// counts the answers that looked like rejections.
	gauge       bronzeroom.Gauge
	usual       bronzeroom.Usual
	room        bronzeroom.Room
	admit       bronzeadmit.Pool
	lastWaiting atomicFloat
	// competes is set if routes with different priorities share the pool.
	competes atomic.Bool
	rejected atomic.Uint64
	refused  [bronzeadmit.ReasonCount]atomic.Uint64
	// shares and ratio are what zoneShares and fleetRatio return. steady holds the demand of
	// each zone, for whoever renews shares.
	shares renewed[zoneShares]
	ratio  renewed[float64]
	steady map[string]steadyDemand
	// medianLatency is the median latency of the servers, 0 if unknown. Some slow or
	// fast-failing servers don't change it.
	medianLatency atomic.Int64

	mu sync.Mutex
	// slowness is by AvailabilityZone.
	slowness map[string]*slowness
	// promptAcks is the fraction of recent answers that callers acknowledged promptly, not
	// only with their next request.
	promptAcks float64
}

// acksPromptly reports whether callers acknowledge answers when they receive them, so that
// a request without an acknowledgement has no answer.
func (ps *poolStats) acksPromptly() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.promptAcks >= minPromptAcks
}

// recordAck records whether an answer was acknowledged promptly.
func (ps *poolStats) recordAck(prompt bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	sample := 0.0
	if prompt {
		sample = 1
	}
	ps.promptAcks += promptAckWeight * (sample - ps.promptAcks)
}

// serviceTime returns the usual time of an answer without waiting for a slot, 0 if unknown.
func (ps *poolStats) serviceTime() time.Duration { return ps.usual.Time() }

// poolInFlight estimates the requests in flight in a pool. This node's own requests show a
// surge at once; the rates exchanged between nodes, which are seconds old, show which
// fraction of all requests these are. The delay of answers can't be used instead: it shows
// a full queue only once the answers are through it, and an empty one likewise, so that
// shedding would alternate between all and none.
type poolInFlight struct {
	stats *poolStats
	// nodes is the number of nodes.
	nodes float64
	// own is this node's load at the candidates at the time when the pool's inFlight was
	// counted. slots is the number of their slots.
	own     float64
	counted int64
	slots   float64
	// ownRate is the rate of this node's requests to the candidates, rate that of all
	// nodes, in requests per second.
	ownRate, rate float64
}

// newPoolInFlight returns an empty estimate for a pool.
func (s *Steerer) newPoolInFlight(stats *poolStats) poolInFlight {
	return poolInFlight{stats: stats, nodes: float64(s.peers.Load() + 1), counted: stats.inFlight.Load()}
}

// add adds a candidate to the estimate.
func (pf *poolInFlight) add(c *candidate) {
	if c.tier <= tierAvoided {
		return
	}
	pf.own += c.inFlight
	pf.slots += c.slots
	pf.ownRate += c.rate
	pf.rate += c.rate + c.peerRate
}

// perSlot returns the number of requests in flight per slot, including those sent since the
// candidates were counted: an outdated count would alternate between letting all callers in
// and refusing all.
func (pf *poolInFlight) perSlot() float64 {
	if pf.slots == 0 {
		return 0
	}
	nodes := pf.nodes
	if pf.ownRate > 0 {
		nodes = min(nodes, pf.rate/pf.ownRate)
	}
	own := pf.own + float64(pf.stats.inFlight.Load()-pf.counted)
	return max(own, 0) * nodes / pf.slots
}
