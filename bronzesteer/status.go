package bronzesteer

import "time"

// ServerStatus is the state of a server as seen by one node.
type ServerStatus struct {
	Instance         string
	Pool             string
	AvailabilityZone string
	Status           string
	// Avoided is set if new flows avoid the server, Silent if existing flows are ended,
	// too.
	Avoided bool
	Silent  bool
	// Flows, Work and Openings count this node's open flows, requests in flight and
	// unanswered openings. Rate is the rate of this node's requests, OthersRate that of all
	// other nodes, in requests per second.
	Flows      int
	Work       int
	Openings   int
	Rate       float64
	OthersRate float64
	// LatencyMS is the average time to the first part of an answer.
	LatencyMS int64
}

// Servers returns the state of all servers, sorted by name.
func (s *Steerer) Servers(now time.Time) (list []ServerStatus) {
	vs := s.state.Load()
	if vs == nil {
		return nil
	}
	at := s.sinceStart(now)
	for _, m := range vs.members {
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

// FlowsInDrainedZones returns the number of tracked open flows at servers of drained zones.
func (s *Steerer) FlowsInDrainedZones() (n int) {
	vs := s.state.Load()
	if vs == nil {
		return 0
	}
	for _, m := range vs.members {
		if m.server.ZoneDrained {
			m.backend.mu.Lock()
			n += m.backend.flows
			m.backend.mu.Unlock()
		}
	}
	return n
}

// Flows returns the number of tracked flows.
func (s *Steerer) Flows() (n int) {
	s.init()
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].flows)
		s.shards[i].mu.Unlock()
	}
	return n
}
