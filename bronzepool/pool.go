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

// Pool chooses backend servers for one service. The zero value is empty and
// ready. All methods may be called concurrently.
type Pool struct {
	// Now is the clock, nil means time.Now. It is set before the first call.
	Now func() time.Time
	// AvailabilityZone is this node's, whose servers are preferred where
	// that costs no fairness. It is set before the first call; empty means
	// no preference.
	AvailabilityZone string
	// Jitter returns a number in [0,1) that a back-off is spread by, nil means
	// a random one. It is set before the first call.
	Jitter func() float64

	// ids is read without the lock, so that a search for existing flows
	// never waits for placements.
	ids atomic.Pointer[[]bronzeflow.ServerID]

	mu     sync.Mutex
	policy bronzeconf.Policy
	owners int
	// unshared is set when the owners don't share their counts.
	unshared bool
	servers  []*server
	index    map[bronzeflow.ServerID]*server
	origins  map[string]origin
	placed   uint64
	// trials is how many trials were made of late, less trialShare of the flows
	// placed.
	trials float64
	// weighted is set if all servers have a bound of connections, so that
	// their shares are in proportion to it.
	weighted bool

	// The sums over the servers that are counted, as of weighedAt and
	// valid until weighedUntil.
	total        float64
	weight       float64
	weighedAt    int64
	weighedUntil int64
}

// SetService puts a service's pool and policy in force. Counts of servers
// that stay are kept; the time of the call starts the ramp of servers that
// are new, except on the first call.
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
				s.since = now
			}
		}
		s.set(b)
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
	p.reweigh()
}

// SetOwners tells how many nodes place flows on the pool, at least 1.
func (p *Pool) SetOwners(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owners = max(n, 1)
	p.reweigh()
}

// MaxSharedPairs is for how many pairs of owner and server the owners' counts
// can be shared while they are young: a Load item takes about 11 bytes, so at
// the 1.4 KB a second that go to a node's own part of the pace a round takes
// up to 36 s (docs/CAPACITY.md). Older counts place worse than the hash alone does, which is even where services
// are large, and cost bytes and memory.
const MaxSharedPairs = 5000

// SetCountsShared tells whether the owners share their counts, which they do unless
// they say otherwise. Without, a flow goes to its first candidate that may
// have work: a server that fails openings, says that it is full, is leaving or
// holds all it may is passed over, and nothing else is.
func (p *Pool) SetCountsShared(shared bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unshared = !shared
	p.reweigh()
	if p.unshared {
		p.origins = nil
		for _, s := range p.servers {
			s.shared, s.base = 0, 0
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
	p.weighOne(s)
	p.notePlaced(s)
}

// Ended takes a flow of Opened back.
func (p *Pool) Ended(id bronzeflow.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.index[id]
	// A server that was removed and put back has lost its count, while
	// flows of before still end: a negative count would draw new flows.
	if s == nil || s.own == 0 {
		return
	}
	s.own--
	p.weighOne(s)
}

// Accepted notes that server id established a flow after the given time.
func (p *Pool) Accepted(id bronzeflow.ServerID, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.index[id]; s != nil {
		s.accept(after)
		p.recount(s)
	}
}

// Refused notes that server id refused an opening or let it time out.
func (p *Pool) Refused(id bronzeflow.ServerID, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.index[id]; s != nil {
		s.refuse(p.now(), silent, p.jitter())
		p.recount(s)
	}
}

// Observe takes a report in. One that is older than the last is ignored.
func (p *Pool) Observe(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.index[r.Server]
	if s == nil {
		return
	}
	if r.Leaving {
		s.leave(p.now() + int64(ReportedLeavingHold))
	}
	s.observe(&r, p.now())
	p.reweigh()
}

// SetLeaving marks server id as leaving, from whatever source; it is cleared
// after hold unless a source says so again. Sources never shorten each
// other's hold. A server that isn't in force is ignored.
func (p *Pool) SetLeaving(id bronzeflow.ServerID, hold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.index[id]; s != nil {
		s.leave(p.now() + int64(hold))
		p.reweigh()
	}
}

// ServerLoad is one server's state for operators.
type ServerLoad struct {
	Server   bronzeflow.ServerID
	Instance string
	Own      int
	Total    float64
	Reported int
	// Trust is how far its reports are believed, 0 to 1; Contradictions
	// counts those that contradicted what this node saw.
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

// jitter returns what to spread a back-off by.
func (p *Pool) jitter() float64 {
	if p.Jitter != nil {
		return p.Jitter()
	}
	return rand.Float64()
}

// now returns the time in nanoseconds.
func (p *Pool) now() int64 {
	if p.Now != nil {
		return p.Now().UnixNano()
	}
	return time.Now().UnixNano()
}
