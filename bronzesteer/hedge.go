package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// hedgeUnknown is how long an opening waits for its answer before it goes to a
	// second server, too, while nothing is known of how long answers take, and
	// hedgeLeast and hedgeMost bound what is learned of that. Callers repeat an opening
	// themselves after 200 ms. Below the least, the scheduling of a node with a tenth of
	// a core shows more than its servers do. Where answers take longer than the most, it is
	// the node or the way that is slow, and no further server would be faster.
	defaultHedgeDelay = 40 * time.Millisecond
	minHedgeDelay     = 12 * time.Millisecond
	maxHedgeDelay     = 100 * time.Millisecond
	// hedgeDeviations is how many mean deviations over the mean an answer takes before it
	// is overdue, and handshakePart the weight of one time in both, as usual for
	// retransmission timers. The deviation grows faster than it shrinks: on a slow link each
	// large upload delays everything behind it.
	hedgeDeviations     = 4
	handshakeWeight     = 0.125
	deviationRiseWeight = 0.25
	deviationFallWeight = 0.03
	// hedgeShare is how many second openings each opening allows, and hedgeBurst how many
	// may be sent at once. A fleet whose servers are well needs none; while a third of them are
	// silent, each costs a node one until it is avoided.
	hedgeBudgetRatio = 0.1
	hedgeBudgetBurst = 30
	// hedgesMost is how many further servers one opening goes to. Of two servers, both are
	// silent for one opening in ten while a third of all are.
	maxHedges = 2
)

// opening is one whose caller hasn't gone on yet.
type pendingOpening struct {
	key   flowKey
	bytes []byte
	// first is the server that was asked first, hedges how many others were since.
	first  *backend
	hedges int
	// due is when another server is to be asked. An entry that is settled isn't.
	due     time.Duration
	settled atomic.Bool
}

// hedges are the openings that wait for their answers, and what may be spent on them.
// All methods may be called concurrently.
type hedgeQueue struct {
	mu sync.Mutex
	// waiting is ordered by due but for what is due in a zone that takes longer: an
	// opening may wait for those before it, for hedgeMost at most.
	waiting []*pendingOpening
	// spent is how many second openings were sent that the openings since don't allow yet.
	spent float64
}

// earn counts an opening.
func (h *hedgeQueue) creditOpening() {
	h.mu.Lock()
	h.spent = max(h.spent-hedgeBudgetRatio, 0)
	h.mu.Unlock()
}

// spend reports whether another second opening may be sent.
func (h *hedgeQueue) takeBudget() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.spent+1 > hedgeBudgetBurst {
		return false
	}
	h.spent++
	return true
}

func (h *hedgeQueue) push(o *pendingOpening) {
	h.mu.Lock()
	h.waiting = append(h.waiting, o)
	h.mu.Unlock()
}

// next drops openings that are settled, and returns when the first of the others is
// due.
func (h *hedgeQueue) next() (due time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.waiting) > 0 && h.waiting[0].settled.Load() {
		h.waiting = h.waiting[1:]
	}
	if len(h.waiting) == 0 {
		h.waiting = nil
		return 0, false
	}
	return h.waiting[0].due, true
}

// take returns those that are due.
func (h *hedgeQueue) popDue(at time.Duration) (due []*pendingOpening) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.waiting) > 0 && (h.waiting[0].due <= at || h.waiting[0].settled.Load()) {
		if o := h.waiting[0]; !o.settled.Load() {
			due = append(due, o)
		}
		h.waiting = h.waiting[1:]
	}
	return due
}

// Hedge is an opening that is sent to a second server because the first hasn't answered.
// At most one flow opens: the caller goes on with the server whose acceptance comes first,
// and the other drops what nobody goes on with.
type Hedge struct {
	Packet   Packet
	Decision Decision
}

// NextHedge returns when Hedges is to be called next, unless a packet comes before; ok is
// false if nothing waits.
func (s *Steerer) NextHedge() (at time.Time, ok bool) {
	s.init()
	due, ok := s.hedges.next()
	return s.start.Add(due), ok
}

// Hedges returns the openings that are to be sent to further servers at now. All packets
// that came before must have been handled: an answer that waits for a node that is late
// isn't overdue.
func (s *Steerer) Hedges(now time.Time) (list []Hedge) {
	k := s.state.Load()
	if k == nil {
		return nil
	}
	at := s.sinceStart(now)
	for _, o := range s.hedges.popDue(at) {
		if h, ok := s.hedge(k, o, at, now); ok {
			list = append(list, h)
		}
	}
	return list
}

// hedge sends one opening to a further server, if one can take it in time.
func (s *Steerer) hedge(k *viewState, o *pendingOpening, at time.Duration, now time.Time) (h Hedge, ok bool) {
	p := Packet{Key: o.key, Open: true, Bytes: o.bytes}
	route := k.view.Route(o.key.ServiceAddrPort())
	sh := s.shard(&p)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f := sh.flows[o.key]
	if route == nil || f == nil || f.pending != o || f.open {
		return h, false
	}
	asked := f.backend
	s.recordUnanswered(asked, f.sentAt(f.openedAt), at, openingWeight)
	next := s.place(k, route, &p, asked, at, now)
	if next.server == nil || next.tier <= tierAvoided {
		return h, false
	}
	// A pool that has too much to do isn't given more.
	takes := time.Duration(next.inFlightPerSlot * float64(next.backend.stats.serviceTime()))
	if shedFraction(takes, route.Objective) > 0 || !s.hedges.takeBudget() {
		return h, false
	}
	f.retry(next, k.view.Token(route.Service, next.server), at)
	o.hedges++
	if patience := s.hedgeDelay(next.backend); o.hedges < maxHedges && patience <= maxHedgeDelay {
		o.due = at + patience
		s.hedges.push(o)
	}
	d := Decision{Kind: Forward, Reason: Hedged, Server: next.server, Token: f.token, Tried: k.view.ByName(asked.instance)}
	return Hedge{Packet: p, Decision: d}, true
}

// expect has an opening wait for its answer.
func (s *Steerer) scheduleHedge(f *flow, p *Packet, at time.Duration) {
	s.hedges.creditOpening()
	if len(p.Bytes) == 0 {
		return
	}
	patience := s.hedgeDelay(f.backend)
	o := &pendingOpening{key: p.Key, bytes: append([]byte(nil), p.Bytes...), first: f.backend, due: at + patience}
	f.pending = o
	if patience <= maxHedgeDelay {
		s.hedges.push(o)
	}
}

// settle ends the waiting of a flow's opening, for which b has answered, and tells how
// it went if more than one server was asked.
func (f *flow) settle(b *backend, at time.Duration) (outcome HedgeOutcome) {
	o := f.pending
	if o == nil {
		return NotHedged
	}
	f.dropPending()
	if b == o.first {
		b.zone.observeHandshake(at - f.openedAt)
	}
	switch {
	case o.hedges == 0:
		return NotHedged
	case b == o.first:
		return HedgeLost
	default:
		return HedgeWon
	}
}

// patience returns how long the answer to an opening may take.
func (s *Steerer) hedgeDelay(b *backend) time.Duration {
	z := b.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.handshakeTime == 0 {
		return defaultHedgeDelay
	}
	return max(z.handshakeTime+hedgeDeviations*z.deviation, minHedgeDelay)
}

// observe takes in how long an opening at a server of the zone took.
func (z *zone) observeHandshake(took time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.handshakeTime == 0 {
		z.handshakeTime, z.deviation = took, took/2
		return
	}
	off := took - z.handshakeTime
	z.handshakeTime += time.Duration(handshakeWeight * float64(off))
	change := max(off, -off) - z.deviation
	part := deviationFallWeight
	if change > 0 {
		part = deviationRiseWeight
	}
	z.deviation += time.Duration(part * float64(change))
}
