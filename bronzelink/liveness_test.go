package bronzelink_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bronzeusher.example/bronzeusher/bronzelink"
)

// wire is a network of in-memory connections by address.
type wire struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	dialed    []*wireConn // the dialing ends, in order
}

// wireConn is one end of a connection, with a small buffer as a socket has.
// What it writes vanishes once it is mute.
type wireConn struct {
	net.Conn
	remote net.Addr
	mute   atomic.Bool
	buffer chan []byte
	closed chan struct{}
	once   sync.Once
}

func newWireConn(conn net.Conn, port int) *wireConn {
	c := &wireConn{Conn: conn, remote: loopbackAddress(port), buffer: make(chan []byte, 16), closed: make(chan struct{})}
	go c.pump()
	return c
}

// pump writes what is buffered.
func (c *wireConn) pump() {
	for {
		select {
		case b := <-c.buffer:
			_, _ = c.Conn.Write(b)
		case <-c.closed:
			return
		}
	}
}

func (c *wireConn) RemoteAddr() net.Addr { return c.remote }

func (c *wireConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *wireConn) Write(b []byte) (int, error) {
	if c.mute.Load() {
		return len(b), nil
	}
	select {
	case c.buffer <- bytes.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// wireListener is the listener of one address.
type wireListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *wireListener) Addr() net.Addr { return l.address }

func (l *wireListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *wireListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func loopbackAddress(port int) *net.TCPAddr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}
}

func (w *wire) dial(ctx context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	w.mu.Lock()
	conns := w.listeners[address]
	dialed := newWireConn(near, 1)
	w.dialed = append(w.dialed, dialed)
	w.mu.Unlock()
	select {
	case conns <- newWireConn(far, 2):
		return dialed, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *wire) connection(i int) *wireConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dialed[i]
}

// wirePeer is a mesh on a wire.
type wirePeer struct {
	bronzelink.Mesh
	member bronzelink.Member
	mu     sync.Mutex
	got    []uint64
	counts map[string]int
}

func (p *wirePeer) received() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]uint64(nil), p.got...)
}

func (p *wirePeer) counted(reason string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[reason]
}

// start makes a mesh on w; the returned function stops it.
func (w *wire) start(t *testing.T, name string, port int) (p *wirePeer, stop func()) {
	address := loopbackAddress(port)
	ln := &wireListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address.String()] = ln.conns
	p = &wirePeer{member: bronzelink.Member{Name: name, ControlAddress: address.String()}, counts: map[string]int{}}
	p.Self = func() bronzelink.Member { return p.member }
	p.Dial = w.dial
	p.OnMessage = func(_ string, m *bronzelink.Message) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.got = append(p.got, m.Heartbeat.Sequence)
	}
	p.Count = func(reason string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.counts[reason]++
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(ctx, ln) }()
	return p, func() {
		cancel()
		require.NoError(t, <-served)
		require.NoError(t, p.Close())
	}
}

// meshes runs a test with two meshes on one wire.
func meshes(t *testing.T, test func(t *testing.T, w *wire, a, b *wirePeer)) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{listeners: map[string]chan net.Conn{}}
		a, stopA := w.start(t, "riga-a-1", 7001)
		b, stopB := w.start(t, "riga-b-1", 7002)
		defer stopB()
		defer stopA()
		test(t, w, a, b)
	})
}

// A firewall between two balancers forgets their connection: what one of them
// sends on it vanishes, while the other direction and new connections work. The
// receiver hears nothing, not even to its pings, and closes the link within
// the liveness deadline; the next message travels on a new one.
func TestSilentLinkIsReplaced(t *testing.T) {
	meshes(t, func(t *testing.T, w *wire, a, b *wirePeer) {
		require.NoError(t, a.Send(b.member, heartbeat(1)))
		synctest.Wait()
		require.Equal(t, []uint64{1}, b.received())
		w.connection(0).mute.Store(true)
		require.NoError(t, a.Send(b.member, heartbeat(2)))
		time.Sleep(2 * bronzelink.DefaultLiveness)
		require.Equal(t, []uint64{1}, b.received())
		require.Equal(t, 1, b.counted(bronzelink.CountSilent))
		require.NoError(t, a.Send(b.member, heartbeat(3)))
		synctest.Wait()
		require.Equal(t, []uint64{1, 3}, b.received())
	})
}

// A balancer stops reading. Its link's queue fills and the messages for it are
// refused, its link is closed by the write deadline, and a message for another
// balancer is not held up for a moment.
func TestStuckPeerStallsNobody(t *testing.T) {
	meshes(t, func(t *testing.T, w *wire, a, b *wirePeer) {
		stuck, stop := w.start(t, "riga-c-1", 7003)
		defer stop()
		release := make(chan struct{})
		stuck.OnMessage = func(string, *bronzelink.Message) { <-release }
		var err error
		for i := 0; err == nil; i++ {
			require.Less(t, i, 4*bronzelink.DefaultQueueLength)
			err = a.Send(stuck.member, heartbeat(uint64(i)))
			synctest.Wait()
		}
		require.ErrorIs(t, err, bronzelink.ErrQueueFull)
		before := time.Now()
		require.NoError(t, a.Send(b.member, heartbeat(1)))
		synctest.Wait()
		require.Equal(t, []uint64{1}, b.received())
		require.Equal(t, before, time.Now())
		time.Sleep(2 * bronzelink.DefaultWriteTimeout)
		require.Positive(t, a.counted(bronzelink.CountWriteTimeout))
		close(release)
	})
}

func TestIdleLinkIsClosed(t *testing.T) {
	meshes(t, func(t *testing.T, _ *wire, a, b *wirePeer) {
		require.NoError(t, a.Send(b.member, heartbeat(1)))
		time.Sleep(bronzelink.DefaultIdle / 2)
		require.Equal(t, 1, a.Links())
		time.Sleep(bronzelink.DefaultIdle)
		require.Zero(t, a.Links())
		require.Zero(t, b.Links())
	})
}

// Two balancers dial each other at the same moment. Both keep the same one of the
// two links, so that no message is lost and no link stays unused.
func TestLinksDialedAtOnce(t *testing.T) {
	meshes(t, func(t *testing.T, _ *wire, a, b *wirePeer) {
		require.NoError(t, a.Send(b.member, heartbeat(1)))
		require.NoError(t, b.Send(a.member, heartbeat(2)))
		time.Sleep(3 * time.Second)
		require.NoError(t, a.Send(b.member, heartbeat(3)))
		require.NoError(t, b.Send(a.member, heartbeat(4)))
		synctest.Wait()
		require.Equal(t, []uint64{1, 3}, b.received())
		require.Equal(t, []uint64{2, 4}, a.received())
		require.Equal(t, 1, a.Links())
		require.Equal(t, 1, b.Links())
	})
}
