package bronzesteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzepool"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

func TestDecideNoView(t *testing.T) {
	var s Steerer
	p := Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, netip.MustParseAddrPort("100.64.0.7:1024"), live)}
	require.Equal(t, Decision{Kind: Wait, Reason: NoView}, s.Decide(&p, begin))
}

// All nodes have lost power. The next packet of a flow arrives at a node that has just
// started and has only the view: it must still reach the flow's server.
func TestDecideAfterNodeRestart(t *testing.T) {
	s := newSite(t, 4, 4)
	c := s.serve(live)
	server := c.server
	s.node = s.newNode()
	d := c.request()
	require.Equal(t, Forward, d.Kind)
	require.Equal(t, server.Instance, d.Server.Instance)
}

// A route moves to another pool. New flows use that pool, but open flows stay at their
// servers, also at a node that starts afterwards.
func TestDecideRouteMoved(t *testing.T) {
	s := newSite(t, 2)
	c := s.serve(live)
	server := c.server
	s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{
		{Service: live, Pools: []bronzeroute.WeightedPool{{Pool: "archive", Weight: 1}}, Idempotent: true},
	}}, s.now)
	s.node = s.newNode()
	require.Equal(t, server.Instance, c.request().Server.Instance)
	_, d := s.open(live)
	require.Equal(t, Decision{Kind: End, Reason: NoServer}, d, "the new pool has no servers")
}

func TestDecideRouteWithdrawn(t *testing.T) {
	s := newSite(t, 2)
	c := s.serve(live)
	s.directory.SetTable(&bronzeroute.Table{Version: 2}, s.now)
	s.node.SetView(s.directory.View())
	require.Equal(t, Decision{Kind: End, Reason: RouteWithdrawn}, c.request())
	_, d := s.open(live)
	require.Equal(t, Decision{Kind: End, Reason: NoRoute}, d)
}

// A node whose view is outdated gets a packet of a flow with an unknown route or server. A
// reset would end a healthy flow; a dropped packet is retransmitted.
func TestDecideStaleView(t *testing.T) {
	s := newSite(t, 2)
	c := s.serve(live)
	c.packet.Key = bronzeflow.NewKey(bronzeflow.TCP, c.packet.Key.CallerAddrPort(), netip.MustParseAddrPort("198.18.0.9:443"))
	require.Equal(t, Decision{Kind: Drop, Reason: NoRoute}, c.request())
	c = s.serve(live)
	s.node.shard(&c.packet).remove(c.packet.Key, s.node.sinceStart(s.now))
	c.packet.Token ^= 1
	require.Equal(t, Decision{Kind: Drop, Reason: TokenUnknown}, c.request(), "the server may not be known yet")
}

func TestDecideServerGone(t *testing.T) {
	s := newSite(t, 2)
	c := s.serve(live)
	s.directory.Unregister(c.server.Instance, s.now)
	s.node.SetView(s.directory.View())
	require.Equal(t, Forward, c.request().Kind, "the registration may come back")
	s.advance(bronzeroute.MissingTimeout + time.Millisecond)
	s.directory.Advance(s.now)
	s.node.SetView(s.directory.View())
	d := c.retransmitRequest()
	require.Equal(t, Decision{Kind: End, Reason: ServerGone, Tried: d.Tried}, d)
	require.Equal(t, c.server.Instance, d.Tried.Instance)
}

// The first server answers neither an opening nor anyone else. The first retransmission,
// after 200 ms, must go to another server, because the caller gives up after the second.
func TestRetransmitToOtherServer(t *testing.T) {
	s := newSite(t, 2)
	c, d := s.open(live)
	first := d.Server.Instance
	s.advance(200 * time.Millisecond)
	d = c.retransmit()
	require.Equal(t, Retried, d.Reason)
	require.NotEqual(t, first, d.Server.Instance)
	require.Equal(t, first, d.Tried.Instance)
}

// An opening is lost, but its server answers others meanwhile. The retransmission goes to
// the same server, so that no two servers accept.
func TestRetransmitToSameServer(t *testing.T) {
	s := newSite(t, 1, 1)
	c, d := s.open(live)
	first := d.Server.Instance
	s.advance(100 * time.Millisecond)
	s.serve(live)
	s.advance(100 * time.Millisecond)
	d = c.retransmit()
	require.Equal(t, Repeated, d.Reason)
	require.Equal(t, first, d.Server.Instance)
}

// Two servers accept the same opening because the first one's acceptance was late. The
// caller continues with the one whose acceptance came first, but sends back the token of
// the other. Its data must not go to the other server, which would reset the flow.
func TestSecondAcceptIgnored(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newSite(t, 2)
		c, d := s.open(live)
		first, firstToken := d.Server.Instance, d.Token
		s.advance(200 * time.Millisecond)
		d = c.retransmit()
		second, secondToken := d.Server.Instance, d.Token
		taken, takenToken, otherToken := first, firstToken, secondToken
		if late {
			taken, takenToken, otherToken = second, secondToken, firstToken
		}
		c.packet.Token = takenToken
		require.Equal(t, taken, c.accept().Server.Instance)
		c.packet.Token = otherToken
		require.Equal(t, taken, c.request().Server.Instance)
	}
}

func TestDecideNotACaller(t *testing.T) {
	s := newSite(t, 2)
	c := s.serve(live)
	c.packet.Returned = true
	require.Equal(t, Decision{Reason: NotACaller}, c.request())
	c.packet.Returned, c.packet.Open, c.packet.Accept = false, true, true
	require.Equal(t, Decision{Reason: NotACaller}, c.send())
}

// For random sequences of packets, an established flow stays at its server, an opening goes
// to no draining server, and flows are only ended if their server is gone or silent, or no
// server is left.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSite(t, 2, 2)
		var clients []*client
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0:
				c, d := s.open(live)
				if d.Kind == Forward {
					require.NotEqual(t, bronzeroute.Draining, d.Server.Status)
					clients = append(clients, c)
				}
			case 1:
				s.advance(time.Duration(rapid.IntRange(1, 600).Draw(rt, "ms")) * time.Millisecond)
			case 2:
				zone := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone")
				s.directory.Unregister(zone+"-0", s.now)
				s.directory.Advance(s.now)
				s.node.SetView(s.directory.View())
			case 3:
				s.register("a", 0)
				s.node.SetView(s.directory.View())
			default:
				if len(clients) == 0 {
					continue
				}
				c := clients[rapid.IntRange(0, len(clients)-1).Draw(rt, "client")]
				before := c.server
				d := s.randomStep(rt, c)
				switch {
				case d.Kind == Forward && !c.packet.Open:
					require.Equal(t, before.Instance, d.Server.Instance)
				case d.Kind == End:
					require.Contains(t, []Reason{ServerGone, ServerSilent, NoServer}, d.Reason)
				}
			}
		}
	})
}

// randomStep has a client do one thing that a caller may do next.
func (s *site) randomStep(rt *rapid.T, c *client) Decision {
	if c.packet.Open {
		if rapid.Bool().Draw(rt, "repeat") {
			return c.retransmit()
		}
		return c.accept()
	}
	if c.packet.Length > 0 && rapid.Bool().Draw(rt, "again") {
		return c.retransmitRequest()
	}
	if c.packet.Length > 0 {
		return c.acknowledge()
	}
	return c.request()
}

// A flood of openings to one Customer uses up that Customer's share of the tracked flows.
// Its flows are forwarded without being tracked, and those of another Customer are tracked
// as usual.
func TestTrackingLimitPerCustomer(t *testing.T) {
	s := newSite(t, 2)
	pools := []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}}
	s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{
		{Name: "live", Service: live, Pools: pools, Customer: "flooded"},
		{Name: "outline", Service: outline, Pools: pools, Customer: "other"},
	}}, s.now)
	s.node.SetView(s.directory.View())
	flood := s.node.account(s.node.View().Route(live))
	for flood.Admit() == bronzepool.Admitted {
		flood.Established()
	}
	before := s.node.Flows()
	c, d := s.open(live)
	require.Equal(t, Placed, d.Reason)
	require.Equal(t, bronzepool.NodeOpenDenied, d.TrackingDenial)
	require.Equal(t, Steered, c.accept().Reason)
	require.Equal(t, Steered, c.request().Reason)
	require.Equal(t, before, s.node.Flows())
	for _, status := range s.node.Servers(s.now) {
		require.Zero(t, status.Work, "untracked requests must not be counted")
	}

	_, d = s.open(outline)
	require.Equal(t, bronzepool.Admitted, d.TrackingDenial)
	require.Equal(t, before+1, s.node.Flows())
}

// A node with little memory tracks only as many flows as leave room for everything else,
// and forwards the others untracked. Beyond, its process would be killed and all its
// callers' packets lost.
func TestTrackingLimitByMemory(t *testing.T) {
	const small = 1 << 20
	require.Equal(t, maxFlows, flowLimit(0), "unknown memory")
	require.Equal(t, maxFlows, flowLimit(1<<40))
	require.Less(t, flowLimit(64<<20)*flowBytes, 64<<20/2)

	s := newSite(t, 2)
	s.node = &Steerer{AvailabilityZone: "a", Region: "r", Regions: map[string]string{"a": "r"}, Memory: small}
	s.node.SetView(s.directory.View())
	most := flowLimit(small)
	for range 2 * most {
		c, d := s.open(outline)
		require.Equal(t, Forward, d.Kind)
		c.accept()
	}
	_, d := s.open(outline)
	require.Equal(t, Forward, d.Kind)
	require.NotEqual(t, bronzepool.Admitted, d.TrackingDenial)
	require.LessOrEqual(t, s.node.Flows(), most)
	require.Positive(t, s.node.Flows())
}

// Half-open flows have a limit of their own, and their place is freed when callers don't
// continue.
func TestTrackingLimitHalfOpen(t *testing.T) {
	s := newSite(t, 2)
	for range int(halfOpenFraction * maxFlows) {
		s.open(live)
	}
	_, d := s.open(live)
	require.Equal(t, bronzepool.NodeHalfOpenDenied, d.TrackingDenial)
	s.advance(openingTimeout + time.Second)
	_, d = s.open(live)
	require.Equal(t, bronzepool.Admitted, d.TrackingDenial)
	require.Equal(t, 1, s.node.Flows())
}
