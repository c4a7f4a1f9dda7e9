package bronzesteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// overdue opens flows until one meets the given server, and lets it be overdue there.
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
	require.Fail(s.t, "no flow meets the server")
	return nil
}

// found returns what another node tells of a server.
func (s *site) peerReport(instance string, node uint32, openings int, first time.Duration) Report {
	return Report{
		Server: s.node.backend(instance).shortID, Node: node, SameZone: true, Openings: openings, Requests: 1, First: first,
	}
}

// serveBut opens a flow and has one request answered, unless it is sent to a server that
// answers nobody: then nothing comes back.
func (s *site) serveExcept(dead string) {
	s.t.Helper()
	c, d := s.open(live)
	if d.Server.Instance == dead {
		c, d = s.open(live)
	}
	require.NotEqual(s.t, dead, d.Server.Instance)
	c.accept()
	c.request()
	s.advance(50 * time.Millisecond)
	c.acknowledge()
}

func (s *Steerer) backend(instance string) *backend {
	k := s.state.Load()
	return k.backendOf(k.view.ByName(instance), nil)
}

// The link of one of many nodes is full, with uploads of other callers, so that what is
// sent through it comes a quarter of a second late. Three openings at a server are
// repeated by their callers before its acceptances come through. Other nodes are served
// by it all the while, and a caller has an idle flow there, which isn't ended.
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
		require.Empty(t, s.endings)
		for _, c := range late {
			c.packet.Token = s.node.View().Token(live, s.node.View().ByName("a-0"))
			c.accept()
		}
		s.advance(500 * time.Millisecond)
	}
	require.Empty(t, s.endings)
}

// A node has a full link for some seconds. Twice it finds a server silent whose answer then
// comes. What it finds after that is no better: three flows at another server are left
// unanswered for as long as it would take to end flows there, and none is ended, nor do
// other nodes hear of it.
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
	require.Empty(t, s.endings)
	for _, r := range s.node.Reports(true, s.now) {
		require.True(t, r.Answered)
	}
}

// A server has crashed. Of many nodes each sends it little: this one has a request
// unanswered, another node three openings. New flows keep away from the server as soon as
// the other node tells. When news that contradicts it would have come from any node, that
// is enough: the caller of a request that may be repeated is told at once, and so are those
// of idle flows, long before this node alone could know.
func TestReportsConfirmFailure(t *testing.T) {
	s := newSite(t, 6)
	s.node.SetPeerCount(65)
	idle, _ := splitAtFirstServer(s.serveN(12, outline))
	waiting, _ := splitAtFirstServer(s.serveN(12, live))
	s.advance(100 * time.Millisecond)
	waiting[0].request()
	s.node.MergeReports([]Report{s.peerReport("a-0", 7, 3, 20*time.Millisecond)}, s.now)
	require.True(t, s.node.HasNewReports(), "it is passed on")
	require.True(t, s.status("a-0").Avoided)
	s.advance(200 * time.Millisecond)
	s.serveExcept("a-0")
	require.Equal(t, Forward, waiting[0].retransmitRequest().Kind, "an answer at another node may not have been told yet")
	for range 4 {
		s.advance(200 * time.Millisecond)
		s.serveExcept("a-0")
	}
	ended := map[flowKey]bool{}
	for _, e := range s.endings {
		require.Equal(t, "a-0", e.Instance)
		require.Equal(t, ServerSilent, e.Reason)
		ended[e.Packet.Key] = true
	}
	require.True(t, ended[waiting[0].packet.Key])
	for _, c := range idle {
		require.True(t, ended[c.packet.Key])
	}
}

// The same findings, but a third node has been answered since: the server is slow, or the
// links of two nodes are full. No flow is ended, and new flows go there again.
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
	require.Empty(t, s.endings)
	require.False(t, s.status("a-0").Avoided)
}

// Two nodes of other zones can't reach the servers of zone b, which is cut off from
// theirs, and this node's way there is fine. Its callers' idle flows there go on.
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
	require.Empty(t, s.endings)
}

// Reports go from node to node, each with its age, and stop: what is no news isn't passed
// on, and after suspicionFor nothing is left to tell. Without an end, the findings of a
// fleet would go round in it for good.
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
			require.False(t, s.node.HasNewReports(), "told twice")
			require.LessOrEqual(t, len(s.node.Reports(true, s.now)), maxReportsPerServer)
			s.advance(time.Duration(rapid.IntRange(0, 100).Draw(r, "MS")) * time.Millisecond)
		}
		s.advance(suspicionTimeout + time.Second)
		require.Empty(t, s.node.Reports(true, s.now))
	})
}

// A link is full for some milliseconds, and an opening that went out by it is overdue; the
// answer comes 40 ms later. Nothing of that is told: all nodes would tell each other of
// each such moment, and again that it was nothing. A server that stays silent is told of
// after a tenth of a second.
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
