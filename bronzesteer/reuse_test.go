package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// finish has the caller send its last byte.
func (c *client) finish() {
	c.packet.Final = true
	c.send()
	c.packet.Final = false
}

// reuse returns another flow from the port of c, which hasn't opened yet.
func (c *client) reuse() *client {
	next := &client{site: c.site, packet: c.packet}
	next.packet.Open, next.packet.Retransmits, next.packet.Token, next.packet.Length = true, 0, 0, 0
	next.packet.Sequence, next.packet.Acknowledged = 0x9f3a_0000, 0
	return next
}

// acceptWith acknowledges a server's number after an acceptance with a token.
func (c *client) acceptWith(token, acknowledged uint32) Decision {
	c.packet.Open = false
	c.packet.Sequence++
	c.packet.Acknowledged = acknowledged
	c.packet.Token = token
	return c.send()
}

// drain has a server report that it leaves.
func (s *site) drain(instance string) {
	draining := *s.node.View().ByName(instance)
	draining.Draining = true
	s.directory.Register(draining)
	s.node.SetView(s.directory.View())
}

// A node remembers a flow that both ends have closed, and another one from the same port has opened
// elsewhere at another server. Its packets must go there and not to the former flow's server, which
// would reset it.
func TestPortReusedElsewhere(t *testing.T) {
	for name, end := range map[string]func(*client){"Closed": (*client).finish, "Open": func(*client) {}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			c := s.serve(outline)
			end(c)
			former, node := c.server.Instance, s.node
			s.now = s.now.Add(5 * time.Second)
			s.node = s.newNode()
			next := c.reuse()
			d := next.send()
			for d.Server.Instance == former {
				s.node.Random = func(n int) int { return n - 1 }
				s.node.forget(&next.packet)
				d = next.send()
			}
			next.acceptWith(d.Token, 0x1d00_0000)
			s.node = node
			require.Equal(t, d.Server.Instance, next.request().Server.Instance)
			next.packet.Token = c.packet.Token
			require.Equal(t, d.Server.Instance, next.send().Server.Instance, "the node has learned the flow's server")
		})
	}
}

// A node remembers a flow at a server that drains. A new flow from the same port must be placed as
// any other, and not at the draining server.
func TestPortReusedAfterDrain(t *testing.T) {
	for name, prepare := range map[string]func(*site, *client){
		"Closed": func(_ *site, c *client) { c.finish() },
		"Open":   func(*site, *client) {},
		"Adopted": func(s *site, c *client) {
			s.node = s.newNode()
			c.request()
			c.acknowledge()
			s.now = s.now.Add(openingTimeout)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			c := s.serve(outline)
			prepare(s, c)
			former := c.server.Instance
			s.drain(former)
			s.now = s.now.Add(time.Second)
			next := c.reuse()
			d := next.send()
			require.Equal(t, Placed, d.Reason)
			require.NotEqual(t, former, d.Server.Instance)
			require.Equal(t, d.Server.Instance, next.acceptWith(d.Token, 0x1d00_0000).Server.Instance)
		})
	}
}

// A server drains after it was sent an opening. Copies of the opening must not go there, whether the
// flow is open or not.
func TestCopyNotSentToDrainingServer(t *testing.T) {
	for _, open := range []bool{false, true} {
		s := newSite(t, 1)
		c, d := s.open(live)
		opening := c.packet
		if open {
			c.accept()
		}
		s.drain(d.Server.Instance)
		s.now = s.now.Add(200 * time.Millisecond)
		opening.Token, opening.Retransmits = 0, 1
		require.Equal(t, Drop, s.node.Decide(&opening, s.now).Kind)
	}
}

// The caller's last packets of a flow that has ended have the token of another server that had
// accepted the opening. They must go to the flow's own, as before the end.
func TestLatePacketOfEndedFlow(t *testing.T) {
	s := newSite(t, 3)
	c, d, h := s.openHedged(outline)
	c.request()
	c.acknowledge()
	c.finish()
	c.packet.Sequence++
	c.packet.Token = h.Token
	require.Equal(t, d.Server.Instance, c.send().Server.Instance)
	opening := c.packet
	opening.Open, opening.Sequence, opening.Token, opening.Retransmits = true, 100, 0, 2
	again := s.node.Decide(&opening, s.now)
	require.Equal(t, Repeated, again.Reason, "a late copy of the opening")
	require.Equal(t, d.Server.Instance, again.Server.Instance)
}

// A server is gone whose closed flows the node remembers. Their callers must get no reset: they have
// nothing open there, and may have opened another flow from the same port.
func TestGoneServerResetsNoEndedFlow(t *testing.T) {
	for _, ended := range []bool{true, false} {
		s := newSite(t, 2)
		c := s.serve(outline)
		if ended {
			c.finish()
		}
		s.directory.Unregister(c.server.Instance, s.now)
		s.now = s.now.Add(time.Minute)
		s.directory.Advance(s.now)
		s.node.SetView(s.directory.View())
		require.Equal(t, bronzeroute.Gone, s.node.View().ByName(c.server.Instance).Status)
		f := s.node.shard(&c.packet).flows[c.packet.Key]
		f.seenAt = s.node.sinceStart(s.now)
		s.advance(2 * time.Second)
		if ended {
			require.Empty(t, s.endedFlows)
		} else {
			require.Len(t, s.endedFlows, 1)
		}
		require.Nil(t, s.node.shard(&c.packet).flows[c.packet.Key])
	}
}

// Guards against taking packets of one flow for those of another: whatever other nodes have seen of it,
// and in whatever order its packets come.
func TestFlowContainsItsPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequence, acknowledged := rapid.Uint32().Draw(t, "Sequence"), rapid.Uint32().Draw(t, "Acknowledged")
		f := &flow{open: true, sequence: sequence, acknowledged: acknowledged, final: rapid.Bool().Draw(t, "Final")}
		ahead := maxAdvance
		if f.final {
			ahead = 1
		}
		p := &Packet{
			Sequence:     sequence + uint32(rapid.IntRange(-maxRetreat, ahead).Draw(t, "Sent")),
			Acknowledged: acknowledged + uint32(rapid.IntRange(-maxRetreat, maxAdvance).Draw(t, "Received")),
		}
		require.True(t, f.contains(p))
		p.Sequence = sequence + uint32(rapid.IntRange(ahead+1, 1<<31).Draw(t, "Other"))
		require.False(t, f.contains(p))
	})
}
