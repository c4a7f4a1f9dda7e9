package bronzepool

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
)

// Pool chooses backend servers for one service. The zero value is an empty
// pool, ready to use. All methods are safe for concurrent use.
type Pool struct {
	// Now returns the current time; nil means time.Now. Set it before the
	// first call.
	Now func() time.Time
	// AvailabilityZone is the zone of this node. Servers in it are preferred
	// where this costs no fairness; empty means no preference. Set it before
	// the first call.
	AvailabilityZone string
	// Jitter returns a number in [0,1) that spreads back-offs; nil means a
	// random one. Set it before the first call.
	Jitter func() float64

	// ids is read without the lock, so that lookups of existing flows never
	// wait for placements.
	ids atomic.Pointer[[]bronzeflow.ServerID]

	mu     sync.Mutex
	policy bronzeconf.Policy
	owners int
	// unshared is set if the owners don't share their counts.
	unshared bool
	servers  []*server
	index    map[bronzeflow.ServerID]*server
	peers    map[string]peerCounts
	placed   uint64
	// trials is the level of a leaky bucket: each trial adds 1, and each
	// choice drains trialShare.
	trials float64
	// refusedLoad is what refused openings added to the saturation by refusedAt.
	refusedLoad float64
	refusedAt   int64
	// weighted is set if all servers have a connection limit; their fair
	// shares are then proportional to it.
	weighted bool

	// The sums over the servers with inSums set, computed at refreshedAt and
	// valid until validUntil.
	loadSum     float64
	weightSum   float64
	refreshedAt int64
	validUntil  int64
}

// SetService replaces the servers and the policy with those of svc. Counts of
// servers that stay are kept. New servers start their cold-start ramp, except
// on the first call.
func (p *Pool) SetService(svc *bronzeconf.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	first := p.index == nil
	servers := make([]*server, 0, len(svc.Pool))
	index := make(map[bronzeflow.ServerID]*server, len(svc.Pool))
	ids := make([]bronzeflow.ServerID, 0, len(svc.Pool))
	for i := range svc.Pool {
		b := &svc.Pool[i]
		if index[b.ID] != nil {
			continue
		}
		s := p.index[b.ID]
		if s == nil {
			s = &server{id: b.ID}
			if !first {
				s.rampStart = now
			}
		}
		s.setConfig(b)
		index[b.ID] = s
		servers = append(servers, s)
		ids = append(ids, b.ID)
	}
	p.policy = svc.Policy
	p.servers = servers
	p.index = index
	p.ids.Store(&ids)
	p.weighted = !slices.ContainsFunc(servers, func(s *server) bool { return s.connections <= 0 })
	p.dropRemoved()
	p.invalidate()
}

// SetOwners sets the number of nodes that place flows on the pool. Values
// below 1 count as 1.
func (p *Pool) SetOwners(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owners = max(n, 1)
	p.invalidate()
}

// MaxSharedPairs is the most pairs of owner and server for which the owners
// share their counts. A Load item takes about 11 bytes and the byte budget
// leaves 1.4 KB/s for a node's own load, so a round takes up to 36 s
// (docs/CAPACITY.md). Older counts place flows worse than the hash alone,
// which spreads evenly where services are large, and cost bytes and memory.
const MaxSharedPairs = 5000

// SetCountsShared sets whether the owners share their counts; the default is
// true. If not, a flow goes to its first available candidate: only servers that
// fail openings, report to be full, are leaving or have reached their hard
// limit are skipped.
func (p *Pool) SetCountsShared(shared bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unshared = !shared
	p.invalidate()
	if p.unshared {
		p.peers = nil
		for _, s := range p.servers {
			s.peerSum, s.ownBaseSum = 0, 0
		}
	}
}

// Opened counts a flow that this node owns on server id.
func (p *Pool) Opened(id bronzeflow.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.index[id]
	if s == nil {
		return
	}
	s.own++
	p.updateLoad(s)
	p.countPlaced(s)
}

// Ended reverts Opened when a flow has ended.
func (p *Pool) Ended(id bronzeflow.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.index[id]
	// A server that was removed and added again starts at 0 while its old
	// flows still end; a negative count would attract new flows.
	if s == nil || s.own == 0 {
		return
	}
	s.own--
	p.updateLoad(s)
}

// Accepted records that server id accepted a flow after the given time.
func (p *Pool) Accepted(id bronzeflow.ServerID, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.index[id]; s != nil {
		s.noteAccepted(after)
		p.invalidateOnExclusion(s)
	}
}

// Refused records that server id refused an opening, or, if silent is set,
// let it time out.
func (p *Pool) Refused(id bronzeflow.ServerID, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.index[id]; s != nil {
		p.countRefusal(p.now())
		s.noteRefused(p.now(), silent, p.jitter())
		p.invalidateOnExclusion(s)
	}
}

// Observe processes a report. The load in a report older than the last one is
// ignored.
func (p *Pool) Observe(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.index[r.Server]
	if s == nil {
		return
	}
	if r.Leaving {
		s.extendLeaving(p.now() + int64(ReportedLeavingHold))
	}
	s.observe(&r, p.now())
	p.invalidate()
}

// SetLeaving marks server id as leaving for the duration hold. Calls extend
// the mark and never shorten it. An unknown server is ignored.
func (p *Pool) SetLeaving(id bronzeflow.ServerID, hold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.index[id]; s != nil {
		s.extendLeaving(p.now() + int64(hold))
		p.invalidate()
	}
}

// ServerLoad is the state of one server, for operators.
type ServerLoad struct {
	Server   bronzeflow.ServerID
	Instance string
	// Own is the number of this node's flows on the server, Total the
	// estimate for all owners, and Reported the server's own last figure.
	Own      int
	Total    float64
	Reported int
	// Trust is the trust level of the server's reports, 0 to 1;
	// Contradictions counts the reports that contradicted what this node
	// observed.
	Trust          float64
	Contradictions uint64
	Leaving        bool
}

// Loads returns the state of every server.
func (p *Pool) Loads() []ServerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	loads := make([]ServerLoad, 0, len(p.servers))
	for _, s := range p.servers {
		loads = append(loads, ServerLoad{
			Server:         s.id,
			Instance:       s.instance,
			Own:            s.own,
			Total:          p.estimate(s, now),
			Reported:       s.report.connections,
			Trust:          1 - s.report.distrust,
			Contradictions: s.report.contradictions,
			Leaving:        s.leaving(now),
		})
	}
	return loads
}

// jitter returns a number in [0,1) that spreads a back-off.
func (p *Pool) jitter() float64 {
	if p.Jitter != nil {
		return p.Jitter()
	}
	return rand.Float64()
}

// now returns the time in nanoseconds since the epoch.
func (p *Pool) now() int64 {
	if p.Now != nil {
		return p.Now().UnixNano()
	}
	return time.Now().UnixNano()
}
