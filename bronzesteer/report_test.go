package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// openAt opens flows until one is placed on the given server, and leaves its opening
// unanswered.
func (s *site) openAt(instance string) *client {
	s.t.Helper()
	for range 50 {
		c, d := s.open(live)
		require.Equal(s.t, Forward, d.Kind)
		if d.Server.Instance == instance {
			return c
		}
		c.accept()
		c.request()
	}
	require.Fail(s.t, "no flow was placed on the server")
	return nil
}

// peerReport returns the report of a server by another node.
func (s *site) peerReport(instance string, node uint32, openings int, first time.Duration) Report {
	return Report{
		Server: s.node.backend(instance).shortID, Node: node, SameZone: true, Openings: openings, Requests: 1, First: first,
	}
}

// serveExcept opens a flow with one answered request. If the flow is placed on the given
// server, which answers nobody, another flow is opened instead.
func (s *site) serveExcept(instance string) {
	s.t.Helper()
	c, d := s.open(live)
	if d.Server.Instance == instance {
		c, d = s.open(live)
	}
	require.NotEqual(s.t, instance, d.Server.Instance)
	c.accept()
	c.request()
	s.advance(50 * time.Millisecond)
	c.acknowledge()
}

func (s *Steerer) backend(instance string) *backend {
	vs := s.state.Load()
	return vs.backendOf(vs.view.ByName(instance), nil)
}

// In a large fleet, the link of one node is full, so that its packets are a quarter of a
// second late. Callers retransmit three openings at a server before its acceptances arrive,
// while the server answers other nodes. An idle flow there must not be ended.
func TestCongestedNodeKeepsFlows(t *testing.T) {
	s := newSite(t, 4)
	s.node.SetPeerCount(65)
	idle, _ := splitAtFirstServer(s.serveN(24, outline))
	require.NotEmpty(t, idle)
	for range 4 {
		late := []*client{s.openAt("a-0"), s.openAt("a-0"), s.openAt("a-0")}
		s.advance(200 * time.Millisecond)
		for _, c := range late {
			c.retransmit()
		}
		s.advance(200 * time.Millisecond)
		s.serve(live)
		require.Empty(t, s.endedFlows)
		for _, c := range late {
			c.packet.Token = s.node.View().Token(live, s.node.View().ByName("a-0"))
			c.accept()
		}
		s.advance(500 * time.Millisecond)
	}
	require.Empty(t, s.endedFlows)
}

// A node with a full link twice finds a server silent that then answers. Its further
// findings are no better: although three flows at another server are unanswered long
// enough, none may be ended there and nothing reported.
func TestFalseSuspicionsSuspendDetection(t *testing.T) {
	s := newSite(t, 4)
	idle, _ := splitAtFirstServer(s.serveN(16, outline))
	require.NotEmpty(t, idle)
	for range falseSuspicionLimit {
		late := s.openAt("a-1")
		s.advance(200 * time.Millisecond)
		late.retransmit()
		late.packet.Token = s.node.View().Token(live, s.node.View().ByName("a-1"))
		late.accept()
	}
	stuck := []*client{s.openAt("a-0"), s.openAt("a-0"), s.openAt("a-0")}
	s.advance(200 * time.Millisecond)
	for _, c := range stuck {
		c.retransmit()
	}
	for range 3 {
		s.advance(200 * time.Millisecond)
		s.serve(live)
	}
	require.Empty(t, s.endedFlows)
	for _, r := range s.node.Reports(true, s.now) {
		require.True(t, r.Answered)
	}
}

// A server has crashed in a large fleet, where each node sends it little: this node has one
// request unanswered, a peer three openings. New flows must avoid the server on the peer's
// report. Once contradicting answers would have arrived, the flow of a request that may be
// retried and the idle flows are ended, long before this node could decide alone.
func TestReportsConfirmFailure(t *testing.T) {
	s := newSite(t, 6)
	s.node.SetPeerCount(65)
	idle, _ := splitAtFirstServer(s.serveN(12, outline))
	waiting, _ := splitAtFirstServer(s.serveN(12, live))
	s.advance(100 * time.Millisecond)
	waiting[0].request()
	s.node.MergeReports([]Report{s.peerReport("a-0", 7, 3, 20*time.Millisecond)}, s.now)
	require.True(t, s.node.HasNewReports(), "the report is passed on")
	require.True(t, s.status("a-0").Avoided)
	s.advance(200 * time.Millisecond)
	s.serveExcept("a-0")
	require.Equal(t, Forward, waiting[0].retransmitRequest().Kind, "an answer to another node may still have to be reported")
	for range 4 {
		s.advance(200 * time.Millisecond)
		s.serveExcept("a-0")
	}
	ended := map[flowKey]bool{}
	for _, e := range s.endedFlows {
		require.Equal(t, "a-0", e.Instance)
		require.Equal(t, ServerSilent, e.Reason)
		ended[e.Packet.Key] = true
	}
	require.True(t, ended[waiting[0].packet.Key])
	for _, c := range idle {
		require.True(t, ended[c.packet.Key])
	}
}

// The same, but another peer has since been answered: the server is slow, or the links of
// two nodes are full. No flow may be ended, and new flows use the server again.
func TestReportsAnswerClearsServer(t *testing.T) {
	s := newSite(t, 6)
	s.node.SetPeerCount(65)
	waiting, _ := splitAtFirstServer(s.serveN(12, live))
	s.advance(100 * time.Millisecond)
	waiting[0].request()
	s.node.MergeReports([]Report{s.peerReport("a-0", 7, 2, 20*time.Millisecond)}, s.now)
	s.advance(200 * time.Millisecond)
	waiting[0].retransmitRequest()
	answered := Report{Server: s.node.backend("a-0").shortID, Node: 9, Answered: true, Last: 50 * time.Millisecond}
	s.node.MergeReports([]Report{answered}, s.now)
	for range 5 {
		s.advance(200 * time.Millisecond)
		s.serve(live)
		require.Equal(t, Forward, waiting[0].retransmitRequest().Kind)
	}
	require.Empty(t, s.endedFlows)
	require.False(t, s.status("a-0").Avoided)
}

// Nodes of other zones can't reach zone b, but this node can. Their findings must not end
// idle flows there.
func TestReportsFromOtherZonesKeepFlows(t *testing.T) {
	s := newSite(t, 4, 4)
	s.node.SetPeerCount(5)
	s.serveN(8, live)
	s.zoneBFlows(4)
	var reports []Report
	for node := range uint32(3) {
		r := s.peerReport("b-0", 20+node, 3, 300*time.Millisecond)
		r.SameZone = false
		reports = append(reports, r)
	}
	s.node.MergeReports(reports, s.now)
	for range 5 {
		s.advance(200 * time.Millisecond)
		s.serve(live)
	}
	require.Empty(t, s.endedFlows)
}

// Reports are passed on between nodes only while they are new, and expire after
// suspicionTimeout. Otherwise findings would circulate in a fleet forever.
func TestReportsExpire(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSite(t, 4)
		s.serveN(8, live)
		for range rapid.IntRange(1, 60).Draw(r, "Reports") {
			report := s.peerReport("a-0", uint32(rapid.IntRange(1, 9).Draw(r, "Node")), rapid.IntRange(0, 3).Draw(r, "Openings"),
				time.Duration(rapid.IntRange(-9, 4000).Draw(r, "FirstMS"))*time.Millisecond)
			report.Last = time.Duration(rapid.IntRange(-9, 4000).Draw(r, "LastMS")) * time.Millisecond
			report.Answered = rapid.Bool().Draw(r, "Answered")
			s.node.MergeReports([]Report{report}, s.now)
			s.node.HasNewReports()
			s.node.MergeReports([]Report{report}, s.now)
			require.False(t, s.node.HasNewReports(), "the same report twice")
			require.LessOrEqual(t, len(s.node.Reports(true, s.now)), maxReportsPerServer)
			s.advance(time.Duration(rapid.IntRange(0, 100).Draw(r, "MS")) * time.Millisecond)
		}
		s.advance(suspicionTimeout + time.Second)
		require.Empty(t, s.node.Reports(true, s.now))
	})
}

// While a link is full for some milliseconds, an opening is overdue and then answered 40 ms
// later. That must not be reported, or all nodes would report each such moment and then the
// opposite. A server that stays silent is reported after reportDelay.
func TestReportsShortDelays(t *testing.T) {
	s := newSite(t, 3)
	s.node.SetPeerCount(65)
	s.completeHandshakes(20, 3*time.Millisecond)
	late, d := s.open(live)
	require.Len(t, s.nextHedges(), 1)
	require.Empty(t, s.node.Reports(false, s.now))
	s.now = s.now.Add(40 * time.Millisecond)
	late.packet.Token = d.Token
	late.accept()
	s.advance(200 * time.Millisecond)
	require.Empty(t, s.node.Reports(true, s.now))

	s.open(live)
	require.Len(t, s.nextHedges(), 1)
	s.node.HasNewReports()
	require.Empty(t, s.node.Reports(false, s.now))
	s.advance(150 * time.Millisecond)
	require.True(t, s.node.HasNewReports())
	require.Len(t, s.node.Reports(false, s.now), 1)
}
