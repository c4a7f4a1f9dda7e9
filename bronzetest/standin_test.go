package bronzetest

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzeflow"
)

// bench is a fabric, servers of one or two services, and a balancer that
// sends each packet where choose says.
type bench struct {
	fabric  *Fabric
	ledger  *Ledger
	servers []*Server
	// strip makes the balancer take the payload from openings.
	strip atomic.Bool
}

var (
	testService = netip.MustParseAddrPort("192.0.2.10:7000")
	otherAddr   = netip.MustParseAddr("2001:db8::20")
)

func newBench(t *testing.T, choose func(key bronzeflow.Key, n int) int) *bench {
	b := &bench{ledger: &Ledger{}}
	var err error
	b.fabric, err = NewFabric(b.ledger, 1)
	require.NoError(t, err)
	t.Cleanup(b.fabric.Close)
	for _, spec := range []*Server{
		{Customer: "a", Service: "s", Instance: "s-1", Addresses: []netip.Addr{testService.Addr()}},
		{Customer: "a", Service: "s", Instance: "s-2", Addresses: []netip.Addr{testService.Addr()}},
		{Customer: "b", Service: "o", Instance: "o-1", Addresses: []netip.Addr{otherAddr}},
	} {
		require.NoError(t, spec.Start(b.fabric))
		t.Cleanup(spec.Close)
		b.servers = append(b.servers, spec)
	}
	sock, err := listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = sock.Close() })
	b.fabric.Add(t.Context(), "only", "", addrPort(sock), "")
	go b.forward(sock, choose)
	return b
}

func (b *bench) forward(sock *net.UDPConn, choose func(bronzeflow.Key, int) int) {
	buf := make([]byte, maxPacket)
	for n := 0; ; n++ {
		size, from, err := sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		to := b.fabric.Egress()
		if from == addrPort(b.fabric.in) {
			s, _ := parseSegment(buf[:size])
			to = b.servers[choose(bronzeflow.NewKey(s.Protocol, s.Src, s.Dst), n)].Address()
		}
		_, _ = sock.WriteToUDPAddrPort(b.stripped(buf[:size]), to)
	}
}

func (b *bench) stripped(raw []byte) []byte {
	s, err := parseSegment(raw)
	if err != nil || !b.strip.Load() || !s.SYN || s.ACK {
		return raw
	}
	s.Payload = nil
	short, _ := s.marshal()
	return short
}

func (b *bench) caller(i int) *Caller {
	return &Caller{
		Fabric: b.fabric, Address: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}),
		Service: "s", Endpoint: testService, EarlyRequest: i%2 == 0,
	}
}

func byHash(key bronzeflow.Key, _ int) int { return int(key.Hash() % 2) }

func TestFlowsAreServed(t *testing.T) {
	b := newBench(t, byHash)
	const flows, requests = 20, 5
	outcomes := make([]Outcome, flows)
	var wg sync.WaitGroup
	for i := range flows {
		wg.Go(func() { outcomes[i] = b.caller(i).Flow(context.Background(), requests) })
	}
	wg.Wait()
	require.Equal(t, make([]Outcome, flows), outcomes)
	require.EqualValues(t, flows*requests, b.ledger.Requests.Load())
	require.Zero(t, b.ledger.DoubleRuns.Load()+b.ledger.Misdelivered.Load()+b.ledger.WrongAnswers.Load())
}

// A caller puts its first request into its opening, and the balancer takes it
// out. The caller has to make it again, and it runs once.
func TestRequestTakenFromTheOpeningIsMadeAgain(t *testing.T) {
	b := newBench(t, byHash)
	b.strip.Store(true)
	require.Equal(t, Finished, b.caller(2).Flow(context.Background(), 2))
	require.EqualValues(t, 2, b.ledger.Requests.Load())
	require.Zero(t, b.ledger.DoubleRuns.Load())
}

// The caller's connection is reset. The balancer sends its opening to one
// server and what follows to the other, which knows no such connection.
func TestBrokenFlowIsCounted(t *testing.T) {
	b := newBench(t, func(_ bronzeflow.Key, n int) int { return min(n, 1) })
	require.Equal(t, Broken, b.caller(1).Flow(context.Background(), 1))
	require.EqualValues(t, 1, b.ledger.BrokenFlows.Load())
}

// The caller gets no answer. The balancer sends its packets to a server of
// another customer, which must notice that they are not for its service.
func TestMisdeliveryIsCounted(t *testing.T) {
	b := newBench(t, func(bronzeflow.Key, int) int { return 2 })
	c := b.caller(1)
	c.Timeout = firstRetransmit
	require.Equal(t, Unopened, c.Flow(context.Background(), 1))
	require.Positive(t, b.ledger.Misdelivered.Load())
}

func TestRefusalIsTold(t *testing.T) {
	b := newBench(t, byHash)
	b.servers[0].SetMode(Shedding)
	b.servers[1].SetMode(Shedding)
	require.Equal(t, Refused, b.caller(1).Flow(context.Background(), 1))
	require.EqualValues(t, 1, b.ledger.Refused.Load())
	require.Zero(t, b.ledger.FalseRefusals.Load())
}

// A server leaves and still gets a flow long after: the balancer missed the
// drain. The drain is put back in time, so that the test needn't wait.
func TestNewFlowOnLeavingIsCounted(t *testing.T) {
	b := newBench(t, byHash)
	for _, s := range b.servers {
		s.drained.Store(1)
	}
	require.Equal(t, Finished, b.caller(1).Flow(context.Background(), 1))
	require.EqualValues(t, 1, b.ledger.NewFlowsOnLeaving.Load())
}

func TestLedgerCountsDoubleRuns(t *testing.T) {
	var l Ledger
	l.ran(Request{Flow: 1, Number: 1})
	l.ran(Request{Flow: 1, Number: 2})
	require.Zero(t, l.DoubleRuns.Load())
	l.ran(Request{Flow: 1, Number: 1})
	require.EqualValues(t, 1, l.DoubleRuns.Load())
}

// The caller is told that nothing ran, and a server ran its request before
// or after that.
func TestLedgerCountsFalseRefusals(t *testing.T) {
	var before, after, none Ledger
	before.ran(Request{Flow: 1, Number: 1})
	before.told(1)
	after.told(1)
	after.ran(Request{Flow: 1, Number: 1})
	none.told(1)
	none.ran(Request{Flow: 2, Number: 1})
	require.EqualValues(t, 1, before.FalseRefusals.Load())
	require.EqualValues(t, 1, after.FalseRefusals.Load())
	require.Zero(t, none.FalseRefusals.Load())
}

func TestLedgerCountsFurtherAttempts(t *testing.T) {
	var l Ledger
	l.tried(1, 7)
	l.tried(1, 7)
	l.tried(1, 8)
	l.tried(2, 7)
	flows, further := l.FurtherAttempts()
	require.Equal(t, 2, flows)
	require.Equal(t, 1, further)
}

func TestShadowCountsMovedFlows(t *testing.T) {
	var s HashBaseline
	s.SetPool("s", []bronzeflow.ServerID{1, 2, 3})
	for port := range uint16(300) {
		s.Open("s", bronzeflow.NewKey(bronzeflow.TCP, netip.AddrPortFrom(otherAddr, port+1), testService))
	}
	require.Zero(t, s.Broken())
	require.Greater(t, s.Imbalance("s"), 1.0)
	s.SetPool("s", []bronzeflow.ServerID{1, 2})
	require.Positive(t, s.Broken())
	require.Less(t, s.Broken(), 300)
	require.InDelta(t, 1.5, overMean([]int{3, 1, 2}), 1e-9)
}

func TestSegmentSurvivesTheWire(t *testing.T) {
	for _, p := range []bronzeflow.Protocol{bronzeflow.TCP, bronzeflow.UDP} {
		for _, address := range []string{"192.0.2.1:5", "[2001:db8::1]:5"} {
			end := netip.MustParseAddrPort(address)
			want := segment{Src: end, Dst: end, Protocol: p, Mark: 9, Payload: []byte("abc")}
			if p == bronzeflow.TCP {
				want.SYN, want.Seq, want.Ack = true, 1<<31, 7
			}
			raw, err := want.marshal()
			require.NoError(t, err)
			got, err := parseSegment(raw)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	}
}

func TestParseSegmentRefusesTruncated(t *testing.T) {
	raw, err := (&segment{Src: testService, Dst: testService, Protocol: bronzeflow.TCP}).marshal()
	require.NoError(t, err)
	for n := range raw {
		_, err = parseSegment(raw[:n])
		require.Error(t, err, n)
	}
}
