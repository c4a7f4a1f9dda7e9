package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedStart and shedFull bound, as parts of the objective of the route's
	// requests, the time that the requests at work in a pool will take, between
	// which more and more new flows are turned away: from none to all.
	//
	// When more callers come than servers can serve, all queues fill and stay
	// full: as many answers are given as ever, but nearly all of them late. Turning
	// some away keeps the others in time. Begun sooner, it fails callers who would
	// have been served, if late.
	shedStart = 1.0
	shedAll   = 1.2
	// unqueuedUtilization is the part of a server's slots up to which its answers show what
	// the work itself takes, and servicePart the weight of one of them.
	unqueuedUtilization = 0.7
	serviceTimeWeight   = 0.02
	// minPromptAcks is the part of a service's answers that must show by themselves for one
	// that doesn't to be missing, and shownPart the weight of one of them.
	minPromptAcks   = 0.8
	promptAckWeight = 0.05
)

// poolStats is what is known of a pool's servers together: how long they work on
// a request, without the time that it waits for a slot, and how many of this
// node's requests they have. All methods may be called concurrently.
type poolStats struct {
	inFlight atomic.Int64
	// medianLatency is the median latency of its servers, 0 while none is known. Slow servers,
	// and those that fail at once, don't change it.
	medianLatency atomic.Int64

	mu   sync.Mutex
	mean time.Duration
	// promptAcks is the part of the answers of late that callers acknowledged by themselves, and
	// not with their next request.
	promptAcks float64
}

// acksPromptly reports whether callers acknowledge answers when they have them, so that a
// request without an acknowledgement has no answer.
func (t *poolStats) acksPromptly() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.promptAcks >= minPromptAcks
}

// recordAck takes in whether an answer was acknowledged by itself.
func (t *poolStats) recordAck(alone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := 0.0
	if alone {
		to = 1
	}
	t.promptAcks += promptAckWeight * (to - t.promptAcks)
}

// observe takes in what an answer took at a server with free slots.
func (t *poolStats) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		t.mean = took
		return
	}
	t.mean += time.Duration(serviceTimeWeight * float64(took-t.mean))
}

// serviceTime returns the time, 0 if nothing was observed.
func (t *poolStats) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean
}

// poolInFlight are the requests that a pool has at work. What this node has there shows
// a surge at once; the rates that nodes tell each other, which are seconds old, show
// what part of all that is. To go by the answers' delay instead doesn't work: it
// shows a full queue only when that is behind them, and an empty one likewise,
// so that all are turned away by turns and none.
type poolInFlight struct {
	stats *poolStats
	// nodes is how many nodes there are.
	nodes float64
	// own is what this node had at the candidates when counted was the service's
	// work, and slots how many slots these have.
	own     float64
	counted int64
	slots   float64
	// ownRate is what this node sends to them, rate what all nodes do, in requests
	// a second.
	ownRate, rate float64
}

// newPoolInFlight returns a count of what is at work at servers of a service.
func (s *Steerer) newPoolInFlight(of *poolStats) poolInFlight {
	return poolInFlight{stats: of, nodes: float64(s.peers.Load() + 1), counted: of.inFlight.Load()}
}

// add counts a candidate.
func (w *poolInFlight) add(c *candidate) {
	if c.tier <= tierAvoided {
		return
	}
	w.own += c.inFlight
	w.slots += c.slots
	w.ownRate += c.rate
	w.rate += c.rate + c.peerRate
}

// perSlot returns how many requests there are for each slot. Those that came since
// the candidates were counted are in it: a count that is some time old lets callers in
// and turns them away by turns.
func (w *poolInFlight) perSlot() float64 {
	if w.slots == 0 {
		return 0
	}
	nodes := w.nodes
	if w.ownRate > 0 {
		nodes = min(nodes, w.rate/w.ownRate)
	}
	own := w.own + float64(w.stats.inFlight.Load()-w.counted)
	return max(own, 0) * nodes / w.slots
}

// shedFraction returns the part of new flows that is to be turned away, 0 to 1,
// where requests will take so long and should take objective. It is 0 where one
// of them isn't known.
func shedFraction(takes, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	part := float64(takes) / float64(objective)
	return min(max((part-shedStart)/(shedAll-shedStart), 0), 1)
}
