package bronzesoak

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bronzeusher.example/bronzeusher/bronzeretry"
)

// apply executes an event and returns when it is over.
func (s *soak) apply(ctx context.Context, e *Event) {
	n := s.nodes[e.Target%len(s.nodes)]
	zone := zoneName(e.Target % s.plan.Zones)
	switch e.Kind {
	case KillNode:
		n.kill(ctx, e.duration())
	case KillAll:
		s.killAll(ctx, e.duration())
	case LeaveNode:
		n.restart(ctx)
	case RollNodes:
		s.rollingRestart(ctx, e.duration())
	case PauseNode:
		n.pause(ctx, e.duration())
	case ReloadNode:
		n.reload()
	case CutStore:
		s.cutStore(ctx, n, e)
	case CutPeers:
		n.disturb(e.duration(), false)
		s.changeFor(ctx, e.duration(), func(by int) { s.network.isolated[n.name] += by })
		n.disturb(0, false)
	case CutZone:
		s.degradeZone(ctx, zone, e.duration(), s.network.cut)
	case LoseZone:
		s.degradeZone(ctx, zone, e.duration(), s.network.lossy)
	case StoreDown:
		s.storeDown(ctx, e)
	case StoreForgets:
		s.storeForgets(ctx, e.duration())
	case RestoreStore:
		s.restoreStore(ctx, e.duration())
	case DrainZone:
		s.drainZone(ctx, zone, e.duration())
	default:
		s.applyToServers(ctx, e)
	}
}

// applyToServers executes an event that affects servers, routes or callers.
func (s *soak) applyToServers(ctx context.Context, e *Event) {
	switch e.Kind {
	case CrashServer:
		old := s.takeServer(e.Target)
		old.stop()
		s.unregister(old)
		bronzeretry.Pause(ctx, e.duration())
		s.addServer(ctx, old.pool, old.zone, netip.AddrPort{})
	case ReplaceServer:
		s.replaceServer(ctx, e.Target)
	case ReuseAddress:
		s.reuseAddress(ctx, e)
	case AddRoute:
		s.addRoute()
	case RemoveRoute:
		s.removeRoute()
	case Surge:
		s.surge(ctx, e.duration())
	case Overload:
		s.overload(ctx, e.duration())
	}
}

// changeFor calls change with 1 and, after d, with -1, both as updates of the
// network.
func (s *soak) changeFor(ctx context.Context, d time.Duration, change func(by int)) {
	s.network.update(func() { change(1) })
	bronzeretry.Pause(ctx, d)
	s.network.update(func() { change(-1) })
}

func (s *soak) killAll(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	for _, n := range s.nodes {
		go func() {
			n.kill(ctx, d)
			done <- struct{}{}
		}()
	}
	for range s.nodes {
		<-done
	}
}

// rollingRestart restarts all nodes, one every interval, but none in the
// recovery period.
func (s *soak) rollingRestart(ctx context.Context, interval time.Duration) {
	for _, n := range s.nodes {
		if time.Since(s.violations.start) > s.plan.length()-recoveryPeriod {
			return
		}
		go n.restart(ctx)
		bronzeretry.Pause(ctx, interval)
	}
}

func (s *soak) cutStore(ctx context.Context, n *node, e *Event) {
	n.disturb(e.duration(), false)
	s.network.update(func() { s.network.storeFailures[n.name] = append(s.network.storeFailures[n.name], e.Mode) })
	bronzeretry.Pause(ctx, e.duration())
	s.network.update(func() { s.network.storeFailures[n.name] = withoutMode(s.network.storeFailures[n.name], e.Mode) })
	n.disturb(0, false)
}

// degradeZone counts a zone in affected, the network's cut or lossy zones, for d.
// Nodes and servers of the zone count as disturbed.
func (s *soak) degradeZone(ctx context.Context, zone string, d time.Duration, affected map[string]int) {
	disturb := func(d time.Duration) {
		for _, n := range s.nodes {
			if n.zone == zone {
				n.disturb(d, false)
			}
		}
		for _, server := range s.serversOf("") {
			if server.zone == zone {
				server.disturbance.extend(time.Now().Add(d))
			}
		}
	}
	disturb(d)
	s.changeFor(ctx, d, func(by int) { affected[zone] += by })
	disturb(0)
}

// storeDown has the store fail for all nodes.
func (s *soak) storeDown(ctx context.Context, e *Event) {
	s.storeDisturbance.extend(time.Now().Add(e.duration()))
	s.network.update(func() { s.network.storeOutages = append(s.network.storeOutages, e.Mode) })
	bronzeretry.Pause(ctx, e.duration())
	s.network.update(func() { s.network.storeOutages = withoutMode(s.network.storeOutages, e.Mode) })
	s.storeDisturbance.extend(time.Now())
}

// storeForgets has watches miss events for d, one of them a new route, and then
// compacts the store's history.
func (s *soak) storeForgets(ctx context.Context, d time.Duration) {
	s.storeDisturbance.extend(time.Now().Add(d))
	s.store.SetEventsSuppressed(true)
	s.addRoute()
	bronzeretry.Pause(ctx, d)
	s.store.Compact()
	s.store.SetEventsSuppressed(false)
	s.storeDisturbance.extend(time.Now())
}

// takeServer picks a server and removes it from those that events choose from,
// unless it is the last one.
func (s *soak) takeServer(target int) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := target % len(s.servers)
	server := s.servers[i]
	if len(s.servers) > 1 {
		s.servers = append(s.servers[:i:i], s.servers[i+1:]...)
	}
	return server
}

// registry holds the registered servers. Its lock orders writes of registrations
// to the store.
type registry struct {
	mu sync.Mutex
	// servers maps the name of each server that was ever registered to the
	// server, or to nil once it is unregistered.
	servers map[string]*server
}

// register writes a server's registration. The caller holds the server's lock or
// is the only one to know the server.
func (s *soak) register(added *server) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if s.registry.servers == nil {
		s.registry.servers = make(map[string]*server)
	}
	s.registry.servers[added.name] = added
	s.putServer(added)
}

func (s *soak) putServer(server *server) {
	if err := s.store.PutServer(server.registration()); err != nil {
		s.fail(err)
	}
}

// unregister removes a server's registration.
func (s *soak) unregister(server *server) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	s.registry.servers[server.name] = nil
	s.store.RemoveServer(server.name)
}

const (
	// restoreOutage is how long the store is unreachable before it is restored.
	restoreOutage = 300 * time.Millisecond
	// rewriteDelay is the time from a restore until the operator writes again, and
	// from then until the servers do.
	rewriteDelay = 600 * time.Millisecond
)

// restoreStore restores the store from a backup that was made d and
// restoreOutage before. The operator and the servers then write again what they
// had written.
func (s *soak) restoreStore(ctx context.Context, d time.Duration) {
	backup := s.store.Backup()
	bronzeretry.Pause(ctx, d)
	s.storeDisturbance.extend(time.Now().Add(restoreOutage))
	s.network.update(func() { s.network.storeOutages = append(s.network.storeOutages, Reset) })
	bronzeretry.Pause(ctx, restoreOutage)
	s.store.Restore(backup)
	s.network.update(func() { s.network.storeOutages = withoutMode(s.network.storeOutages, Reset) })
	bronzeretry.Pause(ctx, rewriteDelay)
	s.eventsMu.Lock()
	s.putTable()
	s.putDrains()
	s.eventsMu.Unlock()
	bronzeretry.Pause(ctx, rewriteDelay)
	s.reregisterAll()
	s.storeDisturbance.extend(time.Now())
}

// drainZone drains a zone for d, unless one is drained already.
func (s *soak) drainZone(ctx context.Context, zone string, d time.Duration) {
	s.eventsMu.Lock()
	ok := s.zoneDrain.begin(zone)
	s.putDrains()
	s.eventsMu.Unlock()
	if !ok {
		return
	}
	bronzeretry.Pause(ctx, d)
	s.eventsMu.Lock()
	defer s.eventsMu.Unlock()
	s.zoneDrain.end()
	s.putDrains()
}

// putDrains writes to the store which zones are drained; the caller holds
// eventsMu.
func (s *soak) putDrains() {
	for i := range s.plan.Zones {
		zone := zoneName(i)
		if s.zoneDrain.since(zone).IsZero() {
			s.store.UndrainZone(zone)
			continue
		}
		if err := s.store.DrainZone(zone); err != nil {
			s.fail(err)
		}
	}
}

// drainedZone is the zone that is drained, "" if none is, and since when.
type drainedZone struct {
	mu    sync.Mutex
	zone  string
	start time.Time
}

// begin marks a zone as drained; ok is false if one is drained already.
func (d *drainedZone) begin(zone string) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zone != "" {
		return false
	}
	d.zone, d.start = zone, time.Now()
	return true
}

func (d *drainedZone) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zone = ""
}

// since returns when the drain of a zone began, the zero time if the zone is not
// drained.
func (d *drainedZone) since(zone string) (at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.zone != zone {
		return time.Time{}
	}
	return d.start
}

// reregisterAll writes the registrations of all registered servers, which the
// store may have lost, and removes those of the others.
func (s *soak) reregisterAll() {
	s.registry.mu.Lock()
	servers := maps.Clone(s.registry.servers)
	s.registry.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		if server := servers[name]; server != nil {
			server.mu.Lock()
			s.reregister(server)
			server.mu.Unlock()
			continue
		}
		s.store.RemoveServer(name)
	}
}

// reregister writes a server's registration unless the server is unregistered;
// the caller holds the server's lock.
func (s *soak) reregister(server *server) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	if s.registry.servers[server.name] == server {
		s.putServer(server)
	}
}

// replaceServer starts a server, then drains an old one of the same pool and
// zone for drainTime and stops it.
func (s *soak) replaceServer(ctx context.Context, target int) {
	old := s.takeServer(target)
	s.addServer(ctx, old.pool, old.zone, netip.AddrPort{})
	old.mu.Lock()
	old.drainedAt = time.Now()
	s.register(old)
	old.mu.Unlock()
	bronzeretry.Pause(ctx, drainTime)
	old.stop()
	s.unregister(old)
}

// reuseAddress crashes a server and, when it has unregistered it, starts one of
// the other pool at its address. Another server replaces it in its own pool.
func (s *soak) reuseAddress(ctx context.Context, e *Event) {
	old := s.takeServer(e.Target)
	old.stop()
	bronzeretry.Pause(ctx, e.duration())
	s.unregister(old)
	address := old.registration().Address
	_ = old.proxy.conn.Close()
	pool := pools[0]
	if old.pool == pools[0] {
		pool = pools[1]
	}
	s.addServer(ctx, pool, old.zone, address)
	s.addServer(ctx, old.pool, old.zone, netip.AddrPort{})
}

// addRoute publishes a table with one route more.
func (s *soak) addRoute() {
	s.eventsMu.Lock()
	defer s.eventsMu.Unlock()
	n := len(s.tracker.order)
	r := &route{
		service: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
		pool:    pools[n%len(pools)], idempotent: n%3 != 0,
	}
	if n == lessUrgentRoute && s.plan.overloads() {
		r.priority = 1
	}
	s.tracker.addRoute(r)
	s.publish()
	s.tracker.mu.Lock()
	r.addedAt = time.Now()
	s.tracker.mu.Unlock()
}

// removeRoute withdraws a random route other than the initial ones.
func (s *soak) removeRoute() {
	s.eventsMu.Lock()
	defer s.eventsMu.Unlock()
	routes := s.tracker.activeRoutes()
	if len(routes) <= initialRoutes {
		return
	}
	r := routes[initialRoutes+rand.IntN(len(routes)-initialRoutes)]
	s.tracker.removeRoute(r.service, time.Now())
	s.publish()
	s.tracker.removeRoute(r.service, time.Now())
}

// surge doubles the number of callers for d.
func (s *soak) surge(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	s.startCallers(ctx)
	<-ctx.Done()
}
