package bronzesoak

import (
	"net/netip"
	"sync"
	"time"
)

// flowKey identifies a flow by both endpoints.
type flowKey struct{ caller, service netip.AddrPort }

// route is a published route and when it was added and withdrawn.
type route struct {
	service    netip.AddrPort
	pool       string
	idempotent bool
	priority   int
	// addedAt is when the store had the first table with the route, removedAt
	// when it had the first table without it; zero if not yet.
	addedAt   time.Time
	removedAt time.Time
}

func (r *route) active() bool { return r.removedAt.IsZero() }

// openFlow is a flow that a server holds open.
type openFlow struct {
	server *server
	// lastPacketAt is when its server last received a packet of it, strays how
	// many packets other servers have received since.
	lastPacketAt time.Time
	strays       int
}

// tracker records the published routes and what callers and servers observed.
type tracker struct {
	mu         sync.Mutex
	routes     map[netip.AddrPort]*route
	order      []netip.AddrPort
	flows      map[flowKey]*openFlow
	executions map[uint64]int // by request ID
	attempts   map[attempt]attemptState
	// reached are the flows whose first opening packet a server has received. They
	// are recorded in a plan with an Overload only.
	reached map[flowKey]bool
	// usedRoutes are the routes by which each process of a node has forwarded.
	usedRoutes map[nodeStart]map[netip.AddrPort]bool
}

// nodeStart identifies one process of a node by the number of its start.
type nodeStart struct {
	node  string
	start int
}

func newTracker() *tracker {
	return &tracker{
		routes: map[netip.AddrPort]*route{}, flows: map[flowKey]*openFlow{}, executions: map[uint64]int{},
		attempts: map[attempt]attemptState{}, reached: map[flowKey]bool{},
		usedRoutes: map[nodeStart]map[netip.AddrPort]bool{},
	}
}

func (t *tracker) addRoute(r *route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes[r.service] = r
	t.order = append(t.order, r.service)
}

// route returns a copy of the route of an endpoint.
func (t *tracker) route(service netip.AddrPort) (r route, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.routes[service]
	if known == nil {
		return r, false
	}
	return *known, true
}

// removeRoute records when the route of an endpoint was withdrawn.
func (t *tracker) removeRoute(service netip.AddrPort, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes[service].removedAt = at
}

// activeRoutes returns the routes that are not withdrawn, in the order of their
// addition.
func (t *tracker) activeRoutes() (list []route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range t.order {
		if r := t.routes[service]; r.active() {
			list = append(list, *r)
		}
	}
	return list
}

// recordOpen records that a server holds a flow open.
func (t *tracker) recordOpen(key flowKey, s *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows[key] = &openFlow{server: s, lastPacketAt: time.Now()}
}

// recordClose records that a flow is closed: at server s only, or at any if s
// is nil.
func (t *tracker) recordClose(key flowKey, s *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.flows[key]; f != nil && (s == nil || f.server == s) {
		delete(t.flows, key)
	}
}

// recordServerGone records that a server has lost its flows.
func (t *tracker) recordServerGone(s *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, f := range t.flows {
		if f.server == s {
			delete(t.flows, key)
		}
	}
}

// serverOf returns the server that holds a flow open, nil if there is none.
func (t *tracker) serverOf(key flowKey) *server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.flows[key]; f != nil {
		return f.server
	}
	return nil
}

// A flow has strayed when its own server has received nothing for strayTimeout
// and other servers have received minStrays packets since.
const (
	strayTimeout = 2 * time.Second
	minStrays    = 3
)

// recordPacket records a packet of a flow at a server. It returns the flow's own
// server if the flow has strayed, nil otherwise.
func (t *tracker) recordPacket(key flowKey, s *server) (own *server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[key]
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

// recordExecution records that a request runs, and returns how often it has run.
func (t *tracker) recordExecution(id uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[id]++
	return t.executions[id]
}

// recordUse records that a process of a node forwarded by a route.
func (t *tracker) recordUse(s nodeStart, service netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usedRoutes[s] == nil {
		t.usedRoutes[s] = map[netip.AddrPort]bool{}
	}
	t.usedRoutes[s][service] = true
}

func (t *tracker) hasUsed(s nodeStart, service netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usedRoutes[s][service]
}
