package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultHedgeDelay is how long an opening waits for its answer before it is also sent
	// to a second server, as long as no handshake time is known. minHedgeDelay and
	// maxHedgeDelay bound the delay derived from handshake times. Callers retransmit an
	// opening after 200 ms. Below the minimum, the scheduling of a node with a tenth of a
	// core dominates the measured times. Beyond the maximum, the node or the network is
	// slow and another server would not be faster, so that none is tried.
	defaultHedgeDelay = 40 * time.Millisecond
	minHedgeDelay     = 12 * time.Millisecond
	maxHedgeDelay     = 100 * time.Millisecond
	// hedgeDeviations is the number of mean deviations above the mean after which an answer
	// is overdue, and handshakeWeight the weight of one sample in the mean, as in
	// retransmission timers. The deviation rises faster than it falls: on a slow link each
	// large upload delays everything behind it.
	hedgeDeviations     = 4
	handshakeWeight     = 0.125
	deviationRiseWeight = 0.25
	deviationFallWeight = 0.03
	// hedgeBudgetRatio is the number of hedges that each opening allows, hedgeBudgetBurst
	// how many may be sent at once. A healthy fleet needs none; while a third of the
	// servers are silent, each costs a node one hedge until it is avoided.
	hedgeBudgetRatio = 0.1
	hedgeBudgetBurst = 30
	// maxHedges is the number of further servers that one opening is sent to. While a third
	// of all servers are silent, one opening in ten finds two of them silent in a row.
	maxHedges = 2
)

// pendingOpening is an opening whose caller hasn't continued yet.
type pendingOpening struct {
	key   flowKey
	bytes []byte
	// sequence is the number of the opening.
	sequence uint32
	// first is the server first tried, hedges the number of servers tried since.
	first  *backend
	hedges int
	// servers are all that it was sent to. corrections is the number of corrections queued,
	// and correctedAt when the last of them are due. They are guarded by the flow's shard.
	// announced is set once all of servers have been announced to other nodes.
	servers     []sentServer
	announced   bool
	corrections int
	correctedAt [correctionBurst]time.Duration
	// due is when the next server is to be tried, unless settled is set.
	due     time.Duration
	settled atomic.Bool
	// heardAt is when another node told of the opening, for those of flows that this node doesn't
	// know.
	heardAt time.Duration
}

// hedgeQueue holds the openings that wait for their answers, and the budget for hedges. All
// methods may be called concurrently.
type hedgeQueue struct {
	mu sync.Mutex
	// waiting is ordered by due, except that zones have different delays: an opening may
	// wait for those before it, for maxHedgeDelay at most.
	waiting []*pendingOpening
	// spent is the number of hedges sent that later openings haven't paid for yet.
	spent float64
}

// creditOpening adds the budget that one opening allows.
func (h *hedgeQueue) creditOpening() {
	h.mu.Lock()
	h.spent = max(h.spent-hedgeBudgetRatio, 0)
	h.mu.Unlock()
}

// takeBudget reports whether another hedge may be sent, and takes it from the budget if so.
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

// next removes settled openings, and returns when the first of the others is due.
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

// popDue removes and returns the openings that are due.
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

// Hedge is an opening that is sent to a second server because the first hasn't answered. At
// most one flow is opened: the caller continues with the server whose acceptance comes
// first, and the other server drops the flow that nobody continues. Corrections returns the
// openings that are sent again after that in the same form.
type Hedge struct {
	Packet   Packet
	Decision Decision
}

// NextHedge returns when Hedges is to be called next, unless a packet comes before. If ok
// is false, no opening waits.
func (s *Steerer) NextHedge() (at time.Time, ok bool) {
	s.init()
	due, ok := s.hedges.next()
	return s.start.Add(due), ok
}

// Hedges returns the openings to be sent to further servers at now. All packets received
// before must have been handled: an answer still queued in a delayed node isn't overdue.
func (s *Steerer) Hedges(now time.Time) (list []Hedge) {
	vs := s.state.Load()
	if vs == nil {
		return nil
	}
	at := s.sinceStart(now)
	for _, o := range s.hedges.popDue(at) {
		if h, ok := s.hedge(vs, o, at, now); ok {
			list = append(list, h)
		}
	}
	return list
}

// hedge sends one opening to a further server, if one can take it in time.
func (s *Steerer) hedge(vs *viewState, o *pendingOpening, at time.Duration, now time.Time) (h Hedge, ok bool) {
	p := Packet{Key: o.key, Open: true, Bytes: o.bytes}
	route := vs.view.Route(o.key.ServiceAddrPort())
	sh := s.shard(&p)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f := sh.flows[o.key]
	if route == nil || f == nil || f.pending != o || f.open {
		return h, false
	}
	tried := f.backend
	s.recordUnanswered(tried, f.sentAt(f.openedAt), at, openingWeight)
	next := s.place(vs, route, &p, tried, at, now)
	if next.server == nil || next.tier <= tierAvoided {
		return h, false
	}
	// An overloaded pool must not get additional openings.
	if s.poolLoad(route, next, at).IsFull() || !s.hedges.takeBudget() {
		return h, false
	}
	f.retry(next, vs.view.Token(route.Service, next.server), at)
	o.hedges++
	if hedgeDelay := s.hedgeDelay(next.backend); o.hedges < maxHedges && hedgeDelay <= maxHedgeDelay {
		o.due = at + hedgeDelay
		s.hedges.push(o)
	}
	d := Decision{Kind: Forward, Reason: Hedged, Server: next.server, Token: f.token, Tried: vs.view.ByName(tried.instance)}
	return Hedge{Packet: p, Decision: d}, true
}

// scheduleHedge queues an opening for a hedge.
func (s *Steerer) scheduleHedge(f *flow, p *Packet, at time.Duration) {
	s.hedges.creditOpening()
	if len(p.Bytes) == 0 {
		return
	}
	hedgeDelay := s.hedgeDelay(f.backend)
	o := &pendingOpening{key: p.Key, bytes: append([]byte(nil), p.Bytes...), sequence: p.Sequence, first: f.backend, due: at + hedgeDelay}
	o.addServer(f.backend, f.token)
	f.pending, f.opening = o, o
	if hedgeDelay <= maxHedgeDelay {
		s.hedges.push(o)
	}
}

// settle ends the wait for the answer to a flow's opening, which b has answered, and
// returns the outcome if more than one server was tried.
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

// hedgeDelay returns how long the answer to an opening may take before it is hedged.
func (s *Steerer) hedgeDelay(b *backend) time.Duration {
	z := b.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.handshakeTime == 0 {
		return defaultHedgeDelay
	}
	return max(z.handshakeTime+hedgeDeviations*z.deviation, minHedgeDelay)
}

// observeHandshake records how long an opening at a server of the zone took.
func (z *zone) observeHandshake(took time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.handshakeTime == 0 {
		z.handshakeTime, z.deviation = took, took/2
		return
	}
	diff := took - z.handshakeTime
	z.handshakeTime += time.Duration(handshakeWeight * float64(diff))
	change := max(diff, -diff) - z.deviation
	weight := deviationFallWeight
	if change > 0 {
		weight = deviationRiseWeight
	}
	z.deviation += time.Duration(weight * float64(change))
}
