package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// wait lets time pass until the next opening is overdue, and takes what is sent then as
// the caller's packet would be.
func (s *site) nextHedges() (list []Hedge) {
	s.t.Helper()
	at, ok := s.node.NextHedge()
	if !ok {
		return nil
	}
	s.now = at
	return s.node.Hedges(s.now)
}

// handshakes opens n flows whose servers answer after took.
func (s *site) completeHandshakes(n int, took time.Duration) {
	for range n {
		c, d := s.open(live)
		require.Equal(s.t, Forward, d.Kind)
		s.now = s.now.Add(took)
		c.accept()
	}
}

// A server crashes without a word, and a caller's opening goes there. The caller would
// repeat it after 200 ms, which is late for a request that should take 150. Some
// milliseconds after other servers would have answered, another one is asked, and the
// next caller isn't sent to the silent one at all.
func TestHedgeUnresponsiveServer(t *testing.T) {
	s := newSite(t, 3)
	s.completeHandshakes(20, 3*time.Millisecond)
	c, d := s.open(live)
	sent := s.now
	list := s.nextHedges()
	require.Len(t, list, 1)
	require.LessOrEqual(t, s.now.Sub(sent), 2*minHedgeDelay)
	h := list[0].Decision
	require.Equal(t, Hedged, h.Reason)
	require.Equal(t, d.Server.Instance, h.Tried.Instance)
	require.NotEqual(t, d.Server.Instance, h.Server.Instance)
	require.Equal(t, c.packet.Bytes, list[0].Packet.Bytes)

	c.packet.Token = h.Token
	accepted := c.accept()
	require.Equal(t, HedgeWon, accepted.Hedge)
	require.Equal(t, h.Server.Instance, accepted.Server.Instance)
	for range 6 {
		_, next := s.open(live)
		require.NotEqual(t, d.Server.Instance, next.Server.Instance)
	}
}

// Of three servers two are silent, and an opening meets both. It goes on to the third,
// and no further.
func TestHedgeTwice(t *testing.T) {
	s := newSite(t, 4)
	s.completeHandshakes(20, 3*time.Millisecond)
	_, d := s.open(live)
	asked := map[string]bool{d.Server.Instance: true}
	for range maxHedges {
		list := s.nextHedges()
		require.Len(t, list, 1)
		require.False(t, asked[list[0].Decision.Server.Instance])
		asked[list[0].Decision.Server.Instance] = true
	}
	require.Empty(t, s.nextHedges())
}

// The first server answers after all, and then the second: the caller goes on with the
// first, but sends back what the second said last. Steered by that, its packets would
// reach a server that doesn't have the flow, which would end it.
func TestHedgeLostKeepsServer(t *testing.T) {
	s := newSite(t, 3)
	s.completeHandshakes(20, 3*time.Millisecond)
	c, d := s.open(live)
	h := s.nextHedges()[0].Decision
	c.packet.Token = d.Token
	accepted := c.accept()
	require.Equal(t, HedgeLost, accepted.Hedge)
	require.Equal(t, d.Server.Instance, accepted.Server.Instance)
	c.packet.Token = h.Token
	asked := c.request()
	require.Equal(t, d.Server.Instance, asked.Server.Instance)
	require.Equal(t, d.Token, asked.Token)
	require.False(t, s.status(d.Server.Instance).Avoided, "it has answered")
}

// The same, but the caller took the second server's acceptance; the first's comes a moment
// later. The node sees it by the token that the caller sends back then: the first server
// is late, not silent, and new callers go there again at once.
func TestHedgeLateAcceptClearsServer(t *testing.T) {
	s := newSite(t, 3)
	s.completeHandshakes(20, 3*time.Millisecond)
	c, d := s.open(live)
	h := s.nextHedges()[0].Decision
	c.packet.Token = h.Token
	require.Equal(t, HedgeWon, c.accept().Hedge)
	require.True(t, s.status(d.Server.Instance).Avoided)
	s.now = s.now.Add(5 * time.Millisecond)
	c.packet.Token = d.Token
	require.Equal(t, h.Server.Instance, c.request().Server.Instance)
	require.False(t, s.status(d.Server.Instance).Avoided)
}

// Servers are far away, or the node is slow: answers take 30 ms. Openings are left that
// time; hedged after the usual few milliseconds, each would go to two servers.
func TestHedgeDelayFollowsHandshakeTime(t *testing.T) {
	s := newSite(t, 3)
	s.completeHandshakes(30, 30*time.Millisecond)
	_, _ = s.open(live)
	sent := s.now
	require.Len(t, s.nextHedges(), 1)
	require.Greater(t, s.now.Sub(sent), 30*time.Millisecond)
	require.LessOrEqual(t, s.now.Sub(sent), maxHedgeDelay)
}

// All servers of a large zone fall silent while callers press. If each opening were sent
// to three servers, the others would have three times the openings.
func TestHedgeBudget(t *testing.T) {
	s := newSite(t, 6, 6)
	s.completeHandshakes(20, 3*time.Millisecond)
	hedged := 0
	const openings = 600
	for range openings {
		s.open(live)
		s.now = s.now.Add(time.Millisecond)
		hedged += len(s.node.Hedges(s.now))
	}
	require.LessOrEqual(t, hedged, int(hedgeBudgetBurst+hedgeBudgetRatio*openings)+1)
	require.Positive(t, hedged)
}

// Callers come at once, and the servers have more to do than they can do in time. An
// opening that waits in that crowd isn't sent to a further server, where it would only
// take the place of another caller's.
func TestHedgeNotSentWhenOverloaded(t *testing.T) {
	s := newSite(t, 3)
	shares := []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}}
	s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{
		{Name: "live", Service: live, Pools: shares, Idempotent: true, Objective: 100 * time.Millisecond},
	}}, s.now)
	s.node.SetView(s.directory.View())
	clients := s.serveN(24, live)
	_, d := s.open(live)
	require.Equal(t, Forward, d.Kind)
	for _, c := range clients {
		c.request()
	}
	require.Empty(t, s.nextHedges())
}

// However openings are answered, repeated, given up and hedged, each goes to at most
// hedgesMost further servers, never to the one that was just asked, and none is sent
// once its caller has gone on.
func TestHedgeInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSite(t, 3, 2)
		var waiting []*client
		hedges := map[flowKey]int{}
		done := map[flowKey]bool{}
		r.Repeat(map[string]func(*rapid.T){
			"Open": func(*rapid.T) {
				if c, d := s.open(live); d.Kind == Forward {
					waiting = append(waiting, c)
				}
			},
			"Accept": func(r *rapid.T) {
				if len(waiting) == 0 {
					r.Skip()
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(r, "Client")
				waiting[i].accept()
				done[waiting[i].packet.Key] = true
				waiting = append(waiting[:i], waiting[i+1:]...)
			},
			"Repeat": func(r *rapid.T) {
				if len(waiting) == 0 {
					r.Skip()
				}
				waiting[rapid.IntRange(0, len(waiting)-1).Draw(r, "Client")].retransmit()
			},
			"Pass": func(r *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(r, "MS")) * time.Millisecond)
				for _, h := range s.node.Hedges(s.now) {
					key := h.Packet.Key
					hedges[key]++
					require.False(t, done[key])
					require.LessOrEqual(t, hedges[key], maxHedges)
					require.NotEqual(t, h.Decision.Tried.Instance, h.Decision.Server.Instance)
				}
			},
		})
	})
}
