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

func (r *route) active() bool { return r.removedAt.IsZero() }

// openFlow is a flow that is open at a server.
type openFlow struct {
	server *server
	// lastPacketAt is when its server last had a packet of it, strayed how many others
	// had since.
	lastPacketAt time.Time
	strays       int
}

// tracker is what was published and what ends saw.
type tracker struct {
	mu         sync.Mutex
	routes     map[netip.AddrPort]*route
	order      []netip.AddrPort
	flows      map[flowKey]*openFlow
	executions map[uint64]int
	// usedRoutes are the nodes' starts by which a route was usedRoutes.
	usedRoutes map[nodeStart]map[netip.AddrPort]bool
}

// nodeStart is one start of a node.
type nodeStart struct {
	node  string
	start int
}

func newTracker() *tracker {
	return &tracker{
		routes: map[netip.AddrPort]*route{}, flows: map[flowKey]*openFlow{}, executions: map[uint64]int{},
		usedRoutes: map[nodeStart]map[netip.AddrPort]bool{},
	}
}

func (l *tracker) addRoute(r *route) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes[r.service] = r
	l.order = append(l.order, r.service)
}

// route returns a copy of what is known of an endpoint.
func (l *tracker) route(service netip.AddrPort) (r route, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.routes[service]
	if known == nil {
		return r, false
	}
	return *known, true
}

// removeRoute notes that an endpoint's route is withdrawn.
func (l *tracker) removeRoute(service netip.AddrPort, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes[service].removedAt = at
}

// activeRoutes returns the routes in force, in the order of their adding.
func (l *tracker) activeRoutes() (list []route) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, service := range l.order {
		if r := l.routes[service]; r.active() {
			list = append(list, *r)
		}
	}
	return list
}

// recordOpen notes that a flow is recordOpen at a server.
func (l *tracker) recordOpen(key flowKey, s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows[key] = &openFlow{server: s, lastPacketAt: time.Now()}
}

// recordClose notes that a flow is no longer open.
func (l *tracker) recordClose(key flowKey, s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.flows[key]; f != nil && (s == nil || f.server == s) {
		delete(l.flows, key)
	}
}

// recordServerGone notes that a server has forgotten its flows.
func (l *tracker) recordServerGone(s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, f := range l.flows {
		if f.server == s {
			delete(l.flows, key)
		}
	}
}

// serverOf returns the server at which a flow is open, nil if at none.
func (l *tracker) serverOf(key flowKey) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.flows[key]; f != nil {
		return f.server
	}
	return nil
}

// strayTimeout and minStrays are how long a flow's packets may go to others
// alone, and how many of them.
const (
	strayTimeout = 2 * time.Second
	minStrays    = 3
)

// recordPacket notes a packet of a flow at a server. It returns the flow's server if
// its packets have strayed.
func (l *tracker) recordPacket(key flowKey, s *server) (own *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.flows[key]
	switch {
	case f == nil:
		return nil
	case f.server == s:
		f.lastPacketAt, f.strays = time.Now(), 0
		return nil
	}
	f.strays++
	if f.strays >= minStrays && time.Since(f.lastPacketAt) >= strayTimeout {
		return f.server
	}
	return nil
}

// recordExecution notes that a request runs, and returns how often it has.
func (l *tracker) recordExecution(id uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[id]++
	return l.executions[id]
}

// recordUse notes that a start of a node forwarded by a route.
func (l *tracker) recordUse(s nodeStart, service netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usedRoutes[s] == nil {
		l.usedRoutes[s] = map[netip.AddrPort]bool{}
	}
	l.usedRoutes[s][service] = true
}

func (l *tracker) hasUsed(s nodeStart, service netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedRoutes[s][service]
}
