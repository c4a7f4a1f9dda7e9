package main

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bronzeusher.example/bronzeusher/bronzeconf"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
)

// The timing of the control traffic.
const (
	// shareInterval is the minimum time between two shares of an owner's counts.
	shareInterval = time.Second
	// shareDelay is how long a share takes to reach the other owners.
	shareDelay = 100 * time.Millisecond
	// reportInterval is the minimum time between two reports of a server to the
	// owners, and reportDelay is the age of a report when it arrives.
	reportInterval = 2 * time.Second
	reportDelay    = time.Second
	// minCopyAge is the age from which an exception is copied to the owner's
	// successor, and copiesPerSecond is how many an owner copies per second.
	minCopyAge      = 2 * time.Second
	copiesPerSecond = 100
	// ticksPerLifetime bounds the work for long flows: ticks, which send shares,
	// are shareInterval or a mean lifetime/ticksPerLifetime apart, whichever is
	// longer.
	ticksPerLifetime = 2000
)

// The lengths of the warm-up and the measurement in mean lifetimes of a flow, and
// the number of samples per lifetime.
const (
	warmupLifetimes    = 3
	measureLifetimes   = 8
	samplesPerLifetime = 50
)

// flow is one flow of the model.
type flow struct {
	hash      uint64
	server    int
	owner     int
	opened    time.Duration
	ends      time.Duration
	exception bool
	copied    bool
	ended     bool
}

// endQueue is a heap of flows ordered by the times at which they end.
type endQueue []*flow

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].ends < q[j].ends }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds a *flow.
func (q *endQueue) Push(x any) { *q = append(*q, x.(*flow)) }

// Pop removes the last element.
func (q *endQueue) Pop() any {
	old := *q
	f := old[len(old)-1]
	*q = old[:len(old)-1]
	return f
}

// owner is one node that places flows.
type owner struct {
	name string
	pool bronzepool.Pool
	// uncopied lists its exceptions that are not copied to the successor yet,
	// oldest first.
	uncopied []*flow
	// TwoChoices compares servers by the sum of reported, the flows in the last
	// report of a server, and placedSince, the flows that this owner has placed
	// on it since then.
	reported    []int
	placedSince []int
}

// delivery is a share or a set of reports in flight.
type delivery struct {
	at      time.Duration
	from    int
	counts  map[bronzeflow.ServerID]uint32
	reports []bronzepool.Report
}

// model is the state of one run.
type model struct {
	workload Workload
	setting  Setting
	flows    int
	rnd      *rand.Rand

	now      time.Duration
	service  *bronzeconf.Service
	index    map[bronzeflow.ServerID]int
	owners   []*owner
	loads    []int
	open     int
	ends     endQueue
	inFlight []delivery

	measuring  bool
	opens      int
	exceptions int
	tally      tally
}

func newModel(w Workload, s Setting, flows int, seed uint64) *model {
	m := &model{workload: w, setting: s, flows: flows}
	m.rnd = rand.New(rand.NewPCG(seed, uint64(flows)))
	m.service = newService(w, s)
	m.index = make(map[bronzeflow.ServerID]int)
	for i := range m.service.Pool {
		m.index[m.service.Pool[i].ID] = i
	}
	m.loads = make([]int, w.Servers)
	for i := range Owners {
		m.owners = append(m.owners, m.newOwner(i))
	}
	return m
}

func newService(w Workload, s Setting) *bronzeconf.Service {
	svc := &bronzeconf.Service{Customer: w.Deployment, Name: w.Service}
	svc.Policy.ImbalanceBound = s.Bound
	for i := range w.Servers {
		svc.Pool = append(svc.Pool, newServer(w, i))
	}
	return svc
}

func newServer(w Workload, i int) bronzeconf.BackendServer {
	instance := fmt.Sprintf("%s-%d", w.Service, i)
	return bronzeconf.BackendServer{
		ID:          bronzeflow.NewServerID(w.Deployment, instance),
		Instance:    instance,
		Slots:       w.Slots,
		Connections: 2000,
		Status:      bronzeconf.Serving,
	}
}

func (m *model) newOwner(i int) *owner {
	o := &owner{name: fmt.Sprintf("entry-%d", i)}
	o.reported = make([]int, m.workload.Servers)
	o.placedSince = make([]int, m.workload.Servers)
	o.pool.Now = func() time.Time { return epoch.Add(m.now) }
	o.pool.SetService(m.service)
	o.pool.SetOwners(Owners)
	return o
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run runs the model and returns its results.
func (m *model) run() Result {
	life := m.workload.Lifetime
	interval := float64(life) / float64(m.flows*m.workload.Servers)
	tick := max(shareInterval, life/ticksPerLifetime)
	warm := warmupLifetimes * life
	end := warm + measureLifetimes*life
	nextOpen, nextTick, nextSample := time.Duration(0), tick, warm
	for m.now < end {
		next := min(nextOpen, nextTick, nextSample)
		m.advance(next)
		switch next {
		case nextOpen:
			m.openFlow()
			nextOpen += time.Duration(m.rnd.ExpFloat64() * interval)
		case nextTick:
			m.tick(tick)
			nextTick += tick
		default:
			m.sample()
			nextSample += life / samplesPerLifetime
		}
	}
	return m.result()
}

// advance moves the time to t, and performs the deliveries and ends of flows that
// are due until then.
func (m *model) advance(t time.Duration) {
	for {
		end, arrival := t+1, t+1
		if len(m.ends) > 0 {
			end = m.ends[0].ends
		}
		if len(m.inFlight) > 0 {
			arrival = m.inFlight[0].at
		}
		if min(end, arrival) > t {
			break
		}
		m.now = min(end, arrival)
		if end <= arrival {
			m.endFlow(heap.Pop(&m.ends).(*flow))
		} else {
			m.deliver(m.inFlight[0])
			m.inFlight = m.inFlight[1:]
		}
	}
	m.now = t
}

func (m *model) openFlow() {
	hash := m.newHash()
	f := &flow{hash: hash, owner: ownerOf(hash), opened: m.now}
	o := m.owners[f.owner]
	id, first := m.choose(o, hash)
	f.server = m.index[id]
	f.exception = !first
	f.ends = m.now + time.Duration(m.rnd.ExpFloat64()*float64(m.workload.Lifetime))
	o.pool.Opened(id)
	o.placedSince[f.server]++
	m.loads[f.server]++
	m.open++
	heap.Push(&m.ends, f)
	if f.exception {
		o.uncopied = append(o.uncopied, f)
	}
	if m.measuring {
		m.opens++
		if f.exception {
			m.exceptions++
		}
	}
}

// newHash returns the hash of the key of a random caller's flow.
func (m *model) newHash() uint64 {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], m.rnd.Uint32())
	port := uint16(1024 + m.rnd.IntN(1<<16-1024))
	caller := netip.AddrPortFrom(netip.AddrFrom4(ip), port)
	service := netip.MustParseAddrPort("192.0.2.1:443")
	key := bronzeflow.NewKey(bronzeflow.TCP, caller, service)
	return key.Hash()
}

// ownerOf returns the owner of a flow by rendezvous hashing, as the fleet does.
func ownerOf(hash uint64) int {
	best, top := 0, uint64(0)
	for i := range Owners {
		if s := bronzeflow.Mix(hash, uint64(1000003*(i+1))); s > top {
			best, top = i, s
		}
	}
	return best
}

// choose returns the server of a new flow, and whether it is the first candidate.
func (m *model) choose(o *owner, hash uint64) (id bronzeflow.ServerID, first bool) {
	if m.setting.Placement == Bounded {
		id, first, _ = o.pool.Choose(hash, nil, false)
		return id, first
	}
	var buf [2]bronzeflow.ServerID
	two := o.pool.Candidates(hash, 2, buf[:0])
	a, b := m.index[two[0]], m.index[two[1]]
	if m.setting.Placement == TwoChoices && o.reported[b]+o.placedSince[b] < o.reported[a]+o.placedSince[a] {
		return two[1], false
	}
	return two[0], true
}

func (m *model) endFlow(f *flow) {
	f.ended = true
	m.owners[f.owner].pool.Ended(m.service.Pool[f.server].ID)
	m.loads[f.server]--
	m.open--
}

// tick sends the shares of all owners and the reports that are due, and copies
// exceptions. length is the time since the last tick.
func (m *model) tick(length time.Duration) {
	for i, o := range m.owners {
		counts := make(map[bronzeflow.ServerID]uint32)
		o.pool.Owned(counts)
		m.inFlight = append(m.inFlight, delivery{at: m.now + shareDelay, from: i, counts: counts})
		o.copyExceptions(m.now, int(copiesPerSecond*length.Seconds()))
	}
	if m.now%max(reportInterval, length) == 0 {
		m.inFlight = append(m.inFlight, m.report())
	}
}

// report returns the reports of all servers.
func (m *model) report() delivery {
	reports := make([]bronzepool.Report, 0, len(m.loads))
	for i, n := range m.loads {
		reports = append(reports, bronzepool.Report{
			Server:      m.service.Pool[i].ID,
			Connections: n,
			At:          epoch.Add(m.now),
		})
	}
	return delivery{at: m.now + reportDelay, reports: reports}
}

// deliver passes a share to all owners but its sender, or reports to all owners.
func (m *model) deliver(d delivery) {
	for i, o := range m.owners {
		if d.counts != nil && i != d.from {
			o.pool.SetOwned(m.owners[d.from].name, d.counts)
		}
		for j, r := range d.reports {
			o.pool.Observe(r)
			o.reported[j], o.placedSince[j] = r.Connections, 0
		}
	}
}

// copyExceptions copies up to n of the oldest exceptions to the successor.
func (o *owner) copyExceptions(now time.Duration, n int) {
	kept := o.uncopied[:0]
	for _, f := range o.uncopied {
		switch {
		case f.ended:
		case n > 0 && now-f.opened >= minCopyAge:
			f.copied = true
			n--
		default:
			kept = append(kept, f)
		}
	}
	clear(o.uncopied[len(kept):])
	o.uncopied = kept
}
