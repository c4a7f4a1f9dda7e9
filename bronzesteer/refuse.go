package bronzesteer

import (
	"time"

	"golang.org/x/time/rate"

	"bronzeusher.example/bronzeusher/bronzeadmit"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// exemptRate and exemptBurst are the rate per second and the burst of openings of each
	// endpoint that are never refused as NoneAnswers or Overloaded. An endpoint with few
	// callers isn't what overloads a pool, so that its callers don't pay for those of
	// others; and the openings let through show when a partition has healed. At five per
	// second from each of six nodes, they would fill the queues within the first seconds of
	// a surge.
	exemptRate  = 1
	exemptBurst = 3
)

// refusal returns the decision to refuse an opening that would go to c, instead of letting
// it wait there. It returns false if the opening is not to be refused.
//
// Only the first transmission of an opening is refused. An earlier one may have reached a
// server that has accepted it, and the reset would end an open flow.
func (s *Steerer) refusal(vs *viewState, route *bronzeroute.Route, p *Packet, c choice, now time.Time) (d Decision, ok bool) {
	if p.Retransmits > 0 {
		return d, false
	}
	at := s.sinceStart(now)
	d = Decision{Kind: End, Tried: c.server}
	if c.tier <= tierAvoided && s.noneAnswers(vs, route, at) {
		d.Reason = NoneAnswers
		return d, !s.isExempt(route, now)
	}
	ps := c.backend.stats
	d.Load = s.poolLoad(route, c, at)
	d.Priority = s.Rules().Priority(route)
	d.Verdict = ps.admit.Decide(bronzeadmit.Request{
		Priority: d.Priority, Customer: route.Customer, Caller: p.Key.CallerHash(),
	}, d.Load, at, now)
	if d.Verdict.Admit {
		return d, false
	}
	d.Reason = Overloaded
	if !d.Verdict.Reason.IsOrder() && s.isExempt(route, now) {
		return d, false
	}
	if d.Load.IsFull() {
		ps.usual.Hold(at)
	}
	ps.refused[d.Verdict.Reason].Add(1)
	return d, true
}

// refuseNoServer refuses an opening that no server may take. A retransmission is dropped
// instead where the route has servers: one of them may have accepted the opening a moment
// ago. While the records are unconfirmed, only the lack of warm servers is a reason to
// refuse.
func (s *Steerer) refuseNoServer(vs *viewState, route *bronzeroute.Route, p *Packet, now time.Time) Decision {
	d := Decision{Kind: End, Reason: s.noServerReason(vs, route, now)}
	if d.Reason != NoServer && p.Retransmits > 0 {
		d.Kind = Drop
	}
	if d.Reason == ServersCold {
		return d
	}
	return s.ifConfirmed(d)
}

// noServerReason returns why no server of a route may take a flow.
func (s *Steerer) noServerReason(vs *viewState, route *bronzeroute.Route, now time.Time) (r Reason) {
	r = NoServer
	for i := range route.Pools {
		if route.Pools[i].Weight <= 0 {
			continue
		}
		for _, m := range vs.membersOf(route.Pools[i].Pool) {
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
// unavailable, as in a partitioned zone without a server of the pool. A caller would wait
// 1.4 s in vain with each try.
func (s *Steerer) noneAnswers(vs *viewState, route *bronzeroute.Route, at time.Duration) bool {
	for i := range route.Pools {
		weighted := &route.Pools[i]
		if weighted.Weight <= 0 {
			continue
		}
		for _, m := range vs.membersOf(weighted.Pool) {
			if m.server.Status != bronzeroute.Draining && !s.unavailable(m.backend, at) {
				return false
			}
		}
	}
	return true
}

// isExempt reports whether the opening is one of those of its endpoint that are never
// refused as NoneAnswers or Overloaded, and counts it.
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

// removeExemptLimits removes the limiters of endpoints without a route. The caller holds
// the lock.
func (s *Steerer) removeExemptLimits(v *bronzeroute.View) {
	for service := range s.exemptLimits {
		if v.Route(service) == nil {
			delete(s.exemptLimits, service)
		}
	}
}
