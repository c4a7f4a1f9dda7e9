package bronzesteer

import "time"

const (
	// blamedPart is the part of all servers that one other node's findings may keep new
	// flows away from, and blamedFew a number that always may. A node with a tenth of a
	// core sends ten openings a second, so that it can't have found a tenth of 600 servers
	// silent within suspicionFor, whatever has become of them; one whose own packets are
	// late finds all that it asks. What it misses others find.
	maxReportedFraction = 0.1
	minReportedLimit    = 8
)

// blame is which servers a node has found silent of late, and until when that counts.
type reportedServers map[uint32]time.Duration

// mayBlame reports whether another node's finding of a server is to be taken, and notes
// it then.
func (s *Steerer) acceptFinding(node, server uint32, servers int, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.reportedBy[node]
	if _, known := b[server]; !known {
		b.expire(at)
		if len(b) >= max(minReportedLimit, int(maxReportedFraction*float64(servers))) {
			return false
		}
	}
	if b == nil {
		b = make(reportedServers)
		s.reportedBy[node] = b
	}
	b[server] = at + suspicionTimeout
	return true
}

// forget drops what counts no longer.
func (b reportedServers) expire(at time.Duration) {
	for server, until := range b {
		if at >= until {
			delete(b, server)
		}
	}
}

// forgetBlames drops the nodes that have found nothing of late.
func (s *Steerer) expireReported(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, b := range s.reportedBy {
		b.expire(at)
		if len(b) == 0 {
			delete(s.reportedBy, node)
		}
	}
}
