package bronzesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bronzeusher.example/bronzeusher/bronzeedge"
	"bronzeusher.example/bronzeusher/bronzeretry"
	"bronzeusher.example/bronzeusher/platform/standin"
)

const (
	// startupTime is how long nodes run before traffic begins.
	startupTime = time.Second
	// callerHostsPerZone is the number of addresses that callers of a zone share.
	callerHostsPerZone = 3
	// initialRoutes is the number of routes at the start. They are never withdrawn.
	initialRoutes = 4
	// The final window, in which the share minFinalServed of requests must be
	// served, begins finalFrom and ends finalTo seconds before callers stop.
	finalFrom      = 4
	finalTo        = 1
	minFinalServed = 0.9
)

// ports are the ports of nodes. As on the platform, all nodes use the same.
type ports struct{ data, peer, ready, control uint16 }

// Result is the outcome of a run.
type Result struct {
	Plan Plan
	// Served, Failed and Rejected count requests. Rejected ones were refused by a
	// server that had no room.
	Served   int
	Failed   int
	Rejected int
	// Stalls is how often the machine was too busy to run this process in time.
	Stalls int64
	// Broken lists the first violations, BrokenTotal counts all.
	Broken      []Violation
	BrokenTotal int
	// RefusedOpenings counts the openings that nodes logged as refused for lack of
	// room, RefusedUrgent the urgent ones of lessUrgentRoute's pool. Both are 0 in a
	// plan without an Overload.
	RefusedOpenings int
	RefusedUrgent   int
	// Seconds has the requests by the second in which they began.
	Seconds []SecondStats
}

func (p *Plan) length() time.Duration { return time.Duration(p.Seconds * float64(time.Second)) }

// Run executes a plan. An error is one of the soak itself; violations of
// invariants are in the result.
func Run(ctx context.Context, plan Plan, opts Options) (result Result, err error) {
	defer func() { err = errors.Wrapf(err, "soak with seed %d", plan.Seed) }()
	if err = plan.Check(); err != nil {
		return result, err
	}
	s := &soak{
		plan: plan, program: opts.Program, dir: opts.Dir, network: newNetwork(), store: &standin.Store{}, tracker: newTracker(),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err = s.build(ctx); err != nil {
		return result, err
	}
	defer s.stopNodes()
	if err = s.startAll(ctx); err != nil {
		return result, err
	}
	s.execute(ctx)
	return s.result(), s.failure
}

// build opens the sockets of all stand-ins and proxies, and fills the store.
func (s *soak) build(ctx context.Context) (err error) {
	if err = s.choosePorts(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.address(5, 0, 0).String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for range initialRoutes {
		s.addRoute()
	}
	for i := range s.plan.Zones {
		for j := range s.plan.NodesPerZone {
			if err = s.addNode(ctx, i*s.plan.NodesPerZone+j, zoneName(i), listener.Addr().String()); err != nil {
				return err
			}
		}
		for j := range callerHostsPerZone {
			if err = s.addCallerHost(ctx, i*callerHostsPerZone+j, zoneName(i)); err != nil {
				return err
			}
		}
		for range s.plan.ServersPerZone {
			for _, pool := range pools {
				s.addServer(ctx, pool, zoneName(i), netip.AddrPort{})
			}
		}
	}
	s.router = &router{soak: s, nodes: s.nodes, misses: map[*node]int{}}
	return s.failure
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// address returns the address of the i-th component of a kind: 1 for nodes, 2
// for servers, 3 for hosts of callers, 4 for nodes' public peer addresses, 5 for
// the store, 6 for the check of choosePorts, 7 for nodes' store proxies.
func (s *soak) address(kind byte, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.subnet, kind, byte(i + 1)}), port)
}

// choosePorts chooses a random subnet of loopback addresses and ports that are
// free in it.
func (s *soak) choosePorts() (err error) {
	for range 20 {
		s.subnet = byte(10 + rand.IntN(240))
		var udp [2]*net.UDPConn
		var tcp [2]net.Listener
		for i := range udp {
			if udp[i], err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address(1, 0, 0))); err != nil {
				return err
			}
			defer func() { _ = udp[i].Close() }()
			if tcp[i], err = net.Listen("tcp", s.address(1, 0, 0).String()); err != nil {
				return err
			}
			defer func() { _ = tcp[i].Close() }()
		}
		s.ports = ports{
			data: port(udp[0].LocalAddr()), peer: port(udp[1].LocalAddr()),
			ready: port(tcp[0].Addr()), control: port(tcp[1].Addr()),
		}
		probe, err := net.Listen("tcp", s.address(6, 0, s.ports.ready).String())
		if err == nil {
			return probe.Close()
		}
	}
	return errors.New("no loopback subnet with free ports found")
}

func port(a net.Addr) uint16 { return netip.MustParseAddrPort(a.String()).Port() }

func (s *soak) addNode(ctx context.Context, i int, zone, store string) (err error) {
	name := fmt.Sprintf("node-%d", i)
	proxy, err := net.Listen("tcp", s.address(7, i, 0).String())
	if err != nil {
		return err
	}
	public, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address(4, i, s.ports.peer)))
	if err != nil {
		return err
	}
	n := &node{soak: s, name: name, zone: zone, data: s.address(1, i, s.ports.data)}
	n.cfg = bronzeedge.Config{
		Name: name, Region: "region", AvailabilityZone: zone, Regions: map[string]string{},
		DataAddress: n.data, ReadyAddress: s.address(1, i, s.ports.ready), ControlAddress: s.address(1, i, s.ports.control),
		PeerAddress: s.address(1, i, s.ports.peer), PeerPublicAddress: s.address(4, i, s.ports.peer),
		Store: proxy.Addr().String(), GraceSeconds: leaveGrace.Seconds(), QuietSeconds: 0.7,
	}
	for z := range s.plan.Zones {
		n.cfg.Regions[zoneName(z)] = "region"
	}
	for seed := range min(3, s.plan.Zones*s.plan.NodesPerZone) {
		n.cfg.Seeds = append(n.cfg.Seeds, s.address(4, seed, s.ports.control))
	}
	s.network.update(func() {
		s.network.nodes[n.data.Addr()] = name
		s.network.zones[name] = zone
	})
	s.nodes = append(s.nodes, n)
	go (&storeProxy{network: s.network, node: name, store: store, listener: proxy}).run(ctx)
	go (&datagramProxy{conn: public, network: s.network, deliver: func(from string, b []byte) {
		if s.network.deliversToPeer(from, name) {
			// Errors are ignored, as datagrams may be lost.
			_, _ = public.WriteToUDPAddrPort(b, n.cfg.PeerAddress)
		}
	}}).run(ctx)
	return nil
}

func (s *soak) addCallerHost(ctx context.Context, i int, zone string) (err error) {
	a := s.address(3, i, s.ports.data)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return err
	}
	h := &callerHost{soak: s, zone: zone, addr: a.Addr(), conn: conn, flows: map[uint16]*callerFlow{}}
	s.callerHosts = append(s.callerHosts, h)
	go h.run(ctx)
	return nil
}

// addServer starts a server at the given address, or at one of its own if the
// address is invalid, and registers it.
func (s *soak) addServer(ctx context.Context, pool, zone string, address netip.AddrPort) {
	s.mu.Lock()
	i := s.serverCount
	s.serverCount++
	s.mu.Unlock()
	if !address.IsValid() {
		address = s.address(2, i%250, 0)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		s.fail(errors.Wrap(err, "add server"))
		return
	}
	server := &server{soak: s, pool: pool, zone: zone, conn: conn, flows: map[flowKey]*serverFlow{}}
	server.name, server.incarnation = serverName(i)
	server.proxy = &datagramProxy{conn: conn, network: s.network, deliver: server.receive}
	go server.proxy.run(ctx)
	s.register(server)
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
}

// startAll starts all nodes and waits for startupTime, so that they can learn the
// routes and the servers.
func (s *soak) startAll(ctx context.Context) (err error) {
	for _, n := range s.nodes {
		n.disturb(0, false)
		if err = n.start(ctx); err != nil {
			return err
		}
		go s.router.probeReadiness(ctx, n)
	}
	s.storeDisturbance.extend(time.Now())
	bronzeretry.Pause(ctx, startupTime)
	return nil
}

// execute starts callers and applies the events of the plan in time.
func (s *soak) execute(ctx context.Context) {
	s.violations.start, s.counts.start = time.Now(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.plan.length())
	defer cancel()
	s.startCallers(ctx)
	go s.probeRoutes(ctx, s.callerHosts[0])
	go s.detectStalls(ctx)
	var wg sync.WaitGroup
	for i := range s.plan.Events {
		e := &s.plan.Events[i]
		bronzeretry.Pause(ctx, e.offset()-time.Since(s.violations.start))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { s.apply(ctx, e) })
	}
	<-ctx.Done()
	wg.Wait()
}

// A busy machine delays all processes, which is no fault of nodes. It is stalled
// when a timer of stallTick is late by stallThreshold or more.
const (
	stallTick      = 20 * time.Millisecond
	stallThreshold = 100 * time.Millisecond
)

// detectStalls counts stalls of the machine until ctx is done. With each, all
// nodes, servers and the store count as disturbed.
func (s *soak) detectStalls(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		bronzeretry.Pause(ctx, stallTick)
		if late := time.Since(start) - stallTick; late < stallThreshold {
			continue
		}
		s.stalls.Add(1)
		for _, n := range s.nodes {
			n.disturb(0, false)
		}
		for _, server := range s.serversOf("") {
			server.disturbance.extend(time.Now())
		}
		s.storeDisturbance.extend(time.Now())
	}
}

// startCallers starts the plan's callers, which make requests until ctx is done.
func (s *soak) startCallers(ctx context.Context) {
	pause := time.Duration(s.plan.PauseMS) * time.Millisecond
	for i := range s.plan.Callers {
		h := s.callerHosts[i%len(s.callerHosts)]
		go h.makeRequests(ctx, s.randomRoute, pause)
	}
}

// randomRoute returns an active route at random; ok is false if there is none.
func (s *soak) randomRoute() (r route, ok bool) {
	routes := s.tracker.activeRoutes()
	if len(routes) == 0 {
		return r, false
	}
	return routes[rand.IntN(len(routes))], true
}

// stopNodes tells all nodes to leave and waits until they have exited.
func (s *soak) stopNodes() {
	var wg sync.WaitGroup
	for _, n := range s.nodes {
		wg.Go(func() {
			n.signal(syscall.SIGCONT)
			n.leave()
		})
	}
	wg.Wait()
}

// result sums up the run, and checks Unserved unless the machine stalled.
func (s *soak) result() (r Result) {
	r = Result{Plan: s.plan, Stalls: s.stalls.Load(), Seconds: s.counts.list()}
	all := sum(r.Seconds)
	r.Served, r.Failed, r.Rejected = all.Served, all.Failed, all.Rejected
	last := int(s.plan.Seconds)
	end := sum(r.Seconds[min(max(last-finalFrom, 0), len(r.Seconds)):min(max(last-finalTo, 0), len(r.Seconds))])
	if r.Stalls == 0 && float64(end.Served) < minFinalServed*float64(max(end.total(), 1)) {
		s.violations.add(Unserved, "%d of %d requests", end.Served, end.total())
	}
	s.checkLogs()
	r.RefusedOpenings, r.RefusedUrgent = s.refused.total, s.refused.urgent
	s.violations.mu.Lock()
	defer s.violations.mu.Unlock()
	r.Broken, r.BrokenTotal = s.violations.list, s.violations.total
	return r
}
