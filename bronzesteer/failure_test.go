package bronzesteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// atFirst returns the clients whose flows are at server a-0, and the others.
func splitAtFirstServer(clients []*client) (there, elsewhere []*client) {
	for _, c := range clients {
		if c.server.Instance == "a-0" {
			there = append(there, c)
		} else {
			elsewhere = append(elsewhere, c)
		}
	}
	return there, elsewhere
}

// load opens n flows and has each answered.
func (s *site) serveN(n int, service netip.AddrPort) (clients []*client) {
	for range n {
		clients = append(clients, s.serve(service))
	}
	return clients
}

// fallSilent has the clients ask a server that answers nobody, while others
// are answered elsewhere.
func (s *site) stopAnswering(stuck, others []*client) {
	for _, c := range stuck {
		c.request()
	}
	for range 4 {
		s.advance(50 * time.Millisecond)
		s.exchange(others)
	}
}

// A server falls silent. Its callers ask again after 200 ms and would go on
// until their deadline. They see a reset instead, at their next packet, and
// are served by another server; a new caller isn't sent to the silent one.
func TestFailedServerIdempotentFlowsReset(t *testing.T) {
	s := newSite(t, 4)
	clients := s.serveN(16, live)
	stuck, others := splitAtFirstServer(clients)
	require.GreaterOrEqual(t, len(stuck), minFailedFlows)
	s.stopAnswering(stuck, others)
	for _, c := range stuck[:minFailedFlows-1] {
		require.Equal(t, Forward, c.retransmitRequest().Kind, "one silence proves nothing")
	}
	require.Equal(t, End, stuck[minFailedFlows-1].retransmitRequest().Kind)
	s.advance(200 * time.Millisecond)
	s.exchange(others)
	d := stuck[0].retransmitRequest()
	require.Equal(t, End, d.Kind)
	require.Equal(t, ServerSilent, d.Reason)
	for range 20 {
		c, _ := s.open(live)
		require.NotEqual(t, "a-0", c.server.Instance)
	}
}

// The same, but the requests must not be repeated. A reset would end them for
// good, and the server may have run them: the flow is left alone.
func TestFailedServerNonIdempotentFlowsKept(t *testing.T) {
	s := newSite(t, 4)
	stuck, others := splitAtFirstServer(s.serveN(16, outline))
	s.stopAnswering(stuck, others)
	for range 3 {
		for _, c := range stuck {
			require.Equal(t, Forward, c.retransmitRequest().Kind)
		}
		s.advance(200 * time.Millisecond)
		s.exchange(others)
	}
}

// A single packet of a flow is lost, and its caller asks again. The server
// answers others meanwhile, so nothing is wrong with it.
func TestServerNotFailedByLostPackets(t *testing.T) {
	s := newSite(t, 2)
	clients := s.serveN(12, live)
	there, _ := splitAtFirstServer(clients)
	lost, well := there[:4], there[4:]
	for _, c := range lost {
		c.request()
	}
	for range 5 {
		s.advance(100 * time.Millisecond)
		s.exchange(well)
		for _, c := range lost {
			require.Equal(t, Forward, c.retransmitRequest().Kind)
		}
	}
}

// The node itself is late: its link is full, and callers of all servers ask
// again. Ending their flows would break hundreds that are well.
func TestDelayedNodeKeepsFlows(t *testing.T) {
	s := newSite(t, 4)
	clients := s.serveN(16, live)
	stuck := clients[:15]
	for _, c := range stuck {
		c.request()
	}
	for range 6 {
		s.advance(100 * time.Millisecond)
		s.exchange(clients[15:])
		for _, c := range stuck {
			require.Equal(t, Forward, c.retransmitRequest().Kind)
		}
	}
}

// Zone b is cut off from this node, and its servers fall silent; callers are
// sent to those of zone a at once. Six seconds later the cut is healed, and
// callers whose flows are in zone b, and that were served by another node, come
// to this one. It heard nothing of zone b since, good or bad: what it last saw
// must not end their flows.
func TestZonePartitionRecovery(t *testing.T) {
	s := newSite(t, 4, 4)
	own := s.serveN(8, live)
	far := s.zoneBFlows(8)
	s.stopAnswering(far, own)
	for range 4 {
		for _, c := range far {
			c.retransmitRequest()
		}
		s.advance(100 * time.Millisecond)
		s.exchange(own)
	}
	moved := s.zoneBFlows(4)
	require.Equal(t, End, moved[0].request().Kind, "while the cut lasts")

	for range 12 {
		s.advance(500 * time.Millisecond)
		s.exchange(own)
	}
	for _, status := range s.node.Servers(s.now) {
		require.False(t, status.Avoided, "new flows go to %s again", status.Instance)
	}
	for _, c := range s.zoneBFlows(4) {
		require.Equal(t, Forward, c.request().Kind, "after the cut")
	}
}

// farFlows returns flows at the servers of zone b that another node placed.
func (s *site) zoneBFlows(n int) (clients []*client) {
	v := s.node.View()
	for i := range n {
		c, _ := s.open(live)
		s.node.shard(&c.packet).remove(c.packet.Key)
		c.server = v.ByName("b-" + string(rune('0'+i%4)))
		c.packet.Open = false
		c.packet.Token = v.Token(live, c.server)
		c.packet.Sequence, c.packet.Acknowledged = 5000, 70000
		clients = append(clients, c)
	}
	return clients
}

// Two servers of zone b crash, and this node sends little to the zone. It looks
// like a cut of the zone, but a third server of it is well, and its caller asks
// for the first time in a while: the flow must go on.
func TestZoneReachableWithTwoCrashes(t *testing.T) {
	s := newSite(t, 4, 4)
	own := s.serveN(8, live)
	s.advance(time.Second)
	var crashed, well []*client
	for _, c := range s.zoneBFlows(8) {
		if c.server.Instance == "b-0" || c.server.Instance == "b-1" {
			crashed = append(crashed, c)
		} else {
			well = append(well, c)
		}
	}
	s.stopAnswering(crashed, own)
	for range 4 {
		for _, c := range crashed {
			c.retransmitRequest()
		}
		s.advance(100 * time.Millisecond)
		s.exchange(own)
	}
	for _, c := range well {
		require.Equal(t, Forward, c.request().Kind)
	}
}

// A server crashes, and a caller has a flow there whose requests must not be
// repeated, with none at work. Its next request would be lost. The flow is ended
// before, so that the caller opens another one; a flow with a request at work is
// left alone, because only the server knows whether it ran.
func TestFailedServerIdleFlowsReset(t *testing.T) {
	s := newSite(t, 4)
	idle, _ := splitAtFirstServer(s.serveN(8, outline))
	clients := s.serveN(16, live)
	stuck, others := splitAtFirstServer(clients)
	working, _ := splitAtFirstServer(s.serveN(8, outline))
	working[0].request()
	s.stopAnswering(stuck, others)
	working[0].retransmitRequest()
	for _, c := range stuck {
		c.retransmitRequest()
	}
	for range 4 {
		s.advance(150 * time.Millisecond)
		s.exchange(others[:1])
	}

	ended := map[uint16]bool{}
	for _, ending := range s.endings {
		require.Equal(t, "a-0", ending.Instance)
		require.NotZero(t, ending.Packet.Acknowledged, "the caller believes a reset with that number alone")
		ended[ending.Packet.Key.CallerPort] = true
	}
	for _, c := range idle {
		require.True(t, ended[c.packet.Key.CallerPort])
	}
	require.False(t, ended[working[0].packet.Key.CallerPort])
}
