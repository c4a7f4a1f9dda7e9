package bronzesteer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// announce sweeps the node at from, and gives the openings that have stalled there to the others.
func (s *site) announce(from *Steerer, others ...*Steerer) (n int) {
	from.Sweep(s.now)
	list := from.StalledOpenings()
	for _, to := range others {
		for _, o := range list {
			p := openings[string(o.Bytes)]
			to.MergeStalledOpening(&p, o.Tokens, s.now)
		}
	}
	return len(list)
}

// openings are the openings by their bytes, which a driver parses.
var openings = map[string]Packet{}

// openThrough sends the opening of a new flow to a node.
func (s *site) openThrough(n *Steerer, sent acceptances) (c *client, d Decision) {
	s.node = n
	s.port++
	c, _ = s.open(live)
	c.packet.Bytes = fmt.Appendf(nil, "opening %d", s.port)
	openings[string(c.packet.Bytes)] = c.packet
	n.forget(&c.packet)
	d = c.send()
	require.Equal(s.t, Forward, d.Kind)
	sent.take(d)
	return c, d
}

// forget makes the node forget a flow.
func (s *Steerer) forget(p *Packet) {
	sh := s.shard(p)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.remove(p.Key, 0)
}

// requireKnown requires that a packet with the token of any server that was sent the opening gets
// to the flow's server at a node that knows nothing.
func (s *site) requireKnown(c *client, own string, sent acceptances) {
	s.t.Helper()
	for instance, token := range sent {
		s.node = s.newNode()
		c.packet.Token = token
		require.Equal(s.t, own, c.request().Server.Instance, "by the acceptance of "+instance)
	}
}

// A node sends an opening to two servers, and the caller is moved to another node before it
// continues. Whichever comes first at that node, its packet or the announcement, the server that
// wasn't taken must be corrected.
func TestMovedBetweenOpeningAndAcceptance(t *testing.T) {
	for _, announcedFirst := range []bool{true, false} {
		t.Run(fmt.Sprint(announcedFirst), func(t *testing.T) {
			s := newSite(t, 3)
			first, second, sent := s.node, s.newNode(), acceptances{}
			s.completeHandshakes(20, 3*time.Millisecond)
			c, d := s.openThrough(first, sent)
			h := s.nextHedges()[0].Decision
			sent.take(h)
			s.now = s.now.Add(stalledAge)
			if announcedFirst {
				require.Equal(t, 1, s.announce(first, second))
			}
			s.node = second
			c.packet.Token = d.Token
			require.Equal(t, d.Server.Instance, c.accept().Server.Instance)
			if !announcedFirst {
				require.Equal(t, 1, s.announce(first, second))
			}
			s.correctFor(time.Second, sent)
			s.requireKnown(c, d.Server.Instance, sent)
		})
	}
}

// A node stops before it sees whether the server that it chose has accepted. The caller's copy goes to
// another node, which chooses another server, and the flow opens there. The first node goes on later,
// and the first server must be corrected by then.
func TestPlacedBeforePauseOpensElsewhere(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 4 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			s := newSite(t, 3)
			first, second, sent := s.node, s.newNode(), acceptances{}
			s.completeHandshakes(20, 3*time.Millisecond)
			c, d := s.openThrough(first, sent)
			s.now = s.now.Add(200 * time.Millisecond)
			s.node = second
			second.Random = func(n int) int { return n - 1 }
			other := c.retransmit()
			for other.Server.Instance == d.Server.Instance {
				second.forget(&c.packet)
				second.Random = func(int) int { return 1 }
				other = c.retransmit()
			}
			sent.take(other)
			require.Equal(t, other.Server.Instance, c.accept().Server.Instance)
			s.now = s.now.Add(pause)
			first.Paused(s.now)
			require.Equal(t, 1, s.announce(first, second))
			s.correctFor(time.Second, sent)
			s.requireKnown(c, other.Server.Instance, sent)
		})
	}
}

// A node is added, and a caller's copy goes there while the node that placed the opening still waits.
// The added node must place it at a server other than the first, and once the flow is open the
// first must be corrected.
func TestCopyAtAddedNode(t *testing.T) {
	s := newSite(t, 3)
	first, added, sent := s.node, s.newNode(), acceptances{}
	s.completeHandshakes(20, 3*time.Millisecond)
	c, d := s.openThrough(first, sent)
	s.now = s.now.Add(stalledAge)
	require.Equal(t, 1, s.announce(first, added))
	s.now = s.now.Add(50 * time.Millisecond)
	s.node = added
	other := c.retransmit()
	sent.take(other)
	require.NotEqual(t, d.Server.Instance, other.Server.Instance)
	require.Equal(t, other.Server.Instance, c.accept().Server.Instance)
	s.correctFor(time.Second, sent)
	s.requireKnown(c, other.Server.Instance, sent)
}

// A node remembers a flow from a port that is used again, and is told of an opening of the later flow. The
// later flow's servers must not be sent the token of the earlier one's.
func TestStalledOpeningOfLaterFlow(t *testing.T) {
	for _, adopted := range []bool{true, false} {
		t.Run(fmt.Sprint(adopted), func(t *testing.T) {
			s := newSite(t, 3)
			c := s.serve(live)
			if adopted {
				s.node = s.newNode()
				c.request()
				c.acknowledge()
			}
			c.finish()
			remembers, first, sent := s.node, s.newNode(), acceptances{}
			s.now = s.now.Add(5 * time.Second)
			s.node = first
			next := c.reuse()
			next.packet.Bytes = []byte("later opening")
			openings[string(next.packet.Bytes)] = next.packet
			d := next.send()
			sent.take(d)
			h := s.nextHedges()[0].Decision
			sent.take(h)
			s.now = s.now.Add(stalledAge)
			require.Equal(t, 1, s.announce(first, remembers))
			s.node = remembers
			require.Empty(t, s.correctFor(time.Second, sent))
			require.Equal(t, h.Server.Instance, next.acceptWith(h.Token, 0x1d00_0000).Server.Instance)
			s.correctFor(time.Second, sent)
			s.requireKnown(next, h.Server.Instance, sent)
		})
	}
}

// Two nodes have placed one opening. Each must learn of the other's server, and neither may go on
// announcing.
func TestStalledAtTwoNodes(t *testing.T) {
	s := newSite(t, 4)
	first, second, sent := s.node, s.newNode(), acceptances{}
	c, _ := s.openThrough(first, sent)
	second.Random = func(int) int { return 1 }
	s.node = second
	sent.take(c.retransmit())
	s.now = s.now.Add(stalledAge)
	for range 4 {
		s.announce(first, second)
		s.announce(second, first)
	}
	require.Zero(t, s.announce(first, second)+s.announce(second, first))
	for _, n := range []*Steerer{first, second} {
		f := n.shard(&c.packet).flows[c.packet.Key]
		require.Len(t, f.opening.servers, len(sent))
	}
}

// Openings that other nodes announce in any number must neither be kept without a bound nor for
// longer than their callers wait.
func TestPeerOpeningsBounded(t *testing.T) {
	s := newSite(t, 3)
	token := s.node.View().Token(live, s.node.View().Servers[0])
	for range 10_000 {
		s.port++
		p := Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, caller(s.port), live), Open: true, Bytes: []byte("opening")}
		s.node.MergeStalledOpening(&p, []uint32{token}, s.now)
	}
	kept := func() (n int) {
		for i := range s.node.shards {
			n += len(s.node.shards[i].peerOpenings)
		}
		return n
	}
	require.Equal(t, shardCount*maxPeerOpenings, kept())
	s.advance(openingTimeout + time.Second)
	require.Zero(t, kept())
	require.Empty(t, s.node.StalledOpenings())
}

// A flood of openings that nobody continues must not fill the queue of announcements.
func TestStalledOpeningsBounded(t *testing.T) {
	s := newSite(t, 3)
	for range 5000 {
		s.open(live)
	}
	s.now = s.now.Add(stalledAge)
	s.node.Sweep(s.now)
	require.Len(t, s.node.StalledOpenings(), maxStalled)
	s.node.Sweep(s.now)
	require.Empty(t, s.node.StalledOpenings(), "each is announced once")
}
