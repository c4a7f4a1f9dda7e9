package bronzenode

import (
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzecore"
	"bronzeusher.example/bronzeusher/bronzeflow"
	"bronzeusher.example/bronzeusher/bronzesocket"
	"bronzeusher.example/bronzeusher/bronzewire"
)

const (
	benchServers = 4
	benchFlows   = 4096
	benchSenders = 4
	benchBatch   = 32
	benchRounds  = 4
	// benchWindow bounds the packets in flight. It is small enough for the
	// kernel's buffers, so that the benchmark doesn't measure loss.
	benchWindow = 512
	// benchStallTimeout is how long nothing may arrive before the packets in
	// flight count as lost.
	benchStallTimeout = 50 * time.Millisecond
)

// serverSinks counts the packets that reach the backend servers.
type serverSinks struct {
	addresses []netip.AddrPort
	received  atomic.Int64
}

func newServerSinks(b *testing.B) *serverSinks {
	s := &serverSinks{}
	for range benchServers {
		socket, err := bronzesocket.Listen(loopback.String())
		require.NoError(b, err)
		b.Cleanup(func() { _ = socket.Close() })
		s.addresses = append(s.addresses, socket.LocalAddrPort())
		go s.read(socket)
	}
	return s
}

func (s *serverSinks) read(socket *bronzesocket.Socket) {
	batch := newBatch()
	for {
		n, err := socket.ReadBatch(batch)
		if err != nil {
			return
		}
		s.received.Add(int64(n))
	}
}

func newBatch() []bronzesocket.Datagram {
	batch := make([]bronzesocket.Datagram, bronzesocket.MaxBatch)
	for i := range batch {
		batch[i].Buf = make([]byte, maxPacketBytes)
	}
	return batch
}

// packetSender sends packets of established flows to one forwarder.
type packetSender struct {
	socket  *bronzesocket.Socket
	packets [][]byte
	next    int
}

func (s *packetSender) send(b *testing.B, to netip.AddrPort, n int) {
	batch := make([]bronzesocket.Datagram, n)
	for i := range batch {
		p := s.packets[s.next%len(s.packets)]
		s.next++
		batch[i] = bronzesocket.Datagram{Addr: to, Buf: p, N: len(p)}
	}
	if _, err := s.socket.WriteBatch(batch); err != nil {
		b.Error(err)
	}
}

// loadGenerator sends packets with a bounded number in flight.
type loadGenerator struct {
	b       *testing.B
	sinks   *serverSinks
	senders []*packetSender
	lost    int64
}

// run sends packets to an address and returns how many arrived per second.
func (l *loadGenerator) run(to netip.AddrPort, packets int) (perSecond float64) {
	share := max(packets/len(l.senders), benchBatch)
	window := int64(benchWindow / len(l.senders) * len(l.senders))
	var sent, lost atomic.Int64
	base := l.sinks.received.Load()
	start := time.Now()
	var wg sync.WaitGroup
	for _, s := range l.senders {
		wg.Go(func() {
			for done := 0; done < share; done += benchBatch {
				s.send(l.b, to, benchBatch)
				sent.Add(benchBatch)
				l.wait(base, window-benchBatch, &sent, &lost)
			}
		})
	}
	wg.Wait()
	l.wait(base, 0, &sent, &lost)
	arrived := l.sinks.received.Load() - base
	l.lost += sent.Load() - arrived
	return float64(arrived) / time.Since(start).Seconds()
}

// wait returns once at most window packets are in flight.
func (l *loadGenerator) wait(base, window int64, sent, lost *atomic.Int64) {
	last, since := int64(-1), time.Now()
	for {
		arrived := l.sinks.received.Load() - base
		inFlight := sent.Load() - arrived - lost.Load()
		if inFlight <= window {
			return
		}
		if arrived != last {
			last, since = arrived, time.Now()
		} else if time.Since(since) > benchStallTimeout {
			lost.Add(inFlight)
			return
		}
		runtime.Gosched()
	}
}

// naiveForwarder forwards with one map under one mutex, one packet per system
// call.
type naiveForwarder struct {
	conn    *net.UDPConn
	mu      sync.Mutex
	servers map[bronzeflow.Key]netip.AddrPort
}

func (f *naiveForwarder) serve() {
	var parser bronzewire.Parser
	var p bronzeflow.Packet
	buf := make([]byte, maxPacketBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if parser.FromCaller(buf[:n], &p) != nil {
			continue
		}
		f.mu.Lock()
		to, ok := f.servers[p.Key]
		f.mu.Unlock()
		if ok {
			_, _ = f.conn.WriteToUDPAddrPort(p.Raw, to)
		}
	}
}

// establishFlows opens flows in the Balancer of n. It returns a packet of each,
// and the map of the same flows for the naive forwarder.
func establishFlows(b *testing.B, n *Node) (packets [][]byte, servers map[bronzeflow.Key]netip.AddrPort) {
	servers = make(map[bronzeflow.Key]netip.AddrPort)
	var parser bronzewire.Parser
	for i := range benchFlows {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 4001)
		p := bronzeflow.Packet{Key: bronzeflow.NewKey(bronzeflow.TCP, from, service), Kind: bronzeflow.Open}
		out := n.balancer.FromCaller(&p, nil)
		require.Len(b, out, 1)
		require.Equal(b, bronzecore.Forward, out[0].Kind, out[0].Reason.String())
		p.Kind = bronzeflow.Accept
		out = n.balancer.FromServer(&p, []bronzeflow.ServerID{out[0].Server}, nil)
		require.Equal(b, bronzecore.Reply, out[0].Kind)
		servers[p.Key], _ = n.tunnels.Load().address(out[0].Server)
		raw, err := bronzewire.BuildTCP(nil, from, service, bronzewire.ACK, callerSeq, 0, make([]byte, 64))
		require.NoError(b, err)
		require.NoError(b, parser.FromCaller(raw, &p))
		packets = append(packets, raw)
	}
	return packets, servers
}

// BenchmarkForward forwards packets of established flows through the whole
// process, from socket to socket, and the same through a naive forwarder with
// as many goroutines. The two alternate within one run; ratio is how many times
// more packets a second the node forwards.
func BenchmarkForward(b *testing.B) {
	s := newServerSinks(b)
	env := newTestEnv(b, 0)
	env.tunnels = s.addresses
	env.heartbeat = 0
	n := env.start("a")
	packets, servers := establishFlows(b, n)

	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	require.NoError(b, conn.SetReadBuffer(4<<20))
	simple := &naiveForwarder{conn: conn, servers: servers}
	for range n.cfg.Readers {
		go simple.serve()
	}

	l := &loadGenerator{b: b, sinks: s}
	for i := range benchSenders {
		socket, err := bronzesocket.Listen(loopback.String())
		require.NoError(b, err)
		b.Cleanup(func() { _ = socket.Close() })
		l.senders = append(l.senders, &packetSender{socket: socket, packets: packets, next: i * benchFlows / benchSenders})
	}
	var node, plain float64
	b.ResetTimer()
	for range benchRounds {
		node += l.run(n.EdgeAddress(), b.N/benchRounds) / benchRounds
		plain += l.run(conn.LocalAddr().(*net.UDPAddr).AddrPort(), b.N/benchRounds) / benchRounds
	}
	b.ReportMetric(node, "packets/s")
	b.ReportMetric(plain, "naive-packets/s")
	b.ReportMetric(node/plain, "ratio")
	b.ReportMetric(float64(l.lost), "lost")
	b.ReportMetric(0, "ns/op")
}
