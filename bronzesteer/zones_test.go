package bronzesteer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// drainZone drains the zone in the node's view.
func (s *site) drainZone(zone string) {
	s.directory.DrainZone(zone)
	s.node.SetView(s.directory.View())
}

// The node's own zone is drained under load. New flows are distributed evenly over the
// other zones, and open flows stay.
func TestDrainedZoneNoNewFlows(t *testing.T) {
	s := newSite(t, 3, 3, 3)
	s.node.Random = rand.New(rand.NewPCG(1, 2)).IntN
	open := s.serveN(6, outline)
	s.drainZone("a")
	require.Equal(t, len(open), s.node.FlowsInDrainedZones())
	byServer, byZone := s.serveAndCount(120)
	require.Zero(t, byZone["a"])
	for _, n := range byServer {
		require.InDelta(t, 20, n, 8)
	}
	s.exchange(open)
	for _, c := range open {
		require.Equal(t, "a", c.server.AvailabilityZone)
	}
	require.Empty(t, s.endedFlows)

	s.advance(20 * time.Second)
	s.directory.UndrainZone("a", s.now)
	s.node.SetView(s.directory.View())
	_, byZone = s.serveAndCount(30)
	require.Equal(t, 30, byZone["a"])
}

// A server of a drained zone has an unanswered opening from before. Neither the caller's
// retransmission nor the node's hedge may go to the drained zone.
func TestDrainedZoneRetransmits(t *testing.T) {
	s := newSite(t, 1, 1)
	_, d := s.open(live)
	require.Equal(t, "a", d.Server.AvailabilityZone)
	s.drainZone("a")
	s.advance(defaultHedgeDelay)
	hedges := s.node.Hedges(s.now)
	require.Len(t, hedges, 1)
	require.Equal(t, "b", hedges[0].Decision.Server.AvailabilityZone)

	s = newSite(t, 1, 1)
	c, _ := s.open(live)
	s.drainZone("a")
	s.advance(200 * time.Millisecond)
	require.Equal(t, "b", c.retransmit().Server.AvailabilityZone)
}

// All servers for a flow are in drained zones. Openings are refused at once, so that
// callers have time to try elsewhere; retransmissions are dropped, since an earlier
// transmission may have been accepted.
func TestDrainedZonesRefuse(t *testing.T) {
	s := newSite(t, 2, 2)
	early, _ := s.open(live)
	s.drainZone("a")
	s.drainZone("b")
	_, d := s.open(live)
	require.Equal(t, Decision{Kind: End, Reason: ZoneDrained}, d)
	s.advance(200 * time.Millisecond)
	token := early.packet.Token
	d = early.retransmit()
	early.packet.Token = token
	require.Equal(t, Drop, d.Kind)
	require.Equal(t, ZoneDrained, d.Reason)
	require.Equal(t, Forward, early.accept().Kind, "the first transmission may be accepted")

	late, _ := s.open(live)
	late.packet.Retransmits = 1
	require.Equal(t, Drop, late.send().Kind, "another node may have placed it")
}

// A drained zone isn't used as a last resort when the remaining servers are silent, gone or
// missing.
func TestDrainedZoneNoLastResort(t *testing.T) {
	s := newSite(t, 2, 2)
	s.drainZone("b")
	for range 8 {
		c, d := s.open(live)
		require.Equal(t, "a", d.Server.AvailabilityZone)
		s.advance(200 * time.Millisecond)
		if d = c.retransmit(); d.Kind == Forward {
			require.Equal(t, "a", d.Server.AvailabilityZone)
		}
	}
	for _, name := range []string{"a-0", "a-1", "b-0", "b-1"} {
		s.directory.Unregister(name, s.now)
	}
	s.node.SetView(s.directory.View())
	for range 4 {
		_, d := s.open(live)
		require.Equal(t, "a", d.Server.AvailabilityZone, "missing servers of the other zone are used")
	}
	s.directory.Advance(s.now.Add(bronzeroute.MissingTimeout + 1))
	s.node.SetView(s.directory.View())
	_, d := s.open(live)
	require.Equal(t, Decision{Kind: End, Reason: NoServer}, d, "no server is left")
}

// A route's second pool, used because the first has no servers, is in a drained zone.
func TestDrainedZoneSecondPool(t *testing.T) {
	s, _ := newPartitionedSite(t)
	s.directory.SetTable(&bronzeroute.Table{Version: 3, Routes: []bronzeroute.Route{{
		Name: "archive", Service: archive,
		Pools: []bronzeroute.WeightedPool{{Pool: "none", Weight: 1 << 30}, {Pool: "archive", Weight: 1}},
	}}}, s.now)
	s.node.SetView(s.directory.View())
	_, d := s.open(archive)
	require.Equal(t, Forward, d.Kind)
	s.drainZone("b")
	_, d = s.open(archive)
	require.Equal(t, Decision{Kind: End, Reason: ZoneDrained}, d)
}

// In a pool large enough to be sampled, all servers of the own zone are drained.
func TestDrainedZoneLargePool(t *testing.T) {
	s := newSite(t, 100, 100)
	s.node.Random = rand.New(rand.NewPCG(3, 4)).IntN
	s.drainZone("a")
	byServer, byZone := s.serveAndCount(200)
	require.Zero(t, byZone["a"])
	for _, n := range byServer {
		require.LessOrEqual(t, n, 6)
	}
}
