package bronzesteer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// spread opens n flows of one request each and counts them by server and zone.
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

// The load it answers: the callers of one zone are many for its servers, as
// when 1.7 times the usual users come, and other zones have room. Kept in the
// zone, requests waited for each other and a sixth was late. As many flows
// leave as bring the zone's use to 1.25 times the average.
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
	away := 0
	for range 200 {
		s.node.SetLoads("other", full, s.now)
		s.advance(100 * time.Millisecond)
		c, _ := s.open(live)
		c.accept()
		if c.server.AvailabilityZone != "a" {
			away++
		}
	}
	// Use is 60*0.03/2 = 0.9 in zone a and 0.4 on average: 1.25*0.4/0.9 stay.
	require.InDelta(t, 200*(1-1.25*0.4/0.9), away, 20)
}

// All nodes were without power, and start without knowing any load. The callers
// of one zone come back at once: within half a second each opens a flow and asks.
// Kept in their zone they would fill its servers' queues, which then refuse, while
// those of other zones are idle. No rate tells of it yet.
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

// What other nodes told long ago says nothing of now.
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

// Of many nodes only some are heard in time. What they tell stands for all.
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

// A node that sends to more servers than it may tell of tells of those that it
// sends most to, and of none that it hardly sends anything to.
func TestLoadsBusiestServers(t *testing.T) {
	s := newSite(t, maxLoads+10)
	s.advance(loadInterval)
	for i, server := range s.node.View().Servers {
		s.node.state.Load().backendOf(server, nil).rate = 2 * minReportedRate * float64(i)
	}
	require.Empty(t, s.node.Loads(), "before they were brought up to date")
	s.advance(loadInterval)
	loads := s.node.Loads()
	require.Len(t, loads, maxLoads)
	for i := range loads[1:] {
		require.GreaterOrEqual(t, loads[i].Rate, loads[i+1].Rate)
	}
	s.advance(20 * rateTimeConstant)
	require.Empty(t, s.node.Loads())
}

// A server that has just started works at half speed. With a full share of
// the flows its callers would wait.
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

// A server works slowly, though it says it is well. Its answers show it.
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

// All registrations of a pool disappear at once, as when the discovery service
// loses them. Refusing every caller would be worse than to ask servers that
// may be gone.
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

// The only archive server of a zone has left, and the zone is cut off. Routes
// that name two pools use the one that can be reached.
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

// A server has become slow. Of many nodes each sends it a request now and then: this one
// has seen it quick, long ago, and would go on sending callers there. It goes by what the
// others see.
func TestPlaceUsesPeerLatency(t *testing.T) {
	s := newSite(t, 2)
	s.serveN(4, live)
	k := s.node.state.Load()
	slow, quick := k.backendOf(s.node.View().ByName("a-0"), nil), k.backendOf(s.node.View().ByName("a-1"), nil)
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

// A server fails every request at once, with its health good. By its latency and its load
// it would be the quickest and idlest of all, and draw most of the callers, who all get
// errors. It gets few, and callers again when that is some time ago.
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

// Of two servers one is slow, and answers take so long on average that those of the other
// seem too quick to be more than errors. They are what is usual, all the same.
func TestFastServerBesideSlowOne(t *testing.T) {
	s := newSite(t, 2)
	k := s.node.state.Load()
	slow, quick := k.backendOf(s.node.View().ByName("a-0"), nil), k.backendOf(s.node.View().ByName("a-1"), nil)
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

// Callers press, and servers with full queues refuse at once. Taken for failing ones, each
// would be kept away from in turn, and the callers would fill the next: of a day with 1.6
// times the callers and some slow servers, twice as many requests were late. Their quick
// answers count as what they are.
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
