package bronzesteer

import (
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// trials are servers at which other nodes' openings were left unanswered, and that this one
// has flows at without having opened any since. Each is to have the opening of one caller,
// which goes to a further server when the answer is overdue: it costs that caller some 20
// ms, and shows whether the flows are lost, whose callers would find it out only by their
// next request, and lose it if it must not be repeated. A server that is only slow accepts
// openings at once.
type probeTargets []*backend

// trialsMost is how many openings of this node a server must have left unanswered for no
// more to try it. Of 120 servers that crash at once each node hears little at a time: two
// trials bring it nearer to deadProof.
const maxProbes = 2

// findTrials brings up to date which servers are to be tried. The suspects are those that
// something is told of.
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
	if f, asked := b.ownFinding(at, false, s.health.validFrom()); asked && f.openings >= maxProbes {
		return false
	}
	u := b.suspicion(at, false, s.health.validFrom())
	return b.flows > 0 && b.openings == 0 && u.openings > 0
}

// trial returns the server that an opening is to try, in place of the one that was chosen
// for it; ok is false if there is none. The opening must be one that can go on to another
// server soon.
func (s *Steerer) probe(k *viewState, chosen choice, p *Packet, now time.Time) (c choice, ok bool) {
	if chosen.tier <= tierAvoided || len(p.Bytes) == 0 {
		return c, false
	}
	b := s.takeProbe(chosen.backend.stats)
	if b == nil || s.hedgeDelay(b) > maxHedgeDelay {
		return c, false
	}
	server := k.view.ByName(b.instance)
	if server == nil || server.Status != bronzeroute.Serving || s.isRateLimited(server, now) {
		return c, false
	}
	return choice{server: server, backend: b, tier: chosen.tier, inFlightPerSlot: chosen.inFlightPerSlot}, true
}

// takeTrial takes one of the pool's servers that are to be tried, nil if there is none.
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
