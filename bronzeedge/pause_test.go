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

// A VM is suspended for four seconds, which only the clock since boot shows. The suspension
// must be detected exactly once, so that the age of the records is right.
func TestSuspensionDetectedOnce(t *testing.T) {
	var s suspensionDetector
	monotonic, offset := 5*time.Second, time.Hour
	require.Zero(t, s.gap(monotonic+offset, monotonic), "the clocks start with an offset")
	monotonic += 100 * time.Millisecond
	require.Zero(t, s.gap(monotonic+offset+3*time.Millisecond, monotonic))
	offset += 4 * time.Second
	require.Equal(t, 4*time.Second, s.gap(monotonic+offset, monotonic))
	require.Zero(t, s.gap(monotonic+offset, monotonic))
}

// Clocks that drift apart by a millisecond a second don't count as a suspension before the
// drift has added up to a quarter of a second.
func TestSuspensionIgnoresSlowDrift(t *testing.T) {
	var s suspensionDetector
	s.gap(0, 0)
	for i := range 249 {
		require.Zero(t, s.gap(time.Duration(i)*(time.Second+time.Millisecond), time.Duration(i)*time.Second))
	}
}

// The process stops for three seconds while the monotonic clock runs on. The pause must be
// detected once, from no loop having run, and not before the loops have started.
func TestPauseDetectedOnce(t *testing.T) {
	var p pauseDetector
	now := time.Now()
	require.Zero(t, p.gap(now.Add(time.Hour)))
	p.start(now)
	now = now.Add(tickInterval)
	require.Zero(t, p.gap(now))
	require.False(t, p.wasInterrupted(now))
	now = now.Add(3 * time.Second)
	require.True(t, p.wasInterrupted(now))
	require.Equal(t, 3*time.Second, p.gap(now))
	require.False(t, p.wasInterrupted(now))
	require.Zero(t, p.gap(now.Add(tickInterval)))
}

// A confirmation by the store from before or during the pause doesn't make the records
// trusted again; the first one after it does.
func TestPauseConfirm(t *testing.T) {
	var p pauseDetector
	now := time.Now()
	require.False(t, p.isUnconfirmed())
	p.pauseEnded(now, 3*time.Second)
	require.True(t, p.isUnconfirmed())
	now = now.Add(time.Second)
	first, _ := p.confirm(now, 1500*time.Millisecond)
	require.False(t, first)
	require.True(t, p.isUnconfirmed())
	first, after := p.confirm(now, 100*time.Millisecond)
	require.True(t, first)
	require.Equal(t, time.Second, after)
	require.False(t, p.isUnconfirmed())
	first, _ = p.confirm(now, 0)
	require.False(t, first)
}

// newPausedEdge returns a node with sockets that was paused for d.
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
	e.detectPause()
	e.pauses.start(time.Now().Add(-d))
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

// A node is paused for five seconds. During the first second routers still send it callers'
// packets, more than one read returns, and other nodes keep sending it messages. All of
// these are dropped when it resumes: the callers have gone elsewhere, and the messages give
// ages that are too low by the length of the pause. What arrives afterwards is read.
func TestLongPauseDropsDatagrams(t *testing.T) {
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
	e.detectPause()
	require.True(t, e.dropOldPackets(n))
	require.True(t, e.dropOldMessages())

	send(t, data, 1)
	n, err = e.data.ReadBatch(in)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	e.detectPause()
	require.False(t, e.dropOldPackets(n))
	require.False(t, e.dropOldMessages())
	e.log.Close()
	require.Equal(t, []string{"Paused", "OldPacketsDropped", "OldNewsDropped"}, lines(t, log.String()))
	require.Contains(t, log.String(), `"Dropped":96`)
}

// A node is paused for 700 ms. Its callers have retransmitted their packets once or twice
// and still wait, so that the packets are not dropped: forwarding data is sooner than its next
// retransmission.
func TestShortPauseKeepsPackets(t *testing.T) {
	e, _ := newPausedEdge(t, 700*time.Millisecond)
	defer e.log.Close()
	e.detectPause()
	require.False(t, e.dropOldPackets(1))
	require.True(t, e.dropOldMessages())
}

// Openings that waited during a pause may be open elsewhere. All packets that are read right after
// the pause are marked for that, more than one batch if as many wait, and none that come later.
func TestPauseMarksWaitingPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pauseDetector
		w := &worker{in: make([]bronzesocket.Datagram, 4)}
		p.start(time.Now())
		time.Sleep(700 * time.Millisecond)
		p.pauseEnded(time.Now(), 700*time.Millisecond)
		require.True(t, w.readDelayed(&p, 4, time.Now()))
		require.True(t, w.readDelayed(&p, 4, time.Now()))
		require.True(t, w.readDelayed(&p, 1, time.Now()))
		require.False(t, w.readDelayed(&p, 4, time.Now()))

		p.pauseEnded(time.Now(), 700*time.Millisecond)
		time.Sleep(tickInterval + time.Millisecond)
		require.False(t, w.readDelayed(&p, 1, time.Now()), "nothing waited")
	})
}

// A watch of the store is answered while the node is paused, and the node reads the answer
// when it resumes. It must not tell others that the store confirmed its records a moment
// ago: their callers would be sent to servers that have left since.
func TestPausedAnswerConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		e := &Edge{counts: newCounters(), log: NewLog(&out), started: time.Now()}
		e.gossip.Records = &e.records
		e.pauses.start(time.Now())
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
		e.pauses.start(time.Now().Add(100 * time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		e.onStoreEvent(bronzerecord.Event{Kind: bronzerecord.Loaded, Stale: true})
		require.Equal(t, 100*time.Millisecond, e.gossip.SinceConfirmed(time.Now()), "a stale answer confirms nothing")
		e.log.Close()
	})
}
