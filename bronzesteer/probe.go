package bronzesteer

import (
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// probeTargets are servers at which peers had unanswered openings, and at which this node
// has flows but no opening outstanding. Each is sent the opening of one caller, which goes
// on to a further server when the answer is overdue. That costs the caller some 20 ms, and
// shows whether the flows are lost; their callers would otherwise find out only by losing
// their next request, if it must not be retried. A server that is only slow still accepts
// openings at once.
type probeTargets []*backend

// maxProbes is the number of unanswered openings of this node from which on a server is no
// longer probed. If 120 servers crash at once, each node is told little at a time: two
// probes bring it closer to minFleetFlows.
const maxProbes = 2

// updateProbes updates the servers to be probed, which are among the suspects.
func (s *Steerer) updateProbes(suspects []*backend, at time.Duration) {
	var found probeTargets
	for _, b := range suspects {
		if s.needsProbe(b, at) {
			found = append(found, b)
		}
	}
	s.mu.Lock()
	s.probes = found
	s.mu.Unlock()
}

func (s *Steerer) needsProbe(b *backend, at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, ok := b.ownFinding(at, false, s.health.validFrom()); ok && f.openings >= maxProbes {
		return false
	}
	u := b.suspicion(at, false, s.health.validFrom())
	return b.flows > 0 && b.openings == 0 && u.openings > 0
}

// probe returns the server that an opening is to probe in place of the chosen one. The
// opening must be one that can be hedged soon; ok is false if there is no such server.
func (s *Steerer) probe(vs *viewState, chosen choice, p *Packet, now time.Time) (c choice, ok bool) {
	if chosen.tier <= tierAvoided || len(p.Bytes) == 0 {
		return c, false
	}
	b := s.takeProbe(chosen.backend.stats)
	if b == nil || s.hedgeDelay(b) > maxHedgeDelay {
		return c, false
	}
	server := vs.view.ByName(b.instance)
	if server == nil || server.Status != bronzeroute.Serving || s.isRateLimited(server, now) {
		return c, false
	}
	return choice{server: server, backend: b, tier: chosen.tier, sum: chosen.sum}, true
}

// takeProbe removes and returns one of the pool's servers to be probed, or nil.
func (s *Steerer) takeProbe(pool *poolStats) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.probes, func(b *backend) bool { return b.stats == pool })
	if i < 0 {
		return nil
	}
	b := s.probes[i]
	s.probes = slices.Delete(s.probes, i, i+1)
	return b
}
