package bronzesoak

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeretry"
	"bronzeusher.example/bronzeusher/platform/standin"
)

// Options are the settings of a run besides its plan.
type Options struct {
	// Program is the path of the program under test. It is started with
	// --settings.
	Program string
	// Dir is the directory for the settings and logs of nodes; it must exist.
	Dir string
}

// The pools of a run. Routes alternate between them.
var pools = []string{"live", "archive"}

// soak is the state of one run.
type soak struct {
	plan    Plan
	program string
	dir     string
	ports   ports
	subnet  byte // the second octet of all loopback addresses
	network *network
	store   *standin.Store
	// storeDisturbance is that of the store as a whole; cuts of one node from the
	// store are disturbances of the node.
	storeDisturbance disturbance
	// overloaded is extended while the pool of lessUrgentRoute is overloaded, so
	// that nodes may refuse active routes.
	overloaded  disturbance
	tracker     *tracker
	violations  violationLog
	counts      counts
	router      *router
	nodes       []*node
	callerHosts []*callerHost

	lastRequestID atomic.Uint64
	refused       refusals
	// refusedProbes are violations by the flows of probes that nodes refused, unless their logs
	// say that it was for lack of room. Guarded by mu.
	refusedProbes map[flowKey]refusedProbe
	stalls        atomic.Int64
	tableVersion  uint64 // guarded by eventsMu
	eventsMu      sync.Mutex
	serverCount   int

	registry  registry
	zoneDrain drainedZone

	mu      sync.Mutex
	servers []*server
	failure error
}

// fail records an error of the soak itself. Only the first is kept.
func (s *soak) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
	}
}

func (s *soak) requestID() uint64 { return s.lastRequestID.Add(1) }

// node returns the node with the given name, nil if there is none.
func (s *soak) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// nodeOf returns the node with the given address, nil if there is none.
func (s *soak) nodeOf(a netip.Addr) *node { return s.node(s.network.nodeAt(a)) }

// callerZone returns the zone of a caller's address, "" if it is unknown.
func (s *soak) callerZone(a netip.Addr) string {
	for _, h := range s.callerHosts {
		if h.addr == a {
			return h.zone
		}
	}
	return ""
}

// checkReset checks a reset that the caller of an open flow received. Only the
// flow's server may send one, or a node if the server or the route is gone. A
// reset by a node is no violation if the server was disturbed or the node had a
// fault lately.
func (s *soak) checkReset(f *callerFlow, a *receivedPacket) {
	own := s.tracker.serverOf(f.key)
	n := s.nodeOf(a.from)
	if a.ChecksumValid || own == nil || n == nil {
		return
	}
	if r, ok := s.tracker.route(f.key.service); !ok || !r.active() {
		return
	}
	if own.disturbance.settled() && n.faults.settled() {
		s.violations.add(BrokenFlow, "flow %v at %s was ended by %s", f.key, own.name, n.name)
	}
}

// probeRoutes opens a flow directly at one node after the other, on the active
// route that was added last, until ctx is done.
func (s *soak) probeRoutes(ctx context.Context, h *callerHost) {
	const interval = 300 * time.Millisecond
	for i := 0; ctx.Err() == nil; i++ {
		bronzeretry.Pause(ctx, interval)
		n := s.nodes[i%len(s.nodes)]
		routes := s.tracker.activeRoutes()
		if len(routes) == 0 || !s.router.ready(n) {
			continue
		}
		s.probeRoute(ctx, h, n, &routes[len(routes)-1])
	}
}

// probeRoute opens a flow to an active route at a node. The node may have no
// server for it and may take propagationTime to learn the route, but must not
// forget it.
func (s *soak) probeRoute(ctx context.Context, h *callerHost, n *node, r *route) {
	start, used := n.currentStart(), s.tracker.hasUsed(n.currentStart(), r.service)
	overdue := time.Since(r.addedAt) > propagationTime && n.disturbance.settled() && s.storeDisturbance.settled() && s.poolSettled(r.pool)
	f := h.newFlow(r.service, n)
	_, answered, a := f.connect(ctx)
	f.close(true)
	if !answered || !a.Reset || a.ChecksumValid || n.currentStart() != start {
		return
	}
	if now, ok := s.tracker.route(r.service); !ok || !now.active() || !s.overloaded.settled() {
		return
	}
	switch {
	case used && s.poolSettled(r.pool):
		s.probeRefused(f.key, WentBack, fmt.Sprintf("%s has used %s and refuses it", n.name, r.service))
	case overdue:
		s.probeRefused(f.key, OldTable, fmt.Sprintf("%s refuses %s, added %v ago", n.name, r.service, time.Since(r.addedAt)))
	}
}

// refusedProbe is the violation that a refused probe shows.
type refusedProbe struct {
	invariant Invariant
	text      string
}

// probeRefused records the violation that a refused probe shows. In a plan with an Overload, the
// node may have refused it for lack of room, which only its log tells.
func (s *soak) probeRefused(key flowKey, i Invariant, text string) {
	if !s.plan.overloads() {
		s.violations.add(i, "%s", text)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedProbes == nil {
		s.refusedProbes = make(map[flowKey]refusedProbe)
	}
	s.refusedProbes[key] = refusedProbe{invariant: i, text: text}
}

// poolSettled reports whether all servers of a pool have settled.
func (s *soak) poolSettled(pool string) bool {
	for _, server := range s.serversOf(pool) {
		if !server.disturbance.settled() {
			return false
		}
	}
	return true
}

// serversOf returns the servers of a pool, or all servers if pool is "".
func (s *soak) serversOf(pool string) (list []*server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		if pool == "" || server.pool == pool {
			list = append(list, server)
		}
	}
	return list
}

// publish writes the active routes to the store as a new version of the table;
// the caller holds eventsMu.
func (s *soak) publish() {
	s.tableVersion += 3
	s.putTable()
}

// putTable writes the table of the current version to the store.
func (s *soak) putTable() {
	t := standin.Table{Version: s.tableVersion, IdleTimeout: time.Minute}
	for i, r := range s.tracker.activeRoutes() {
		t.Routes = append(t.Routes, standin.Route{
			Name: r.service.String(), Service: r.service, Pool: r.pool, Idempotent: r.idempotent,
			Objective: s.objective(i), Priority: r.priority,
		})
	}
	if err := s.store.PutTable(t); err != nil {
		s.fail(errors.Wrap(err, "publish"))
	}
}
