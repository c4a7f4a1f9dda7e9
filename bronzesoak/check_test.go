package bronzesoak

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os/exec"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/platform/standin"
)

var (
	liveRoute    = netip.MustParseAddrPort("198.18.0.1:443")
	archiveRoute = netip.MustParseAddrPort("198.18.0.2:443")
	caller       = netip.MustParseAddrPort("127.9.3.1:4000")
)

// newTestSoak returns a soak with a node and two servers of the live pool. All
// of them have settled, and only the servers have sockets.
func newTestSoak(t *testing.T) (s *soak, n *node, servers []*server) {
	s = &soak{network: newNetwork(), store: &standin.Store{}, tracker: newTracker()}
	s.network.random = func() float64 { return 1 }
	s.plan.WorkMS = 1
	n = &node{soak: s, name: "node-0", zone: "zone-0"}
	s.nodes = []*node{n}
	s.network.nodes[netip.MustParseAddr("127.9.1.1")] = n.name
	s.tracker.addRoute(&route{service: liveRoute, pool: "live", addedAt: time.Now()})
	s.tracker.addRoute(&route{service: archiveRoute, pool: "archive", addedAt: time.Now()})
	for i := range 2 {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		server := &server{soak: s, pool: "live", zone: "zone-0", conn: conn, flows: map[flowKey]*serverFlow{}}
		server.name, server.incarnation = serverName(i)
		servers = append(servers, server)
	}
	s.servers = servers
	return s, n, servers
}

// violated returns the invariants of all recorded violations.
func (s *soak) violated() (list []Invariant) {
	for _, b := range s.violations.list {
		list = append(list, b.Promise)
	}
	return list
}

// openPacket and dataPacket return packets of the caller's flow.
func openPacket(to netip.AddrPort) *standin.Packet {
	return &standin.Packet{Source: caller, Destination: to, Open: true, Sequence: 99, ChecksumValid: true}
}

func dataPacket(s *server, to netip.AddrPort, payload []byte) *standin.Packet {
	f := s.flows[flowKey{caller, to}]
	return &standin.Packet{
		Source: caller, Destination: to, Sequence: f.acknowledged, Acknowledged: f.sequence + 1, Payload: payload, ChecksumValid: true,
	}
}

// openFlowAt opens the caller's flow at a server.
func openFlowAt(n *node, s *server) {
	s.handle(n, openPacket(liveRoute))
	s.handle(n, dataPacket(s, liveRoute, nil))
}

func TestMisroutedPacket(t *testing.T) {
	s, n, servers := newTestSoak(t)
	servers[0].handle(n, openPacket(archiveRoute))
	servers[0].handle(n, openPacket(netip.MustParseAddrPort("198.18.0.9:443")))
	require.Equal(t, []Invariant{Misrouted, Misrouted}, s.violated())
}

func TestAlteredPacket(t *testing.T) {
	s, _, servers := newTestSoak(t)
	b := openPacket(liveRoute).Bytes()
	datagram := append(binary.BigEndian.AppendUint64(nil, servers[0].incarnation), b...)
	datagram[8+4]++ // the sequence number
	servers[0].receive("node-0", datagram)
	require.Equal(t, []Invariant{Altered}, s.violated())
	datagram[8+4]--
	datagram[8]++ // the token, which nodes write
	servers[0].receive("node-0", datagram)
	require.Len(t, s.violated(), 1)
	require.Len(t, servers[0].flows, 1)
}

// A reset of an open flow by a node is a violation unless the server was
// disturbed or the node had a fault within settleTime, or the route is withdrawn.
func TestBrokenFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newTestSoak(t)
		openFlowAt(n, servers[0])
		f := &callerFlow{key: flowKey{caller, liveRoute}}
		reset := receivedPacket{Packet: standin.Packet{Reset: true}, from: netip.MustParseAddr("127.9.1.1")}
		own := reset
		own.ChecksumValid = true
		s.checkReset(f, &own)
		require.Empty(t, s.violated(), "reset by the server itself")

		n.disturb(0, false)
		s.checkReset(f, &reset)
		time.Sleep(settleTime)
		servers[0].disturbance.extend(time.Now())
		s.checkReset(f, &reset)
		require.Empty(t, s.violated(), "recent disturbance of the node or the server")

		time.Sleep(settleTime)
		n.disturb(0, true)
		s.checkReset(f, &reset)
		require.Equal(t, []Invariant{BrokenFlow}, s.violated(), "only planned events at the node")

		s.tracker.removeRoute(liveRoute, time.Now())
		s.checkReset(f, &reset)
		require.Len(t, s.violated(), 1, "route withdrawn")
	})
}

func TestStrayedPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newTestSoak(t)
		openFlowAt(n, servers[0])
		stray := &standin.Packet{Source: caller, Destination: liveRoute, ChecksumValid: true}
		time.Sleep(strayTimeout)
		for range minStrays - 1 {
			servers[1].handle(n, stray)
		}
		require.Empty(t, s.violated())
		servers[1].handle(n, stray)
		require.Equal(t, []Invariant{Strayed}, s.violated())
		servers[0].handle(n, dataPacket(servers[0], liveRoute, nil))
		servers[1].handle(n, stray)
		require.Len(t, s.violated(), 1)
	})
}

func TestRequestRunTwice(t *testing.T) {
	s, n, servers := newTestSoak(t)
	request := append(binary.LittleEndian.AppendUint64(nil, 42), 0)
	for i, server := range servers {
		server.handle(n, openPacket(liveRoute))
		server.handle(n, dataPacket(server, liveRoute, request))
		require.Len(t, s.violated(), i)
	}
	require.Equal(t, []Invariant{RanTwice}, s.violated())
}

// New flows on a draining server or by a withdrawn route are violations once
// propagationTime and openRetransmitTime have passed.
func TestNewFlowTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newTestSoak(t)
		servers[0].drainedAt = time.Now()
		servers[0].handle(n, openPacket(liveRoute))
		require.Empty(t, s.violated())
		time.Sleep(propagationTime + openRetransmitTime + time.Millisecond)
		servers[0].handle(n, openPacket(liveRoute))
		require.Equal(t, []Invariant{NewOnDraining}, s.violated())
		s.tracker.removeRoute(liveRoute, time.Now())
		time.Sleep(propagationTime + openRetransmitTime + time.Millisecond)
		servers[1].handle(n, openPacket(liveRoute))
		require.Equal(t, []Invariant{NewOnDraining, OldTable}, s.violated())
		n.disturb(0, false)
		servers[1].handle(n, openPacket(liveRoute))
		require.Len(t, s.violated(), 2)
	})
}

// New flows in a drained zone are violations once propagationTime and
// openRetransmitTime have passed.
func TestNewFlowInDrainedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newTestSoak(t)
		require.True(t, s.zoneDrain.begin(servers[0].zone))
		require.False(t, s.zoneDrain.begin("another"))
		servers[0].handle(n, openPacket(liveRoute))
		require.Empty(t, s.violated())
		time.Sleep(propagationTime + openRetransmitTime + time.Millisecond)
		servers[0].handle(n, openPacket(liveRoute))
		require.Equal(t, []Invariant{NewInDrainedZone}, s.violated())
		s.zoneDrain.end()
		servers[0].handle(n, openPacket(liveRoute))
		require.Len(t, s.violated(), 1)
	})
}

func TestUnservedShare(t *testing.T) {
	for _, served := range []int{89, 90} {
		s, _, _ := newTestSoak(t)
		s.plan.Seconds = 10
		s.counts.seconds = make([]SecondStats, 10)
		s.counts.seconds[8] = SecondStats{Served: served, Failed: 100 - served}
		r := s.result()
		require.Equal(t, served < 90, r.BrokenTotal == 1)
	}
}

// A paused process receives SIGTERM only when it resumes, so the time until it
// must no longer be ready starts then. Resuming alone does not make it leave.
func TestLeaveOfPausedNode(t *testing.T) {
	_, n, _ := newTestSoak(t)
	n.cmd = exec.Command("sleep", "60")
	require.NoError(t, n.cmd.Start())
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
	})
	n.signal(syscall.SIGCONT)
	require.Zero(t, n.leavingFor())

	told := time.Now().Add(-1500 * time.Millisecond)
	n.leavingSince = told
	n.signal(syscall.SIGCONT)
	require.True(t, n.leavingSince.After(told))
}
