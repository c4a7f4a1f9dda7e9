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

// The pace of the control traffic.
const (
	// shareEvery is how often an owner shares its counts.
	shareEvery = time.Second
	// shareDelay is how long a share takes to the others.
	shareDelay = 100 * time.Millisecond
	// reportEvery is how often each server's report reaches the owners, and
	// reportLag how old it is then.
	reportEvery = 2 * time.Second
	reportLag   = time.Second
	// copyAge is the age from which an exception is copied to the owner's
	// successor, copyPace how many an owner copies a second.
	copyAge  = 2 * time.Second
	copyPace = 100
	// ticksPerLifetime bounds the work for long flows: shares and reports
	// come at least this often in a mean lifetime, if not every second.
	ticksPerLifetime = 2000
)

// The length of a run in mean lifetimes.
const (
	warmLifetimes    = 3
	measureLifetimes = 8
	samplesPerLife   = 50
)

// flow is one open flow of the model.
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

// endQueue is a heap of flows by their ends.
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
	// uncopied are its exceptions that the successor doesn't have, oldest
	// first.
	uncopied []*flow
	// seen and since are what TwoChoices goes by.
	seen  []int
	since []int
}

// delivery is a share or report under way.
type delivery struct {
	at      time.Duration
	from    int
	counts  map[bronzeflow.ServerID]uint32
	reports []bronzepool.Report
}

// model is one run.
type model struct {
	workload Workload
	setting  Setting
	flows    int
	rnd      *rand.Rand

	now     time.Duration
	service *bronzeconf.Service
	index   map[bronzeflow.ServerID]int
	owners  []*owner
	loads   []int
	open    int
	ends    endQueue
	mail    []delivery

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
	o.seen = make([]int, m.workload.Servers)
	o.since = make([]int, m.workload.Servers)
	o.pool.Now = func() time.Time { return epoch.Add(m.now) }
	o.pool.SetService(m.service)
	o.pool.SetOwners(Owners)
	return o
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run drives the model and returns its figures.
func (m *model) run() Result {
	life := m.workload.Lifetime
	interval := float64(life) / float64(m.flows*m.workload.Servers)
	tick := max(shareEvery, life/ticksPerLifetime)
	warm := warmLifetimes * life
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
			nextSample += life / samplesPerLife
		}
	}
	return m.result()
}

// advance delivers and ends what is due until t.
func (m *model) advance(t time.Duration) {
	for {
		end, mail := t+1, t+1
		if len(m.ends) > 0 {
			end = m.ends[0].ends
		}
		if len(m.mail) > 0 {
			mail = m.mail[0].at
		}
		if min(end, mail) > t {
			break
		}
		m.now = min(end, mail)
		if end <= mail {
			m.endFlow(heap.Pop(&m.ends).(*flow))
		} else {
			m.deliver(m.mail[0])
			m.mail = m.mail[1:]
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
	o.since[f.server]++
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

// newHash returns the hash of a key as a caller's packet would have it.
func (m *model) newHash() uint64 {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], m.rnd.Uint32())
	port := uint16(1024 + m.rnd.IntN(1<<16-1024))
	caller := netip.AddrPortFrom(netip.AddrFrom4(ip), port)
	service := netip.MustParseAddrPort("192.0.2.1:443")
	key := bronzeflow.NewKey(bronzeflow.TCP, caller, service)
	return key.Hash()
}

// ownerOf returns the flow's owner by rendezvous, as the fleet does.
func ownerOf(hash uint64) int {
	best, top := 0, uint64(0)
	for i := range Owners {
		if s := bronzeflow.Mix(hash, uint64(1000003*(i+1))); s > top {
			best, top = i, s
		}
	}
	return best
}

func (m *model) choose(o *owner, hash uint64) (id bronzeflow.ServerID, first bool) {
	if m.setting.Placement == Bounded {
		id, first, _ = o.pool.Choose(hash, nil, false)
		return id, first
	}
	var buf [2]bronzeflow.ServerID
	two := o.pool.Candidates(hash, 2, buf[:0])
	a, b := m.index[two[0]], m.index[two[1]]
	if m.setting.Placement == TwoChoices && o.seen[b]+o.since[b] < o.seen[a]+o.since[a] {
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

// tick sends shares and reports on their way and copies exceptions.
func (m *model) tick(length time.Duration) {
	for i, o := range m.owners {
		counts := make(map[bronzeflow.ServerID]uint32)
		o.pool.Owned(counts)
		m.mail = append(m.mail, delivery{at: m.now + shareDelay, from: i, counts: counts})
		o.copyExceptions(m.now, int(copyPace*length.Seconds()))
	}
	if m.now%max(reportEvery, length) == 0 {
		m.mail = append(m.mail, m.report())
	}
}

func (m *model) report() delivery {
	reports := make([]bronzepool.Report, 0, len(m.loads))
	for i, n := range m.loads {
		reports = append(reports, bronzepool.Report{
			Server:      m.service.Pool[i].ID,
			Connections: n,
			At:          epoch.Add(m.now),
		})
	}
	return delivery{at: m.now + reportLag, reports: reports}
}

// deliver hands a share to all owners but its own, or reports to all.
func (m *model) deliver(d delivery) {
	for i, o := range m.owners {
		if d.counts != nil && i != d.from {
			o.pool.SetOwned(m.owners[d.from].name, d.counts)
		}
		for j, r := range d.reports {
			o.pool.Observe(r)
			o.seen[j], o.since[j] = r.Connections, 0
		}
	}
}

// copyExceptions gives up to n of the oldest exceptions to the successor.
func (o *owner) copyExceptions(now time.Duration, n int) {
	kept := o.uncopied[:0]
	for _, f := range o.uncopied {
		switch {
		case f.ended:
		case n > 0 && now-f.opened >= copyAge:
			f.copied = true
			n--
		default:
			kept = append(kept, f)
		}
	}
	clear(o.uncopied[len(kept):])
	o.uncopied = kept
}
