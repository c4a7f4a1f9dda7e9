package bronzesoak

import (
	"net/netip"
	"sync"
	"time"
)

// flowKey names a flow.
type flowKey struct{ caller, service netip.AddrPort }

// route is an endpoint and what became of it.
type route struct {
	service    netip.AddrPort
	pool       string
	idempotent bool
	// addedAt and removedAt are when the store took the table in that has it,
	// and the one that has it no more.
	addedAt   time.Time
	removedAt time.Time
}

func (r *route) inForce() bool { return r.removedAt.IsZero() }

// openFlow is a flow that is open at a server.
type openFlow struct {
	server *server
	// seenAt is when its server last had a packet of it, strayed how many others
	// had since.
	seenAt  time.Time
	strayed int
}

// ledger is what was published and what ends saw.
type ledger struct {
	mu     sync.Mutex
	routes map[netip.AddrPort]*route
	order  []netip.AddrPort
	flows  map[flowKey]*openFlow
	ran    map[uint64]int
	// used are the nodes' starts by which a route was used.
	used map[nodeStart]map[netip.AddrPort]bool
}

// nodeStart is one start of a node.
type nodeStart struct {
	node  string
	start int
}

func newLedger() *ledger {
	return &ledger{
		routes: map[netip.AddrPort]*route{}, flows: map[flowKey]*openFlow{}, ran: map[uint64]int{},
		used: map[nodeStart]map[netip.AddrPort]bool{},
	}
}

func (l *ledger) add(r *route) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes[r.service] = r
	l.order = append(l.order, r.service)
}

// route returns a copy of what is known of an endpoint.
func (l *ledger) route(service netip.AddrPort) (r route, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[service]
	if known == nil {
		return r, false
	}
	return *known, true
}

// remove notes that an endpoint's route is withdrawn.
func (l *ledger) remove(service netip.AddrPort, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes[service].removedAt = at
}

// inForce returns the routes in force, in the order of their adding.
func (l *ledger) inForce() (list []route) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range l.order {
		if r := l.routes[service]; r.inForce() {
			list = append(list, *r)
		}
	}
	return list
}

// open notes that a flow is open at a server.
func (l *ledger) open(key flowKey, s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows[key] = &openFlow{server: s, seenAt: time.Now()}
}

// end notes that a flow is no longer open.
func (l *ledger) end(key flowKey, s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.flows[key]; f != nil && (s == nil || f.server == s) {
		delete(l.flows, key)
	}
}

// endAll notes that a server has forgotten its flows.
func (l *ledger) endAll(s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, f := range l.flows {
		if f.server == s {
			delete(l.flows, key)
		}
	}
}

// serverOf returns the server at which a flow is open, nil if at none.
func (l *ledger) serverOf(key flowKey) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.flows[key]; f != nil {
		return f.server
	}
	return nil
}

// strayedFor and strayedMost are how long a flow's packets may go to others
// alone, and how many of them.
const (
	strayedFor  = 2 * time.Second
	strayedMost = 3
)

// packetAt notes a packet of a flow at a server. It returns the flow's server if
// its packets have strayed.
func (l *ledger) packetAt(key flowKey, s *server) (own *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flows[key]
	switch {
	case f == nil:
		return nil
	case f.server == s:
		f.seenAt, f.strayed = time.Now(), 0
		return nil
	}
	f.strayed++
	if f.strayed >= strayedMost && time.Since(f.seenAt) >= strayedFor {
		return f.server
	}
	return nil
}

// run notes that a request runs, and returns how often it has.
func (l *ledger) run(id uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
	return l.ran[id]
}

// use notes that a start of a node forwarded by a route.
func (l *ledger) use(s nodeStart, service netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used[s] == nil {
		l.used[s] = map[netip.AddrPort]bool{}
	}
	l.used[s][service] = true
}

func (l *ledger) hasUsed(s nodeStart, service netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[s][service]
}
