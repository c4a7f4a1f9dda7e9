package bronzelink

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// countedConn counts the bytes that cross the wire, below TLS, and notes when
// the last ones came in.
type countedConn struct {
	net.Conn
	mesh *Mesh
	read atomic.Int64 // Unix nanoseconds
}

func (m *Mesh) counted(conn net.Conn) *countedConn {
	c := &countedConn{Conn: conn, mesh: m}
	c.read.Store(time.Now().UnixNano())
	return c
}

func (c *countedConn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n > 0 {
		c.mesh.received.Add(uint64(n))
		c.read.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.mesh.sent.Add(uint64(n))
	return n, err
}

func (c *countedConn) lastRead() time.Time { return time.Unix(0, c.read.Load()) }

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn keeps the counted connection below conn for the handler.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// readyListener hands out connections whose handshake is over.
type readyListener struct {
	net.Listener
	ready chan net.Conn
	done  chan struct{} // closed when nothing more is accepted
	slots chan struct{}
	mesh  *Mesh
}

// listen returns a listener of the secured, counted connections of ln. The
// handshakes run beside each other, so that a peer that stalls in one holds up
// nobody, and their failures are counted by reason.
func (m *Mesh) listen(ctx context.Context, ln net.Listener) net.Listener {
	l := &readyListener{
		Listener: ln,
		ready:    make(chan net.Conn),
		done:     make(chan struct{}),
		slots:    make(chan struct{}, maxSetups),
		mesh:     m,
	}
	go l.acceptAll(ctx)
	return l
}

func (l *readyListener) acceptAll(ctx context.Context) {
	defer close(l.done)
	for {
		conn, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		select {
		case l.slots <- struct{}{}:
			go l.secure(ctx, conn)
		default:
			l.mesh.count(CountTooManySetups)
			_ = conn.Close()
		}
	}
}

// acceptPause is the wait after a failed accept, such as one for want of file
// descriptors, so that it doesn't spin.
const acceptPause = 10 * time.Millisecond

// secure makes conn ready for Accept, or closes it.
func (l *readyListener) secure(ctx context.Context, conn net.Conn) {
	defer func() { <-l.slots }()
	ctx, cancel := context.WithTimeout(ctx, l.mesh.setupTimeout())
	defer cancel()
	secured, err := l.mesh.secureServer(ctx, conn)
	if err != nil {
		l.mesh.count(setupReason(err))
		_ = conn.Close()
		return
	}
	select {
	case l.ready <- secured:
	case <-l.done:
		_ = conn.Close()
	}
}

// Accept returns the next connection that is ready.
func (l *readyListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// loopback reports whether address is an IP address and port of loopback.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
