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

// wire is a network of in-memory connections.
type wire struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	dialed    []*wireConn // the dialing ends, in order
}

// wireConn is one end of a connection, with a small buffer like that of a
// socket. While dropWrites is set, it drops what is written to it.
type wireConn struct {
	net.Conn
	remote     net.Addr
	dropWrites atomic.Bool
	buffer     chan []byte
	closed     chan struct{}
	once       sync.Once
}

func newWireConn(conn net.Conn, port int) *wireConn {
	c := &wireConn{Conn: conn, remote: loopbackAddress(port), buffer: make(chan []byte, 16), closed: make(chan struct{})}
	go c.pump()
	return c
}

// pump writes the buffered data to the connection.
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
	if c.dropWrites.Load() {
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

// start starts a mesh on w; the returned function stops it.
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

// withMeshes runs a test with two meshes on one wire.
func withMeshes(t *testing.T, test func(t *testing.T, w *wire, a, b *wirePeer)) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{listeners: map[string]chan net.Conn{}}
		a, stopA := w.start(t, "riga-a-1", 7001)
		b, stopB := w.start(t, "riga-b-1", 7002)
		defer stopB()
		defer stopA()
		test(t, w, a, b)
	})
}

// A firewall between two balancers loses the state of their connection: what one
// of them sends on it is dropped, while the other direction and new connections
// work. The receiver gets no bytes, not even answers to its pings, and closes the
// link after the liveness deadline. The next message is sent on a new one.
func TestSilentLink(t *testing.T) {
	withMeshes(t, func(t *testing.T, w *wire, a, b *wirePeer) {
		require.NoError(t, a.Send(b.member, heartbeat(1)))
		synctest.Wait()
		require.Equal(t, []uint64{1}, b.received())
		w.connection(0).dropWrites.Store(true)
		require.NoError(t, a.Send(b.member, heartbeat(2)))
		time.Sleep(2 * bronzelink.DefaultLiveness)
		require.Equal(t, []uint64{1}, b.received())
		require.Equal(t, 1, b.counted(bronzelink.CountSilent))
		require.NoError(t, a.Send(b.member, heartbeat(3)))
		synctest.Wait()
		require.Equal(t, []uint64{1, 3}, b.received())
	})
}

// A balancer stops reading. The queue of its link fills up and further messages
// for it are refused, and its link is closed after the write timeout. A message
// for another balancer isn't delayed.
func TestStuckPeer(t *testing.T) {
	withMeshes(t, func(t *testing.T, w *wire, a, b *wirePeer) {
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

func TestIdleLink(t *testing.T) {
	withMeshes(t, func(t *testing.T, _ *wire, a, b *wirePeer) {
		require.NoError(t, a.Send(b.member, heartbeat(1)))
		time.Sleep(bronzelink.DefaultIdle / 2)
		require.Equal(t, 1, a.Links())
		time.Sleep(bronzelink.DefaultIdle)
		require.Zero(t, a.Links())
		require.Zero(t, b.Links())
	})
}

// Two balancers dial each other at the same time. Both must keep the same one of
// the two links, so that no message is lost and no link stays unused.
func TestSimultaneousDial(t *testing.T) {
	withMeshes(t, func(t *testing.T, _ *wire, a, b *wirePeer) {
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
