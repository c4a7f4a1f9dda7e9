package bronzesteer

import "time"

// avoids reports whether new flows are kept away from the server.
func (s *Steerer) avoids(b *backend, at time.Duration) bool {
	return b.avoided(at) || s.zoneSuspected(b, at)
}

func (b *backend) avoided(at time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return at < b.avoidUntil
}

// avoidForPeer keeps new flows away from a server that has left a peer's opening
// unanswered, and reports whether that begins now. The caller holds the lock. Weak evidence
// suffices: avoiding the server costs it only some new flows, and these have other servers
// to go to.
func (b *backend) avoidForPeer(f finding, at time.Duration) (e Event, begins bool) {
	until := f.last + minAvoidTime
	if f.openings == 0 || until <= max(at, b.avoidUntil) {
		return e, false
	}
	if begins = at >= b.avoidUntil; begins {
		b.discountWaiting(at)
	}
	b.avoidFor = max(b.avoidFor, minAvoidTime)
	b.avoidUntil = until
	return Event{
		Kind: Avoided, Instance: b.instance, AvailabilityZone: b.zoneName,
		Unanswered: f.openings + f.requests, Silence: at - b.answeredAt, AvoidedFor: until - at, Nodes: len(b.findings),
	}, begins
}
