package bronzesteer

import (
	"sync"
	"sync/atomic"
	"time"
)

// zone is what this node has seen of the servers of an availability zone.
type zone struct {
	// goodAt is when one of them was last seen to answer, since the start.
	answeredAt atomic.Int64

	mu sync.Mutex
	// silent are those that have been silent since, with when they last left
	// something unanswered, and quiet those that are now.
	silentSinceAnswer map[*backend]time.Duration
	silentNow         map[*backend]time.Duration
	// servers is how many there are.
	servers int
	// handshake is the mean time that their answers to openings take, 0 if none is
	// known, and deviation how far off it they are on average.
	handshakeTime time.Duration
	deviation     time.Duration
}

// zone returns the entry of a zone; the caller holds the lock.
func (s *Steerer) zone(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{silentSinceAnswer: make(map[*backend]time.Duration), silentNow: make(map[*backend]time.Duration)}
		s.zones[name] = z
	}
	return z
}

// count adds servers of the zone, or takes some away.
func (z *zone) addServers(n int) {
	z.mu.Lock()
	z.servers += n
	z.mu.Unlock()
}

// forget drops a server that is gone.
func (z *zone) remove(b *backend) {
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.silentSinceAnswer, b)
	delete(z.silentNow, b)
}

// good notes that a server of the zone answers.
func (z *zone) recordAnswer(b *backend, at time.Duration) {
	z.answeredAt.Store(int64(at))
	z.mu.Lock()
	clear(z.silentSinceAnswer)
	delete(z.silentNow, b)
	z.mu.Unlock()
}

// addSilent notes that a server of the zone is silent.
func (z *zone) addSilent(b *backend, at time.Duration) {
	z.mu.Lock()
	z.silentSinceAnswer[b], z.silentNow[b] = at, at
	z.mu.Unlock()
}

// recent counts the servers that have left something unanswered lately.
func countRecent(silent map[*backend]time.Duration, at time.Duration) (n int) {
	for _, last := range silent {
		if at-last < silenceMaxAge {
			n++
		}
	}
	return n
}

// cut reports whether nobody in the zone has answered for some time and
// several have left flows unanswered.
func (z *zone) unreachable(at time.Duration) bool {
	if at-time.Duration(z.answeredAt.Load()) < minSilence {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	return countRecent(z.silentSinceAnswer, at) >= minSilentInZone
}
