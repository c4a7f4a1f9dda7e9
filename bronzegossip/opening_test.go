package bronzegossip

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// newOpeningSender returns a node of zone a with peers in zones a and b, and the messages with
// openings that it has sent, by address.
func newOpeningSender(now time.Time, inZone, elsewhere int) (g *Gossip, sent map[netip.AddrPort][]Message, dropped *int) {
	sent, dropped = map[netip.AddrPort][]Message{}, new(int)
	g = &Gossip{
		Self:    Peer{Name: "self", Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:7720"), AvailabilityZone: "a"},
		Records: &bronzerecord.Set{},
		Count:   func(string) { *dropped++ },
	}
	g.Send = func(to netip.AddrPort, b []byte) {
		if m, err := decode(b); err == nil && len(b) <= MaxMessageBytes && len(m.Openings) > 0 {
			sent[to] = append(sent[to], m)
		}
	}
	for i := range inZone + elsewhere {
		p := Peer{Name: fmt.Sprintf("edge-klang-valley-%d", i), Incarnation: 1, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7720), AvailabilityZone: "a"}
		if i >= inZone {
			p.AvailabilityZone = "b"
		}
		g.updatePeer(p, now)
	}
	return g, sent, dropped
}

func stalledOpenings(n int) (list []Opening) {
	for i := range n {
		list = append(list, Opening{Packet: bytes.Repeat([]byte{byte(i)}, 32), Tokens: []uint32{1<<32 - 1, 1<<32 - 2, 1<<32 - 3}})
	}
	return list
}

// Callers move to nodes of the same zone: each of these must get all openings, and no other node
// any, unless there is none in the zone.
func TestSendOpenings(t *testing.T) {
	now := time.Now()
	for _, inZone := range []int{0, 3} {
		g, sent, dropped := newOpeningSender(now, inZone, 2)
		g.SendOpenings(stalledOpenings(20), now)
		require.Zero(t, *dropped)
		want := inZone
		if inZone == 0 {
			want = 2
		}
		require.Len(t, sent, want)
		for to, messages := range sent {
			require.Equal(t, inZone == 0, g.peerAt(to).AvailabilityZone == "b")
			var got []Opening
			for _, m := range messages {
				got = append(got, m.Openings...)
			}
			require.Equal(t, stalledOpenings(20), got)
		}
	}
}

func (g *Gossip) peerAt(a netip.AddrPort) *peer {
	for _, p := range g.byName {
		if p.Address == a {
			return p
		}
	}
	return nil
}

// Servers that fail make openings stall without an end. At a zone of 98 nodes the announcements of
// a node must stay within their limit.
func TestOpeningMessagesLimited(t *testing.T) {
	now := time.Now()
	g, sent, dropped := newOpeningSender(now, 97, 0)
	const seconds = 60
	for range 10 * seconds {
		now = now.Add(TickInterval)
		for _, p := range g.byName {
			p.lastHeard = now
		}
		g.SendOpenings(stalledOpenings(40), now)
	}
	n := 0
	for _, messages := range sent {
		n += len(messages)
	}
	require.LessOrEqual(t, n, openingMessageBurst+openingMessageRate*seconds)
	require.GreaterOrEqual(t, n, openingMessageBurst)
	require.NotZero(t, *dropped)
}

// An opening that fills a message must be sent alone and not hold up others.
func TestCountThatFit(t *testing.T) {
	long := Opening{Packet: make([]byte, 1232)}
	require.Equal(t, 1, countThatFit([]Opening{long, long}))
	require.Equal(t, 1, countThatFit(append(stalledOpenings(1), long)))
	require.Equal(t, openingsPerMessage, countThatFit(stalledOpenings(20)))
}
