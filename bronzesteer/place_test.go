package bronzesteer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// serveAndCount opens n flows with one request each, and counts them by server and zone.
func (s *site) serveAndCount(n int) (byServer, byZone map[string]int) {
	byServer, byZone = map[string]int{}, map[string]int{}
	for range n {
		c := s.serve(live)
		byServer[c.server.Instance]++
		byZone[c.server.AvailabilityZone]++
	}
	return byServer, byZone
}

func TestPlaceInOwnZone(t *testing.T) {
	s := newSite(t, 3, 3)
	_, byZone := s.serveAndCount(60)
	require.Equal(t, map[string]int{"a": 60}, byZone)
}

// The callers of one zone are too many for its servers, as at 1.7 times the usual load,
// while other zones have free capacity. Kept in the zone, a sixth of the requests would be
// late. As many flows must be placed elsewhere as reduce the zone's utilization to 1.25
// times the average.
func TestPlaceSpillsFromFullZone(t *testing.T) {
	s := newSite(t, 2, 2, 2)
	r := rand.New(rand.NewPCG(1, 2))
	s.node.Random = r.IntN
	full := []Load{}
	for _, server := range s.node.View().Servers {
		rate := 10.0
		if server.AvailabilityZone == "a" {
			rate = 60
		}
		full = append(full, Load{Server: shortID(server), Rate: rate})
	}
	s.node.SetPeerCount(1)
	spilled := 0
	for range 200 {
		s.node.SetLoads("other", full, s.now)
		s.advance(100 * time.Millisecond)
		c, _ := s.open(live)
		c.accept()
		if c.server.AvailabilityZone != "a" {
			spilled++
		}
	}
	// Utilization is 60*0.03/2 = 0.9 in zone a and 0.4 on average: a share of 1.25*0.4/0.9
	// stays.
	require.InDelta(t, 200*(1-1.25*0.4/0.9), spilled, 20)
}

// After a power failure, all nodes start without any loads, and the callers of one zone
// open their flows within half a second. Kept in their zone, they would fill its servers'
// queues while other zones are idle. No rate shows the surge yet.
func TestPlaceSpillsDuringSurge(t *testing.T) {
	s := newSite(t, 2, 2, 2)
	r := rand.New(rand.NewPCG(3, 4))
	s.node.Random = r.IntN
	byServer := map[string]int{}
	for range 60 {
		c, _ := s.open(live)
		c.accept()
		c.request()
		s.now = s.now.Add(time.Millisecond)
		byServer[c.server.Instance]++
	}
	const slots = 2
	for _, server := range s.node.View().Servers {
		if server.AvailabilityZone == "a" {
			require.InDelta(t, 10+slots*maxZoneLead*2/3, byServer[server.Instance], 1)
		} else {
			require.InDelta(t, 10-slots*maxZoneLead/3, byServer[server.Instance], 1)
		}
	}
}

// Loads reported long ago are not used.
func TestPeerLoadsExpire(t *testing.T) {
	s := newSite(t, 2, 2)
	s.node.Random = func(n int) int { return n - 1 }
	var full []Load
	for _, server := range s.node.View().Servers {
		if server.AvailabilityZone == "a" {
			full = append(full, Load{Server: shortID(server), Rate: 1000})
		}
	}
	s.node.SetLoads("other", full, s.now)
	s.advance(100 * time.Millisecond)
	c, _ := s.open(live)
	require.Equal(t, "b", c.server.AvailabilityZone)
	s.advance(peerLoadTimeout + time.Second)
	c, _ = s.open(live)
	require.Equal(t, "a", c.server.AvailabilityZone)
}

// If only some peers have reported recently, their loads are scaled up to all peers.
func TestPeerLoadsExtrapolated(t *testing.T) {
	s := newSite(t, 1)
	server := s.node.View().Servers[0]
	s.node.SetPeerCount(10)
	for _, node := range []string{"x", "y"} {
		s.node.SetLoads(node, []Load{{Server: shortID(server), Rate: 4}}, s.now)
	}
	s.advance(50 * time.Millisecond)
	require.InDelta(t, 40, s.node.state.Load().backendOf(server, nil).peerRate, 0.001)
}

// A node with more servers than fit into its loads reports those with the highest rates,
// and none with hardly any load.
func TestLoadsBusiestServers(t *testing.T) {
	s := newSite(t, maxLoads+10)
	s.advance(loadInterval)
	for i, server := range s.node.View().Servers {
		s.node.state.Load().backendOf(server, nil).rate = 2 * minReportedRate * float64(i)
	}
	require.Empty(t, s.node.Loads(), "loads not updated yet")
	s.advance(loadInterval)
	loads := s.node.Loads()
	require.Len(t, loads, maxLoads)
	for i := range loads[1:] {
		require.GreaterOrEqual(t, loads[i].Rate, loads[i+1].Rate)
	}
	s.advance(20 * rateTimeConstant)
	require.Empty(t, s.node.Loads())
}

// A server that has just started works at half speed, and its flows would wait with a full
// share.
func TestPlaceColdServer(t *testing.T) {
	s := newSite(t, 2)
	cold := s.node.View().ByName("a-0")
	warm := *cold
	warm.WarmupLeft, warm.ReceivedAt = 10*time.Second, s.now
	s.directory.Register(warm)
	s.node.SetView(s.directory.View())
	var open []*client
	for range 30 {
		c, _ := s.open(live)
		open = append(open, c)
	}
	there, _ := splitAtFirstServer(open)
	require.InDelta(t, 10, len(there), 1)
}

// A server is slow, which only its answer times show.
func TestPlaceSlowServer(t *testing.T) {
	s := newSite(t, 2)
	slow := s.node.state.Load().backendOf(s.node.View().ByName("a-0"), nil)
	quick := s.node.state.Load().backendOf(s.node.View().ByName("a-1"), nil)
	for range 50 {
		slow.observeLatency(200*time.Millisecond, time.Minute)
		quick.observeLatency(20*time.Millisecond, time.Minute)
	}
	byServer, _ := s.serveAndCount(100)
	require.Less(t, byServer["a-0"], 30)
}

func TestPlaceSkipsDrainingServers(t *testing.T) {
	s := newSite(t, 2, 1)
	for _, name := range []string{"a-0", "a-1"} {
		server := *s.node.View().ByName(name)
		server.Draining = true
		s.directory.Register(server)
	}
	s.node.SetView(s.directory.View())
	_, byZone := s.serveAndCount(10)
	require.Equal(t, map[string]int{"b": 10}, byZone)
}

// All registrations of a pool disappear at once, for example because the discovery service
// has lost them. Using servers that may be gone is better than refusing every caller.
func TestPlaceMissingServersAsLastResort(t *testing.T) {
	s := newSite(t, 2)
	for _, name := range []string{"a-0", "a-1"} {
		s.directory.Unregister(name, s.now)
	}
	s.node.SetView(s.directory.View())
	_, d := s.open(live)
	require.Equal(t, Forward, d.Kind)
	s.register("a", 0)
	s.node.SetView(s.directory.View())
	byServer, _ := s.serveAndCount(10)
	require.Equal(t, map[string]int{"a-0": 10}, byServer)
}

// The first of a route's pools has only one server, which is silent. The other pool must be
// used.
func TestPlaceFallsBackToOtherPool(t *testing.T) {
	s := newSite(t, 2)
	archive := bronzeroute.Server{Pool: "archive"}
	archive.Instance, archive.AvailabilityZone, archive.Slots = "b-0", "b", 2
	s.directory.Register(archive)
	s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{{
		Service: live, Idempotent: true,
		Pools: []bronzeroute.WeightedPool{{Pool: "archive", Weight: 99}, {Pool: "live", Weight: 1}},
	}}}, s.now)
	s.node.SetView(s.directory.View())
	b := s.node.state.Load().backendOf(s.node.View().ByName("b-0"), nil)
	s.node.recordUnanswered(b, s.node.sinceStart(s.now), s.node.sinceStart(s.now), openingWeight)
	for range 10 {
		c, _ := s.open(live)
		require.Equal(t, "a", c.server.AvailabilityZone)
	}
}

func BenchmarkDecide(b *testing.B) {
	s := newSite(&testing.T{}, 40, 40, 40)
	c := s.serve(live)
	b.Run("steer", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.node.Decide(&c.packet, s.now)
		}
	})
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.open(live)
		}
	})
}

// BenchmarkDecideBusy measures an opening of a route with an objective, by the number of servers:
// in a pool with room, and in a busy one, where it is placed in the node's subset.
func BenchmarkDecideBusy(b *testing.B) {
	for _, n := range []int{150, 6000} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/busy=%v", n, busy), func(b *testing.B) {
				s := newSite(&testing.T{}, n/3, n/3, n/3)
				s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{{
					Service: live, Objective: 500 * time.Millisecond,
					Pools: []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}},
				}}}, s.now)
				s.node.SetView(s.directory.View())
				p := s.node.state.Load().pools["live"]
				ps, at := p.members[0].backend.stats, s.node.sinceStart(s.now)
				ps.promptAcks = 1
				for range 16 {
					ps.usual.Answered(ps.usual.Begin(at), 50*time.Millisecond, at)
				}
				s.node.SetZoneNodes(map[string]int{"a": 3, "b": 3, "c": 3})
				for i := range 9 {
					s.node.SetDemand(fmt.Sprint(i), string(rune('a'+i%3)), []Sum{{Pool: ps.id, Rate: 10}}, s.now)
				}
				if busy {
					const earlier = 500 * time.Millisecond
					ps.gauge.Waiting(ps.serviceTime(), at-earlier)
					for range n {
						ps.gauge.Begin(at - earlier)
					}
				}
				sum := s.node.summary(p, at, s.now)
				require.Equal(b, busy, s.node.isBusy(ps, sum, at))
				_, ok := s.node.chooseFromSubset(p, nil, sum, at, s.now)
				require.True(b, ok)
				b.ReportAllocs()
				var i uint32
				for b.Loop() {
					i++
					caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 22), byte(i >> 14)}), uint16(1024+i&0x3fff))
					s.node.Decide(&Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, caller, live), Open: true}, s.now)
				}
			})
		}
	}
}

// In a large fleet, each node rarely sends requests to a slow server, and this node has old
// samples from before the server became slow. It must use the latencies that its peers
// report.
func TestPlaceUsesPeerLatency(t *testing.T) {
	s := newSite(t, 2)
	s.serveN(4, live)
	vs := s.node.state.Load()
	slow, quick := vs.backendOf(s.node.View().ByName("a-0"), nil), vs.backendOf(s.node.View().ByName("a-1"), nil)
	s.node.SetPeerCount(60)
	for node := range 20 {
		s.node.SetLoads(string(rune('A'+node)), []Load{
			{Server: slow.shortID, Rate: 0.3, Latency: 300 * time.Millisecond},
			{Server: quick.shortID, Rate: 0.3, Latency: 30 * time.Millisecond},
		}, s.now)
	}
	s.advance(loadInterval)
	toSlow := 0
	for range 12 {
		if _, d := s.open(live); d.Server.Instance == "a-0" {
			toSlow++
		}
	}
	require.LessOrEqual(t, toSlow, 2)
}

// A server fails every request at once, but is healthy otherwise. By latency and load it
// would look best and attract most flows. It must get few, and more again after some time.
func TestPlaceFastFailingServer(t *testing.T) {
	s := newSite(t, 4)
	s.serveN(16, live)
	s.advance(loadInterval)
	var there int
	for range 40 {
		c, d := s.open(live)
		c.accept()
		c.request()
		if d.Server.Instance == "a-0" {
			there++
			s.now = s.now.Add(3 * time.Millisecond)
		} else {
			s.advance(50 * time.Millisecond)
		}
		c.acknowledge()
	}
	require.LessOrEqual(t, there, 4)
	s.advance(3 * latencyDecayTime)
	there = 0
	for range 12 {
		if _, d := s.open(live); d.Server.Instance == "a-0" {
			there++
		}
	}
	require.GreaterOrEqual(t, there, 2)
}

// One of two servers is so slow that the answers of the other are much faster than average.
// They must not count as failures.
func TestFastServerBesideSlowOne(t *testing.T) {
	s := newSite(t, 2)
	vs := s.node.state.Load()
	slow, quick := vs.backendOf(s.node.View().ByName("a-0"), nil), vs.backendOf(s.node.View().ByName("a-1"), nil)
	for i := range 20 {
		slow.observeLatency(300*time.Millisecond, time.Minute)
		quick.observeLatency(20*time.Millisecond, time.Minute)
		if i%5 == 0 {
			s.advance(loadInterval)
		}
	}
	require.Greater(t, s.status("a-0").LatencyMS, s.status("a-1").LatencyMS)
	require.EqualValues(t, 20, s.status("a-1").LatencyMS)
}

// Under load, servers with full queues refuse at once. Counted as failing, each would be
// avoided in turn and the flows would fill the next: at 1.6 times the usual load with some
// slow servers, that doubles the late requests. Their fast answers must count as measured.
func TestBusyServerNotFastFailing(t *testing.T) {
	s := newSite(t, 4)
	s.serveN(16, live)
	s.advance(loadInterval)
	b := s.node.backend("a-0")
	usual := time.Duration(b.stats.medianLatency.Load())
	require.Equal(t, 50*time.Millisecond, usual)
	b.peerRate = unqueuedUtilization * float64(b.slots) / usual.Seconds()
	before := b.latency
	b.observeLatency(3*time.Millisecond, s.node.sinceStart(s.now))
	require.Less(t, b.latency, before)
	b.peerRate, b.rate = 0, 1
	b.observeLatency(3*time.Millisecond, s.node.sinceStart(s.now))
	require.Greater(t, b.latency, before)
}
