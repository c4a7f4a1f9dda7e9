package bronzesteer

import "time"

// avoids reports whether new flows keep away from the server.
func (s *Steerer) avoids(b *backend, at time.Duration) bool {
	return b.avoided(at) || s.zoneUnreachable(b, at)
}

func (b *backend) avoided(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return at < b.avoidUntil
}

// avoidAsOthersDo keeps new flows away from a server that has left another node's
// opening unanswered, and reports whether that begins; the caller holds the lock. That
// takes weak evidence: it costs the server some new flows, and they have others to go to.
func (b *backend) avoidForPeer(f finding, at time.Duration) (e Event, begins bool) {
	until := f.last + minAvoidTime
	if f.openings == 0 || until <= max(at, b.avoidUntil) {
		return e, false
	}
	begins = at >= b.avoidUntil
	b.avoidFor = max(b.avoidFor, minAvoidTime)
	b.avoidUntil = until
	return Event{
		Kind: Avoided, Instance: b.instance, AvailabilityZone: b.zoneName,
		Unanswered: f.openings + f.requests, Silence: at - b.answeredAt, AvoidedFor: until - at, Nodes: len(b.findings),
	}, begins
}
