package bronzesteer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

const (
	// loadFor is how long another node's loads count.
	peerLoadTimeout = 2500 * time.Millisecond
	// loadsEvery is how often loads are brought up to date and lost servers
	// looked for.
	loadInterval = 500 * time.Millisecond
	// rateOver is the time that a request rate is averaged over.
	rateTimeConstant = 2 * time.Second
	// maxLoads bounds the servers that a node tells of, those that it sends most to, by
	// the bytes that it may spend on messages.
	maxLoads = 45
)

// serverLoad is what a server has to do.
type serverLoad struct {
	// opening, flows and work count this node's openings without an answer,
	// open flows, and requests that are worked on.
	openings int
	flows    int
	inFlight int
	// rate is the average of the requests that this node sends to it, and
	// others that of the other nodes as far as they tell, in requests a second.
	rate     float64
	peerRate float64
}

// Load is what a node sends to one server.
type Load struct {
	// Server is half of the server's identifier, which is enough to tell
	// servers apart where a mistake only misplaces a flow.
	Server uint32
	// Rate is in requests a second.
	Rate float64
	// Latency is the average time of late to the first part of an answer, 0 if the node
	// saw none.
	Latency time.Duration
}

// nodeLoads is what another node has told.
type peerLoads struct {
	at    time.Duration
	loads []Load
}

// Loads returns what this node sends to servers, for the other nodes, as of the
// last time that loads were brought up to date. The caller must not change it.
func (s *Steerer) Loads() []Load {
	if told := s.ownLoads.Load(); told != nil {
		return *told
	}
	return nil
}

// setTold keeps what Loads returns. Nodes are told several times a second, and
// gathering it looks at thousands of servers.
func (s *Steerer) storeLoads(loads []Load) {
	if len(loads) > maxLoads {
		slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(b.Rate, a.Rate) })
		loads = loads[:maxLoads]
	}
	s.ownLoads.Store(&loads)
}

func shortID(server *bronzeroute.Server) uint32 { return uint32(server.ID) }

// leastRate is the least rate that is told, in requests a second.
const minReportedRate = 0.1

// SetLoads takes in what another node sends to servers.
func (s *Steerer) SetLoads(node string, loads []Load, now time.Time) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerLoads[node] = peerLoads{at: s.sinceStart(now), loads: loads}
}

// SetPeerCount tells how many nodes there are beside this one.
func (s *Steerer) SetPeerCount(others int) {
	s.peers.Store(int64(others))
}

// updateLoads lets rates age and adds up what the other nodes told. Where only
// some of them are heard in time, they stand for all.
func (s *Steerer) updateLoads(k *viewState, at time.Duration) {
	sums, heard := s.sumLoads(at)
	scale := 1.0
	if others := s.peers.Load(); heard > 0 && int(others) > heard {
		scale = float64(others) / float64(heard)
	}
	passed := at - s.loadsUpdatedAt
	rest := math.Exp(-float64(passed) / float64(rateTimeConstant))
	s.loadsUpdatedAt = at
	var told []Load
	for _, m := range k.members {
		server, b := m.server, m.backend
		b.mu.Lock()
		b.decayLatency(passed)
		b.rate *= rest
		rate := b.rate
		sum := sums[shortID(server)]
		b.peerRate = scale * sum.rate
		b.peerLatency = sum.latency()
		latency := b.latency
		b.mu.Unlock()
		if rate >= minReportedRate {
			told = append(told, Load{Server: shortID(server), Rate: rate, Latency: latency})
		}
	}
	s.storeLoads(told)
	s.updateMedianLatency(k)
}

// updateUsual brings up to date how long the servers of each pool usually take.
func (s *Steerer) updateMedianLatency(k *viewState) {
	for _, p := range k.pools {
		if len(p.members) > 0 {
			p.members[0].backend.stats.medianLatency.Store(int64(medianLatency(s.sampleMembers(p.members, latencySample))))
		}
	}
}

// loadSum is what other nodes send to a server, in requests a second, and how long it
// takes, each node's latency by what it sends.
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

// sumLoads adds up, by server, what other nodes told lately, and counts them.
func (s *Steerer) sumLoads(at time.Duration) (sums map[uint32]loadSum, heard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums = make(map[uint32]loadSum)
	for node, n := range s.peerLoads {
		if at-n.at > peerLoadTimeout {
			delete(s.peerLoads, node)
			continue
		}
		heard++
		for _, l := range n.loads {
			sum := sums[l.Server]
			sum.add(l)
			sums[l.Server] = sum
		}
	}
	return sums, heard
}

// use returns what part of the server's slots is in use if its requests take so long; the
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

// begin notes that a request is sent to the server.
func (b *backend) beginRequest() {
	b.stats.inFlight.Add(1)
	b.mu.Lock()
	b.inFlight++
	b.rate += float64(time.Second) / float64(rateTimeConstant)
	b.mu.Unlock()
}

// finish notes that a request needs the server no longer.
func (b *backend) finishRequest() {
	b.stats.inFlight.Add(-1)
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
}
