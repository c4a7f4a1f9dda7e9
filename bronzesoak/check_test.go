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

// newChecked returns a soak with a node and two servers of the live pool that
// have all been left alone for long, and no sockets but the servers' own.
func newChecked(t *testing.T) (s *soak, n *node, servers []*server) {
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

// broken returns the promises that were found broken.
func (s *soak) broken() (list []Invariant) {
	for _, b := range s.violations.list {
		list = append(list, b.Promise)
	}
	return list
}

// opening and data are packets of the caller's flow.
func opening(to netip.AddrPort) *standin.Packet {
	return &standin.Packet{Source: caller, Destination: to, Open: true, Sequence: 99, ChecksumValid: true}
}

func data(s *server, to netip.AddrPort, payload []byte) *standin.Packet {
	f := s.flows[flowKey{caller, to}]
	return &standin.Packet{
		Source: caller, Destination: to, Sequence: f.acknowledged, Acknowledged: f.sequence + 1, Payload: payload, ChecksumValid: true,
	}
}

// openAt opens the caller's flow at a server.
func openAt(n *node, s *server) {
	s.handle(n, opening(liveRoute))
	s.handle(n, data(s, liveRoute, nil))
}

func TestServerOfAnotherPool(t *testing.T) {
	s, n, servers := newChecked(t)
	servers[0].handle(n, opening(archiveRoute))
	servers[0].handle(n, opening(netip.MustParseAddrPort("198.18.0.9:443")))
	require.Equal(t, []Invariant{Misrouted, Misrouted}, s.broken())
}

func TestAlteredPacket(t *testing.T) {
	s, _, servers := newChecked(t)
	b := opening(liveRoute).Bytes()
	guarded := append(binary.BigEndian.AppendUint64(nil, servers[0].incarnation), b...)
	guarded[8+4]++ // the sequence number
	servers[0].receive("node-0", guarded)
	require.Equal(t, []Invariant{Altered}, s.broken())
	guarded[8+4]--
	guarded[8]++ // the token, which nodes write
	servers[0].receive("node-0", guarded)
	require.Len(t, s.broken(), 1)
	require.Len(t, servers[0].flows, 1)
}

// A node ends a flow whose server is there. It counts unless the server or the
// node was harmed within settled, or the route is gone.
func TestResetOfAnOpenFlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newChecked(t)
		openAt(n, servers[0])
		f := &callerFlow{key: flowKey{caller, liveRoute}}
		reset := receivedPacket{Packet: standin.Packet{Reset: true}, from: netip.MustParseAddr("127.9.1.1")}
		own := reset
		own.ChecksumValid = true
		s.checkReset(f, &own)
		require.Empty(t, s.broken(), "the server itself")

		n.disturb(0, false)
		s.checkReset(f, &reset)
		time.Sleep(settleTime)
		servers[0].disturbance.extend(time.Now())
		s.checkReset(f, &reset)
		require.Empty(t, s.broken(), "after harm")

		time.Sleep(settleTime)
		n.disturb(0, true)
		s.checkReset(f, &reset)
		require.Equal(t, []Invariant{BrokenFlow}, s.broken(), "planned work is no excuse")

		s.tracker.removeRoute(liveRoute, time.Now())
		s.checkReset(f, &reset)
		require.Len(t, s.broken(), 1, "the route is gone")
	})
}

func TestPacketsThatStray(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newChecked(t)
		openAt(n, servers[0])
		stray := &standin.Packet{Source: caller, Destination: liveRoute, ChecksumValid: true}
		time.Sleep(strayTimeout)
		for range minStrays - 1 {
			servers[1].handle(n, stray)
		}
		require.Empty(t, s.broken())
		servers[1].handle(n, stray)
		require.Equal(t, []Invariant{Strayed}, s.broken())
		servers[0].handle(n, data(servers[0], liveRoute, nil))
		servers[1].handle(n, stray)
		require.Len(t, s.broken(), 1)
	})
}

func TestRequestThatRunsTwice(t *testing.T) {
	s, n, servers := newChecked(t)
	request := append(binary.LittleEndian.AppendUint64(nil, 42), 0)
	for i, server := range servers {
		server.handle(n, opening(liveRoute))
		server.handle(n, data(server, liveRoute, request))
		require.Len(t, s.broken(), i)
	}
	require.Equal(t, []Invariant{RanTwice}, s.broken())
}

// New flows on a draining server, or by a withdrawn route, count from three
// seconds on.
func TestOpeningsThatComeTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newChecked(t)
		servers[0].drainedAt = time.Now()
		servers[0].handle(n, opening(liveRoute))
		require.Empty(t, s.broken())
		time.Sleep(propagationTime + openRetransmitTime + time.Millisecond)
		servers[0].handle(n, opening(liveRoute))
		require.Equal(t, []Invariant{NewOnDraining}, s.broken())
		s.tracker.removeRoute(liveRoute, time.Now())
		time.Sleep(propagationTime + openRetransmitTime + time.Millisecond)
		servers[1].handle(n, opening(liveRoute))
		require.Equal(t, []Invariant{NewOnDraining, OldTable}, s.broken())
		n.disturb(0, false)
		servers[1].handle(n, opening(liveRoute))
		require.Len(t, s.broken(), 2)
	})
}

// Guards against a soak that misses new flows in a drained zone.
func TestOpeningsInADrainedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, n, servers := newChecked(t)
		require.True(t, s.zoneDrain.begin(servers[0].zone))
		require.False(t, s.zoneDrain.begin("another"))
		servers[0].handle(n, opening(liveRoute))
		require.Empty(t, s.broken())
		time.Sleep(propagationTime + openRetransmitTime + time.Millisecond)
		servers[0].handle(n, opening(liveRoute))
		require.Equal(t, []Invariant{NewInDrainedZone}, s.broken())
		s.zoneDrain.end()
		servers[0].handle(n, opening(liveRoute))
		require.Len(t, s.broken(), 1)
	})
}

func TestTooFewAreServedInTheEnd(t *testing.T) {
	for _, served := range []int{89, 90} {
		s, _, _ := newChecked(t)
		s.plan.Seconds = 10
		s.counts.seconds = make([]SecondStats, 10)
		s.counts.seconds[8] = SecondStats{Served: served, Failed: 100 - served}
		r := s.result()
		require.Equal(t, served < 90, r.BrokenTotal == 1)
	}
}

// A node is stopped, told to leave, and goes on a second and a half later. It hears of
// it only then, so the time until it must not be ready any more counts from there; one
// that wasn't told doesn't leave by going on.
func TestNodeThatWasStoppedIsToldToLeaveWhenItGoesOn(t *testing.T) {
	_, n, _ := newChecked(t)
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
