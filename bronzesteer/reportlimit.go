package bronzesteer

import "time"

const (
	// maxReportedFraction is the fraction of all servers that the findings of one peer may
	// keep new flows away from, minReportedLimit the number that always may be. A node with
	// a tenth of a core sends ten openings per second, so that it can't have found a tenth
	// of 600 servers silent within suspicionTimeout, whatever their state; one whose own
	// packets are delayed finds everything silent. What is missed thereby other nodes find.
	maxReportedFraction = 0.1
	minReportedLimit    = 8
)

// reportedServers holds the servers that a peer has recently reported, with the times until
// which they count.
type reportedServers map[uint32]time.Duration

// acceptFinding reports whether a peer's finding of a server is within the peer's limit,
// and counts it then.
func (s *Steerer) acceptFinding(node, server uint32, servers int, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := s.reportedBy[node]
	if _, known := reported[server]; !known {
		reported.expire(at)
		if len(reported) >= max(minReportedLimit, int(maxReportedFraction*float64(servers))) {
			return false
		}
	}
	if reported == nil {
		reported = make(reportedServers)
		s.reportedBy[node] = reported
	}
	reported[server] = at + suspicionTimeout
	return true
}

// expire removes entries that no longer count.
func (reported reportedServers) expire(at time.Duration) {
	for server, until := range reported {
		if at >= until {
			delete(reported, server)
		}
	}
}

// expireReported removes the peers without recent findings.
func (s *Steerer) expireReported(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, reported := range s.reportedBy {
		reported.expire(at)
		if len(reported) == 0 {
			delete(s.reportedBy, node)
		}
	}
}
