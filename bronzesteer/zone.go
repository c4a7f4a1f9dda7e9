package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"
)

// zone is what this node has observed of the servers of an AvailabilityZone.
type zone struct {
	// answeredAt is when any of the servers was last seen to answer, relative to the
	// Steerer's start.
	answeredAt atomic.Int64

	mu sync.Mutex
	// silentSinceAnswer holds the servers found silent since any server of the zone
	// answered, with the time of the last finding. silentNow holds those that haven't
	// answered themselves since.
	silentSinceAnswer map[*backend]time.Duration
	silentNow         map[*backend]time.Duration
	// unanswered holds the servers that have left unanswered what was sent since any server
	// of the zone answered.
	unanswered map[*backend]unansweredServer
	// servers is the number of servers.
	servers int
	// handshakeTime is the mean time that the servers take to answer openings, 0 if
	// unknown, and deviation the mean deviation from it.
	handshakeTime time.Duration
	deviation     time.Duration
}

// unansweredServer says when the first of what a server has left unanswered was sent, when
// the last of it was found unanswered, and how many flows that were.
type unansweredServer struct {
	sent, found time.Duration
	flows       int
}

// zone returns the entry of a zone. The caller holds the lock.
func (s *Steerer) zone(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{
			silentSinceAnswer: make(map[*backend]time.Duration), silentNow: make(map[*backend]time.Duration),
			unanswered: make(map[*backend]unansweredServer),
		}
		s.zones[name] = z
	}
	return z
}

// addServers adds n to the number of servers. n may be negative.
func (z *zone) addServers(n int) {
	z.mu.Lock()
	z.servers += n
	z.mu.Unlock()
}

// remove removes a server that is gone.
func (z *zone) remove(b *backend) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.silentSinceAnswer, b)
	delete(z.unanswered, b)
	delete(z.silentNow, b)
}

// recordAnswer records that a server of the zone answers.
func (z *zone) recordAnswer(b *backend, at time.Duration) {
	z.answeredAt.Store(int64(at))
	z.mu.Lock()
	clear(z.silentSinceAnswer)
	clear(z.unanswered)
	delete(z.silentNow, b)
	z.mu.Unlock()
}

// addSilent records that a server of the zone is silent.
func (z *zone) addSilent(b *backend, at time.Duration) {
	z.mu.Lock()
	z.silentSinceAnswer[b], z.silentNow[b] = at, at
	z.mu.Unlock()
}

// addUnanswered records that a server of the zone has left unanswered what was sent at
// sent. What was sent before the zone's last answer doesn't count: requests to servers that
// are known to be down go on for seconds, while other servers may get none.
func (z *zone) addUnanswered(b *backend, sent, at time.Duration) {
	if sent <= time.Duration(z.answeredAt.Load()) {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	u, known := z.unanswered[b]
	if !known {
		u.sent = sent
	}
	u.sent, u.found = min(sent, u.sent), at
	u.flows++
	z.unanswered[b] = u
}

// countRecent counts the servers whose last finding is recent.
func countRecent(silent map[*backend]time.Duration, at time.Duration) (n int) {
	for _, last := range silent {
		if at-last < silenceMaxAge {
			n++
		}
	}
	return n
}

// suspected reports whether the zone may be unreachable, so that new flows avoid it: none
// of its servers has answered for some time, and several are silent.
func (z *zone) suspected(at time.Duration) bool {
	if !z.isQuiet(at) {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return countRecent(z.silentSinceAnswer, at) >= minSilentInZone
}

// unreachable reports whether this node doesn't reach the zone, so that flows there may be
// ended: all that was sent there for some time has been left unanswered, and went to so
// many servers that they can't all have crashed or be slow. Where the zone has few servers,
// so few flows may just have slow requests that as many must be unanswered as at a server
// that has failed.
func (z *zone) unreachable(at time.Duration) bool {
	if !z.isQuiet(at) {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	servers, flows := 0, 0
	for _, u := range z.unanswered {
		if at-u.sent >= minSilence && at-u.found < silenceMaxAge {
			servers++
			flows += u.flows
		}
	}
	return servers >= min(max(z.servers, 1), minUnansweredInZone) && flows >= minFailedFlows
}

// isQuiet reports whether no server of the zone has answered for some time.
func (z *zone) isQuiet(at time.Duration) bool {
	return at-time.Duration(z.answeredAt.Load()) >= minSilence
}
