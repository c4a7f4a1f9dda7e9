package bronzesteer

import "time"

// ServerStatus is what a node believes of a server.
type ServerStatus struct {
	Instance         string
	Pool             string
	AvailabilityZone string
	Status           string
	// Avoided says that new flows keep away from it, Silent that flows there
	// are ended, too.
	Avoided bool
	Silent  bool
	// Flows, Work and Openings are this node's own; Rate is what it sends, and
	// OthersRate what all other nodes do, in requests a second.
	Flows      int
	Work       int
	Openings   int
	Rate       float64
	OthersRate float64
	// LatencyMS is the average time to the first part of an answer.
	LatencyMS int64
}

// Servers returns what this node believes of all servers, by name.
func (s *Steerer) Servers(now time.Time) (list []ServerStatus) {
	k := s.state.Load()
	if k == nil {
		return nil
	}
	at := s.sinceStart(now)
	for _, m := range k.members {
		server, b := m.server, m.backend
		status := ServerStatus{
			Instance: server.Instance, Pool: server.Pool, AvailabilityZone: server.AvailabilityZone,
			Status: server.Status.String(), Avoided: s.avoids(b, at), Silent: s.unresponsive(b, false, at),
		}
		b.mu.Lock()
		status.Flows, status.Work, status.Openings = b.flows, b.inFlight, b.openings
		status.Rate, status.OthersRate, status.LatencyMS = b.rate, b.peerRate, b.latency.Milliseconds()
		b.mu.Unlock()
		list = append(list, status)
	}
	return list
}

// FlowsInDrainedZones returns how many open flows this node follows at servers of drained
// zones.
func (s *Steerer) FlowsInDrainedZones() (n int) {
	k := s.state.Load()
	if k == nil {
		return 0
	}
	for _, m := range k.members {
		if m.server.ZoneDrained {
			m.backend.mu.Lock()
			n += m.backend.flows
			m.backend.mu.Unlock()
		}
	}
	return n
}

// Flows returns how many flows this node follows.
func (s *Steerer) Flows() (n int) {
	s.init()
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].flows)
		s.shards[i].mu.Unlock()
	}
	return n
}
