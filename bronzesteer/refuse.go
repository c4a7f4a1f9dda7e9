package bronzesteer

import (
	"time"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// exemptRate and freeBurst are how many openings of one endpoint a second are
	// never turned away, and how many at once. An endpoint with few callers isn't
	// what fills a pool, so they don't pay for those of others; and the openings
	// that are let through show the end of a cut. Five a second from each of six
	// nodes fill the queues within the first seconds of a surge.
	exemptRate  = 1
	exemptBurst = 3
)

// refusal tells why an opening that would go to c is turned away at once, and not
// sent to wait there; ok is false if it isn't.
//
// Only the first copy of an opening is turned away. An earlier copy may have
// reached a server, and its acceptance be on the way: the reset would end a flow
// that is open.
func (s *Steerer) refusal(k *viewState, route *bronzeroute.Route, p *Packet, c choice, now time.Time) (d Decision, ok bool) {
	if p.Retransmits > 0 {
		return d, false
	}
	takes := time.Duration(c.inFlightPerSlot * float64(c.backend.stats.serviceTime()))
	part := shedFraction(takes, route.Objective)
	d = Decision{Kind: End, Tried: c.server, ExpectedDelay: takes}
	switch {
	case c.tier <= tierAvoided && s.noneAnswers(k, route, s.sinceStart(now)):
		d.Reason = NoneAnswers
	case part > 0 && s.randomFloat() < part:
		d.Reason = Overloaded
	default:
		return d, false
	}
	return d, !s.isExempt(route, now)
}

// refuseNoServer returns what becomes of an opening that no server may take: it is refused at once,
// with the reason. An earlier copy may have reached a server that could take it a moment
// ago, so that a later one is dropped where servers are there.
func (s *Steerer) refuseNoServer(k *viewState, route *bronzeroute.Route, p *Packet, now time.Time) Decision {
	d := Decision{Kind: End, Reason: s.noServerReason(k, route, now)}
	if d.Reason != NoServer && p.Retransmits > 0 {
		d.Kind = Drop
	}
	return d
}

// noServerReason tells why no server of a route may take a flow.
func (s *Steerer) noServerReason(k *viewState, route *bronzeroute.Route, now time.Time) (r Reason) {
	r = NoServer
	for i := range route.Pools {
		if route.Pools[i].Weight <= 0 {
			continue
		}
		for _, m := range k.membersOf(route.Pools[i].Pool) {
			switch {
			case m.server.ZoneDrained && !m.server.Draining:
				r = ZoneDrained
			case m.server.Status == bronzeroute.Serving && s.isRateLimited(m.server, now):
				return ServersCold
			}
		}
	}
	return r
}

// noneAnswers reports whether all servers that may take a flow of the route are
// silent, as in a zone that is cut off and has no server of the pool. A caller
// would wait 1.4 s for nothing with each try.
func (s *Steerer) noneAnswers(k *viewState, route *bronzeroute.Route, at time.Duration) bool {
	for i := range route.Pools {
		share := &route.Pools[i]
		if share.Weight <= 0 {
			continue
		}
		for _, m := range k.membersOf(share.Pool) {
			if m.server.Status != bronzeroute.Draining && !s.unavailable(m.backend, at) {
				return false
			}
		}
	}
	return true
}

// isExempt reports whether the opening is one of the few of its endpoint that are
// not turned away.
func (s *Steerer) isExempt(route *bronzeroute.Route, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.exemptLimits[route.Service]
	if l == nil {
		l = rate.NewLimiter(exemptRate, exemptBurst)
		s.exemptLimits[route.Service] = l
	}
	return l.AllowN(now, 1)
}

// removeExemptLimits drops what is counted of endpoints that have no route; the caller
// holds the lock.
func (s *Steerer) removeExemptLimits(v *bronzeroute.View) {
	for service := range s.exemptLimits {
		if v.Route(service) == nil {
			delete(s.exemptLimits, service)
		}
	}
}
