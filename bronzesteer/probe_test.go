package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newIdleSite returns a site whose node is part of a large fleet and has some idle flows at
// server a-0.
func newIdleSite(t *testing.T) (s *site, idle []*client) {
	t.Helper()
	s = newSite(t, 6)
	s.node.SetPeerCount(294)
	idle, _ = splitAtFirstServer(s.serveN(12, outline))
	require.NotEmpty(t, idle)
	s.completeHandshakes(20, 3*time.Millisecond)
	s.advance(100 * time.Millisecond)
	return s, idle
}

// reportUntilProbed has two nodes of the server's zone report it as silent until this node
// probes it with a caller's opening, and returns that caller.
func (s *site) reportUntilProbed(instance string) *client {
	s.t.Helper()
	since := s.now
	for range 20 {
		first := s.now.Sub(since) + 20*time.Millisecond
		s.node.MergeReports([]Report{s.peerReport(instance, 7, 3, first), s.peerReport(instance, 8, 3, first)}, s.now)
		s.advance(100 * time.Millisecond)
		c, d := s.open(live)
		if d.Server.Instance == instance {
			return c
		}
		c.accept()
	}
	require.Fail(s.t, "no opening has probed the server")
	return nil
}

// A server has crashed, and two peers in a large fleet report it. This node has only idle
// flows there, whose next requests would be lost. A caller's opening must probe the server
// and be hedged soon; without an answer, the idle flows are ended.
func TestProbeConfirmsFailure(t *testing.T) {
	s, idle := newIdleSite(t)
	s.reportUntilProbed("a-0")
	list := s.nextHedges()
	require.Len(t, list, 1)
	require.NotEqual(t, "a-0", list[0].Decision.Server.Instance)
	for range 8 {
		s.serveExcept("a-0")
		s.advance(100 * time.Millisecond)
	}
	ended := map[flowKey]bool{}
	for _, e := range s.endedFlows {
		require.Equal(t, "a-0", e.Instance)
		ended[e.Packet.Key] = true
	}
	for _, c := range idle {
		require.True(t, ended[c.packet.Key])
	}
}

// The peers' findings are wrong because their packets are delayed. The server answers the
// probe: no flow may be ended, however long the peers repeat their findings, and they are
// told that the server answers.
func TestProbeAnsweredKeepsFlows(t *testing.T) {
	s, _ := newIdleSite(t)
	probe := s.reportUntilProbed("a-0")
	s.now = s.now.Add(3 * time.Millisecond)
	s.node.HasNewReports()
	probe.accept()
	require.True(t, s.node.HasNewReports())
	require.True(t, s.node.Reports(false, s.now)[0].Answered)
	for range 20 {
		s.node.MergeReports([]Report{s.peerReport("a-0", 7, 3, 900*time.Millisecond), s.peerReport("a-0", 8, 3, 900*time.Millisecond)}, s.now)
		s.serve(live)
		s.advance(100 * time.Millisecond)
	}
	require.Empty(t, s.endedFlows)
}

// A peer and this node's two probes have each lost a packet to a healthy server. That is
// too little evidence to end flows, however long nothing else is known.
func TestProbesAndOneReportKeepFlows(t *testing.T) {
	s, _ := newIdleSite(t)
	report := s.peerReport("a-0", 7, 1, 20*time.Millisecond)
	report.Requests = 0
	s.node.MergeReports([]Report{report}, s.now)
	tried := 0
	for range 14 {
		s.advance(100 * time.Millisecond)
		c, d := s.open(live)
		if d.Server.Instance == "a-0" {
			tried++
			list := s.nextHedges()
			require.Len(t, list, 1)
			c.packet.Token = list[0].Decision.Token
		}
		c.accept()
	}
	require.Equal(t, maxProbes, tried)
	require.Empty(t, s.endedFlows)
}
