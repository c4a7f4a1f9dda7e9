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
	// servers is the number of servers.
	servers int
	// handshakeTime is the mean time that the servers take to answer openings, 0 if
	// unknown, and deviation the mean deviation from it.
	handshakeTime time.Duration
	deviation     time.Duration
}

// zone returns the entry of a zone. The caller holds the lock.
func (s *Steerer) zone(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{silentSinceAnswer: make(map[*backend]time.Duration), silentNow: make(map[*backend]time.Duration)}
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
	delete(z.silentNow, b)
}

// recordAnswer records that a server of the zone answers.
func (z *zone) recordAnswer(b *backend, at time.Duration) {
	z.answeredAt.Store(int64(at))
	z.mu.Lock()
	clear(z.silentSinceAnswer)
	delete(z.silentNow, b)
	z.mu.Unlock()
}

// addSilent records that a server of the zone is silent.
func (z *zone) addSilent(b *backend, at time.Duration) {
	z.mu.Lock()
	z.silentSinceAnswer[b], z.silentNow[b] = at, at
	z.mu.Unlock()
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

// unreachable reports whether no server of the zone has answered for some time, and several
// are silent.
func (z *zone) unreachable(at time.Duration) bool {
	if at-time.Duration(z.answeredAt.Load()) < minSilence {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return countRecent(z.silentSinceAnswer, at) >= minSilentInZone
}
