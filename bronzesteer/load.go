package bronzesteer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// peerLoadTimeout is how long the loads reported by a peer are used.
	peerLoadTimeout = 2500 * time.Millisecond
	// loadInterval is how often loads are updated and gone servers are looked for.
	loadInterval = 500 * time.Millisecond
	// rateTimeConstant is the time that request rates are averaged over.
	rateTimeConstant = 2 * time.Second
	// maxLoads bounds the servers in a node's loads, by the bytes available in its
	// messages. Those with the highest rates are sent.
	maxLoads = 45
)

// serverLoad is the load of a server.
type serverLoad struct {
	// openings, flows and inFlight count this node's unanswered openings, open flows and
	// requests in flight.
	openings int
	flows    int
	inFlight int
	// rate is the average rate of this node's requests to the server, peerRate that of all
	// peers as far as reported, in requests per second.
	rate     float64
	peerRate float64
}

// Load is the load that a node puts on one server.
type Load struct {
	// Server is half of the server's identifier. A collision only misplaces a flow.
	Server uint32
	// Rate is in requests per second.
	Rate float64
	// Latency is the recent average time to the first part of an answer, 0 if unknown.
	Latency time.Duration
}

// peerLoads holds the loads that a peer has reported.
type peerLoads struct {
	at    time.Duration
	loads []Load
}

// Loads returns the load that this node puts on servers, for its peers, as of the last
// update by Sweep. The caller must not change it.
func (s *Steerer) Loads() []Load {
	if loads := s.ownLoads.Load(); loads != nil {
		return *loads
	}
	return nil
}

// storeLoads stores what Loads returns. Loads is called several times per second, and
// collecting the loads scans thousands of servers.
func (s *Steerer) storeLoads(loads []Load) {
	if len(loads) > maxLoads {
		slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(b.Rate, a.Rate) })
		loads = loads[:maxLoads]
	}
	s.ownLoads.Store(&loads)
}

func shortID(server *bronzeroute.Server) uint32 { return uint32(server.ID) }

// minReportedRate is the least rate that is reported, in requests per second.
const minReportedRate = 0.1

// SetLoads records the loads reported by another node.
func (s *Steerer) SetLoads(node string, loads []Load, now time.Time) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerLoads[node] = peerLoads{at: s.sinceStart(now), loads: loads}
}

// SetPeerCount sets the number of other nodes.
func (s *Steerer) SetPeerCount(peers int) {
	s.peers.Store(int64(peers))
}

// updateLoads decays rates and sums the loads of peers. If only some peers have reported
// recently, their loads are scaled up to all.
func (s *Steerer) updateLoads(vs *viewState, at time.Duration) {
	sums, reporting := s.sumLoads(at)
	scale := 1.0
	if peers := s.peers.Load(); reporting > 0 && int(peers) > reporting {
		scale = float64(peers) / float64(reporting)
	}
	passed := at - s.loadsUpdatedAt
	decay := math.Exp(-float64(passed) / float64(rateTimeConstant))
	s.loadsUpdatedAt = at
	var loads []Load
	for _, m := range vs.members {
		server, b := m.server, m.backend
		b.mu.Lock()
		b.decayLatency(passed)
		b.rate *= decay
		rate := b.rate
		sum := sums[shortID(server)]
		b.peerRate = scale * sum.rate
		b.peerLatency = sum.latency()
		latency := b.latency
		b.mu.Unlock()
		if rate >= minReportedRate {
			loads = append(loads, Load{Server: shortID(server), Rate: rate, Latency: latency})
		}
	}
	s.storeLoads(loads)
	s.updateMedianLatency(vs)
}

// updateMedianLatency updates the median latency of each pool.
func (s *Steerer) updateMedianLatency(vs *viewState) {
	for _, p := range vs.pools {
		if len(p.members) > 0 {
			p.members[0].backend.stats.medianLatency.Store(int64(medianLatency(s.sampleMembers(p.members, latencySample))))
		}
	}
}

// loadSum is the load of all peers on a server, in requests per second, with their
// latencies weighted by rate.
type loadSum struct {
	rate        float64
	latencyRate float64
	latencySum  float64
}

func (u *loadSum) add(l Load) {
	u.rate += l.Rate
	if l.Latency > 0 {
		u.latencyRate += l.Rate
		u.latencySum += l.Rate * l.Latency.Seconds()
	}
}

func (u *loadSum) latency() time.Duration {
	if u.latencyRate == 0 {
		return 0
	}
	return time.Duration(u.latencySum / u.latencyRate * float64(time.Second))
}

// sumLoads sums the recent loads of peers by server, and counts these peers.
func (s *Steerer) sumLoads(at time.Duration) (sums map[uint32]loadSum, reporting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums = make(map[uint32]loadSum)
	// In a fixed order, as the rounding of sums depends on it.
	for _, node := range slices.Sorted(maps.Keys(s.peerLoads)) {
		n := s.peerLoads[node]
		if at-n.at > peerLoadTimeout {
			delete(s.peerLoads, node)
			continue
		}
		reporting++
		for _, l := range n.loads {
			sum := sums[l.Server]
			sum.add(l)
			sums[l.Server] = sum
		}
	}
	return sums, reporting
}

// utilization returns the fraction of the server's slots in use at the given latency. The
// caller holds the lock.
func (b *backend) utilization(latency time.Duration) float64 {
	return (b.rate + b.peerRate) * latency.Seconds() / float64(max(b.slots, 1))
}

func (b *backend) addOpenings(n int) {
	b.stats.inFlight.Add(int64(n))
	b.mu.Lock()
	b.openings += n
	b.mu.Unlock()
}

func (b *backend) addFlows(n int) {
	b.mu.Lock()
	b.flows += n
	b.mu.Unlock()
}

// beginRequest records that a request is sent to the server at at.
func (b *backend) beginRequest(at time.Duration) {
	b.stats.inFlight.Add(1)
	b.stats.demand.add(at)
	b.mu.Lock()
	b.inFlight++
	b.rate += float64(time.Second) / float64(rateTimeConstant)
	b.mu.Unlock()
}

// finishRequest records that a request is no longer in flight.
func (b *backend) finishRequest() {
	b.stats.inFlight.Add(-1)
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
}
