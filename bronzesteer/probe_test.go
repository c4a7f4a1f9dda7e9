package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newIdleSite returns a site whose node, one of many, has some idle flows at server a-0.
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

// findDead has two nodes of the server's zone tell that it leaves all unanswered, until
// this node has the opening of a caller go there, and returns that caller.
func (s *site) reportUntilProbed(instance string) *client {
	s.t.Helper()
	told := s.now
	for range 20 {
		first := s.now.Sub(told) + 20*time.Millisecond
		s.node.MergeReports([]Report{s.peerReport(instance, 7, 3, first), s.peerReport(instance, 8, 3, first)}, s.now)
		s.advance(100 * time.Millisecond)
		c, d := s.open(live)
		if d.Server.Instance == instance {
			return c
		}
		c.accept()
	}
	require.Fail(s.t, "no opening tries the server")
	return nil
}

// A server has crashed, and two other nodes of a large fleet find it out. This node has
// only idle flows there, whose callers would lose their next request. The opening of a
// caller tries the server and goes on to another one at once; when no answer has come, the
// idle flows are ended.
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
	for _, e := range s.endings {
		require.Equal(t, "a-0", e.Instance)
		ended[e.Packet.Key] = true
	}
	for _, c := range idle {
		require.True(t, ended[c.packet.Key])
	}
}

// What the two nodes say is wrong: their packets are late. The server accepts the opening
// that tries it, and no flow is ended, however long they go on; other nodes are told that
// it answers.
func TestProbeAnsweredKeepsFlows(t *testing.T) {
	s, _ := newIdleSite(t)
	tries := s.reportUntilProbed("a-0")
	s.now = s.now.Add(3 * time.Millisecond)
	s.node.HasNewReports()
	tries.accept()
	require.True(t, s.node.HasNewReports())
	require.True(t, s.node.Reports(false, s.now)[0].Answered)
	for range 20 {
		s.node.MergeReports([]Report{s.peerReport("a-0", 7, 3, 900*time.Millisecond), s.peerReport("a-0", 8, 3, 900*time.Millisecond)}, s.now)
		s.serve(live)
		s.advance(100 * time.Millisecond)
	}
	require.Empty(t, s.endings)
}

// A server is well, and one packet of another node's was lost; both openings that try the
// server from here are, too, as packets may be. That is too little to end flows, however
// long nothing else is heard: the next opening is answered.
func TestProbesAndOneReportKeepFlows(t *testing.T) {
	s, _ := newIdleSite(t)
	told := s.peerReport("a-0", 7, 1, 20*time.Millisecond)
	told.Requests = 0
	s.node.MergeReports([]Report{told}, s.now)
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
	require.Empty(t, s.endings)
}
