package bronzeedge

import (
	"bytes"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzerecord"
	"bronzeusher.example/bronzeusher/bronzesocket"
)

// A VM is suspended for four seconds. Only the clock since boot shows it, and it
// must show once: the records are then as old as they are.
func TestSuspensionIsFoundOnce(t *testing.T) {
	var s suspension
	steady, apart := 5*time.Second, time.Hour
	require.Zero(t, s.gap(steady+apart, steady), "the clocks begin apart")
	steady += 100 * time.Millisecond
	require.Zero(t, s.gap(steady+apart+3*time.Millisecond, steady))
	apart += 4 * time.Second
	require.Equal(t, 4*time.Second, s.gap(steady+apart, steady))
	require.Zero(t, s.gap(steady+apart, steady))
}

// Clocks that drift by a millisecond a second don't add up to a suspension that was
// none until a quarter of a second has gathered, and are then taken as they are.
func TestSlowDriftIsNoSuspension(t *testing.T) {
	var s suspension
	s.gap(0, 0)
	for i := range 249 {
		require.Zero(t, s.gap(time.Duration(i)*(time.Second+time.Millisecond), time.Duration(i)*time.Second))
	}
}

// The process stands still for three seconds, and the steady clock runs on. That shows
// once, by no loop having gone on, and not before the loops run.
func TestAPauseIsFoundOnce(t *testing.T) {
	var p pauses
	now := time.Now()
	require.Zero(t, p.gap(now.Add(time.Hour)))
	p.begin(now)
	now = now.Add(tickInterval)
	require.Zero(t, p.gap(now))
	require.False(t, p.interrupts(now))
	now = now.Add(3 * time.Second)
	require.True(t, p.interrupts(now))
	require.Equal(t, 3*time.Second, p.gap(now))
	require.False(t, p.interrupts(now))
	require.Zero(t, p.gap(now.Add(tickInterval)))
}

// What the store confirmed before the pause or during it ends no doubt in the records;
// the first word since does.
func TestDoubtEndsWithTheStoresNextWord(t *testing.T) {
	var p pauses
	now := time.Now()
	require.False(t, p.isUnsure())
	p.end(now, 3*time.Second)
	require.True(t, p.isUnsure())
	now = now.Add(time.Second)
	first, _ := p.confirm(now, 1500*time.Millisecond)
	require.False(t, first)
	require.True(t, p.isUnsure())
	first, after := p.confirm(now, 100*time.Millisecond)
	require.True(t, first)
	require.Equal(t, time.Second, after)
	require.False(t, p.isUnsure())
	first, _ = p.confirm(now, 0)
	require.False(t, first)
}

// newPausedEdge returns a node that has sockets and stood still for d.
func newPausedEdge(t *testing.T, d time.Duration) (e *Edge, log *bytes.Buffer) {
	t.Helper()
	log = &bytes.Buffer{}
	e = &Edge{counts: newCounters(), log: NewLog(log), started: time.Now()}
	e.gossip.Records = &e.records
	var err error
	e.data, err = bronzesocket.Listen("127.0.0.1:0")
	require.NoError(t, err)
	e.peers, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, e.data.Close())
		require.NoError(t, e.peers.Close())
	})
	e.lookForPause()
	e.pauses.begin(time.Now().Add(-d))
	return e, log
}

// send sends n datagrams to an address.
func send(t *testing.T, to net.Addr, n int) {
	t.Helper()
	c, err := net.Dial("udp4", to.String())
	require.NoError(t, err)
	for range n {
		_, err = c.Write([]byte("old"))
		require.NoError(t, err)
	}
	require.NoError(t, c.Close())
}

// A node stands still for five seconds. For the first of them routers still send it
// callers' packets, more than it reads at once, and other nodes go on telling it news. All
// of that is dropped when it wakes: the callers have gone elsewhere, and the news says of
// things that are six seconds old that they are one second old. What comes then is read.
func TestWhatWaitedDuringAPauseIsDropped(t *testing.T) {
	e, log := newPausedEdge(t, 5*time.Second)
	data := net.UDPAddrFromAddrPort(e.data.LocalAddrPort())
	send(t, data, 3*batchSize)
	send(t, e.peers.LocalAddr(), 4)
	in := make([]bronzesocket.Datagram, batchSize)
	for i := range in {
		in[i].Buf = make([]byte, 16)
	}
	n, err := e.data.ReadBatch(in)
	require.NoError(t, err)
	e.lookForPause()
	require.True(t, e.dropOldPackets(n))
	require.True(t, e.dropOldNews())

	send(t, data, 1)
	n, err = e.data.ReadBatch(in)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	e.lookForPause()
	require.False(t, e.dropOldPackets(n))
	require.False(t, e.dropOldNews())
	e.log.Close()
	require.Equal(t, []string{"Paused", "OldPacketsDropped", "OldNewsDropped"}, lines(t, log.String()))
	require.Contains(t, log.String(), `"Dropped":96`)
}

// A node stands still for 700 ms. Its callers have repeated what they sent once or twice
// and still wait: it is sent on, sooner than their next repetition would be.
func TestPacketsThatAreStillWantedAreSentOnAfterAPause(t *testing.T) {
	e, _ := newPausedEdge(t, 700*time.Millisecond)
	defer e.log.Close()
	e.lookForPause()
	require.False(t, e.dropOldPackets(1))
	require.True(t, e.dropOldNews())
}

// A watch of the store is answered while the node stands still, and the node reads the
// answer when it wakes. It must not tell others that the store confirmed its records a
// moment ago: their callers would be sent to servers that have left meanwhile.
func TestAnAnswerThatWaitedConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := &Edge{counts: newCounters(), log: NewLog(&out), started: time.Now()}
		e.gossip.Records = &e.records
		e.pauses.begin(time.Now())
		watched := bronzerecord.Event{Kind: bronzerecord.Watched, Took: 10 * time.Millisecond}
		e.onStoreEvent(watched)
		require.Zero(t, e.gossip.SinceConfirmed(time.Now()))
		time.Sleep(5 * time.Second)
		watched.Took = 5 * time.Second
		e.onStoreEvent(watched)
		require.Equal(t, 5*time.Second, e.gossip.SinceConfirmed(time.Now()))
		time.Sleep(200 * time.Millisecond)
		watched.Took = 100 * time.Millisecond
		e.onStoreEvent(watched)
		require.Zero(t, e.gossip.SinceConfirmed(time.Now()))
		e.pauses.begin(time.Now().Add(100 * time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		e.onStoreEvent(bronzerecord.Event{Kind: bronzerecord.Loaded, Stale: true})
		require.Equal(t, 100*time.Millisecond, e.gossip.SinceConfirmed(time.Now()), "nor does one that may be stale")
		e.log.Close()
	})
}
