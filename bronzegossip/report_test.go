package bronzegossip

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzerecord"
)

// reportsByServer holds the reports that a node of a test has received, by server.
type reportsByServer map[uint32]Report

// collectReports lets the nodes keep and forward the reports that they receive.
func collectReports(nodes []*node) (received []reportsByServer) {
	for _, d := range nodes {
		h := reportsByServer{}
		received = append(received, h)
		sent := reportsByServer{}
		d.gossip.Reports = func(all bool, _ time.Time) (list []Report) {
			for _, r := range h {
				if _, known := sent[r.Server]; all || !known {
					list = append(list, r)
				}
				if !all {
					sent[r.Server] = r
				}
			}
			return list
		}
		d.gossip.OnReports = func(reports []Report, now time.Time) {
			for _, r := range reports {
				if _, known := h[r.Server]; !known {
					h[r.Server] = r
					d.gossip.SpreadReports(now)
				}
			}
		}
	}
	return received
}

// A server crashes, and one node of many notices. Until the others know, each sends its
// callers there until it has noticed too. All must know within two gossip rounds, and the
// messages that takes for each node must not grow with the fleet.
func TestSpreadReports(t *testing.T) {
	for _, size := range []int{6, 78} {
		net, nodes := newNetwork(size)
		s := &store{revision: 5}
		s.run(nodes, 15*time.Second)
		received := collectReports(nodes)
		sent := net.sent
		s.run(nodes, 2*time.Second)
		usual := net.sent - sent

		received[0][42] = Report{Server: 42, Node: 1}
		nodes[0].gossip.SpreadReports(net.now)
		net.deliver()
		sent = net.sent
		s.run(nodes, 2*largeFleetInterval)
		for i := range received {
			require.Contains(t, received[i], uint32(42), "node %d of %d", i, size)
		}
		require.LessOrEqual(t, net.sent-sent, usual+2*fanout*size, "%d nodes", size)
	}
}

// Thirty-two servers fail at once, and then ten a second. A node forwards reports a few
// times a second, less often the more reports there are, and must stay within its budget
// of 6 KB a second.
func TestSpreadReportsRate(t *testing.T) {
	net, nodes := newNetwork(78)
	s := &store{revision: 5}
	s.run(nodes, 15*time.Second)
	received := collectReports(nodes)
	messages, bytes := 0, 0
	g := &nodes[5].gossip
	send := g.Send
	g.Send = func(to netip.AddrPort, b []byte) {
		if m, err := decode(b); err == nil && len(m.Reports) > 0 && len(m.Peers) == 0 {
			messages++
			bytes += len(b)
		}
		send(to, b)
	}
	const atOnce, after = 32, 20
	for i := range uint32(atOnce) {
		received[i][1000+i] = Report{Server: 1000 + i, Node: math.MaxUint32, FirstMS: 999, LastMS: 999}
		nodes[i].gossip.SpreadReports(net.now)
	}
	for i := range uint32(after) {
		received[i][i] = Report{Server: i, Node: math.MaxUint32, FirstMS: 999, LastMS: 999}
		nodes[i].gossip.SpreadReports(net.now)
		net.deliver()
		s.run(nodes, step)
	}
	require.LessOrEqual(t, messages, fanout*(int(2*time.Second/largeFleetReportInterval)+1))
	require.LessOrEqual(t, bytes, 2*6000)
	s.run(nodes, 2*time.Second)
	for i := range received {
		require.Len(t, received[i], atOnce+after)
	}
}

// Reports on all servers of a zone that fails must fit into one packet.
func TestReportMessageSize(t *testing.T) {
	var sent [][]byte
	now := time.Now()
	g := &Gossip{
		Self:    Peer{Name: "edge-klang-valley-100", Incarnation: 1 << 40, Address: netip.MustParseAddrPort("10.100.100.1:7720")},
		Records: &bronzerecord.Set{}, Send: func(_ netip.AddrPort, b []byte) { sent = append(sent, b) },
		Reports: func(bool, time.Time) (list []Report) {
			for i := range uint32(24) {
				list = append(list, Report{Server: math.MaxUint32 - i, Node: math.MaxUint32, Flags: 3, Openings: 99, Requests: 99, FirstMS: 9999, LastMS: 1999})
			}
			return list
		},
	}
	for i := range 3 {
		p := g.Self
		p.Name = fmt.Sprintf("edge-%d", i)
		g.updatePeer(p, now)
	}
	g.SpreadReports(now)
	require.Len(t, sent, fanout)
	m, err := decode(sent[0])
	require.NoError(t, err)
	require.Len(t, m.Reports, 24)
	require.LessOrEqual(t, len(sent[0]), 600)
}
