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

// testbed has a fabric, servers of two services, and a balancer that forwards
// each packet to the server that choose returns.
type testbed struct {
	fabric  *Fabric
	ledger  *Ledger
	servers []*Server
	// stripPayload makes the balancer remove the payload of openings.
	stripPayload atomic.Bool
}

var (
	testEndpoint = netip.MustParseAddrPort("192.0.2.10:7000")
	otherAddr    = netip.MustParseAddr("2001:db8::20")
)

func newTestbed(t *testing.T, choose func(key bronzeflow.Key, n int) int) *testbed {
	b := &testbed{ledger: &Ledger{}}
	var err error
	b.fabric, err = NewFabric(b.ledger, 1)
	require.NoError(t, err)
	t.Cleanup(b.fabric.Close)
	for _, spec := range []*Server{
		{Customer: "a", Service: "s", Instance: "s-1", Addresses: []netip.Addr{testEndpoint.Addr()}},
		{Customer: "a", Service: "s", Instance: "s-2", Addresses: []netip.Addr{testEndpoint.Addr()}},
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

func (b *testbed) forward(sock *net.UDPConn, choose func(bronzeflow.Key, int) int) {
	buf := make([]byte, maxPacketBytes)
	for n := 0; ; n++ {
		size, from, err := sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		to := b.fabric.Egress()
		if from == addrPort(b.fabric.callerConn) {
			s, _ := parseSegment(buf[:size])
			to = b.servers[choose(bronzeflow.NewKey(s.Protocol, s.Src, s.Dst), n)].Address()
		}
		_, _ = sock.WriteToUDPAddrPort(b.withoutPayload(buf[:size]), to)
	}
}

func (b *testbed) withoutPayload(raw []byte) []byte {
	s, err := parseSegment(raw)
	if err != nil || !b.stripPayload.Load() || !s.SYN || s.ACK {
		return raw
	}
	s.Payload = nil
	short, _ := s.marshal()
	return short
}

func (b *testbed) caller(i int) *Caller {
	return &Caller{
		Fabric: b.fabric, Address: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}),
		Service: "s", Endpoint: testEndpoint, EarlyRequest: i%2 == 0,
	}
}

func byHash(key bronzeflow.Key, _ int) int { return int(key.Hash() % 2) }

func TestCallerFlow(t *testing.T) {
	b := newTestbed(t, byHash)
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

// The balancer removes the request that the caller puts into its opening. The
// caller has to send it again, and it runs once.
func TestCallerEarlyRequestStripped(t *testing.T) {
	b := newTestbed(t, byHash)
	b.stripPayload.Store(true)
	require.Equal(t, Finished, b.caller(2).Flow(context.Background(), 2))
	require.EqualValues(t, 2, b.ledger.Requests.Load())
	require.Zero(t, b.ledger.DoubleRuns.Load())
}

// The balancer sends the opening to one server and the following packets to the
// other, which resets the flow because it doesn't know it.
func TestCallerBrokenFlow(t *testing.T) {
	b := newTestbed(t, func(_ bronzeflow.Key, n int) int { return min(n, 1) })
	require.Equal(t, Broken, b.caller(1).Flow(context.Background(), 1))
	require.EqualValues(t, 1, b.ledger.BrokenFlows.Load())
}

// The balancer sends the packets to a server of another customer, which must
// notice that they are not for its service. The caller gets no reply.
func TestServerMisdelivered(t *testing.T) {
	b := newTestbed(t, func(bronzeflow.Key, int) int { return 2 })
	c := b.caller(1)
	c.Timeout = firstRetransmit
	require.Equal(t, Unopened, c.Flow(context.Background(), 1))
	require.Positive(t, b.ledger.Misdelivered.Load())
}

func TestCallerRefused(t *testing.T) {
	b := newTestbed(t, byHash)
	b.servers[0].SetMode(Shedding)
	b.servers[1].SetMode(Shedding)
	require.Equal(t, Refused, b.caller(1).Flow(context.Background(), 1))
	require.EqualValues(t, 1, b.ledger.Refused.Load())
	require.Zero(t, b.ledger.FalseRefusals.Load())
}

// The balancer missed the drain of a server and sends it a new flow long after.
// The drain is backdated so that the test needn't wait.
func TestServerNewFlowOnLeaving(t *testing.T) {
	b := newTestbed(t, byHash)
	for _, s := range b.servers {
		s.drainedAt.Store(1)
	}
	require.Equal(t, Finished, b.caller(1).Flow(context.Background(), 1))
	require.EqualValues(t, 1, b.ledger.NewFlowsOnLeaving.Load())
}

func TestLedgerDoubleRuns(t *testing.T) {
	var l Ledger
	l.recordRun(Request{Flow: 1, Number: 1})
	l.recordRun(Request{Flow: 1, Number: 2})
	require.Zero(t, l.DoubleRuns.Load())
	l.recordRun(Request{Flow: 1, Number: 1})
	require.EqualValues(t, 1, l.DoubleRuns.Load())
}

// The caller is told that nothing ran, and a server runs its request before or
// after that.
func TestLedgerFalseRefusals(t *testing.T) {
	var before, after, none Ledger
	before.recordRun(Request{Flow: 1, Number: 1})
	before.recordRefusal(1)
	after.recordRefusal(1)
	after.recordRun(Request{Flow: 1, Number: 1})
	none.recordRefusal(1)
	none.recordRun(Request{Flow: 2, Number: 1})
	require.EqualValues(t, 1, before.FalseRefusals.Load())
	require.EqualValues(t, 1, after.FalseRefusals.Load())
	require.Zero(t, none.FalseRefusals.Load())
}

func TestLedgerFurtherAttempts(t *testing.T) {
	var l Ledger
	l.recordAttempt(1, 7)
	l.recordAttempt(1, 7)
	l.recordAttempt(1, 8)
	l.recordAttempt(2, 7)
	flows, further := l.FurtherAttempts()
	require.Equal(t, 2, flows)
	require.Equal(t, 1, further)
}

func TestHashBaselineMovedFlows(t *testing.T) {
	var s HashBaseline
	s.SetPool("s", []bronzeflow.ServerID{1, 2, 3})
	for port := range uint16(300) {
		s.Open("s", bronzeflow.NewKey(bronzeflow.TCP, netip.AddrPortFrom(otherAddr, port+1), testEndpoint))
	}
	require.Zero(t, s.Broken())
	require.Greater(t, s.Imbalance("s"), 1.0)
	s.SetPool("s", []bronzeflow.ServerID{1, 2})
	require.Positive(t, s.Broken())
	require.Less(t, s.Broken(), 300)
	require.InDelta(t, 1.5, maxOverMean([]int{3, 1, 2}), 1e-9)
}

func TestSegmentRoundTrip(t *testing.T) {
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

func TestParseSegmentTruncated(t *testing.T) {
	raw, err := (&segment{Src: testEndpoint, Dst: testEndpoint, Protocol: bronzeflow.TCP}).marshal()
	require.NoError(t, err)
	for n := range raw {
		_, err = parseSegment(raw[:n])
		require.Error(t, err, n)
	}
}
