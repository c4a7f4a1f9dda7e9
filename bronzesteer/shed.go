package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedFrom and shedFull bound, as parts of the objective of the route's
	// requests, the time that the requests at work in a pool will take, between
	// which more and more new flows are turned away: from none to all.
	//
	// When more callers come than servers can serve, all queues fill and stay
	// full: as many answers are given as ever, but nearly all of them late. Turning
	// some away keeps the others in time. Begun sooner, it fails callers who would
	// have been served, if late.
	shedFrom = 1.0
	shedFull = 1.2
	// freeUse is the part of a server's slots up to which its answers show what
	// the work itself takes, and servicePart the weight of one of them.
	freeUse     = 0.7
	servicePart = 0.02
	// shownLeast is the part of a service's answers that must show by themselves for one
	// that doesn't to be missing, and shownPart the weight of one of them.
	shownLeast = 0.8
	shownPart  = 0.05
)

// service is what is known of a pool's servers together: how long they work on
// a request, without the time that it waits for a slot, and how many of this
// node's requests they have. All methods may be called concurrently.
type service struct {
	work atomic.Int64
	// usual is the median latency of its servers, 0 while none is known. Slow servers,
	// and those that fail at once, don't change it.
	usual atomic.Int64

	mu   sync.Mutex
	mean time.Duration
	// shown is the part of the answers of late that callers acknowledged by themselves, and
	// not with their next request.
	shown float64
}

// showsAnswers reports whether callers acknowledge answers when they have them, so that a
// request without an acknowledgement has no answer.
func (t *service) showsAnswers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shown >= shownLeast
}

// noteShown takes in whether an answer was acknowledged by itself.
func (t *service) noteShown(alone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := 0.0
	if alone {
		to = 1
	}
	t.shown += shownPart * (to - t.shown)
}

// observe takes in what an answer took at a server with free slots.
func (t *service) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		t.mean = took
		return
	}
	t.mean += time.Duration(servicePart * float64(took-t.mean))
}

// get returns the time, 0 if nothing was observed.
func (t *service) get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean
}

// atWork are the requests that a pool has at work. What this node has there shows
// a surge at once; the rates that nodes tell each other, which are seconds old, show
// what part of all that is. To go by the answers' delay instead doesn't work: it
// shows a full queue only when that is behind them, and an empty one likewise,
// so that all are turned away by turns and none.
type atWork struct {
	service *service
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

// newAtWork returns a count of what is at work at servers of a service.
func (s *Steerer) newAtWork(of *service) atWork {
	return atWork{service: of, nodes: float64(s.others.Load() + 1), counted: of.work.Load()}
}

// add counts a candidate.
func (w *atWork) add(c *candidate) {
	if c.tier <= tierAvoided {
		return
	}
	w.own += c.work
	w.slots += c.slots
	w.ownRate += c.rate
	w.rate += c.rate + c.others
}

// perSlot returns how many requests there are for each slot. Those that came since
// the candidates were counted are in it: a count that is some time old lets callers in
// and turns them away by turns.
func (w *atWork) perSlot() float64 {
	if w.slots == 0 {
		return 0
	}
	nodes := w.nodes
	if w.ownRate > 0 {
		nodes = min(nodes, w.rate/w.ownRate)
	}
	own := w.own + float64(w.service.work.Load()-w.counted)
	return max(own, 0) * nodes / w.slots
}

// shedPart returns the part of new flows that is to be turned away, 0 to 1,
// where requests will take so long and should take objective. It is 0 where one
// of them isn't known.
func shedPart(takes, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	part := float64(takes) / float64(objective)
	return min(max((part-shedFrom)/(shedFull-shedFrom), 0), 1)
}
