package bronzesteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sleep lets time pass in which the node doesn't run.
func (s *site) pause(d time.Duration) (aside Discarded) {
	s.now = s.now.Add(d)
	return s.node.Paused(s.now)
}

// told returns what the node tells of servers that it found silent.
func (s *site) reportedFindings() (findings []Report) {
	for _, r := range s.node.Reports(true, s.now) {
		if !r.Answered {
			findings = append(findings, r)
		}
	}
	return findings
}

// A node of a large fleet stands still for five seconds. Three callers wait for the
// acceptance of their openings, three for answers; all go elsewhere meanwhile, but for one
// that asks again when the node has woken. The servers have answered other nodes all the
// while. The node that woke tells nobody that they are silent, sends none of the openings
// on, and ends no flow at any of them.
func TestPausedNodeReportsNothing(t *testing.T) {
	s := newSite(t, 6)
	s.node.SetPeerCount(294)
	idle := s.serveN(12, outline)
	waiting := s.serveN(6, live)
	s.completeHandshakes(20, 3*time.Millisecond)
	for _, c := range waiting[:3] {
		c.request()
	}
	for range 3 {
		s.open(live)
	}
	aside := s.pause(5 * time.Second)
	require.Equal(t, Discarded{Openings: 3, Requests: 3}, aside)
	require.Empty(t, s.nextHedges())
	require.Equal(t, Forward, waiting[0].retransmitRequest().Kind)
	for range 8 {
		s.advance(200 * time.Millisecond)
		s.serve(live)
		require.Empty(t, s.reportedFindings())
	}
	require.Empty(t, s.endings)
	require.Equal(t, Forward, idle[0].request().Kind)
}

// The same node judges servers again two seconds after it woke: one that crashed meanwhile
// is found, and told of.
func TestPausedNodeResumesDetection(t *testing.T) {
	s := newSite(t, 6)
	s.node.SetPeerCount(294)
	s.completeHandshakes(20, 3*time.Millisecond)
	s.pause(5 * time.Second)
	s.open(live)
	s.nextHedges()
	s.advance(settleTime)
	s.node.Hedges(s.now)
	require.Empty(t, s.reportedFindings(), "what it saw while it woke doesn't count")
	s.open(live)
	s.nextHedges()
	s.advance(2 * reportDelay)
	require.NotEmpty(t, s.reportedFindings())
}

// Findings that a node had from others before it stood still are as old as the pause when
// it wakes, and the servers may have answered since. It neither passes them on nor goes by
// them.
func TestPausedNodeDiscardsFindings(t *testing.T) {
	s := newSite(t, 6)
	s.node.SetPeerCount(294)
	idle, _ := splitAtFirstServer(s.serveN(12, outline))
	require.NotEmpty(t, idle)
	s.advance(400 * time.Millisecond)
	s.node.MergeReports([]Report{
		s.peerReport("a-0", 7, 3, 300*time.Millisecond), s.peerReport("a-0", 8, 3, 300*time.Millisecond),
	}, s.now)
	require.Equal(t, 1, s.pause(600*time.Millisecond).Findings)
	for range 10 {
		s.serve(live)
		s.advance(200 * time.Millisecond)
	}
	require.Empty(t, s.reportedFindings())
	require.Empty(t, s.endings)
}

// A server disappears from the records, and comes back while the node stands still. The
// node doesn't know that yet when a packet of an open flow comes: its caller isn't reset,
// and repeats the packet a moment later. Once the records are confirmed, a flow of a server
// that is gone is ended as ever.
func TestPausedNodeUnconfirmedRecords(t *testing.T) {
	s := newSite(t, 3)
	there, _ := splitAtFirstServer(s.serveN(9, live))
	require.Greater(t, len(there), 1)
	s.directory.Unregister("a-0", s.now)
	s.directory.Advance(s.now.Add(time.Minute))
	s.node.SetView(s.directory.View())
	s.pause(5 * time.Second)
	d := there[0].request()
	require.Equal(t, Drop, d.Kind)
	require.Equal(t, Unsure, d.Reason)
	unknown, _ := s.open(netip.MustParseAddrPort("198.18.0.9:80"))
	require.Equal(t, Unsure, unknown.retransmit().Reason, "its route may be new")
	s.advance(time.Second)
	require.Empty(t, s.endings)

	s.node.RecordsConfirmed()
	require.Equal(t, ServerGone, there[0].retransmitRequest().Reason)
	require.Equal(t, NoRoute, unknown.retransmit().Reason)
	s.advance(time.Second)
	require.NotEmpty(t, s.endings)
}

// A node had nothing to run on for a while. A caller's opening waited in its socket with
// both of its copies, and is read with them; the caller has gone elsewhere and goes on with
// no server. None of them is asked twice, avoided or told of.
func TestDelayedRetransmitsNotCounted(t *testing.T) {
	s := newSite(t, 3)
	s.node.SetPeerCount(294)
	s.completeHandshakes(20, 3*time.Millisecond)
	c, d := s.open(live)
	for range 2 {
		again := c.retransmit()
		require.Equal(t, Repeated, again.Reason)
		require.Equal(t, d.Server.Instance, again.Server.Instance)
	}
	require.Empty(t, s.nextHedges())
	s.advance(time.Second)
	require.False(t, s.status(d.Server.Instance).Avoided)
	require.Empty(t, s.reportedFindings())
}

// One node of a large fleet says that all servers are silent: it is its own link or
// processor that is. New flows keep away from a tenth of them at most.
func TestReportLimitPerNode(t *testing.T) {
	const servers = 100
	s := newSite(t, servers)
	s.node.SetPeerCount(294)
	s.serveN(8, live)
	for _, m := range s.node.state.Load().members {
		s.node.MergeReports([]Report{s.peerReport(m.server.Instance, 7, 3, 10*time.Millisecond)}, s.now)
	}
	avoided := 0
	for _, m := range s.node.state.Load().members {
		if s.status(m.server.Instance).Avoided {
			avoided++
		}
	}
	require.Positive(t, avoided)
	require.LessOrEqual(t, avoided, servers*1/10)
}

// News takes a step more for each fourfold size of the fleet, and as many back for what
// contradicts it.
func TestPropagationTime(t *testing.T) {
	var s Steerer
	for others, want := range map[int]time.Duration{
		0: 0, smallFleetPeers: 0, 19: 800, 65: 800, 77: 800, 294: 1000, 489: 1000, 1100: 1200,
	} {
		s.SetPeerCount(others)
		require.Equal(t, want*time.Millisecond, s.propagationTime(false), others)
		require.Equal(t, want*time.Millisecond/2, s.propagationTime(true), others)
	}
}
