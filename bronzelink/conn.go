package bronzelink

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// countedConn counts the bytes on the wire, below TLS, and records when the last
// ones were received.
type countedConn struct {
	net.Conn
	mesh *Mesh
	read atomic.Int64 // the time of the last read, in Unix nanoseconds
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

// withConn passes the counted connection below conn to the handler.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// readyListener accepts connections after their TLS handshake.
type readyListener struct {
	net.Listener
	ready chan net.Conn
	done  chan struct{} // closed when nothing more is accepted
	slots chan struct{}
	mesh  *Mesh
}

// listen returns a listener that accepts the connections of ln once they are
// secured and counted. The handshakes run concurrently, so that a peer that
// stalls in one doesn't delay others, and their failures are counted by reason.
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

// acceptPause is the wait after a failed accept, such as for lack of file
// descriptors, so that the loop doesn't spin.
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

// Accept returns the next connection whose handshake is complete.
func (l *readyListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// loopback reports whether address is a loopback IP address with a port.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
