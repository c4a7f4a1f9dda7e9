package bronzesteer

import (
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// acceptTimeout is how long after an opening a server may still repeat its acceptance. It
	// does so eight times in 9.4 s if nobody continues.
	acceptTimeout = 10 * time.Second
	// correctionInterval is the least time in which correctionBurst further corrections of one
	// flow are sent. More packets of a flow to other servers while its caller is idle would look
	// as if the flow was forwarded to the wrong server.
	correctionInterval = 2500 * time.Millisecond
	correctionBurst    = 2
	// correctionsPerServer is the number of corrections for each server that was sent the
	// opening, since packets may be lost, and maxCorrections the number for one flow.
	correctionsPerServer = 2
	maxCorrections       = 8
	// minCorrectionGap is the least time between two corrections to one server. The answer to
	// the first changes the token that the caller sends back.
	minCorrectionGap = 500 * time.Millisecond
)

// correction is an opening to be sent again, after its flow has opened, to another server that
// may have accepted it. That server repeats its acceptance, and callers send back the token that
// they received last, so that a node that doesn't know the flow would forward its packets to the
// wrong server. The correction carries the token of the flow's server, and so do the acceptances
// that follow.
type correction struct {
	opening *pendingOpening
	backend *backend
	due     time.Duration
}

// correctionQueue holds the corrections to be sent. All methods may be called concurrently.
type correctionQueue struct {
	mu sync.Mutex
	// waiting is ordered by due.
	waiting []correction
}

func (q *correctionQueue) push(c correction) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].due > c.due {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, c)
}

// next returns when the first correction is due.
func (q *correctionQueue) next() (due time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return 0, false
	}
	return q.waiting[0].due, true
}

// popDue removes and returns the corrections that are due.
func (q *correctionQueue) popDue(at time.Duration) (due []correction) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for n < len(q.waiting) && q.waiting[n].due <= at {
		n++
	}
	due = slices.Clone(q.waiting[:n])
	q.waiting = slices.Delete(q.waiting, 0, n)
	return due
}

// sentServer is a server that was sent an opening.
type sentServer struct {
	backend *backend
	token   uint32
	// correctedAt is when the last correction is or was due, 0 if there was none.
	correctedAt time.Duration
}

// addServer notes that the opening was sent to a server.
func (o *pendingOpening) addServer(b *backend, token uint32) *sentServer {
	for i := range o.servers {
		if o.servers[i].backend == b {
			return &o.servers[i]
		}
	}
	o.announced = false
	o.servers = append(o.servers, sentServer{backend: b, token: token})
	return &o.servers[len(o.servers)-1]
}

// correctAll queues corrections for all servers that were sent the opening of a flow whose caller
// has just continued at this node, other than the flow's own. Those that were tried last are the most likely to have
// accepted.
func (s *Steerer) correctAll(f *flow, at time.Duration) {
	o := f.opening
	if o == nil {
		return
	}
	for range correctionsPerServer {
		for i := len(o.servers) - 1; i >= 0; i-- {
			s.correct(o, &o.servers[i], f, at)
		}
	}
}

// correctLateAccept queues a correction for a server whose token the caller of an open flow
// sends back.
func (s *Steerer) correctLateAccept(f *flow, b *backend, token uint32, at time.Duration) {
	o := f.opening
	if o == nil {
		return
	}
	to := o.addServer(b, token)
	if to.correctedAt == 0 || at >= to.correctedAt+minCorrectionGap {
		s.correct(o, to, f, at)
	}
}

// correct queues a correction, as soon as the limits allow it.
func (s *Steerer) correct(o *pendingOpening, to *sentServer, f *flow, at time.Duration) {
	if to.backend == f.backend || o.corrections >= maxCorrections {
		return
	}
	due := at
	if to.correctedAt != 0 {
		due = max(at, to.correctedAt+minCorrectionGap)
	}
	if o.corrections >= correctionBurst {
		due = max(due, o.correctedAt[0]+correctionInterval)
	}
	if due >= f.openedAt+acceptTimeout {
		return
	}
	o.corrections++
	o.correctedAt = [correctionBurst]time.Duration{o.correctedAt[1], due}
	to.correctedAt = due
	s.corrections.push(correction{opening: o, backend: to.backend, due: due})
}

// placesIn reports whether a route places new flows in a pool.
func placesIn(route *bronzeroute.Route, pool string) bool {
	return slices.ContainsFunc(route.Pools, func(p bronzeroute.WeightedPool) bool { return p.Pool == pool && p.Weight > 0 })
}

// NextCorrection returns when Corrections is to be called next. If ok is false, none waits.
func (s *Steerer) NextCorrection() (at time.Time, ok bool) {
	s.init()
	due, ok := s.corrections.next()
	return s.start.Add(due), ok
}

// Corrections returns the openings to be sent again at now.
func (s *Steerer) Corrections(now time.Time) (list []Hedge) {
	vs := s.state.Load()
	if vs == nil {
		return nil
	}
	at := s.sinceStart(now)
	for _, c := range s.corrections.popDue(at) {
		if sent, ok := s.correction(vs, c, at, now); ok {
			list = append(list, sent)
		}
	}
	return list
}

// correction returns a correction that is due, unless its flow has ended since or the server may
// take no openings.
func (s *Steerer) correction(vs *viewState, c correction, at time.Duration, now time.Time) (sent Hedge, ok bool) {
	p := Packet{Key: c.opening.key, Open: true, Bytes: c.opening.bytes}
	route := vs.view.Route(p.Key.ServiceAddrPort())
	sh := s.shard(&p)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	f := sh.flows[p.Key]
	if route == nil || f == nil || !f.open || f.opening != c.opening || f.backend == c.backend {
		return sent, false
	}
	server := vs.view.ByName(c.backend.instance)
	if server == nil || server.Status != bronzeroute.Serving || vs.backendOf(server, nil) != c.backend {
		return sent, false
	}
	if !placesIn(route, server.Pool) || s.isRateLimited(server, now) && !s.takeColdSend(server, c.backend, at) {
		return sent, false
	}
	return Hedge{Packet: p, Decision: Decision{
		Kind: Forward, Reason: Corrected, Server: server, Token: f.token, Tried: vs.view.ByName(f.backend.instance),
	}}, true
}
