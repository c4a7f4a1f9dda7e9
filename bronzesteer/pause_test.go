package bronzesteer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzeroute"
)

// pause advances the clock without running the node.
func (s *site) pause(d time.Duration) (discarded Discarded) {
	s.now = s.now.Add(d)
	return s.node.Paused(s.now)
}

// reportedFindings returns the findings that the node reports.
func (s *site) reportedFindings() (findings []Report) {
	for _, r := range s.node.Reports(true, s.now) {
		if !r.Answered {
			findings = append(findings, r)
		}
	}
	return findings
}

// A node of a large fleet is paused for five seconds while three callers wait for
// acceptances and three for answers. All but one go elsewhere meanwhile, and the servers
// answer other nodes. After the pause the node must not report any server, send any hedge
// or end any flow.
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
	discarded := s.pause(5 * time.Second)
	require.Equal(t, Discarded{Openings: 3, Requests: 3}, discarded)
	require.Empty(t, s.nextHedges())
	require.Equal(t, Forward, waiting[0].retransmitRequest().Kind)
	for range 8 {
		s.advance(200 * time.Millisecond)
		s.serve(live)
		require.Empty(t, s.reportedFindings())
	}
	require.Empty(t, s.endedFlows)
	require.Equal(t, Forward, idle[0].request().Kind)
}

// Two seconds after a pause, the node detects failures again.
func TestPausedNodeResumesDetection(t *testing.T) {
	s := newSite(t, 6)
	s.node.SetPeerCount(294)
	s.completeHandshakes(20, 3*time.Millisecond)
	s.pause(5 * time.Second)
	s.open(live)
	s.nextHedges()
	s.advance(settleTime)
	s.node.Hedges(s.now)
	require.Empty(t, s.reportedFindings(), "findings during settleTime don't count")
	s.open(live)
	s.nextHedges()
	s.advance(2 * reportDelay)
	require.NotEmpty(t, s.reportedFindings())
}

// Findings received before a pause are outdated afterwards, since the servers may have
// answered meanwhile. The node must neither pass them on nor act on them.
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
	require.Empty(t, s.endedFlows)
}

// A server that is missing from the node's records may have been registered again during
// the pause. Until the records are confirmed, packets of its flows are dropped rather than
// reset, and callers retransmit them. Afterwards flows of a server that is gone are ended
// as usual.
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
	require.Equal(t, Unsure, unknown.retransmit().Reason, "the route may be new")
	s.advance(time.Second)
	require.Empty(t, s.endedFlows)

	s.node.RecordsConfirmed()
	require.Equal(t, ServerGone, there[0].retransmitRequest().Reason)
	require.Equal(t, NoRoute, unknown.retransmit().Reason)
	s.advance(time.Second)
	require.NotEmpty(t, s.endedFlows)
}

// An opening waited in a paused node, and its copy has opened the flow by way of another one. Sent
// on, it would be accepted by a second server, whose token leads the flow's packets astray. The last
// copy that a caller sends has waited here only if the caller wasn't moved, and must be placed.
func TestOpeningFromBeforePauseDropped(t *testing.T) {
	s := newSite(t, 3)
	s.completeHandshakes(20, 3*time.Millisecond)
	s.now = s.now.Add(1300 * time.Millisecond)
	s.node.Paused(s.now)
	for retransmits := range callerRetransmits + 1 {
		s.port++
		p := Packet{
			Key: bronzeflow.NewKey(bronzeflow.TCP, caller(s.port), live), Open: true, Bytes: []byte("opening"),
			Retransmits: retransmits, Delayed: true,
		}
		d := s.node.Decide(&p, s.now)
		if retransmits == callerRetransmits {
			require.Equal(t, Forward, d.Kind)
			continue
		}
		require.Equal(t, Drop, d.Kind)
		require.Equal(t, Delayed, d.Reason)
		require.Nil(t, s.node.shard(&p).flows[p.Key])
		p.Delayed = false
		require.Equal(t, Forward, s.node.Decide(&p, s.now).Kind, "a copy that comes after the pause")
	}
}

// A delayed node reads an opening from its socket together with both retransmissions. Its
// caller has given up and continues with no server. No server may be avoided or reported
// for it, and none is tried twice.
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

// If a single node of a large fleet reports all servers as silent, its own link or
// processor is the cause. New flows avoid a tenth of the servers at most.
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

// Propagation takes one step more for each fourfold size of the fleet, and as many steps
// back for contradicting answers.
func TestPropagationTime(t *testing.T) {
	var s Steerer
	for peers, want := range map[int]time.Duration{
		0: 0, smallFleetPeers: 0, 19: 800, 65: 800, 77: 800, 294: 1000, 489: 1000, 1100: 1200,
	} {
		s.SetPeerCount(peers)
		require.Equal(t, want*time.Millisecond, s.propagationTime(false), peers)
		require.Equal(t, want*time.Millisecond/2, s.propagationTime(true), peers)
	}
}

// While a node is paused, its servers are replaced and the drained zones come back. Callers
// who open flows before its records are confirmed again must not be refused: a moment later
// their openings can be placed.
func TestPausedNodeRefusesNoOpening(t *testing.T) {
	for name, c := range map[string]struct {
		before func(s *site)
		reason Reason
	}{
		"Gone": {reason: NoServer, before: func(s *site) {
			for _, server := range []string{"a-0", "b-0"} {
				s.directory.Unregister(server, s.now)
			}
			s.directory.Advance(s.now.Add(bronzeroute.MissingTimeout + 1))
		}},
		"Drained": {reason: ZoneDrained, before: func(s *site) {
			s.directory.DrainZone("a")
			s.directory.DrainZone("b")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, 1)
			c.before(s)
			s.node.SetView(s.directory.View())
			_, d := s.open(live)
			require.Equal(t, Decision{Kind: End, Reason: c.reason}, d)
			s.pause(5 * time.Second)
			caller, d := s.open(live)
			require.Equal(t, Decision{Reason: Unsure}, d)

			s.register("a", 1)
			s.directory.UndrainZone("a", s.now)
			s.node.SetView(s.directory.View())
			s.node.RecordsConfirmed()
			s.advance(200 * time.Millisecond)
			require.Equal(t, Forward, caller.retransmit().Kind)
		})
	}
}
