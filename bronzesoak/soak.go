package bronzesoak

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeretry"
	"bronzeusher.example/bronzeusher/platform/standin"
)

// Options are what a run needs beside its plan.
type Options struct {
	// Program is the program under test. It is started with --settings.
	Program string
	// Dir keeps nodes' settings and logs; it must be there.
	Dir string
}

// The pools of a run. Routes to the first may be repeated or not, by turns.
var pools = []string{"live", "archive"}

// soak is one run.
type soak struct {
	plan    Plan
	program string
	dir     string
	ports   ports
	subnet  byte // the second number of all addresses
	network *network
	store   *standin.Store
	// storeDisturbance is since when the store has been left alone.
	storeDisturbance disturbance
	tracker          *tracker
	violations       violationLog
	counts           counts
	router           *router
	nodes            []*node
	callerHosts      []*callerHost

	lastRequestID atomic.Uint64
	stalls        atomic.Int64
	tableVersion  uint64 // of the table; events alone use it, under events
	eventsMu      sync.Mutex
	serverCount   int

	registry  registry
	zoneDrain drainedZone

	mu      sync.Mutex
	servers []*server
	failure error
}

// fail notes a fault of the soak itself.
func (s *soak) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil {
		s.failure = err
	}
}

func (s *soak) requestID() uint64 { return s.lastRequestID.Add(1) }

// node returns the node with a name, nil if there is none.
func (s *soak) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// nodeOf returns the node with an address, nil if there is none.
func (s *soak) nodeOf(a netip.Addr) *node { return s.node(s.network.nodeAt(a)) }

// callerZone returns the zone of a caller's address.
func (s *soak) callerZone(a netip.Addr) string {
	for _, h := range s.callerHosts {
		if h.addr == a {
			return h.zone
		}
	}
	return ""
}

// checkReset checks the end of an open flow that its caller was told. Only its
// server may end it, or a node if the server or the route is gone.
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

// probe has callers ask nodes directly for endpoints that were just added, just
// withdrawn, or never there, until ctx is done.
func (s *soak) probe(ctx context.Context, h *callerHost) {
	const every = 300 * time.Millisecond
	for i := 0; ctx.Err() == nil; i++ {
		bronzeretry.Pause(ctx, every)
		n := s.nodes[i%len(s.nodes)]
		routes := s.tracker.activeRoutes()
		if len(routes) == 0 || !s.router.ready(n) {
			continue
		}
		s.probeRoute(ctx, h, n, &routes[len(routes)-1])
	}
}

// probeRoute opens a flow to a route in force at a node. The node may have no
// server to send it to, and may not know the route for a while, but must not
// forget it.
func (s *soak) probeRoute(ctx context.Context, h *callerHost, n *node, r *route) {
	begun, known := n.currentStart(), s.tracker.hasUsed(n.currentStart(), r.service)
	late := time.Since(r.addedAt) > propagationTime && n.disturbance.settled() && s.storeDisturbance.settled() && s.poolSettled(r.pool)
	f := h.newFlow(r.service, n)
	_, answered, a := f.connect(ctx)
	f.close(true)
	if !answered || !a.Reset || a.ChecksumValid || n.currentStart() != begun {
		return
	}
	if now, ok := s.tracker.route(r.service); !ok || !now.active() {
		return
	}
	switch {
	case known && s.poolSettled(r.pool):
		s.violations.add(WentBack, "%s has used %s and refuses it", n.name, r.service)
	case late:
		s.violations.add(OldTable, "%s refuses %s, added %v ago", n.name, r.service, time.Since(r.addedAt))
	}
}

// poolSettled reports whether nothing was done to any server of a pool lately.
func (s *soak) poolSettled(pool string) bool {
	for _, server := range s.serversOf(pool) {
		if !server.disturbance.settled() {
			return false
		}
	}
	return true
}

// serversOf returns the servers of a pool, or of all for "".
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

// publish has the store take the routes in force in, with a new version.
func (s *soak) publish() {
	s.tableVersion += 3
	s.putTable()
}

// putTable writes the table of the present version.
func (s *soak) putTable() {
	t := standin.Table{Version: s.tableVersion, IdleTimeout: time.Minute}
	for i, r := range s.tracker.activeRoutes() {
		t.Routes = append(t.Routes, standin.Route{
			Name: r.service.String(), Service: r.service, Pool: r.pool, Idempotent: r.idempotent,
			Objective: time.Duration(500+i) * time.Millisecond,
		})
	}
	if err := s.store.PutTable(t); err != nil {
		s.fail(errors.Wrap(err, "publish"))
	}
}
