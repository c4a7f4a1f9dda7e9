package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// nextHedges advances the clock until the next opening is due, and returns the hedges sent
// then.
func (s *site) nextHedges() (list []Hedge) {
	s.t.Helper()
	at, ok := s.node.NextHedge()
	if !ok {
		return nil
	}
	s.now = at
	return s.node.Hedges(s.now)
}

// completeHandshakes opens n flows that are accepted after took.
func (s *site) completeHandshakes(n int, took time.Duration) {
	for range n {
		c, d := s.open(live)
		require.Equal(s.t, Forward, d.Kind)
		s.now = s.now.Add(took)
		c.accept()
	}
}

// A server crashes, and an opening is sent to it. The caller would retransmit only after
// 200 ms, too late for a request that should take 150. Another server must be tried some
// milliseconds after answers usually come, and new flows must avoid the crashed server.
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

// An opening whose hedge isn't answered either is sent to a third server, but no further.
func TestHedgeTwice(t *testing.T) {
	s := newSite(t, 4)
	s.completeHandshakes(20, 3*time.Millisecond)
	_, d := s.open(live)
	tried := map[string]bool{d.Server.Instance: true}
	for range maxHedges {
		list := s.nextHedges()
		require.Len(t, list, 1)
		require.False(t, tried[list[0].Decision.Server.Instance])
		tried[list[0].Decision.Server.Instance] = true
	}
	require.Empty(t, s.nextHedges())
}

// The first server answers an opening after all, and then the second. The caller continues
// with the first, but sends back the token of the second. Its packets must not be sent to
// the second server, which doesn't have the flow and would end it.
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
	sent := c.request()
	require.Equal(t, d.Server.Instance, sent.Server.Instance)
	require.Equal(t, d.Token, sent.Token)
	require.False(t, s.status(d.Server.Instance).Avoided, "the server has answered")
}

// The caller has taken the second server's acceptance when the first server's comes. The
// token sent back then shows that the first server was late, not silent, and new flows must
// no longer avoid it.
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

// If answers take 30 ms, hedges must wait for that time. Sent after the usual few
// milliseconds, they would double all openings.
func TestHedgeDelayFollowsHandshakeTime(t *testing.T) {
	s := newSite(t, 3)
	s.completeHandshakes(30, 30*time.Millisecond)
	_, _ = s.open(live)
	sent := s.now
	require.Len(t, s.nextHedges(), 1)
	require.Greater(t, s.now.Sub(sent), 30*time.Millisecond)
	require.LessOrEqual(t, s.now.Sub(sent), maxHedgeDelay)
}

// All servers are silent under load. If each opening were sent to three servers, the number
// of openings would triple.
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

// Under overload, an opening that waits must not be hedged: it would only take the place of
// another caller's.
func TestHedgeNotSentWhenOverloaded(t *testing.T) {
	s := newSite(t, 3)
	pools := []bronzeroute.WeightedPool{{Pool: "live", Weight: 1}}
	s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{
		{Name: "live", Service: live, Pools: pools, Idempotent: true, Objective: 100 * time.Millisecond},
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

// An opening is sent to at most maxHedges further servers, never to the one just tried, and
// not after its caller has continued, whatever the order of events.
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
