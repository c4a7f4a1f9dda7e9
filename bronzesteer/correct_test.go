package bronzesteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeroute"
)

// acceptances are the servers that were sent an opening, each with the token that it last
// received. They repeat it with every acceptance.
type acceptances map[string]uint32

// take notes that an opening was sent as decided.
func (a acceptances) take(d Decision) { a[d.Server.Instance] = d.Token }

// correctFor lets d pass, and sends the corrections that are due meanwhile.
func (s *site) correctFor(d time.Duration, a acceptances) (sent []time.Time) {
	s.t.Helper()
	end := s.now.Add(d)
	for {
		at, ok := s.node.NextCorrection()
		if !ok || at.After(end) {
			s.now = end
			return sent
		}
		s.now = at
		for _, c := range s.node.Corrections(at) {
			require.Equal(s.t, Corrected, c.Decision.Reason)
			require.Equal(s.t, Forward, c.Decision.Kind)
			require.True(s.t, c.Packet.Open)
			a.take(c.Decision)
			sent = append(sent, at)
		}
	}
}

// openHedged opens a flow whose opening is sent to a second server, and whose caller continues with
// the first.
func (s *site) openHedged(service netip.AddrPort) (c *client, own, other Decision) {
	s.t.Helper()
	s.completeHandshakes(20, 3*time.Millisecond)
	c, own = s.open(service)
	other = s.nextHedges()[0].Decision
	c.packet.Token = own.Token
	c.accept()
	return c, own, other
}

// An opening was sent to two servers, and the one that the caller didn't continue with repeats its
// acceptance: the token that the caller sends back from then on must lead nodes that don't know
// the flow to the flow's server.
func TestOpeningAtTwoServersKnownElsewhere(t *testing.T) {
	second := map[string]func(*site, *client) Decision{
		"Hedged":  func(s *site, _ *client) Decision { return s.nextHedges()[0].Decision },
		"Retried": func(s *site, c *client) Decision { s.now = s.now.Add(200 * time.Millisecond); return c.retransmit() },
	}
	for name, send := range second {
		for _, continuesWithFirst := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				s := newSite(t, 3)
				sent := acceptances{}
				s.completeHandshakes(20, 3*time.Millisecond)
				c, d := s.open(live)
				sent.take(d)
				other := send(s, c)
				require.NotEqual(t, d.Server.Instance, other.Server.Instance)
				sent.take(other)
				own := other
				if continuesWithFirst {
					own = d
				} else {
					other = d
				}
				c.packet.Token = own.Token
				require.Equal(t, own.Server.Instance, c.accept().Server.Instance)
				s.correctFor(50*time.Millisecond, sent)

				c.packet.Token = sent[other.Server.Instance]
				s.node = s.newNode()
				require.Equal(t, own.Server.Instance, c.request().Server.Instance)
			})
		}
	}
}

// The first correction is lost. A second one must follow while the server repeats its acceptance.
func TestCorrectionRepeated(t *testing.T) {
	s := newSite(t, 3)
	s.openHedged(live)
	require.Len(t, s.correctFor(acceptTimeout, acceptances{}), correctionsPerServer)
}

// Another node has sent a copy of the opening to a server that this node doesn't know of. Once the
// caller sends back that server's token, the server must be sent the token of the flow's.
func TestLateAcceptOfUnknownServerCorrected(t *testing.T) {
	s := newSite(t, 3)
	s.completeHandshakes(20, 3*time.Millisecond)
	c, d := s.open(live)
	require.Equal(t, d.Server.Instance, c.accept().Server.Instance)
	for _, server := range s.node.View().Servers {
		if server.Instance == d.Server.Instance {
			continue
		}
		s.now = s.now.Add(100 * time.Millisecond)
		c.packet.Token = s.node.View().Token(live, server)
		r := c.request()
		require.Equal(t, d.Server.Instance, r.Server.Instance)
		require.Equal(t, server.Instance, r.Other.Instance)
		sent := acceptances{}
		s.correctFor(0, sent)
		require.Equal(t, acceptances{server.Instance: d.Token}, sent)
	}
}

// All servers but one leave an opening unanswered. A flow whose caller is idle must not have three
// packets at other servers within its timeout of two seconds.
func TestCorrectionsPaced(t *testing.T) {
	s := newSite(t, 6)
	s.completeHandshakes(20, 3*time.Millisecond)
	c, _ := s.open(live)
	s.nextHedges()
	s.nextHedges()
	for _, at := range []time.Duration{200, 400} {
		s.now = s.now.Add(at * time.Millisecond)
		c.retransmit()
	}
	c.accept()
	sent := s.correctFor(2*acceptTimeout, acceptances{})
	require.NotEmpty(t, sent)
	require.LessOrEqual(t, len(sent), maxCorrections)
	for i := 2; i < len(sent); i++ {
		require.Greater(t, sent[i].Sub(sent[i-2]), 2*time.Second)
	}
	require.Less(t, sent[len(sent)-1].Sub(sent[0]), acceptTimeout)
}

// A server begins to drain, its zone is drained, or its pool gets no more flows. It must be sent
// no opening then, whatever it has accepted before.
func TestNoCorrectionToServerThatTakesNone(t *testing.T) {
	for name, end := range map[string]func(*site, string){
		"Draining":    (*site).drain,
		"ZoneDrained": func(s *site, _ string) { s.directory.DrainZone("a") },
		"Weight": func(s *site, _ string) {
			s.directory.SetTable(&bronzeroute.Table{Version: 2, Routes: []bronzeroute.Route{
				{Name: "live", Service: live, Pools: []bronzeroute.WeightedPool{{Pool: "live"}, {Pool: "other", Weight: 1}}},
			}}, s.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			_, _, other := s.openHedged(live)
			end(s, other.Server.Instance)
			s.node.SetView(s.directory.View())
			require.Empty(t, s.correctFor(acceptTimeout, acceptances{}))
		})
	}
}

// A flow that its caller has given up needs no correction.
func TestNoCorrectionAfterAbort(t *testing.T) {
	s := newSite(t, 3)
	c, _, _ := s.openHedged(live)
	c.packet.Abort = true
	c.send()
	require.Empty(t, s.correctFor(acceptTimeout, acceptances{}))
}
